package gateway

import (
	"time"

	"github.com/lovagereach/lovagereach/cacheindex"
)

const (
	// recentFor is how long a runner is taken to keep a part after a request
	// with it was sent there. A runner's memory turns over in a few seconds.
	recentFor = 3 * time.Second
	// maxRecent bounds the remembered parts; about 150 bytes each.
	maxRecent = 8192
)

// recentParts remembers which runner was sent which part last.
type recentParts struct {
	last map[cacheindex.Key]recentPart
}

// life is one life of an upstream.
type life struct {
	id   string
	born uint64
}

type recentPart struct {
	runner life
	at     time.Time
}

func newRecentParts() *recentParts {
	return &recentParts{last: make(map[cacheindex.Key]recentPart)}
}

func (r *recentParts) note(key cacheindex.Key, runner life, now time.Time) {
	if len(r.last) >= maxRecent {
		r.prune(now)
	}
	if len(r.last) < maxRecent {
		r.last[key] = recentPart{runner: runner, at: now}
	}
}

func (r *recentParts) prune(now time.Time) {
	for key, part := range r.last {
		if now.Sub(part.at) > recentFor {
			delete(r.last, key)
		}
	}
}

func (r *recentParts) at(key cacheindex.Key, runner life, now time.Time) bool {
	part, known := r.last[key]
	return known && part.runner == runner && now.Sub(part.at) <= recentFor
}
