package prefix

import "math/bits"

// holderSet is a set of holder indices.
type holderSet [MaxHolders / 64]uint64

func (s *holderSet) add(i int)     { s[i/64] |= 1 << (i % 64) }
func (s *holderSet) remove(i int)  { s[i/64] &^= 1 << (i % 64) }
func (s holderSet) has(i int) bool { return s[i/64]&(1<<(i%64)) != 0 }
func (s holderSet) empty() bool    { return s == holderSet{} }

func (s holderSet) and(o holderSet) holderSet {
	for i := range s {
		s[i] &= o[i]
	}
	return s
}

func (s holderSet) without(o holderSet) holderSet {
	for i := range s {
		s[i] &^= o[i]
	}
	return s
}

// each calls f for the members in ascending order until f returns false.
func (s holderSet) each(f func(i int) bool) {
	for word, rest := range s {
		for rest != 0 {
			bit := bits.TrailingZeros64(rest)
			if !f(word*64 + bit) {
				return
			}
			rest &^= 1 << bit
		}
	}
}

// noRecord is the index that stands for no record.
const noRecord = ^uint32(0)

// record is the state of one block. Records are elements of one slice and are linked
// in the order of their last use, so that a block needs no allocation of its own.
type record struct {
	block        BlockID
	holders      holderSet
	newer, older uint32
}

// storedCopy is a committed slot of a store host; holder is its index.
type storedCopy struct {
	holder int
	copy   Copy
}

// blockTable is a bounded map from block to holders that evicts the least recently
// used block.
type blockTable struct {
	index   map[BlockID]uint32
	records []record
	free    []uint32
	newest  uint32
	oldest  uint32
	limit   int
	// copies has the store copies by block. They are separate from the records because
	// most blocks have none.
	copies map[BlockID][]storedCopy
}

func newBlockTable(limit int) blockTable {
	return blockTable{
		index:  make(map[BlockID]uint32),
		newest: noRecord,
		oldest: noRecord,
		limit:  limit,
		copies: make(map[BlockID][]storedCopy),
	}
}

func (t *blockTable) len() int { return len(t.index) }

func (t *blockTable) find(block BlockID) *record {
	i, ok := t.index[block]
	if !ok {
		return nil
	}
	return &t.records[i]
}

// add records that holder has block and returns the number of evicted blocks.
func (t *blockTable) add(block BlockID, holder int, copied *Copy) int {
	evicted := 0
	i, ok := t.index[block]
	if !ok {
		for len(t.index) >= t.limit {
			t.drop(t.oldest)
			evicted++
		}
		i = t.allocate(block)
	}
	t.records[i].holders.add(holder)
	if copied != nil {
		t.addCopy(block, holder, *copied)
	}
	t.markUsed(i)
	return evicted
}

func (t *blockTable) allocate(block BlockID) uint32 {
	var i uint32
	if last := len(t.free) - 1; last >= 0 {
		i = t.free[last]
		t.free = t.free[:last]
	} else {
		i = uint32(len(t.records))
		t.records = append(t.records, record{})
	}
	t.records[i] = record{block: block, newer: noRecord, older: noRecord}
	t.index[block] = i
	t.pushNewest(i)
	return i
}

func (t *blockTable) addCopy(block BlockID, holder int, copied Copy) {
	copies := t.copies[block]
	for i := range copies {
		if copies[i].holder == holder {
			copies[i].copy = copied
			return
		}
	}
	if len(copies) >= MaxCopies {
		copies = copies[1:]
	}
	t.copies[block] = append(copies, storedCopy{holder: holder, copy: copied})
}

func (t *blockTable) removeCopy(block BlockID, holder int) {
	copies, ok := t.copies[block]
	if !ok {
		return
	}
	kept := copies[:0]
	for _, c := range copies {
		if c.holder != holder {
			kept = append(kept, c)
		}
	}
	if len(kept) == 0 {
		delete(t.copies, block)
		return
	}
	t.copies[block] = kept
}

func (t *blockTable) remove(block BlockID, holder int) {
	i, ok := t.index[block]
	if !ok {
		return
	}
	t.removeCopy(block, holder)
	t.records[i].holders.remove(holder)
	if t.records[i].holders.empty() {
		t.drop(i)
	}
}

// clearHolder removes all blocks of a holder. It walks all records, which is rare (a
// restart, a snapshot) and avoids a list of blocks for each holder.
func (t *blockTable) clearHolder(holder int) {
	for i := t.oldest; i != noRecord; {
		next := t.records[i].newer
		if t.records[i].holders.has(holder) {
			t.remove(t.records[i].block, holder)
		}
		i = next
	}
}

func (t *blockTable) drop(i uint32) {
	block := t.records[i].block
	t.unlink(i)
	delete(t.index, block)
	delete(t.copies, block)
	t.free = append(t.free, i)
}

func (t *blockTable) markUsed(i uint32) {
	if t.newest == i {
		return
	}
	t.unlink(i)
	t.pushNewest(i)
}

func (t *blockTable) unlink(i uint32) {
	r := &t.records[i]
	if r.newer != noRecord {
		t.records[r.newer].older = r.older
	} else {
		t.newest = r.older
	}
	if r.older != noRecord {
		t.records[r.older].newer = r.newer
	} else {
		t.oldest = r.newer
	}
}

func (t *blockTable) pushNewest(i uint32) {
	r := &t.records[i]
	r.newer = noRecord
	r.older = t.newest
	if t.newest != noRecord {
		t.records[t.newest].newer = i
	} else {
		t.oldest = i
	}
	t.newest = i
}
