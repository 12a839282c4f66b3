package cacheindex

import (
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

func TestShelfFollowsChanges(t *testing.T) {
	s := NewInventory()
	s.Replace(1, []Change{{Key{"v1", "a"}, 100}}, start, 0)
	s.Apply(Change{Key{"v1", "b"}, 50})
	s.Apply(Change{Key{"v1", "a"}, 120})
	if s.ReadableTokens(Key{"v1", "a"}) != 120 || s.Tokens() != 170 || s.Len() != 2 {
		t.Fatalf("holds %d of a, %d in all, %d parts", s.ReadableTokens(Key{"v1", "a"}), s.Tokens(), s.Len())
	}
	s.Apply(Change{Key{"v1", "a"}, 0})
	s.Apply(Change{Key{"v1", "never"}, 0})
	if s.ReadableTokens(Key{"v1", "a"}) != 0 || s.Tokens() != 50 {
		t.Fatalf("after its end a is %d, %d in all", s.ReadableTokens(Key{"v1", "a"}), s.Tokens())
	}
	if s.ReadableTokens(Key{"v2", "b"}) != 0 {
		t.Fatal("a part of one weight version is found under another")
	}
}

// A caller would get an answer made from half a part. A store restarts empty;
// one entry knows and writes the part anew, another still believes it whole.
// The shelf stays closed until the other can no longer act on its belief.
func TestAnotherLifeOpensAfterThePause(t *testing.T) {
	s := NewInventory()
	if s.Open(start) {
		t.Fatal("a store that was never asked is open")
	}
	s.Replace(1, []Change{{Key{"v1", "a"}, 100}}, start, 0)
	if !s.Open(start) {
		t.Fatal("a known life is closed")
	}
	s.Close()
	if s.Open(start.Add(time.Hour)) {
		t.Fatal("a store that does not answer is open")
	}
	s.Replace(2, nil, start, 3*time.Second)
	if s.ReadableTokens(Key{"v1", "a"}) != 0 || s.Tokens() != 0 {
		t.Fatal("parts of the former life are still known")
	}
	if s.Open(start.Add(3*time.Second - 1)) {
		t.Fatal("open before the pause is over")
	}
	if !s.Open(start.Add(3 * time.Second)) {
		t.Fatal("closed after the pause")
	}
}

func TestShelfIsBounded(t *testing.T) {
	s := NewInventory()
	s.Replace(1, nil, start, 0)
	for i := range MaxParts + 10 {
		s.Apply(Change{Key{"v1", string(rune(i))}, 1})
	}
	if s.Len() > MaxParts {
		t.Fatalf("%d parts are kept", s.Len())
	}
}

// A part that is about to be freed must not be read again, whatever late word
// of it comes: an entry would send a runner to fetch it while it is freed.
func TestRetiredPartsStayRetired(t *testing.T) {
	key := Key{Salt: "m.1", Part: "p"}
	s := NewInventory()
	for _, step := range []struct {
		what           string
		tokens         int
		whole, room    int
		holds, retired bool
	}{
		{"whole", 10, 10, 10, true, false},
		{"retired", -10, 0, 10, true, true},
		{"a late event that it is whole", 10, 0, 10, true, true},
		{"freed", 0, 0, 0, false, false},
		{"kept again", 7, 7, 7, true, false},
	} {
		s.Apply(Change{Key: key, Tokens: step.tokens})
		if s.ReadableTokens(key) != step.whole || s.Tokens() != step.room || s.Holds(key) != step.holds || s.Retired(key) != step.retired {
			t.Errorf("%s: whole %d, room %d, holds %v, retired %v", step.what, s.ReadableTokens(key), s.Tokens(), s.Holds(key), s.Retired(key))
		}
	}
}
