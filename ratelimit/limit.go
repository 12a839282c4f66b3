// Package ratelimit bounds the requests that all entries together send to upstreams that name a
// limit in their answers.
package ratelimit

// Limit is an upstream's statement about the requests that it takes from all entries together.
type Limit struct {
	// Limited is false if the upstream names no limit.
	Limited bool
	// PerSecond is the number of requests a second.
	PerSecond float64
}
