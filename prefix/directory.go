package prefix

import "github.com/lovagereach/lovagereach/ident"

// Directory tracks which upstreams of one cell hold which blocks.
type Directory struct {
	opts    Options
	holders holderTable
	blocks  blockTable
	stats   Stats
	// chain has the records of the last match; it is reused to avoid an allocation.
	chain []uint32
}

// Stats are the counters of a directory since its creation.
type Stats struct {
	Applied    uint64
	Duplicates uint64
	Gaps       uint64
	Snapshots  uint64
	Evicted    uint64
	// Outdated counts batches and snapshots of a previous incarnation, and snapshots
	// older than the applied events.
	Outdated uint64
	// Unfollowed counts batches and snapshots of upstreams that are not followed.
	Unfollowed uint64
	// Mismatches counts answers that reused fewer blocks than the directory claimed.
	Mismatches uint64
}

// NewDirectory returns an empty directory.
func NewDirectory(opts Options) (*Directory, error) {
	if err := opts.Validate(); err != nil {
		return nil, err
	}
	opts = opts.withDefaults()
	return &Directory{
		opts:    opts,
		holders: newHolderTable(),
		blocks:  newBlockTable(opts.MaxBlocks),
	}, nil
}

// ApplyResult is the result of applying a batch or snapshot.
type ApplyResult uint8

// The results of Apply and ApplySnapshot.
const (
	// Current means that no events of the holder are missing.
	Current ApplyResult = iota + 1
	// NeedsSnapshot means that events are missing: the caller must request a snapshot
	// from the holder and pass it to ApplySnapshot.
	NeedsSnapshot
	// Outdated means that the input belongs to a previous incarnation or is older
	// than the applied events. It was ignored.
	Outdated
	// Unfollowed means that Follow was not called for the upstream.
	Unfollowed
)

// Apply applies a batch of events.
func (d *Directory) Apply(batch Batch) ApplyResult {
	h, result := d.current(batch.Upstream, batch.Incarnation)
	if h == nil {
		return result
	}
	for i := range batch.Events {
		d.applyEvent(h, batch.Events[i])
	}
	return h.result()
}

// ApplySnapshot replaces the blocks of a holder by its snapshot and then applies the
// pending events that follow the snapshot.
func (d *Directory) ApplySnapshot(snapshot Snapshot) ApplyResult {
	h, result := d.current(snapshot.Upstream, snapshot.Incarnation)
	if h == nil {
		return result
	}
	// A snapshot taken before events that are already applied would revert
	// them: a block removed since would count as held again.
	if snapshot.Sequence+1 < h.next {
		d.stats.Outdated++
		return Outdated
	}
	d.blocks.clearHolder(h.index)
	for i := range snapshot.Blocks {
		d.add(h, snapshot.Blocks[i].Block, snapshot.Blocks[i].Copy)
	}
	h.restart(snapshot.Sequence)
	for _, event := range h.pending {
		d.change(h, event)
	}
	h.advance()
	d.stats.Snapshots++
	return h.result()
}

// Follow starts to follow an incarnation of an upstream. It returns false if
// MaxHolders others are already followed. Only Follow adds an upstream: if late
// events did, the table would fill with upstreams that no longer exist.
func (d *Directory) Follow(upstream ident.Upstream, incarnation ident.Incarnation) bool {
	h := d.holders.find(upstream)
	if h == nil {
		return d.holders.insert(upstream, incarnation) != nil
	}
	d.switchIncarnation(h, incarnation)
	return true
}

// Forget removes a holder with all its blocks, for example when its lease has expired.
// It ignores a call for a previous incarnation.
func (d *Directory) Forget(upstream ident.Upstream, incarnation ident.Incarnation) {
	h := d.holders.find(upstream)
	if h == nil || h.incarnation > incarnation {
		return
	}
	d.blocks.clearHolder(h.index)
	d.holders.remove(h)
}

// Observe corrects the directory by a completed request. The engine has just
// computed the prompt, so it holds the blocks whatever the directory had before. A
// wrong claim lowers the accuracy of the holder, which applies to all its blocks.
func (d *Directory) Observe(answer Answer) {
	h := d.holders.find(answer.Upstream)
	if h == nil || h.incarnation != answer.Incarnation {
		return
	}
	if answer.Claimed > 0 {
		h.updateAccuracy(answer.Claimed, answer.Reused)
	}
	if answer.Reused < answer.Claimed {
		d.stats.Mismatches++
	}
	held := min(answer.Held, len(answer.Blocks))
	for i := held - 1; i >= 0; i-- {
		d.add(h, answer.Blocks[i], nil)
	}
	for i := max(held, 0); i < min(answer.Claimed, len(answer.Blocks)); i++ {
		d.blocks.remove(answer.Blocks[i], h.index)
	}
}

// Retract removes one block of a holder, for example after a store host
// refused its generation.
func (d *Directory) Retract(upstream ident.Upstream, block BlockID) {
	if h := d.holders.find(upstream); h != nil {
		d.blocks.remove(block, h.index)
	}
}

// Stale appends to out the holders that need a snapshot.
func (d *Directory) Stale(out []ident.Upstream) []ident.Upstream {
	for i := range d.holders.slots {
		h := &d.holders.slots[i]
		if h.used && h.stale() {
			out = append(out, h.upstream)
		}
	}
	return out
}

// Stats returns the counters.
func (d *Directory) Stats() Stats { return d.stats }

// Len returns the number of blocks in the directory.
func (d *Directory) Len() int { return d.blocks.len() }

// current returns the followed holder, switched to incarnation if that is newer. It
// returns nil if the upstream is not followed or incarnation is a previous one.
func (d *Directory) current(upstream ident.Upstream, incarnation ident.Incarnation) (*holder, ApplyResult) {
	h := d.holders.find(upstream)
	if h == nil {
		d.stats.Unfollowed++
		return nil, Unfollowed
	}
	if incarnation < h.incarnation {
		d.stats.Outdated++
		return nil, Outdated
	}
	d.switchIncarnation(h, incarnation)
	return h, Current
}

// switchIncarnation starts a newer incarnation of a holder. It holds none of the
// blocks of the previous one: keeping them would send prompts to a runner whose cache
// is empty and readers to slots whose generation no longer exists.
func (d *Directory) switchIncarnation(h *holder, incarnation ident.Incarnation) {
	if incarnation <= h.incarnation {
		return
	}
	d.blocks.clearHolder(h.index)
	h.reset(incarnation)
}

func (d *Directory) applyEvent(h *holder, event Event) {
	verdict := h.admit(event, d.opts.MaxPending)
	switch verdict {
	case eventDuplicate:
		d.stats.Duplicates++
		return
	case eventSuperseded:
		h.advance()
		return
	case eventAfterGap:
		d.stats.Gaps++
	}
	d.stats.Applied++
	d.change(h, event)
	h.advance()
}

// change applies an event to the blocks.
func (d *Directory) change(h *holder, event Event) {
	switch event.Kind {
	case Stored:
		d.add(h, event.Block, event.Copy)
	case Removed:
		d.blocks.remove(event.Block, h.index)
	case Cleared:
		d.blocks.clearHolder(h.index)
	}
}

func (d *Directory) add(h *holder, block BlockID, copied *Copy) {
	d.stats.Evicted += uint64(d.blocks.add(block, h.index, copied))
}

// accuracyWeight is the weight of one answer in a holder's accuracy.
const accuracyWeight = 0.2
