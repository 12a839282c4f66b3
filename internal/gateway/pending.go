package gateway

import (
	"time"

	"github.com/lovagereach/lovagereach/cacheindex"
	"github.com/lovagereach/lovagereach/internal/expiring"
)

const (
	// saveTimeout is how long a pending save counts.
	saveTimeout = 4 * time.Second
	// maxPendingSaves bounds the pending saves of one store; each takes about 200 bytes.
	maxPendingSaves = 8192
)

// pendingSaves are the saves to a store that are under way.
type pendingSaves struct {
	saves *expiring.Map[partHash, int]
	total int
}

func newPendingSaves() *pendingSaves {
	p := &pendingSaves{}
	p.saves = expiring.NewMap[partHash](saveTimeout, maxPendingSaves, func(tokens int) { p.total -= tokens })
	return p
}

func (p *pendingSaves) add(key cacheindex.Key, tokens int, now time.Time) {
	p.saves.Set(hashPart(key), tokens, now)
	p.total += tokens
}

func (p *pendingSaves) remove(key cacheindex.Key) { p.saves.Delete(hashPart(key)) }

func (p *pendingSaves) has(key cacheindex.Key, now time.Time) bool {
	_, found := p.saves.Get(hashPart(key), now)
	return found
}

// tokens returns the size of all pending saves.
func (p *pendingSaves) tokens(now time.Time) int {
	p.saves.Expire(now)
	return p.total
}
