// Package decision is the log of what the system decided and why: one line for
// each decision that touches a request, and for each change of what a process
// believes.
//
// Each kind of line is a type, so that its fields are known at compile time.
// Lines pass a budget by class, so that at ten times the load the volume stays
// flat: failures and changes of belief have the largest part, of successes a
// sample is kept. Nothing here blocks: Writer takes lines into a bounded buffer
// and a goroutine of its own writes them; what finds no room is counted, and
// the count stands in the log.
package decision
