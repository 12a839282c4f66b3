package gateway

import (
	"time"

	"github.com/lovagereach/lovagereach/cacheindex"
)

const (
	// recentTTL is how long a part is assumed to be cached by a runner after a request with it
	// was sent there. A runner's cache turns over in a few seconds.
	recentTTL = 3 * time.Second
	// maxRecent bounds the remembered parts; each takes about 150 bytes.
	maxRecent = 8192
)

// recentParts records the runner that each part was last sent to.
type recentParts struct {
	last map[cacheindex.Key]recentPart
}

// incarnation identifies one incarnation of an upstream.
type incarnation struct {
	id        string
	startedMs uint64
}

type recentPart struct {
	runner incarnation
	at     time.Time
}

func newRecentParts() *recentParts {
	return &recentParts{last: make(map[cacheindex.Key]recentPart)}
}

func (r *recentParts) record(key cacheindex.Key, runner incarnation, now time.Time) {
	if len(r.last) >= maxRecent {
		r.prune(now)
	}
	if len(r.last) < maxRecent {
		r.last[key] = recentPart{runner: runner, at: now}
	}
}

func (r *recentParts) prune(now time.Time) {
	for key, part := range r.last {
		if now.Sub(part.at) > recentTTL {
			delete(r.last, key)
		}
	}
}

func (r *recentParts) has(key cacheindex.Key, runner incarnation, now time.Time) bool {
	part, known := r.last[key]
	return known && part.runner == runner && now.Sub(part.at) <= recentTTL
}

// knows reports whether a part was sent to any runner lately.
func (r *recentParts) knows(key cacheindex.Key, now time.Time) bool {
	part, known := r.last[key]
	return known && now.Sub(part.at) <= recentTTL
}
