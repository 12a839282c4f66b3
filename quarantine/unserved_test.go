package quarantine

import (
	"slices"
	"testing"
	"time"
)

// Guards against sound parts being taken for ones that are served no more: hot ones, those of a service of
// which nothing is served, and before other entries can tell that they are served.
func TestUnservedParts(t *testing.T) {
	start := time.Now()
	var u UnservedParts
	u.RecordLost([]Fingerprint{part("bad"), part("hot")}, "llm")
	serve := func(service string, at time.Duration, suspected []Fingerprint, parts ...Fingerprint) []Fingerprint {
		return u.RecordServed(service, parts, slices.Values(suspected), start.Add(at))
	}
	suspected := []Fingerprint{part("bad"), part("hot"), part("elsewhere")}
	for i := range 3 * unservedOthers {
		if got := serve("other", unservedWait+time.Duration(i)*time.Second, suspected, part("x")); got != nil {
			t.Fatalf("%v count as unserved while their service serves nothing", got)
		}
	}
	for range 2 * unservedOthers {
		if got := serve("llm", 0, suspected, part("hot"), part("x")); got != nil {
			t.Fatalf("%v count as unserved at once", got)
		}
	}
	if got := serve("llm", unservedWait, suspected); got != nil {
		t.Errorf("%v count as unserved by a request without parts", got)
	}
	if got := serve("llm", unservedWait, suspected, part("hot")); !slices.Equal(got, []Fingerprint{part("bad")}) {
		t.Errorf("%v count as unserved, want %v", got, part("bad"))
	}
	if got := serve("llm", 2*unservedWait, suspected, part("hot")); got != nil {
		t.Errorf("%v are reported again", got)
	}
	serve("llm", 2*unservedWait, nil, part("x"))
	if got := serve("llm", 3*unservedWait, suspected, part("hot")); got != nil || len(u.others) != 1 {
		t.Errorf("%v count as unserved by what was served before they were suspected", got)
	}
	many := make([]Fingerprint, maxLostParts)
	for i := range many {
		many[i] = Fingerprint{byte(i), byte(i >> 8)}
	}
	if u.RecordLost(many, "llm"); len(u.services) > maxLostParts {
		t.Errorf("the services of %d parts are kept", len(u.services))
	}
}

// Guards against a part that was served before its crashes being excused for good, and against the word that
// it is served no more outliving it.
func TestUnservedPartIsBlamed(t *testing.T) {
	tr := NewTracker()
	for i, upstream := range []string{"a", "b", "c", "d", "e"} {
		c := servedBefore(servedBefore(partCrash(upstream, upstream, "bad", "hot"), "bad"), "hot")
		c.Joined = i > 0
		tr.AddCrashes(c)
	}
	if got := quarantinedParts(tr); len(got) > 0 || !slices.Contains(tr.SuspectedParts(), part("bad")) {
		t.Fatalf("%v are quarantined, %v suspected", got, tr.SuspectedParts())
	}
	tr.Served(part("hot"))
	tr.Unserved(part("bad"), part("unknown"))
	saved := NewTracker()
	saved.Restore(tr.Save())
	for _, known := range []*Tracker{tr, saved} {
		known.AddCrashes(servedBefore(Crash{Incarnation: Incarnation{Upstream: "a"}, Parts: []Fingerprint{part("bad")}}, "bad"))
		if got := quarantinedParts(known); !slices.Equal(got, []Fingerprint{part("bad")}) {
			t.Errorf("%v are quarantined, want %v", got, part("bad"))
		}
		if known.Served(part("bad")); len(known.parts.unserved) > 0 || len(known.QuarantinedParts()) > 0 {
			t.Error("a part that was served is still taken for one that is not")
		}
	}
}
