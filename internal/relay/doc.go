// Package relay decides where whole requests go: to one runner of a plain
// service, or along a path of model engines that together hold every layer once.
//
// It does no I/O and reads no clock; times come with each call. A Document is
// what operators want; a Registry holds what targets say of themselves; Plan
// says which layers each engine should hold; a Router picks a path for each
// request and counts what is under way.
//
// This is the second way to drive a pipeline. In the first one, in
// internal/core, an entry VM orders every position of a stream by itself. Here
// the engines run a request on their own along a path that they are told once,
// and hand out the answer as a stream of events.
package relay
