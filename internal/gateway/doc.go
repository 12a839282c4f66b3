// Package gateway is an entry's path from a caller's request to its answer in a
// routed deployment: the route and team by the configuration in force, the
// choice of upstream, one send or several where the request allows it, and the
// answer passed on as it comes.
//
// An answer is opaque: the gateway never changes its status, headers or bytes.
// It knows events only by their identities, to go on with a resumable stream at
// another upstream, and never lets an answer that ends early look whole.
//
// A request that may not be repeated is sent once. It needs no claim in a
// ledger: an attempt has one identity, is read by one entry, and only that
// entry ever sends it; "not run" is said only if no byte has left or the
// upstream states it.
package gateway
