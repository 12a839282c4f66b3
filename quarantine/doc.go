// Package quarantine tells which requests end the upstreams that run them, so that
// they are sent to no further ones.
//
// A request that ends its upstream takes all others there with it, and comes again:
// its caller repeats it, at any entry. When an upstream ends, each request that was
// under way there may have ended it. A Ledger holds these ends. A request that stood at
// enough of them, and was the only such one at some, is held; what it explains doesn't
// count against others, which were only repeated to the same upstreams.
//
// A request that was served whole ends nobody, and is cleared. Ends are forgotten after
// a while; a held request is then tried again, for the upstreams may have been mended.
package quarantine
