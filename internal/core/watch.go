package core

import (
	"slices"

	"github.com/spoolbank/spoolbank/internal/core/config"
)

// watcherCount is how many entry VMs look after each target. The leader hears
// of each target from them, and no VM has to look at all.
const watcherCount = 3

// tickWatch looks at the targets that are this VM's to watch.
func (n *Node) tickWatch() {
	if n.now.Before(n.entry.watchAt) {
		return
	}
	n.entry.watchAt = n.now.Add(n.settings.Timing.WatchEvery)
	n.refreshWatchList()
	for _, t := range n.entry.watchList {
		n.emit(Watch{Target: t.Name, Address: t.Address})
	}
}

// watchKey is what the watch list was computed from.
type watchKey struct {
	revision config.Revision
	view     uint64
}

// refreshWatchList recomputes which targets are this VM's to watch. It looks at
// all targets and all VMs, and does so only when either list has changed.
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
	for _, t := range n.entry.watchList {
		if state, ok := n.entry.targets[t.Name]; ok && state.report.Target != "" {
			reports = append(reports, state.report)
		}
	}
	return reports
}
