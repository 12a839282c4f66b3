// Package replica runs the groups of package quorum on one host: it writes
// their logs to a data folder, exchanges their messages with peers, and applies
// committed entries to one state machine per group. It implements port.Replica.
//
// A few workers own the groups. In each iteration a worker dequeues all queued
// events, processes each group with events once, and then sends each peer the
// messages of all its groups in one body. Proposals that arrive together
// therefore share an append and a sync, and the heartbeats of idle groups share
// bodies.
//
// Each group applies committed entries on a goroutine that exists only while
// entries are queued, so that a slow state machine delays neither heartbeats
// nor other groups.
package replica
