package control

import (
	"sync"

	"github.com/lovagereach/lovagereach/config"
	"github.com/lovagereach/lovagereach/internal/wire"
)

// maxCachedUpdates limits the cached updates to the latest revision. Entries
// have few different revisions, and all with the same one share an update.
const maxCachedUpdates = 64

// maxEncodedFulls is the number of encoded full configurations that are kept, so
// that an entry can finish fetching one in parts when the next revision arrives.
const maxEncodedFulls = 2

// encodedFull is an encoded config.FullRevision.
type encodedFull struct {
	revision config.Revision
	data     []byte
}

// updateCache caches computed updates and encoded full configurations, so that
// entries with the same revision share them.
type updateCache struct {
	mu     sync.Mutex
	latest config.Revision
	byHeld map[config.Revision]config.Update
	full   []encodedFull
}

func (c *updateCache) since(held, latest config.Revision, compute func() config.Update) config.Update {
	c.mu.Lock()
	defer c.mu.Unlock()
	if latest > c.latest || c.byHeld == nil {
		c.latest = latest
		c.byHeld = make(map[config.Revision]config.Update)
	}
	if update, found := c.byHeld[held]; found {
		return update
	}
	update := compute()
	if len(c.byHeld) < maxCachedUpdates {
		c.byHeld[held] = update
	}
	return update
}

func (c *updateCache) encode(full *config.FullRevision) encodedFull {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, known := range c.full {
		if known.revision == full.Revision {
			return known
		}
	}
	encoded := encodedFull{revision: full.Revision, data: wire.MustMarshal(full)}
	c.full = append(c.full, encoded)
	if len(c.full) > maxEncodedFulls {
		c.full = append([]encodedFull(nil), c.full[len(c.full)-maxEncodedFulls:]...)
	}
	return encoded
}

func (c *updateCache) encoded(revision config.Revision) (encodedFull, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, known := range c.full {
		if known.revision == revision {
			return known, true
		}
	}
	return encodedFull{}, false
}
