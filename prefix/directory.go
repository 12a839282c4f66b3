package prefix

import "github.com/lovagereach/lovagereach/ident"

// Directory tells which upstreams of one cell hold which blocks.
type Directory struct {
	opts    Options
	holders holderTable
	blocks  blockTable
	stats   Stats
	// chain holds the records of one match, kept to save the allocation.
	chain []uint32
}

// Stats counts what a directory has seen since it was made.
type Stats struct {
	Applied    uint64
	Duplicates uint64
	Gaps       uint64
	Snapshots  uint64
	Evicted    uint64
	// Outdated counts batches and snapshots of an earlier life, and snapshots
	// older than what is known.
	Outdated uint64
	// Unfollowed counts those of upstreams that are not followed.
	Unfollowed uint64
	// Mismatches counts answers that reused less than was claimed.
	Mismatches uint64
}

// NewDirectory makes an empty directory.
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

// ApplyResult is what became of a batch or snapshot.
type ApplyResult uint8

// The results of Apply and Repair.
const (
	// Current means that the view of the holder has no gap.
	Current ApplyResult = iota + 1
	// NeedsSnapshot means that events are missing; ask the holder for a
	// snapshot and pass it to Repair.
	NeedsSnapshot
	// Outdated means that the input belongs to an earlier incarnation or is
	// older than what is known, and changed nothing.
	Outdated
	// Unfollowed means that Follow was not called for the upstream.
	Unfollowed
)

// Apply takes a batch of events.
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

// ApplySnapshot replaces what is known of a holder by its snapshot and then applies
// the events that came after it.
func (d *Directory) ApplySnapshot(snapshot Snapshot) ApplyResult {
	h, result := d.current(snapshot.Upstream, snapshot.Incarnation)
	if h == nil {
		return result
	}
	// A snapshot taken before events that are already applied would undo
	// them: a block removed since would seem to be there again.
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

// Follow begins to follow an incarnation of an upstream. It returns false when
// MaxHolders others are followed already. Only Follow adds an upstream: if a
// late event did, the dead would fill the table.
func (d *Directory) Follow(upstream ident.Upstream, incarnation ident.Incarnation) bool {
	h := d.holders.find(upstream)
	if h == nil {
		return d.holders.insert(upstream, incarnation) != nil
	}
	d.renew(h, incarnation)
	return true
}

// Forget drops a holder and all it held, for example when its lease ran out.
func (d *Directory) Forget(upstream ident.Upstream, incarnation ident.Incarnation) {
	h := d.holders.find(upstream)
	if h == nil || h.incarnation > incarnation {
		return
	}
	d.blocks.clearHolder(h.index)
	d.holders.remove(h)
}

// Observe corrects the view by a finished request. The engine has just
// computed the prompt, so that it holds the blocks now whatever was thought
// before; what was wrong before lowers the trust in everything else it is
// thought to hold.
func (d *Directory) Observe(answer Answer) {
	h := d.holders.find(answer.Upstream)
	if h == nil || h.incarnation != answer.Incarnation {
		return
	}
	if answer.Claimed > 0 {
		h.learn(answer.Claimed, answer.Reused)
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

// Stale lists the holders whose snapshot is due, in out.
func (d *Directory) Stale(out []ident.Upstream) []ident.Upstream {
	for i := range d.holders.slots {
		h := &d.holders.slots[i]
		if h.used && h.stale() {
			out = append(out, h.upstream)
		}
	}
	return out
}

// Stats returns the counts so far.
func (d *Directory) Stats() Stats { return d.stats }

// Len returns the number of blocks known.
func (d *Directory) Len() int { return d.blocks.len() }

// current returns the followed holder of an incarnation, replacing an earlier
// life by a later one.
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
	d.renew(h, incarnation)
	return h, Current
}

// renew starts a later life of a holder. A new life holds nothing of the old
// one: keeping the old claims would send prompts to a runner whose cache is
// empty and readers to slots whose generation is gone.
func (d *Directory) renew(h *holder, incarnation ident.Incarnation) {
	if incarnation <= h.incarnation {
		return
	}
	d.blocks.clearHolder(h.index)
	h.rebirth(incarnation)
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

// change applies one event to the blocks.
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

// trustStep is the weight of one answer in a holder's trust.
const trustStep = 0.2
