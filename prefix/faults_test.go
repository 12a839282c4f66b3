package prefix

import (
	"math/rand/v2"
	"testing"

	"github.com/lovagereach/lovagereach/ident"
)

// heldByDirectory returns which of the blocks 1 to 9 the directory attributes to a holder.
func heldByDirectory(d *Directory) map[int]bool {
	found := make(map[int]bool)
	for n := 1; n < 10; n++ {
		if len(d.Longest([]BlockID{blockNumber(n)}, nil)) > 0 {
			found[n] = true
		}
	}
	return found
}

func heldBlocks(numbers ...int) []HeldBlock {
	var blocks []HeldBlock
	for _, n := range numbers {
		blocks = append(blocks, HeldBlock{Block: blockNumber(n)})
	}
	return blocks
}

// Events arrive late, twice, out of order, from a previous incarnation or not at all.
// A prompt that is sent to a runner for blocks that it no longer has is recomputed
// there behind its queue, so the directory must detect missing events and be repaired.
func TestEventFaults(t *testing.T) {
	type call func(d *Directory) ApplyResult
	apply := func(incarnation ident.Incarnation, events ...Event) call {
		return func(d *Directory) ApplyResult { return d.Apply(batch("a", incarnation, events...)) }
	}
	repair := func(sequence uint64, numbers ...int) call {
		return func(d *Directory) ApplyResult {
			return d.ApplySnapshot(Snapshot{Upstream: "a", Incarnation: 1, Sequence: sequence, Blocks: heldBlocks(numbers...)})
		}
	}
	cleared := func(sequence uint64) Event { return Event{Sequence: sequence, Kind: Cleared} }
	cases := []struct {
		name  string
		calls []call
		last  ApplyResult
		want  []int
	}{
		{"in order", []call{apply(1, stored(1, 1), stored(2, 2))}, Current, []int{1, 2}},
		{"twice", []call{apply(1, stored(1, 1), removed(2, 1)), apply(1, stored(1, 1))}, Current, nil},
		{"gap", []call{apply(1, stored(1, 1), stored(3, 3))}, NeedsSnapshot, []int{1, 3}},
		{"first event lost", []call{apply(1, stored(2, 2))}, NeedsSnapshot, []int{2}},
		{"late event closes the gap", []call{apply(1, stored(1, 1), stored(3, 3)), apply(1, stored(2, 2))}, Current, []int{1, 2, 3}},
		{"late event reverted since", []call{apply(1, stored(1, 1), removed(3, 2)), apply(1, stored(2, 2))}, Current, []int{1}},
		{"late event before a clear", []call{apply(1, cleared(2)), apply(1, stored(1, 1))}, Current, nil},
		{"two gaps, one closed", []call{apply(1, stored(2, 2), stored(4, 4)), apply(1, stored(1, 1))}, NeedsSnapshot, []int{1, 2, 4}},
		{"snapshot after the gap", []call{apply(1, stored(1, 1), stored(4, 4)), repair(4, 2, 4)}, Current, []int{2, 4}},
		{"event during the snapshot", []call{apply(1, stored(2, 2), removed(4, 3)), repair(3, 2, 3)}, Current, []int{2}},
		{"gap after the snapshot", []call{apply(1, stored(2, 2), stored(6, 6)), repair(3, 3)}, NeedsSnapshot, []int{3, 6}},
		{"snapshot older than the events", []call{apply(1, stored(1, 1), removed(2, 1)), repair(1, 1)}, Outdated, nil},
		{"event before the snapshot", []call{repair(5, 5), apply(1, removed(4, 5))}, Current, []int{5}},
		{"next incarnation", []call{apply(1, stored(1, 1)), apply(2, stored(1, 2))}, Current, []int{2}},
		{"event of a previous incarnation", []call{apply(2, stored(1, 2)), apply(1, stored(2, 1))}, Outdated, []int{2}},
		{"snapshot of a previous incarnation", []call{apply(2, stored(1, 2)), repair(9, 1)}, Outdated, []int{2}},
		{"forgotten", []call{apply(1, stored(1, 1)), func(d *Directory) ApplyResult {
			d.Forget("a", 1)
			return d.Apply(batch("a", 1, stored(2, 2)))
		}}, Unfollowed, nil},
		{"forgotten in a previous incarnation", []call{apply(2, stored(1, 1)), func(d *Directory) ApplyResult {
			d.Forget("a", 1)
			return d.Apply(batch("a", 2, stored(2, 2)))
		}}, Current, []int{1, 2}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := testDirectory(t, Options{})
			d.Follow("a", 1)
			var last ApplyResult
			for _, call := range c.calls {
				last = call(d)
			}
			got := heldByDirectory(d)
			for _, n := range c.want {
				if !got[n] {
					t.Errorf("block %d is missing from %v", n, got)
				}
			}
			if last != c.last || len(got) != len(c.want) {
				t.Fatalf("result %d with %v, want %d with %v", last, got, c.last, c.want)
			}
		})
	}
}

// A runner's events are dropped, repeated and reordered in transit while its blocks
// change. After each snapshot and the events that follow it, the directory must match
// the runner's blocks or report the runner as stale.
func TestViewMatchesRunnerUnlessStale(t *testing.T) {
	for seed := range uint64(40) {
		random := rand.New(rand.NewPCG(seed, 1))
		d := testDirectory(t, Options{MaxPending: 16})
		d.Follow("a", 1)
		actual := make(map[int]bool)
		sequence := uint64(0)
		var inTransit []Event
		for range 2000 {
			n := 1 + random.IntN(9)
			sequence++
			event := stored(sequence, n)
			if actual[n] {
				event = removed(sequence, n)
			}
			actual[n] = !actual[n]
			for range []int{0, 1, 1, 1, 2}[random.IntN(5)] {
				inTransit = append(inTransit, event)
			}
			for len(inTransit) > random.IntN(4) {
				i := random.IntN(len(inTransit))
				d.Apply(batch("a", 1, inTransit[i]))
				inTransit = append(inTransit[:i], inTransit[i+1:]...)
			}
			if random.IntN(30) == 0 {
				d.ApplySnapshot(Snapshot{Upstream: "a", Incarnation: 1, Sequence: sequence, Blocks: actualBlocks(actual)})
			}
			if len(d.Stale(nil)) > 0 || d.holders.find("a").next != sequence+1 {
				continue
			}
			got := heldByDirectory(d)
			for n := 1; n < 10; n++ {
				if got[n] != actual[n] {
					t.Fatalf("seed %d, event %d: block %d held %v, directory has %v and is not stale", seed, sequence, n, actual[n], got[n])
				}
			}
		}
	}
}

func actualBlocks(actual map[int]bool) []HeldBlock {
	var numbers []int
	for n, holds := range actual {
		if holds {
			numbers = append(numbers, n)
		}
	}
	return heldBlocks(numbers...)
}

// A runner reuses fewer blocks than the directory claimed. The claims for other
// prompts are then doubtful too, and routing should prefer a runner with correct claims.
func TestAnswersCorrectTheView(t *testing.T) {
	d := testDirectory(t, Options{})
	d.Follow("a", 1)
	blocks := []BlockID{blockNumber(1), blockNumber(2), blockNumber(3)}
	d.Apply(batch("a", 1, stored(1, 1), stored(2, 2), stored(3, 3)))
	d.Observe(Answer{Upstream: "a", Incarnation: 1, Blocks: blocks, Claimed: 3, Reused: 1, Held: 3})
	got := d.Longest(blocks, nil)
	if len(got) != 1 || got[0].Blocks != 3 || got[0].Accuracy >= 1 || d.Stats().Mismatches != 1 {
		t.Fatalf("after a wrong claim: %+v, %+v", got, d.Stats())
	}
	d.Observe(Answer{Upstream: "a", Incarnation: 1, Blocks: blocks, Claimed: 3, Reused: 0, Held: 1})
	if got := d.Longest(blocks, nil); len(got) != 1 || got[0].Blocks != 1 {
		t.Fatalf("after an incomplete answer: %+v, want one block", got)
	}
	for range 50 {
		d.Observe(Answer{Upstream: "a", Incarnation: 1, Blocks: blocks, Claimed: 3, Reused: 3, Held: 3})
	}
	if got := d.Longest(blocks, nil); got[0].Accuracy < 0.99 {
		t.Fatalf("accuracy %v after 50 correct claims, want at least 0.99", got[0].Accuracy)
	}
	d.Observe(Answer{Upstream: "a", Incarnation: 2, Blocks: blocks[:1], Held: 1})
	d.Observe(Answer{Upstream: "x", Incarnation: 1, Blocks: blocks[:1], Held: 1})
	if got := d.Longest(blocks, nil); len(got) != 1 || got[0].Incarnation != 1 {
		t.Fatalf("after answers of other incarnations and upstreams: %+v", got)
	}
}

// More blocks than the limit arrive. The least recently used are evicted, and of one
// prompt the last blocks first: a block without those before it is useless.
func TestEvictionKeepsPromptPrefix(t *testing.T) {
	d := testDirectory(t, Options{MaxBlocks: 6})
	d.Follow("a", 1)
	prompt := []BlockID{blockNumber(1), blockNumber(2), blockNumber(3), blockNumber(4)}
	d.Apply(batch("a", 1, stored(1, 1), stored(2, 2), stored(3, 3), stored(4, 4), stored(5, 8), stored(6, 9)))
	d.Longest(prompt, nil)
	d.Apply(batch("a", 1, stored(7, 101), stored(8, 102), stored(9, 103)))
	got := d.Longest(prompt, nil)
	if d.Len() != 6 || len(got) != 1 || got[0].Blocks != 3 {
		t.Fatalf("%d blocks, match %+v, want the first three of the prompt", d.Len(), got)
	}
}

// A store host commits a block, restarts and commits it again in another slot. A
// reader that is given the old slot is refused and must recompute.
func TestCopiesFollowTheStore(t *testing.T) {
	d := testDirectory(t, Options{})
	d.Follow("s", 1)
	at := func(sequence, generation uint64) Event {
		return Event{Sequence: sequence, Kind: Stored, Block: blockNumber(1), Copy: &Copy{Slot: "x", Generation: generation}}
	}
	d.Apply(batch("s", 1, at(1, 7)))
	d.Apply(batch("s", 1, at(2, 8)))
	got := d.Copies(blockNumber(1), nil)
	if len(got) != 1 || got[0].Copy.Generation != 8 || d.Fetchable([]BlockID{blockNumber(1), blockNumber(2)}, 0) != 1 {
		t.Fatalf("copies %+v, want generation 8", got)
	}
	d.Apply(batch("s", 2))
	if got := d.Copies(blockNumber(1), nil); len(got) != 0 {
		t.Fatalf("copies of a previous incarnation: %+v", got)
	}
	d.Apply(batch("s", 2, at(1, 9)))
	d.Retract("s", blockNumber(1))
	if got := d.Copies(blockNumber(1), nil); len(got) != 0 || d.Len() != 0 {
		t.Fatalf("copies after the store refused: %+v", got)
	}
}

// FuzzDirectory applies arbitrary events and checks that the indices are consistent and
// the limits are kept.
func FuzzDirectory(f *testing.F) {
	f.Add([]byte{0, 1, 1, 1, 0, 1, 3, 2, 1, 1, 2, 1, 2, 1, 9, 5})
	f.Fuzz(func(t *testing.T, data []byte) {
		d := testDirectory(t, Options{MaxBlocks: 8, MaxPending: 4})
		names := []ident.Upstream{"a", "b", "s"}
		for _, name := range names {
			d.Follow(name, 1)
		}
		for ; len(data) >= 4; data = data[4:] {
			name := names[int(data[1])%len(names)]
			sequence := uint64(data[2])
			event := Event{Sequence: sequence, Kind: EventKind(data[0]%3) + 1, Block: blockNumber(int(data[3]))}
			if name == "s" {
				event.Copy = &Copy{Generation: sequence}
			}
			switch data[0] / 3 % 5 {
			case 0, 1:
				d.Apply(Batch{Upstream: name, Incarnation: ident.Incarnation(1 + data[1]/200), Events: []Event{event}})
			case 2:
				d.ApplySnapshot(Snapshot{Upstream: name, Incarnation: 1, Sequence: sequence, Blocks: heldBlocks(int(data[3]), 1, 2)})
			case 3:
				blocks := []BlockID{blockNumber(1), blockNumber(int(data[3]))}
				d.Observe(Answer{Upstream: name, Incarnation: 1, Blocks: blocks, Claimed: int(int8(data[2])), Reused: int(int8(data[3])), Held: int(int8(data[2]))})
			case 4:
				if data[2] > 250 {
					d.Forget(name, 9)
					d.Follow(name, 1)
				}
				d.Longest([]BlockID{blockNumber(1), blockNumber(int(data[3]))}, nil)
			}
			checkTable(t, d)
		}
	})
}

func checkTable(t *testing.T, d *Directory) {
	t.Helper()
	count := 0
	last := noRecord
	for i := d.blocks.oldest; i != noRecord; i = d.blocks.records[i].newer {
		r := &d.blocks.records[i]
		if r.older != last || r.holders.empty() || d.blocks.index[r.block] != i {
			t.Fatalf("record %d is inconsistent: %+v", i, r)
		}
		last = i
		count++
	}
	if count != d.Len() || count > d.opts.MaxBlocks || last != d.blocks.newest {
		t.Fatalf("%d linked records, %d in the index, limit %d", count, d.Len(), d.opts.MaxBlocks)
	}
	for block, copies := range d.blocks.copies {
		r := d.blocks.find(block)
		if r == nil || len(copies) == 0 || len(copies) > MaxCopies {
			t.Fatalf("%d copies of block %v, record %+v", len(copies), block, r)
		}
		for _, c := range copies {
			if !r.holders.has(c.holder) {
				t.Fatalf("copy at %d, which does not hold the block", c.holder)
			}
		}
	}
	for i := range d.holders.slots {
		if h := &d.holders.slots[i]; len(h.pending) > d.opts.MaxPending {
			t.Fatalf("%d events pending", len(h.pending))
		}
	}
}
