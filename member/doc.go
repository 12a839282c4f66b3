// Package member tracks the system's own processes: which entries, relays and
// control hosts are alive, which are draining, and their addresses.
//
// Every process sends heartbeats to one parent: a relay or, where there are few
// processes, the leader of the control group. The message that carries the
// heartbeat also renews the serving lease, so a process that is a member may also
// serve. There are three state machines:
//
//   - Registry, at a parent, receives heartbeats and detects processes that went
//     silent.
//   - Directory, at the root, merges the reports of all parents into one
//     numbered sequence of changes.
//   - View, in every process, applies that sequence by deltas, and by a snapshot
//     when it is too far behind. A Feed is a View that a relay passes on to its
//     children.
//
// Claims about a process are ordered by Stamp: the incarnation, which increases
// with each start of the process, and the session, which increases each time it
// attaches to a parent. Claims from an earlier incarnation or an earlier parent
// are therefore recognised as stale in any order of arrival.
//
// The package does no I/O and reads no clock: times are arguments and messages
// are results. docs/design/membership.md compares the alternatives.
package member
