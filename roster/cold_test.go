package roster

import "testing"

func coldWord(sequence, coldMs uint64) Upstream {
	return Upstream{ID: "u", Service: "llm", Address: "a:1", DataCentre: "north", State: Serving, Slots: 4, Sequence: sequence, StartedMs: 1, ColdMs: coldMs}
}

// Guards against an upstream that counts as warm while it is cold: it turned cold again,
// or a word of before came late.
func TestColdness(t *testing.T) {
	for name, c := range map[string]struct {
		words []Upstream
		cold  uint64
	}{
		"starts cold":           {[]Upstream{coldWord(1, 3000)}, 3000},
		"turns cold":            {[]Upstream{coldWord(1, 0), coldWord(2, 2900)}, 2900},
		"turns cold again":      {[]Upstream{coldWord(1, 3000), coldWord(2, 1000), coldWord(3, 3000)}, 3000},
		"is warm":               {[]Upstream{coldWord(1, 3000), coldWord(2, 0)}, 0},
		"late word of a warm":   {[]Upstream{coldWord(2, 0), coldWord(4, 3000), coldWord(3, 0)}, 3000},
		"the same word again":   {[]Upstream{coldWord(4, 3000), coldWord(4, 0)}, 3000},
		"a later life is cold":  {[]Upstream{coldWord(9, 0), {ID: "u", Service: "llm", State: Serving, Sequence: 1, StartedMs: 2, ColdMs: 500}}, 500},
		"a later life is warm":  {[]Upstream{coldWord(9, 900), {ID: "u", Service: "llm", State: Serving, Sequence: 1, StartedMs: 2}}, 0},
		"a word of before life": {[]Upstream{{ID: "u", Service: "llm", State: Serving, Sequence: 1, StartedMs: 2, ColdMs: 500}, coldWord(9, 0)}, 500},
	} {
		r := New()
		for _, word := range c.words {
			r.Announce(word)
		}
		if u, _ := r.Get("u"); u.ColdMs != c.cold || (len(r.Cold()) == 1) != (c.cold > 0) {
			t.Errorf("%s: %d ms, %d listed", name, u.ColdMs, len(r.Cold()))
		}
	}
}

// Guards against full load on upstreams of a data centre that is used again: they may
// have turned cold after their latest word, and one that was on its way does not tell.
func TestPresumedColdEndsWithTheSecondWarmWord(t *testing.T) {
	r := New()
	r.Announce(coldWord(5, 0))
	other := coldWord(1, 0)
	other.ID, other.DataCentre = "other", "south"
	r.Announce(other)
	revision := r.Revision()
	ms := func(string) uint64 { return 3000 }
	if !r.PresumeCold("north", ms) || r.PresumeCold("west", ms) || r.Revision() == revision {
		t.Fatal("not presumed")
	}
	if changed, _ := r.Page(revision, 10); len(changed) != 1 || changed[0].ColdMs != 3000 {
		t.Errorf("told %v", changed)
	}
	for i, cold := range []int{1, 0} {
		if r.Announce(coldWord(uint64(6+i), 0)); len(r.Cold()) != cold {
			t.Errorf("word %d: %d cold", i, len(r.Cold()))
		}
	}
	again := New()
	r.PresumeCold("north", ms)
	again.Restore(r.Save())
	if len(again.Cold()) != 1 {
		t.Error("forgotten by a snapshot")
	}
}

// Guards against a list of upstreams that is as it was before a change, and against
// one caller's list that another one changes.
func TestLiveFollowsEachChange(t *testing.T) {
	r := New()
	r.Announce(coldWord(1, 0))
	first := r.Live()
	first[0].ID = "changed by its caller"
	if r.Live()[0].ID != "u" {
		t.Error("callers share the list")
	}
	r.PresumeCold("north", func(string) uint64 { return 3000 })
	if r.Live()[0].ColdMs != 3000 {
		t.Error("as before the upstream was presumed cold")
	}
	saved := r.Save()
	r.Announce(Upstream{ID: "u", State: Gone, StartedMs: 1})
	if len(r.Live()) != 0 {
		t.Error("one that is gone")
	}
	r.Restore(saved)
	if len(r.Live()) != 1 {
		t.Error("as before a snapshot")
	}
}

// BenchmarkPage is what one reader lacks of three thousand upstreams of which one has
// changed.
func BenchmarkPage(b *testing.B) {
	r := manyUpstreams()
	revision := r.Revision()
	r.Announce(coldWord(1, 0))
	for b.Loop() {
		if list, _ := r.Page(revision, 10); len(list) != 1 {
			b.Fatal(len(list))
		}
	}
}

// BenchmarkLive is one look at three thousand upstreams between two changes.
func BenchmarkLive(b *testing.B) {
	r := manyUpstreams()
	for b.Loop() {
		r.Live()
	}
}

func manyUpstreams() *Roster {
	r := New()
	for i := range 3000 {
		u := coldWord(1, 0)
		u.ID = string(rune('a'+i%26)) + string(rune('a'+i/26%26)) + string(rune('a'+i/676))
		r.Announce(u)
	}
	return r
}
