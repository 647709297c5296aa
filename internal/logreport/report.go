// Package logreport sums up the structured logs of VMs: what became of requests, when, for
// which causes and over which targets, and what the control VMs decided meanwhile.
package logreport

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"regexp"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// Bounds say from when on an answer counts as late, and how the report is cut up.
type Bounds struct {
	// First is the time to the first event, and Pause that between two events, above
	// which an answer is late.
	First time.Duration
	Pause time.Duration
	// Every is the length of a row.
	Every time.Duration
}

// line is the part of a log line that is used. Lines of other messages have none of it.
type line struct {
	Time    time.Time `json:"ts"`
	Message string    `json:"msg"`
	Kind    string    `json:"kind"`
	Outcome string    `json:"outcome"`
	Reason  string    `json:"reason"`
	Cause   string    `json:"cause"`
	Path    string    `json:"path"`
	FirstMS int64     `json:"first_ms"`
	PauseMS int64     `json:"worst_pause_ms"`
	HeldMS  int64     `json:"held_ms"`
	Tries   int       `json:"tries"`
}

// row counts what ended within one interval.
type row struct {
	served, lateFirst, longPause, repeated, refused, cut int
}

// controlRow counts what control VMs decided, and entry VMs made of it, within one interval.
type controlRow struct {
	elected, stepped, joined, orders, accepted, notDecided, leasesLost, sources int
}

// perTarget counts what passed a target.
type perTarget struct{ served, longPause, failed int }

// Report is the sum over log lines. Use New.
type Report struct {
	bounds  Bounds
	began   time.Time
	rows    map[int]*row
	control map[int]*controlRow
	causes  map[string]int
	targets map[string]*perTarget
	// unread counts the lines that hold no readable log line.
	unread int
}

// New returns a Report of nothing.
func New(b Bounds) *Report {
	return &Report{bounds: b, rows: make(map[int]*row), control: make(map[int]*controlRow), causes: make(map[string]int), targets: make(map[string]*perTarget)}
}

// maxLine bounds a log line, in bytes: paths of 32 stages take some 1 KB.
const maxLine = 1 << 20

// Read takes all lines of a log. What stands before the first brace of a line, such as
// what a collector adds, is passed over. It returns the error of the reader.
func (r *Report) Read(from io.Reader) error {
	lines := bufio.NewScanner(from)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		r.take(lines.Bytes())
	}
	return lines.Err()
}

func (r *Report) take(text []byte) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return
	}
	var l line
	if err := json.Unmarshal(text[start:], &l); err != nil || l.Time.IsZero() {
		r.unread++
		return
	}
	if r.began.IsZero() || l.Time.Before(r.began) && len(r.rows) == 0 {
		r.began = l.Time
	}
	switch l.Message {
	case "request served":
		r.takeServed(l)
	case "request refused":
		r.rowAt(l.Time).refused++
		r.causes["refused, "+l.Kind+": "+general(l.Reason)]++
	case "stream cut":
		r.rowAt(l.Time).cut++
		r.causes["cut: "+general(l.Reason)]++
	case "try failed":
		r.takeFailed(l)
	default:
		r.takeControl(l)
	}
}

// acceptedOutcome is that of a configuration that was accepted.
const acceptedOutcome = "accepted"

// takeControl counts the decisions that concern no request.
func (r *Report) takeControl(l line) {
	count := func(of func(*controlRow) *int) {
		n := r.intervalOf(l.Time)
		if r.control[n] == nil {
			r.control[n] = &controlRow{}
		}
		*of(r.control[n])++
	}
	switch {
	case l.Message == "leader elected":
		count(func(c *controlRow) *int { return &c.elected })
	case strings.HasPrefix(l.Message, "leader steps down"):
		count(func(c *controlRow) *int { return &c.stepped })
	case l.Message == "learner joins":
		count(func(c *controlRow) *int { return &c.joined })
	case strings.HasPrefix(l.Message, "engine ordered"):
		count(func(c *controlRow) *int { return &c.orders })
	case l.Message == "configuration put" && l.Outcome == acceptedOutcome:
		count(func(c *controlRow) *int { return &c.accepted })
	case l.Message == "configuration put":
		count(func(c *controlRow) *int { return &c.notDecided })
	case strings.HasPrefix(l.Message, "lease lost"):
		count(func(c *controlRow) *int { return &c.leasesLost })
	case strings.HasPrefix(l.Message, "leases come by way"):
		count(func(c *controlRow) *int { return &c.sources })
	}
}

func (r *Report) intervalOf(at time.Time) int { return int(at.Sub(r.began) / r.bounds.Every) }

func (r *Report) takeServed(l line) {
	at := r.rowAt(l.Time)
	at.served++
	if l.FirstMS > r.bounds.First.Milliseconds() {
		at.lateFirst++
	}
	long := l.PauseMS > r.bounds.Pause.Milliseconds()
	if long {
		at.longPause++
	}
	if l.Tries > 1 {
		at.repeated++
	}
	for _, address := range addresses(l.Path) {
		t := r.target(address)
		t.served++
		if long {
			t.longPause++
		}
	}
}

// takeFailed counts a failure for the target that the cause names, or else for the first.
func (r *Report) takeFailed(l line) {
	r.causes["try failed: "+general(l.Cause)]++
	named := targetName.FindString(l.Cause)
	if passed := addresses(l.Path); named == "" && len(passed) > 0 {
		named = passed[0]
	}
	if named != "" {
		r.target(named).failed++
	}
}

func (r *Report) rowAt(at time.Time) *row {
	n := r.intervalOf(at)
	if r.rows[n] == nil {
		r.rows[n] = &row{}
	}
	return r.rows[n]
}

func (r *Report) target(address string) *perTarget {
	if r.targets[address] == nil {
		r.targets[address] = &perTarget{}
	}
	return r.targets[address]
}

// targetName matches the address of a target in a text.
var targetName = regexp.MustCompile(`\d+\.\d+\.\d+\.\d+:\d+`)

// general returns a text without the addresses in it, so that like causes count together.
func general(text string) string { return targetName.ReplaceAllString(text, "ADDRESS") }

// addresses returns the targets of a path as it is logged: ADDRESS[FIRST,LAST) ...
func addresses(path string) []string {
	var out []string
	for _, stage := range strings.Fields(path) {
		address, _, _ := strings.Cut(stage, "[")
		out = append(out, address)
	}
	return out
}

// targetsShown bounds the targets in a report: those with the most failures.
const targetsShown = 12

// Write writes the report as tables.
func (r *Report) Write(to io.Writer) error {
	w := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "FROM\tSERVED\tLATE FIRST\tLONG PAUSE\tREPEATED\tREFUSED\tCUT")
	for _, n := range slices.Sorted(maps.Keys(r.rows)) {
		c := r.rows[n]
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\n", time.Duration(n)*r.bounds.Every, c.served, c.lateFirst, c.longPause, c.repeated, c.refused, c.cut)
	}
	r.writeControl(w)
	fmt.Fprintln(w, "\nCOUNT\tCAUSE")
	causes := slices.SortedFunc(maps.Keys(r.causes), func(a, b string) int {
		return cmp.Or(cmp.Compare(r.causes[b], r.causes[a]), cmp.Compare(a, b))
	})
	for _, c := range causes {
		fmt.Fprintf(w, "%d\t%s\n", r.causes[c], c)
	}
	fmt.Fprintln(w, "\nTARGET\tSERVED\tLONG PAUSE\tFAILED")
	for _, address := range r.worstTargets() {
		t := r.targets[address]
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\n", address, t.served, t.longPause, t.failed)
	}
	if r.unread > 0 {
		fmt.Fprintf(w, "\n%d lines could not be read\n", r.unread)
	}
	return w.Flush()
}

// writeControl writes what control VMs decided, if the logs say anything of it.
func (r *Report) writeControl(w io.Writer) {
	if len(r.control) == 0 {
		return
	}
	fmt.Fprintln(w, "\nFROM\tELECTED\tSTEPPED DOWN\tJOINED\tORDERS\tACCEPTED\tNOT DECIDED\tLEASES LOST\tRENEW ELSEWHERE")
	for _, n := range slices.Sorted(maps.Keys(r.control)) {
		c := r.control[n]
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\n", time.Duration(n)*r.bounds.Every, c.elected, c.stepped, c.joined, c.orders, c.accepted, c.notDecided, c.leasesLost, c.sources)
	}
}

func (r *Report) worstTargets() []string {
	worst := slices.SortedFunc(maps.Keys(r.targets), func(a, b string) int {
		x, y := r.targets[a], r.targets[b]
		return cmp.Or(cmp.Compare(y.failed, x.failed), cmp.Compare(y.longPause, x.longPause), cmp.Compare(a, b))
	})
	return worst[:min(len(worst), targetsShown)]
}
