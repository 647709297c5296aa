// Package core is the engine of spoolbank: one reducer over all events.
//
// A Node takes an Event at a stated time and returns Effects, which are data.
// It does no I/O, reads no clock, starts no goroutine and draws from no global
// source of randomness, so that anything that can produce events can drive it.
// The runtime, in internal/daemon, turns sockets, timers and the disk into
// events and carries the effects out.
//
// The Node is changed in place by its single owner; values that leave it in
// effects are never changed afterwards.
//
// The files fall into three groups. Control: log, election, replication,
// membership, snapshot, machine, operate, grants, orders. Entry: tenure,
// admission, fair_queue, routing, stream, repair, keeper, call, watch. Shared:
// identity, message, event, effect, timing, node, invariant.
package core
