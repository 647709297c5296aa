package core

import "slices"

// watcherCount is how many entry VMs look after each target. The leader hears
// of each target from them, and no VM has to look at all.
const watcherCount = 3

// tickWatch looks at the targets that are this VM's to watch, and at those
// that it suspects.
func (n *Node) tickWatch() {
	if n.now.Before(n.entry.watchAt) {
		return
	}
	n.entry.watchAt = n.now.Add(n.settings.Timing.WatchEvery)
	for _, t := range n.entry.config.Targets.Sorted() {
		state := n.target(t.Name)
		state.watched = n.isWatcher(t.Name)
		if state.watched || n.isSuspect(t.Name) {
			n.emit(Watch{Target: t.Name, Address: t.Address})
		}
	}
}

func (n *Node) isWatcher(target string) bool {
	return slices.Contains(rendezvous(target, n.entry.view, watcherCount), n.settings.Self.VM)
}

// watched takes what a look at a target brought.
func (n *Node) watched(w Watched) {
	t := n.target(w.Report.Target)
	t.report = w.Report
	if !w.Report.Reached {
		n.suspect(w.Report.Target)
	}
}

// reports returns what the leader is told of the watched targets.
func (n *Node) reports() []TargetReport {
	var reports []TargetReport
	for _, t := range n.entry.config.Targets.Sorted() {
		state, ok := n.entry.targets[t.Name]
		if ok && state.watched && state.report.Target != "" {
			reports = append(reports, state.report)
		}
	}
	return reports
}
