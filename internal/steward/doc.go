// Package steward runs a control host of a routed deployment: the replicated
// catalog, the roster of upstreams, the weights that operators named, and what
// the stores hold.
//
// Machine is the state machine behind the log. Steward answers operators and
// upstreams on every control host, by itself when it leads and through the
// leader when it does not. Entries and the other control hosts follow the
// leader by Watch calls: each call names what the caller holds and is answered
// with what it lacks, at once or when something changes.
//
// The group forms itself: the first of the seeds starts it, the others are
// taken in, and a host that asks to join takes the place of a voter that has
// been silent for a while.
package steward
