// Package replicate decides how the shared parts of prompts spread over runners and stores with
// little repeated prefill: it estimates the transfers that a source still has to make, records the
// parts that a runner is reading at the moment, and decides which stored parts get a second copy.
//
// The package is pure: times are arguments, and nothing in it is safe for concurrent use.
package replicate
