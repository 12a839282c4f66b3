// Package gateway is the request pipeline of an entry in a routed deployment: it resolves the
// route and team by the configuration in force, chooses an upstream, sends the request,
// retries it where that is allowed, and streams the answer to the caller.
//
// An answer is opaque: the gateway never changes its status, headers or bytes. It uses only
// the identities of events, to resume a stream at another upstream, and never lets an answer
// that ends early look complete.
//
// A request that may not be repeated is sent once. This needs no claim in a ledger: an attempt
// has one identity, is received by one entry, and only that entry ever sends it. "Not run" is
// reported only if no byte was sent or the upstream states it.
package gateway
