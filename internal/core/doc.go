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
// The files form three groups. Control: log, election, replication,
// membership, snapshot, machine, operate, grants, orders. Entry: tenure,
// admission, fair_queue, routing, stream, repair, keeper, call, watch. Shared:
// identity, message, event, effect, timing, node, invariant.
package core
