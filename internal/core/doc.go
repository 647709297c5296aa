// Package core implements the decision logic of spoolbank as one reducer over events.
//
// A Node takes an Event and the current time and returns Effects, which are data.
// It does no I/O, reads no clock, starts no goroutine and uses no global source
// of randomness, so that anything that can produce events can drive it. The
// runtime, in internal/daemon, turns network, timer and disk activity into
// events and executes the effects.
//
// A Node is mutated in place by its single owner. Values that it returns in
// effects are never modified afterwards.
//
// The files form four groups. Control: log, election, common_start, forming,
// replication, membership, snapshot, machine, operate, document, leading, grants,
// forwarding, fleet, orders, placing, placing_notes. Registry of targets: registry,
// followers, following, unnamed, shortlist. Entry: tenure (the lease of an entry VM),
// entries, admission, fair_queue, routing, window, stream, repair, keeper, call, watch,
// backoffs, own_limits. Shared: identity, message, event, effect, change_log, view,
// limits, quarantine, crash_reports, refusal, table, show, status, timing, node, invariant.
package core
