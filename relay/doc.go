// Package relay distributes configuration, membership and serving leases from the leader of
// the control group to every process, through any number of levels.
//
// Parent is the granting side and runs at the leader and at every relay. Child is the
// receiving side and runs in every entry and at every relay. A Relay combines both: it
// acknowledges a revision only once the revision is in force at its children, and the leases
// it grants never outlast its own. A revision that the root reports as in force is therefore
// in force at every entry that may serve, however many levels lie between, and a relay that
// crashes delays a change by one lease at most.
//
// The renewal of the serving lease is also the heartbeat: it reports the revisions held, and
// its answer contains the missing membership. Configuration can be large and is sent
// separately when it changes.
//
// The types do no I/O and read no clock: the time is passed as an argument, and messages are
// results.
package relay
