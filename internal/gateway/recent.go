package gateway

import (
	"hash/maphash"
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

// partHashSeed is that of this process, so that no caller can choose names of equal hashes.
var partHashSeed = maphash.MakeSeed()

// partHash stands for a part in what this entry remembers of answered requests: the part's own name is as
// long as its caller likes, and holds the head of its request in memory. Equal hashes of two parts shift
// choices and break no guarantee.
type partHash uint64

func hashPart(key cacheindex.Key) partHash { return partHash(maphash.Comparable(partHashSeed, key)) }

// recentParts records the runner that each part was last sent to.
type recentParts struct {
	last *expiring.Map[partHash, incarnation]
}

// incarnation identifies one incarnation of an upstream.
type incarnation struct {
	id        string
	startedMs uint64
}

func newRecentParts() *recentParts {
	return &recentParts{last: expiring.NewMap[partHash, incarnation](recentTTL, maxRecent, nil)}
}

func (r *recentParts) record(key cacheindex.Key, runner incarnation, now time.Time) {
	r.last.Set(hashPart(key), runner, now)
}

func (r *recentParts) has(key cacheindex.Key, runner incarnation, now time.Time) bool {
	last, known := r.last.Get(hashPart(key), now)
	return known && last == runner
}

// knows reports whether a part was sent to any runner lately.
func (r *recentParts) knows(key cacheindex.Key, now time.Time) bool {
	_, known := r.last.Get(hashPart(key), now)
	return known
}
