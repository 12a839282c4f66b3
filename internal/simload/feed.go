package simload

import (
	"time"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/prefix"
)

// feed publishes cache events in batches, with a delay and, while lost is set, with
// gaps.
type feed struct {
	sim      *sim
	upstream ident.Upstream
	sequence uint64
	batch    []prefix.Event
	// lost drops batches while set.
	lost bool
}

// feedDelay is the delay of a batch of cache events.
const feedDelay = 250 * time.Millisecond

func newFeed(s *sim, upstream ident.Upstream) feed {
	return feed{sim: s, upstream: upstream}
}

func (f *feed) stored(id prefix.BlockID, c *prefix.Copy) {
	f.add(prefix.Event{Kind: prefix.Stored, Block: id, Copy: c})
}

func (f *feed) removed(id prefix.BlockID) {
	f.add(prefix.Event{Kind: prefix.Removed, Block: id})
}

func (f *feed) add(e prefix.Event) {
	f.sequence++
	e.Sequence = f.sequence
	f.batch = append(f.batch, e)
	if len(f.batch) > 1 {
		return
	}
	f.sim.clock.after(feedDelay, f.flush)
}

func (f *feed) flush() {
	batch := f.batch
	f.batch = nil
	if f.lost || len(batch) == 0 {
		return
	}
	f.sim.policy.cacheEvents(f.upstream, batch)
}
