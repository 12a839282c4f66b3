package control

import (
	"sync"

	"github.com/lovagereach/lovagereach/config"
	"github.com/lovagereach/lovagereach/internal/wire"
)

// maxCachedUpdates bounds the updates kept for the latest revision. Entries
// hold few different revisions; all that hold the same one share an update.
const maxCachedUpdates = 64

// maxEncoded is how many whole configurations are kept for entries that are
// fetching one part by part while the next revision arrives.
const maxEncoded = 2

// encodedFull is a config.Full as bytes.
type encodedFull struct {
	revision config.Revision
	data     []byte
}

// updateCache keeps what was worked out for one entry for the others.
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
	if len(c.full) > maxEncoded {
		c.full = append([]encodedFull(nil), c.full[len(c.full)-maxEncoded:]...)
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
