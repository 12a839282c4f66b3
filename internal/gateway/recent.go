package gateway

import (
	"time"

	"github.com/lovagereach/lovagereach/cacheindex"
	"github.com/lovagereach/lovagereach/internal/expiring"
)

const (
	// recentTTL is how long a part is assumed to be cached by a runner after a request with it
	// was sent there. A runner's cache turns over in a few seconds.
	recentTTL = 3 * time.Second
	// maxRecent bounds the remembered parts; each takes about 250 bytes.
	maxRecent = 8192
)

// recentParts records the runner that each part was last sent to.
type recentParts struct {
	last *expiring.Map[cacheindex.Key, incarnation]
}

// incarnation identifies one incarnation of an upstream.
type incarnation struct {
	id        string
	startedMs uint64
}

func newRecentParts() *recentParts {
	return &recentParts{last: expiring.NewMap[cacheindex.Key, incarnation](recentTTL, maxRecent, nil)}
}

func (r *recentParts) record(key cacheindex.Key, runner incarnation, now time.Time) {
	r.last.Set(key, runner, now)
}

func (r *recentParts) has(key cacheindex.Key, runner incarnation, now time.Time) bool {
	last, known := r.last.Get(key, now)
	return known && last == runner
}

// knows reports whether a part was sent to any runner lately.
func (r *recentParts) knows(key cacheindex.Key, now time.Time) bool {
	_, known := r.last.Get(key, now)
	return known
}
