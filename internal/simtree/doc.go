// Package simtree simulates a leader, relays and entries in one process and in
// virtual time. It consists of the step functions of package relay and a message
// queue. It is used by tests of the in-force rule under faults and by the
// measurements for docs/CAPACITY.md.
package simtree
