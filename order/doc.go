// Package order decides which orders are sent to engines so that each model runs
// its target versions, adapters and roles.
//
// The planner compares the target with the engines' announcements and with states
// read back from them. It stores no plan: after a lost answer, a restart or a change
// of leader it reads the states again and continues. Orders are idempotent, since each
// names a target state, and an engine has at most one order pending.
//
// Two limits hold at any time. At most Wanted.MaxLoading of a model's engines load at
// the same time, because more than two or three concurrent loads slow each other down;
// and the engines that keep serving have enough slots for the current demand.
package order
