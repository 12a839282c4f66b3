// Package config defines the configuration that operators write (classes of
// work with their targets, teams, models and services) and the replicated state
// machine that keeps its revisions.
//
// Operators set targets only. Weights, hosts and addresses are not part of a
// Document; the decoder refuses them by name.
//
// State is the state machine behind the control group's log. Snapshot is an
// immutable view for the serving processes: its lookups take constant time, and
// applying a Delta shares every item that did not change. Follower keeps an
// entry's view, whose revision only increases.
package config
