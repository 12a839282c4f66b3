// Package steward runs a control host, the control plane of a routed deployment: the replicated
// catalog, the roster of upstreams, the target weight versions, and the inventories of the
// stores.
//
// Machine is the state machine behind the replicated log. Steward answers operators and
// upstreams on every control host: itself on the leader, through the leader elsewhere. Entries
// and the other control hosts follow the leader by long-poll watch calls: each call carries the
// revisions that the caller holds and is answered with what it lacks, immediately or when
// something changes.
//
// The group forms itself: the first of the seeds starts it, the other seeds join, and a host
// that requests to join replaces a voter that stops, or that has been silent for half of
// Options.CatchUp.
package steward
