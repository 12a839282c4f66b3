package roster

import "testing"

func coldAnnouncement(sequence, coldMs uint64) Upstream {
	return Upstream{ID: "u", Service: "llm", Address: "a:1", DataCentre: "north", State: Serving, Slots: 4, Sequence: sequence, StartedMs: 1, ColdMs: coldMs}
}

// Guards against an upstream that counts as warm while it is cold, because it turned cold
// again or an earlier announcement arrived late.
func TestColdness(t *testing.T) {
	for name, c := range map[string]struct {
		announcements []Upstream
		coldMs        uint64
	}{
		"starts cold":               {[]Upstream{coldAnnouncement(1, 3000)}, 3000},
		"turns cold":                {[]Upstream{coldAnnouncement(1, 0), coldAnnouncement(2, 2900)}, 2900},
		"turns cold again":          {[]Upstream{coldAnnouncement(1, 3000), coldAnnouncement(2, 1000), coldAnnouncement(3, 3000)}, 3000},
		"is warm":                   {[]Upstream{coldAnnouncement(1, 3000), coldAnnouncement(2, 0)}, 0},
		"stale warm announcement":   {[]Upstream{coldAnnouncement(2, 0), coldAnnouncement(4, 3000), coldAnnouncement(3, 0)}, 3000},
		"the same sequence again":   {[]Upstream{coldAnnouncement(4, 3000), coldAnnouncement(4, 0)}, 3000},
		"newer incarnation is cold": {[]Upstream{coldAnnouncement(9, 0), {ID: "u", Service: "llm", State: Serving, Sequence: 1, StartedMs: 2, ColdMs: 500}}, 500},
		"newer incarnation is warm": {[]Upstream{coldAnnouncement(9, 900), {ID: "u", Service: "llm", State: Serving, Sequence: 1, StartedMs: 2}}, 0},
		"previous incarnation":      {[]Upstream{{ID: "u", Service: "llm", State: Serving, Sequence: 1, StartedMs: 2, ColdMs: 500}, coldAnnouncement(9, 0)}, 500},
	} {
		r := New()
		for _, a := range c.announcements {
			r.Announce(a)
		}
		if u, _ := r.Get("u"); u.ColdMs != c.coldMs || (len(r.Cold()) == 1) != (c.coldMs > 0) {
			t.Errorf("%s: %d ms, %d listed", name, u.ColdMs, len(r.Cold()))
		}
	}
}

// Guards against full load on upstreams of a data centre that is used again: they may have
// turned cold after their last announcement, and an announcement in flight does not show it.
func TestPresumedColdEndsWithSecondWarmAnnouncement(t *testing.T) {
	r := New()
	r.Announce(coldAnnouncement(5, 0))
	other := coldAnnouncement(1, 0)
	other.ID, other.DataCentre = "other", "south"
	r.Announce(other)
	revision := r.Revision()
	ms := func(string) uint64 { return 3000 }
	if !r.PresumeCold("north", ms) || r.PresumeCold("west", ms) || r.Revision() == revision {
		t.Fatal("PresumeCold did not change exactly the north")
	}
	if changed, _ := r.Page(revision, 10); len(changed) != 1 || changed[0].ColdMs != 3000 {
		t.Errorf("changes are %v", changed)
	}
	for i, cold := range []int{1, 0} {
		if r.Announce(coldAnnouncement(uint64(6+i), 0)); len(r.Cold()) != cold {
			t.Errorf("announcement %d: %d cold", i, len(r.Cold()))
		}
	}
	again := New()
	r.PresumeCold("north", ms)
	again.Restore(r.Save())
	if len(again.Cold()) != 1 {
		t.Error("presumed cold upstream missing after a restore")
	}
}

// Guards against a cached list that is out of date after a change, and against callers that
// share one list.
func TestLiveFollowsEachChange(t *testing.T) {
	r := New()
	r.Announce(coldAnnouncement(1, 0))
	first := r.Live()
	first[0].ID = "changed by the caller"
	if r.Live()[0].ID != "u" {
		t.Error("callers share a list")
	}
	r.PresumeCold("north", func(string) uint64 { return 3000 })
	if r.Live()[0].ColdMs != 3000 {
		t.Error("list is out of date after PresumeCold")
	}
	saved := r.Save()
	r.Announce(Upstream{ID: "u", State: Gone, StartedMs: 1})
	if len(r.Live()) != 0 {
		t.Error("departed upstream is listed")
	}
	r.Restore(saved)
	if len(r.Live()) != 1 {
		t.Error("list is out of date after Restore")
	}
}

// BenchmarkPage measures a page for a reader that lacks one change among 3,000 upstreams.
func BenchmarkPage(b *testing.B) {
	r := manyUpstreams()
	revision := r.Revision()
	r.Announce(coldAnnouncement(1, 0))
	for b.Loop() {
		if list, _ := r.Page(revision, 10); len(list) != 1 {
			b.Fatal(len(list))
		}
	}
}

// BenchmarkLive measures Live for 3,000 upstreams without a change in between.
func BenchmarkLive(b *testing.B) {
	r := manyUpstreams()
	for b.Loop() {
		r.Live()
	}
}

func manyUpstreams() *Roster {
	r := New()
	for i := range 3000 {
		u := coldAnnouncement(1, 0)
		u.ID = string(rune('a'+i%26)) + string(rune('a'+i/26%26)) + string(rune('a'+i/676))
		r.Announce(u)
	}
	return r
}
