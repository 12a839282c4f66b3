package prefix

import (
	"testing"

	"github.com/lovagereach/lovagereach/ident"
)

func testDirectory(t testing.TB, opts Options) *Directory {
	t.Helper()
	d, err := NewDirectory(opts)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// blockNumber returns the identity of test block n.
func blockNumber(n int) BlockID {
	return BlockID{byte(n), byte(n >> 8), byte(n >> 16), 1}
}

func stored(sequence uint64, n int) Event {
	return Event{Sequence: sequence, Kind: Stored, Block: blockNumber(n)}
}

func removed(sequence uint64, n int) Event {
	return Event{Sequence: sequence, Kind: Removed, Block: blockNumber(n)}
}

func batch(name ident.Upstream, incarnation ident.Incarnation, events ...Event) Batch {
	return Batch{Upstream: name, Incarnation: incarnation, Events: events}
}

func TestLongestListsDeepestHolderFirst(t *testing.T) {
	d := testDirectory(t, Options{})
	d.Follow("a", 1)
	d.Follow("b", 1)
	d.Apply(batch("a", 1, stored(1, 1), stored(2, 2)))
	d.Apply(batch("b", 1, stored(1, 1), stored(2, 2), stored(3, 3)))
	got := d.Longest([]BlockID{blockNumber(1), blockNumber(2), blockNumber(3), blockNumber(4)}, nil)
	if len(got) != 2 || got[0].Upstream != "b" || got[0].Blocks != 3 || got[1].Blocks != 2 {
		t.Fatalf("matches %+v, want b with 3 blocks and a with 2", got)
	}
}

func TestRemovedBlockShortensTheMatch(t *testing.T) {
	d := testDirectory(t, Options{})
	d.Follow("a", 1)
	d.Apply(batch("a", 1, stored(1, 1), stored(2, 2), removed(3, 2)))
	got := d.Longest([]BlockID{blockNumber(1), blockNumber(2)}, nil)
	if len(got) != 1 || got[0].Blocks != 1 {
		t.Fatalf("matches %+v, want one block at a", got)
	}
}
