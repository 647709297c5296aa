// Package relay routes whole requests: to one target of a plain service, or along a path of
// model engines that together hold every layer once.
//
// It does no I/O and reads no clock; each call is given the time. A Document is the
// configuration set by operators, a Registry holds what targets report, Plan decides which
// layers each engine should hold, and a Router picks a path for each request and counts the
// requests in flight.
//
// There are two ways to drive a pipeline. In internal/core, an entry VM sends every
// position of a stream to the engines itself. In this package, the engines run a request on
// their own along a path that they receive once, and return the answer as a stream of
// events.
package relay
