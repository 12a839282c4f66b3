// Package upstream is the registry of announced upstreams. It records which
// are present, which are leaving and how loaded each one is, and selects
// candidates for a request.
//
// Upstreams announce themselves under a lease and an incarnation. Their load
// reports lag, so the registry corrects each report by the work this process
// has sent and finished since the report was measured, and by the estimated
// work of other entry processes, which received the same report.
//
// Upstreams are indexed by pool: the set of upstreams that one request may use,
// for example the engines of one cell with one weight version loaded. A pick
// samples a pool and never iterates over it, so that its cost does not grow
// with the fleet.
//
// The package starts no goroutine and reads no clock; times and random numbers
// come from the caller. A Registry is not safe for concurrent use.
package upstream
