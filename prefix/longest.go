package prefix

// Longest appends to out the holders of a prefix of blocks, the longest prefix
// first, at most MaxMatches of them. It intersects the holder sets block by block,
// so that its cost grows with the number of blocks and not with the number of
// upstreams. It also marks the blocks found as used.
func (d *Directory) Longest(blocks []BlockID, out []Match) []Match {
	// steps has an element for each block at which holders drop out of the
	// intersection, to list the longest matches first. At most MaxHolders can drop out.
	var steps [MaxHolders + 1]droppedAt
	count := 0
	depth := 0
	var remaining holderSet
	d.chain = d.chain[:0]
	for _, block := range blocks {
		at, ok := d.blocks.index[block]
		if !ok {
			break
		}
		holding := d.blocks.records[at].holders
		if depth > 0 {
			holding = remaining.and(holding)
			if dropped := remaining.without(holding); !dropped.empty() {
				steps[count] = droppedAt{set: dropped, depth: depth}
				count++
			}
		}
		remaining = holding
		if remaining.empty() {
			break
		}
		depth++
		d.chain = append(d.chain, at)
	}
	if !remaining.empty() {
		steps[count] = droppedAt{set: remaining, depth: depth}
		count++
	}
	d.markChainUsed()
	limit := len(out) + d.opts.MaxMatches
	for i := count - 1; i >= 0 && len(out) < limit; i-- {
		out = d.appendMatches(out, steps[i], limit)
	}
	return out
}

// droppedAt is the set of holders that hold a prefix of exactly depth blocks.
type droppedAt struct {
	set   holderSet
	depth int
}

func (d *Directory) appendMatches(out []Match, step droppedAt, limit int) []Match {
	step.set.each(func(i int) bool {
		h := &d.holders.slots[i]
		out = append(out, Match{
			Upstream:    h.upstream,
			Incarnation: h.incarnation,
			Blocks:      step.depth,
			Accuracy:    h.accuracy,
			Stale:       h.stale(),
		})
		return len(out) < limit
	})
	return out
}

// markChainUsed marks the blocks of the last match as used, in reverse order. A block
// is useless without those before it, so the first block of a chain must be evicted
// last.
func (d *Directory) markChainUsed() {
	for i := len(d.chain) - 1; i >= 0; i-- {
		d.blocks.markUsed(d.chain[i])
	}
}

// Copies appends to out the store copies of block.
func (d *Directory) Copies(block BlockID, out []StoredCopy) []StoredCopy {
	for _, c := range d.blocks.copies[block] {
		h := &d.holders.slots[c.holder]
		out = append(out, StoredCopy{
			Store:       h.upstream,
			Incarnation: h.incarnation,
			Block:       block,
			Copy:        c.copy,
		})
	}
	return out
}

// Fetchable returns the number of consecutive blocks from position from on that have
// a store copy.
func (d *Directory) Fetchable(blocks []BlockID, from int) int {
	count := 0
	for i := max(from, 0); i < len(blocks); i++ {
		if len(d.blocks.copies[blocks[i]]) == 0 {
			break
		}
		count++
	}
	return count
}
