package relay

// Mark is what the control VMs add to what a target reports of itself. Marks can be combined.
type Mark uint8

// The marks of a target.
const (
	// MarkSilent: no VM receives heartbeats from it, or far more entry VMs find it failed
	// than healthy.
	MarkSilent Mark = 1 << iota
	// MarkMoving: it was ordered to hold other layers than it reports, and accepts no new work
	// for those that it gives up.
	MarkMoving
	// MarkSlow: it has reported to an entry VM that its steps take much longer than usual.
	MarkSlow
	// MarkLimited: it has reported to an entry VM that it accepts so many requests a second from
	// all VMs.
	MarkLimited
)

// Has reports whether a mark is among these.
func (m Mark) Has(o Mark) bool { return m&o == o }

// With returns the marks and another one.
func (m Mark) With(o Mark) Mark { return m | o }

// ApplyMarks applies the marks of targets that have changed. complete indicates that missing
// targets have none; otherwise they keep theirs.
func (r *Router) ApplyMarks(marks map[TargetKey]Mark, complete bool) {
	if complete {
		clear(r.marks)
	}
	for key, m := range marks {
		r.marks[key] = m
		if m == 0 {
			delete(r.marks, key)
		}
	}
	if !complete && len(marks) == 0 {
		return
	}
	for _, t := range r.targets {
		t.applyMark(r.marks[t.key])
	}
}

func (t *target) applyMark(m Mark) {
	t.silent = m.Has(MarkSilent)
	t.moving = m.Has(MarkMoving)
	t.markedSlow = m.Has(MarkSlow)
}
