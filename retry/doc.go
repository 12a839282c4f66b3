// Package retry decides what follows an attempt that failed or broke off: another
// attempt, a resumed stream, or an accurate outcome for the caller.
//
// It sends nothing and reads no clock. A caller describes what was observed of an
// attempt as Evidence, asks a Policy for the decision, and draws from Budgets before
// each attempt after the first. A Tracker matches answers to attempts.
package retry
