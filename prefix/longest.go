package prefix

// Longest appends to out the holders of the beginning of blocks, those that
// hold most first, at most MaxMatches of them. It intersects the holder sets
// block by block, so that its cost grows with the number of blocks and not
// with the number of upstreams. It also marks the blocks found as used.
func (d *Directory) Longest(blocks []BlockID, out []Match) []Match {
	// Each step where holders drop out is kept, to list the deepest first.
	// At most MaxHolders can drop out.
	var steps [MaxHolders + 1]droppedAt
	count := 0
	depth := 0
	var alive holderSet
	d.chain = d.chain[:0]
	for _, block := range blocks {
		at, ok := d.blocks.index[block]
		if !ok {
			break
		}
		still := d.blocks.records[at].holders
		if depth > 0 {
			still = alive.and(still)
			if lost := alive.without(still); !lost.empty() {
				steps[count] = droppedAt{set: lost, depth: depth}
				count++
			}
		}
		alive = still
		if alive.empty() {
			break
		}
		depth++
		d.chain = append(d.chain, at)
	}
	if !alive.empty() {
		steps[count] = droppedAt{set: alive, depth: depth}
		count++
	}
	d.touchChain()
	limit := len(out) + d.opts.MaxMatches
	for i := count - 1; i >= 0 && len(out) < limit; i-- {
		out = d.appendMatches(out, steps[i], limit)
	}
	return out
}

// droppedAt is the set of holders whose matching beginning ends at depth.
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
			Accuracy:    h.trust,
			Stale:       h.stale(),
		})
		return len(out) < limit
	})
	return out
}

// touchChain marks the blocks of the last match as used, the first last. A
// block is worth nothing without those before it, so the beginning of a chain
// must be evicted last.
func (d *Directory) touchChain() {
	for i := len(d.chain) - 1; i >= 0; i-- {
		d.blocks.touch(d.chain[i])
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

// Fetchable returns how many blocks from position from on have a store copy
// without a hole.
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
