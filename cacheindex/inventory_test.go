package cacheindex

import (
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

func TestInventoryFollowsChanges(t *testing.T) {
	s := NewInventory()
	s.Replace(1, []Change{{Key{"v1", "a"}, 100}}, start, 0)
	s.Apply(Change{Key{"v1", "b"}, 50})
	s.Apply(Change{Key{"v1", "a"}, 120})
	if s.ReadableTokens(Key{"v1", "a"}) != 120 || s.Tokens() != 170 || s.Len() != 2 {
		t.Fatalf("%d tokens of a, %d in total, %d parts", s.ReadableTokens(Key{"v1", "a"}), s.Tokens(), s.Len())
	}
	s.Apply(Change{Key{"v1", "a"}, 0})
	s.Apply(Change{Key{"v1", "never"}, 0})
	if s.ReadableTokens(Key{"v1", "a"}) != 0 || s.Tokens() != 50 {
		t.Fatalf("after its removal: %d tokens of a, %d in total", s.ReadableTokens(Key{"v1", "a"}), s.Tokens())
	}
	if s.ReadableTokens(Key{"v2", "b"}) != 0 {
		t.Fatal("a part of one weight version was found under another")
	}
}

// A store restarts empty, one entry knows that and writes a part again, while another entry
// still takes the part for complete: a caller would get an answer computed from half a
// part. The inventory must stay closed until the other entry can no longer act on its old
// state.
func TestNewIncarnationOpensAfterPause(t *testing.T) {
	s := NewInventory()
	if s.Open(start) {
		t.Fatal("the inventory of a store that was never queried is open")
	}
	s.Replace(1, []Change{{Key{"v1", "a"}, 100}}, start, 0)
	if !s.Open(start) {
		t.Fatal("the inventory is closed after Replace")
	}
	s.Close()
	if s.Open(start.Add(time.Hour)) {
		t.Fatal("the inventory of an unreachable store is open")
	}
	s.Replace(2, nil, start, 3*time.Second)
	if s.ReadableTokens(Key{"v1", "a"}) != 0 || s.Tokens() != 0 {
		t.Fatal("parts of the previous incarnation are still known")
	}
	if s.Open(start.Add(3*time.Second - 1)) {
		t.Fatal("open before the end of the pause")
	}
	if !s.Open(start.Add(3 * time.Second)) {
		t.Fatal("closed after the pause")
	}
}

func TestInventoryIsBounded(t *testing.T) {
	s := NewInventory()
	s.Replace(1, nil, start, 0)
	for i := range MaxParts + 10 {
		s.Apply(Change{Key{"v1", string(rune(i))}, 1})
	}
	if s.Len() > MaxParts {
		t.Fatalf("%d parts, more than MaxParts", s.Len())
	}
}

// A part that is about to be freed must not become readable again through a stale event: an
// entry would send a runner to fetch it while it is freed.
func TestRetiredPartsStayRetired(t *testing.T) {
	key := Key{Salt: "m.1", Part: "p"}
	s := NewInventory()
	for _, step := range []struct {
		name               string
		tokens             int
		readable, capacity int
		holds, retired     bool
	}{
		{"complete", 10, 10, 10, true, false},
		{"retired", -10, 0, 10, true, true},
		{"a stale event that it is complete", 10, 0, 10, true, true},
		{"freed", 0, 0, 0, false, false},
		{"stored again", 7, 7, 7, true, false},
	} {
		s.Apply(Change{Key: key, Tokens: step.tokens})
		if s.ReadableTokens(key) != step.readable || s.Tokens() != step.capacity || s.Holds(key) != step.holds || s.Retired(key) != step.retired {
			t.Errorf("%s: readable %d, capacity %d, holds %v, retired %v", step.name, s.ReadableTokens(key), s.Tokens(), s.Holds(key), s.Retired(key))
		}
	}
}
