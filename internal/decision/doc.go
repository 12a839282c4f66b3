// Package decision logs what the system decided and why: one line for each decision that
// affects a request, and one for each state change in the local view of a process.
//
// Each kind of line is a type, so that its fields are known at compile time. Lines are
// limited by a budget per class, so that the volume stays constant at ten times the load:
// failures and state changes have the largest budgets, and successes are sampled. Logging
// never blocks: Writer appends lines to a bounded buffer, which a separate goroutine writes
// out. Lines that exceed the buffer are counted, and the count is logged.
package decision
