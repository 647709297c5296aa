package core

import (
	"slices"

	"github.com/spoolbank/spoolbank/internal/core/config"
)

// watcherCount is the number of entry VMs that check each target. The leader receives their
// reports of the target, and no VM has to check all targets.
const watcherCount = 3

// tickWatch checks the targets that are assigned to this VM.
func (n *Node) tickWatch() {
	if n.now.Before(n.entry.watchAt) {
		return
	}
	n.entry.watchAt = n.now.Add(n.settings.Timing.ProbeInterval)
	n.refreshWatchList()
	for _, t := range n.entry.watchList {
		n.emit(Watch{Target: t.Name, Address: t.Address})
	}
}

// watchKey identifies the lists that the watch list was computed from.
type watchKey struct {
	revision config.Revision
	view     uint64
}

// refreshWatchList recomputes which targets this VM checks. It goes through all targets and all
// VMs, and does so only when either list has changed.
func (n *Node) refreshWatchList() {
	key := watchKey{revision: n.entry.config.Revision, view: n.entry.viewVersion}
	if key == n.entry.watchKey {
		return
	}
	n.entry.watchKey = key
	n.entry.watchList = nil
	for _, t := range n.entry.config.Targets.Sorted() {
		if n.isWatcher(t.Name) {
			n.entry.watchList = append(n.entry.watchList, t)
		}
	}
}

func (n *Node) isWatcher(target string) bool {
	return slices.Contains(rendezvous(target, n.entry.view, watcherCount), n.settings.Self.VM)
}

// watched records the result of a check of a target.
func (n *Node) watched(w Watched) {
	t := n.target(w.Report.Target)
	t.report = w.Report
	if !w.Report.Reached {
		n.suspect(w.Report.Target)
	}
}

// reports returns the reports of the watched targets for the leader.
func (n *Node) reports() []TargetReport {
	var reports []TargetReport
	for _, t := range n.entry.watchList {
		if state, ok := n.entry.targets[t.Name]; ok && state.report.Target != "" {
			reports = append(reports, state.report)
		}
	}
	return reports
}
