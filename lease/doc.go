// Package lease holds serving leases and fencing tokens.
//
// An entry serves new requests only while it holds a serving lease. The leader
// of the control group grants leases and tracks, on its own clock, how long each
// may still be in use; a configuration is in force once every entry whose lease
// may still be in use has acknowledged it. An entry partitioned from the control
// group stops accepting new requests when its lease expires, so that no entry
// serves by an old configuration after the new one was reported in force.
//
// Fencing tokens are numbers of committed epochs. An upstream that has received
// a token refuses smaller ones, so that a leader that has been replaced without
// knowing it can't undo its successor's orders.
//
// Only durations are compared across clocks, never points in time. Drift bounds
// how far the rate of a clock may deviate.
package lease
