package quarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// part is the fingerprint of a part named so in tests.
func part(name string) Fingerprint {
	p := Part{Service: "llm", Team: "growers", Model: "m", ID: name}
	return p.Fingerprint()
}

// partCrash is the crash of an upstream under one request with these parts.
func partCrash(upstream, request string, parts ...string) Crash {
	c := crashOf(upstream, request)
	for _, name := range parts {
		c.Parts = append(c.Parts, part(name))
	}
	return c
}

// servedBefore returns a crash with a part that was served shortly before.
func servedBefore(c Crash, name string) Crash {
	c.ServedBefore = append(c.ServedBefore, part(name))
	return c
}

// joined returns a crash as one of the group of the crash before.
func joined(c Crash) Crash {
	c.Joined = true
	return c
}

func quarantinedParts(t *Tracker) []Fingerprint {
	var list []Fingerprint
	for _, q := range t.QuarantinedParts() {
		list = append(list, q.Part)
	}
	return list
}

// Guards against a part that crashes upstreams under requests that differ in everything else, and
// against other parts or requests being quarantined in its place.
func TestPartAtEveryCrashIsQuarantined(t *testing.T) {
	cases := map[string]struct {
		crashes         []Crash
		parts, requests []string
	}{
		"two crashes may be chance": {crashes: []Crash{partCrash("a", "1", "bad"), partCrash("b", "2", "bad")}},
		"three different requests":  {crashes: []Crash{partCrash("a", "1", "x", "bad"), partCrash("b", "2", "bad", "y"), partCrash("c", "3", "z", "bad")}, parts: []string{"bad"}},
		"one request repeated": {
			crashes: []Crash{partCrash("a", "1", "x", "y"), partCrash("b", "1", "x", "y"), partCrash("c", "1", "x", "y")}, requests: []string{"1"},
		},
		"one request repeated, then others": {
			crashes: []Crash{partCrash("a", "1", "x", "bad"), partCrash("b", "1", "x", "bad"), partCrash("c", "1", "x", "bad"), partCrash("d", "2", "bad", "z"), partCrash("e", "3", "bad")},
			parts:   []string{"bad"},
		},
		"another part at the same three crashes": {crashes: []Crash{partCrash("a", "1", "x", "bad"), partCrash("b", "2", "x", "bad"), partCrash("c", "3", "x", "bad")}},
		"a fourth crash distinguishes two parts": {
			crashes: []Crash{partCrash("a", "1", "x", "bad"), partCrash("b", "2", "x", "bad"), partCrash("c", "3", "x", "bad"), partCrash("d", "4", "bad")}, parts: []string{"bad"},
		},
		"two parts that only come together": {
			crashes: []Crash{partCrash("a", "1", "x", "bad"), partCrash("b", "2", "x", "bad"), partCrash("c", "3", "x", "bad"), partCrash("d", "4", "x", "bad")}, parts: []string{"x", "bad"},
		},
		"two parts crash upstreams by turns": {
			crashes: []Crash{partCrash("a", "1", "bad"), partCrash("b", "2", "worse"), partCrash("c", "3", "bad"), partCrash("d", "4", "worse"), partCrash("e", "5", "bad", "worse"), partCrash("f", "6", "worse")},
			parts:   []string{"bad", "worse"},
		},
		"upstreams that crash at the same time": {
			crashes: []Crash{partCrash("a", "1", "x"), joined(partCrash("b", "2", "x")), joined(partCrash("c", "3", "x")), joined(partCrash("d", "4", "x"))},
		},
		"upstreams that crash at the same time, then one": {
			crashes: []Crash{partCrash("a", "1", "x"), joined(partCrash("b", "2", "x")), joined(partCrash("c", "3", "x")), joined(partCrash("d", "4", "y")), joined(partCrash("e", "5")), partCrash("f", "6", "x"),
				joined(partCrash("g", "7", "x"))},
		},
		"five upstreams that crash at the same time, with it alone": {
			crashes: []Crash{partCrash("a", "1", "x"), joined(partCrash("b", "2", "x")), joined(partCrash("c", "3", "x")), joined(partCrash("d", "4", "x")), joined(partCrash("e", "5", "x"))},
			parts:   []string{"x"},
		},
		"five, and one without it": {
			crashes: []Crash{partCrash("a", "1", "x"), joined(partCrash("b", "2", "x")), joined(partCrash("c", "3", "x")), joined(partCrash("d", "4", "y")), joined(partCrash("e", "5", "x")), joined(partCrash("f", "6", "x"))},
			parts:   []string{"x"},
		},
		"five of a rack of eight": {
			crashes: []Crash{partCrash("a", "1", "x"), joined(partCrash("b", "2", "x")), joined(partCrash("c", "3", "x")), joined(partCrash("d", "4", "x")), joined(partCrash("e", "5", "x")),
				joined(partCrash("f", "6", "y")), joined(partCrash("g", "7", "y")), joined(partCrash("h", "8", "z"))},
		},
		"five that were served shortly before": {
			crashes: []Crash{servedBefore(partCrash("a", "1", "x"), "x"), joined(partCrash("b", "2", "x")), joined(partCrash("c", "3", "x")), joined(partCrash("d", "4", "x")), joined(partCrash("e", "5", "x"))},
		},
		"five and a request at all of them": {
			crashes: []Crash{partCrash("a", "1", "x"), joined(partCrash("b", "1", "x")), joined(partCrash("c", "1", "x")), joined(partCrash("d", "1", "x")), joined(partCrash("e", "1", "x"))}, requests: []string{"1"},
		},
		"a request that crashes upstreams by itself beside it": {
			crashes: []Crash{partCrash("a", "worse", "x"), partCrash("b", "2", "bad"), partCrash("c", "worse", "x"), partCrash("d", "4", "bad"), partCrash("e", "worse", "x"), partCrash("f", "6", "bad")},
			parts:   []string{"bad"}, requests: []string{"worse"},
		},
		"a request that was retried on upstreams that the part crashed": {
			crashes: []Crash{partCrash("a", "1", "bad"), partCrash("b", "2", "bad"), partCrash("c", "3", "bad"),
				{Incarnation: Incarnation{Upstream: "a"}, Fingerprints: []Fingerprint{fingerprintOf("sound")}, Parts: []Fingerprint{part("y")}},
				{Incarnation: Incarnation{Upstream: "b"}, Fingerprints: []Fingerprint{fingerprintOf("sound")}, Parts: []Fingerprint{part("y")}},
				{Incarnation: Incarnation{Upstream: "c"}, Fingerprints: []Fingerprint{fingerprintOf("sound")}, Parts: []Fingerprint{part("y")}},
				partCrash("d", "4", "bad")},
			parts: []string{"bad"},
		},
		"a first report that blames another part": {
			crashes: []Crash{partCrash("a", "1", "x"), partCrash("b", "2", "x"), partCrash("c", "3", "x"), partCrash("d", "4", "bad"), partCrash("e", "5", "bad"),
				partCrash("a", "6", "bad"), partCrash("b", "7", "bad"), partCrash("c", "8", "bad")},
			parts: []string{"bad"},
		},
		"a part that was served shortly before": {
			crashes: []Crash{servedBefore(partCrash("a", "1", "x", "bad"), "x"), partCrash("b", "2", "x", "bad"), partCrash("c", "3", "x", "bad"), servedBefore(partCrash("d", "4", "y"), "y"), partCrash("e", "5", "y"), partCrash("f", "6", "y")},
			parts:   []string{"bad"},
		},
		"a part that has begun to crash upstreams": {
			crashes: []Crash{servedBefore(partCrash("a", "1", "bad"), "bad"), partCrash("b", "2", "bad"), partCrash("c", "3", "bad"), partCrash("d", "4", "bad"), partCrash("e", "5", "bad")},
			parts:   []string{"bad"},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			tr := NewTracker()
			for _, crash := range c.crashes {
				tr.AddCrashes(crash)
			}
			got := quarantinedParts(tr)
			for _, name := range c.parts {
				if !slices.Contains(got, part(name)) {
					t.Errorf("the part %q is not quarantined", name)
				}
			}
			if len(got) != len(c.parts) {
				t.Errorf("%d parts are quarantined, want %v", len(got), c.parts)
			}
			for _, name := range c.requests {
				if !slices.Contains(tr.Quarantined(), fingerprintOf(name)) {
					t.Errorf("the request %q is not quarantined", name)
				}
			}
			if len(tr.Quarantined()) != len(c.requests) {
				t.Errorf("%d requests are quarantined, want %v", len(tr.Quarantined()), c.requests)
			}
		})
	}
}

// Guards against the first part of all prompts being quarantined with the one that crashes
// upstreams: it is served between the crashes.
func TestServedPartIsNotQuarantined(t *testing.T) {
	tr := NewTracker()
	for i := range 8 {
		tr.AddCrashes(partCrash(fmt.Sprint(i), fmt.Sprint(i), "first", "bad"))
		tr.Served(part("first"))
	}
	if got := quarantinedParts(tr); !slices.Equal(got, []Fingerprint{part("bad")}) {
		t.Fatalf("quarantined %v, want the part that is never served", got)
	}
}

// Guards against a part that is held for good, and against blaming others for its crashes once a
// trial has shown that it is sound again.
func TestServedTrialReleasesPart(t *testing.T) {
	tr := NewTracker()
	for i := range 5 {
		tr.AddCrashes(partCrash(fmt.Sprint(i), fmt.Sprint(i), "rare", "bad"))
	}
	if got := quarantinedParts(tr); len(got) != 2 {
		t.Fatalf("%d parts are quarantined", len(got))
	}
	tr.Forget(tr.Incarnations()...)
	if got := quarantinedParts(tr); len(got) != 2 {
		t.Fatal("a part is released though no request with it was served")
	}
	for i := range 5 {
		tr.AddCrashes(partCrash(fmt.Sprint("later-", i), "retried", "bad", "y"))
	}
	for _, parts := range [][]Fingerprint{{part("bad")}, {part("bad"), part("rare")}} {
		tr.RecordTrial(parts)
		tr.ReturnTrial(parts)
	}
	if q := tr.QuarantinedParts(); len(q) != 2 || q[0].Trials+q[1].Trials+q[0].Shared+q[1].Shared != 0 {
		t.Fatalf("after trials that were not run: %+v", q)
	}
	tr.RecordTrial([]Fingerprint{part("bad")})
	tr.Served(part("bad"))
	if got := quarantinedParts(tr); !slices.Equal(got, []Fingerprint{part("rare")}) || len(tr.Quarantined()) > 0 {
		t.Fatalf("after a trial that was served parts %v and requests %v are quarantined", got, tr.Quarantined())
	}
}

// Guards against the loss of quarantined parts, trials and groups with a snapshot.
func TestPartsAreRestored(t *testing.T) {
	tr, restored := NewTracker(), NewTracker()
	for i := range 4 {
		tr.AddCrashes(partCrash(fmt.Sprint(i), fmt.Sprint(i), "bad"), joined(partCrash(fmt.Sprint("rack-", i), "n", "warm")))
	}
	tr.RecordTrial([]Fingerprint{part("bad")})
	restored.Restore(tr.Save())
	for _, x := range []*Tracker{tr, restored} {
		x.AddCrashes(joined(partCrash("last", "l", "warm")), partCrash("next", "m", "warm"))
	}
	if !slices.Equal(tr.QuarantinedParts(), restored.QuarantinedParts()) || !slices.Equal(tr.SuspectedParts(), restored.SuspectedParts()) || tr.Revision() != restored.Revision() {
		t.Fatalf("restored %v, %v, revision %d, want %v, %v, %d", restored.QuarantinedParts(), restored.SuspectedParts(), restored.Revision(),
			tr.QuarantinedParts(), tr.SuspectedParts(), tr.Revision())
	}
}

// Guards against a team that fills the lists with parts of its own: they stay bounded, and the part
// of another team that crashes upstreams is still found.
func TestPartsAreBounded(t *testing.T) {
	tr := NewTracker()
	for i := range 2 * MaxQuarantinedParts {
		for j := range PartThreshold {
			c := partCrash(fmt.Sprint(i, "-", j), fmt.Sprint(i, "-", j), fmt.Sprint("own-", i))
			for n := range 2 * MaxParts {
				c.Parts = append(c.Parts, part(fmt.Sprint(i, j, n)))
			}
			tr.AddCrashes(c)
		}
	}
	for i := range PartThreshold {
		tr.AddCrashes(partCrash(fmt.Sprint("other-", i), fmt.Sprint(i), "bad"))
	}
	if len(tr.QuarantinedParts()) != MaxQuarantinedParts || len(tr.parts.counts) > MaxCrashes*MaxParts || len(tr.SuspectedParts()) > MaxSuspectedParts {
		t.Fatalf("%d parts are quarantined, %d suspected, %d recorded", len(tr.QuarantinedParts()), len(tr.SuspectedParts()), len(tr.parts.counts))
	}
	if !slices.Contains(quarantinedParts(tr), part("bad")) {
		t.Fatal("the part of another team is not found")
	}
}

// Guards against the same part in other letters being another one, and against another team's,
// model's or service's part of that name being quarantined with it.
func TestPartFingerprint(t *testing.T) {
	one := Part{Service: "s", Team: "t", Model: "m", ID: "5c1e07a2"}
	if same := (Part{Service: "s", Team: "t", Model: "m", ID: "5C1E07A2"}); same.Fingerprint() != one.Fingerprint() {
		t.Error("upper case letters make another part")
	}
	alone := one
	alone.Isolated = true
	for name, other := range map[string]Part{
		"service": {Service: "x", Team: "t", Model: "m", ID: "5c1e07a2"}, "team": {Service: "s", Team: "x", Model: "m", ID: "5c1e07a2"},
		"model": {Service: "s", Team: "t", Model: "x", ID: "5c1e07a2"}, "ID": {Service: "s", Team: "t", Model: "m", ID: "5c1e07a3"}, "isolation": alone,
	} {
		if other.Fingerprint() == one.Fingerprint() {
			t.Errorf("a part of another %s is taken for %+v", name, one)
		}
		if shared := other.Fingerprint().Shared(); (shared == one.Fingerprint().Shared()) != (name == "team") {
			t.Errorf("a part of another %s has the same fingerprint for all teams, or not", name)
		}
	}
	if scopes := alone.Fingerprint().Scopes(); len(scopes) != 1 {
		t.Error("an isolated team shares its parts")
	}
	of := func(team string) Fingerprint { return Tokens("s", team, "a", []uint32{1, 2}) }
	if of("t") == of("x") || of("t").Shared() != of("x").Shared() || of("t").Shared() == Tokens("s", "", "b", []uint32{1, 2}) {
		t.Error("tokens of two teams are not one part, or those of two adapters are")
	}
}

// teamCrash is the crash of an upstream under one request of a team with these parts.
func teamCrash(upstream, request, team string, names ...string) Crash {
	c := crashOf(upstream, request)
	for _, name := range names {
		p := Part{Service: "llm", Team: team, Model: "m", ID: name}
		c.Parts = append(c.Parts, p.Fingerprint().Scopes()...)
	}
	return c
}

// Guards against a part that each of several teams must find for itself, and against a team that crashes
// upstreams with another team's parts having that team's requests refused.
func TestPartIsJudgedForTeamsTogether(t *testing.T) {
	of := func(team string) Fingerprint {
		p := Part{Service: "llm", Team: team, Model: "m", ID: "bad"}
		return p.Fingerprint()
	}
	three := []Crash{teamCrash("a", "1", "t", "bad"), teamCrash("b", "2", "t", "bad"), teamCrash("c", "3", "t", "bad")}
	cases := map[string]struct {
		crashes []Crash
		// trials are those between the third crash and the next.
		trials int
		// want are quarantined, left once a request of yet another team was served.
		want, left []Fingerprint
	}{
		"three teams":        {crashes: []Crash{teamCrash("a", "1", "t", "bad"), teamCrash("b", "2", "u", "bad"), teamCrash("c", "3", "v", "bad")}, want: []Fingerprint{of("")}},
		"one team":           {crashes: three, want: []Fingerprint{of("t")}, left: []Fingerprint{of("t")}},
		"one team, tried":    {crashes: three, trials: 2, want: []Fingerprint{of("t")}, left: []Fingerprint{of("t")}},
		"then another":       {crashes: append(slices.Clone(three), teamCrash("d", "4", "u", "bad")), want: []Fingerprint{of("")}, left: []Fingerprint{of("t")}},
		"tried, another":     {crashes: append(slices.Clone(three), teamCrash("d", "4", "u", "bad")), trials: 2, want: []Fingerprint{of("")}},
		"one beside another": {crashes: []Crash{teamCrash("a", "1", "t", "bad"), withParts(teamCrash("b", "2", "t", "bad"), of("u"), of("")), teamCrash("c", "3", "t", "bad")}, want: []Fingerprint{of("t")}, left: []Fingerprint{of("t")}},
		"one at all crashes of a burst, another at three": {
			crashes: []Crash{withParts(teamCrash("a", "1", "t", "bad"), of("u")), joined(withParts(teamCrash("b", "2", "t", "bad"), of("u"))), joined(withParts(teamCrash("c", "3", "t", "bad"), of("u"))),
				joined(teamCrash("d", "4", "t", "bad")), joined(teamCrash("e", "5", "t", "bad"))},
			want: []Fingerprint{of("")}, left: []Fingerprint{of("t")},
		},
		"two at all crashes": {
			crashes: []Crash{withParts(teamCrash("a", "1", "t", "bad"), of("u")), withParts(teamCrash("b", "2", "t", "bad"), of("u")), withParts(teamCrash("c", "3", "t", "bad"), of("u"))},
			want:    []Fingerprint{of("")},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			tr := NewTracker()
			for i, crash := range c.crashes {
				tr.AddCrashes(crash)
				for range c.trials {
					if i == 2 {
						tr.RecordTrial([]Fingerprint{of("t")})
					}
				}
			}
			if got := quarantinedParts(tr); !slices.Equal(got, c.want) {
				t.Fatalf("%v are quarantined, want %v", got, c.want)
			}
			if trials := tr.QuarantinedParts()[0].Trials; trials != c.trials {
				t.Errorf("%d trials count, want %d", trials, c.trials)
			}
			saved := NewTracker()
			saved.Restore(tr.Save())
			if got := quarantinedParts(saved); !slices.Equal(got, c.want) {
				t.Errorf("%v are quarantined after a restart, want %v", got, c.want)
			}
			tr.Served(of("v").Scopes()...)
			if got := quarantinedParts(tr); !slices.Equal(got, c.left) {
				t.Errorf("%v are quarantined once another team's request was served, want %v", got, c.left)
			}
		})
	}
}

// withParts returns a crash with further parts in flight.
func withParts(c Crash, parts ...Fingerprint) Crash {
	c.Parts = append(c.Parts, parts...)
	return c
}

// Guards against a part that is left out of every report because other parts fill them, and against
// parts that were served since being reported.
func TestCrashListsPartsOfAllRequests(t *testing.T) {
	now := time.Now()
	var served Served
	served.Record(Fingerprint{}, []Fingerprint{part("before")}, now.Add(-2*time.Second))
	served.Record(Fingerprint{}, []Fingerprint{part("first")}, now)
	var long []Fingerprint
	for n := range 3 * MaxParts {
		long = append(long, part(fmt.Sprint(n)))
	}
	found := 0
	for range 40 {
		attempts := []Attempt{{Parts: long, Sent: now.Add(-time.Second)}, {Parts: []Fingerprint{part("first"), part("bad"), part("before")}, Sent: now.Add(-time.Second)}}
		c := NewCrash(Incarnation{}, attempts, &served, func(f Fingerprint) bool { return f == long[200] }, now)
		if !slices.Equal(c.ServedBefore, []Fingerprint{part("before")}) {
			t.Fatalf("%d parts are listed as served before, want one", len(c.ServedBefore))
		}
		if len(c.Parts) > MaxParts || slices.Contains(c.Parts, part("first")) || !slices.Contains(c.Parts, part("bad")) || !slices.Contains(c.Parts, long[200]) {
			t.Fatalf("%d parts are listed, or not those that must be", len(c.Parts))
		}
		if slices.Contains(c.Parts, long[len(long)-1]) {
			found++
		}
	}
	if found < PartThreshold {
		t.Errorf("the last part of a long prompt is listed at %d of 40 crashes", found)
	}
	if c := NewCrash(Incarnation{}, []Attempt{{Parts: []Fingerprint{part("first")}, Sent: now}}, &served, func(Fingerprint) bool { return false }, now); len(c.Parts) != 1 {
		t.Error("a part that was served before the request was sent is not listed")
	}
}

// Guards against bursts of crashes by requests that are sent to try a part: trials are rare, and a
// request with several quarantined parts waits longer.
func TestTrialsAreRare(t *testing.T) {
	var times TrialTimes
	start := time.Now()
	parts := []QuarantinedPart{{Part: part("bad")}, {Part: part("rare")}}
	trials := 0
	for at := time.Duration(0); at < 80*time.Second; at += 100 * time.Millisecond {
		times.Sync(parts, start.Add(at))
		if times.Grant([]Fingerprint{part("bad")}, start.Add(at)) {
			parts[0].Trials++
			trials++
		}
	}
	if trials < 1 || trials > 2 {
		t.Errorf("%d trials in 80 s", trials)
	}
	now := start.Add(firstTrialDelay + time.Second)
	times = TrialTimes{}
	times.Sync([]QuarantinedPart{{Part: part("bad")}, {Part: part("rare")}}, start)
	if both := []Fingerprint{part("bad"), part("rare")}; times.Grant(both, now) || !times.Grant(both, now.Add(sharedTrialDelay)) || !times.Grant(both[1:], now) {
		t.Error("a trial with two quarantined parts must be later than one with a single one, and allowed then")
	}
	later := now.Add(sharedTrialDelay)
	times.Sync([]QuarantinedPart{{Part: part("bad"), Shared: 1}, {Part: part("rare"), Shared: 1}}, later)
	if both := []Fingerprint{part("bad"), part("rare")}; times.Grant(both, later.Add(10*time.Second)) || !times.Grant(both[1:], later) {
		t.Error("a trial with two quarantined parts must delay the next such one, and none of a single part")
	}
	times.Sync([]QuarantinedPart{{Part: part("bad"), Trials: 3}}, now)
	times.Sync([]QuarantinedPart{{Part: part("bad"), Trials: 2}}, now)
	if bad := []Fingerprint{part("bad")}; times.Grant(bad, now) || !times.Grant(bad, now.Add(firstTrialDelay)) {
		t.Error("a trial that was not run must be due again soon")
	}
	times.Sync([]QuarantinedPart{{Part: part("bad")}, {Part: part("rare")}}, now)
	if times.Grant([]Fingerprint{part("unknown")}, now) || times.Grant(nil, now) {
		t.Error("a trial without a quarantined part is granted")
	}
	if ends := (CrashGroups{}); ends.Joins(start) || !ends.Joins(start.Add(50*time.Millisecond)) || ends.Joins(start.Add(150*time.Millisecond)) {
		t.Error("crashes are not grouped by the time since the first of a group")
	}
	times.Sync([]QuarantinedPart{{Part: part("burst"), Burst: true}}, now)
	if burst := []Fingerprint{part("burst")}; !times.Grant(burst, now) {
		t.Error("a part of one burst must be tried at once")
	}
	times.Sync([]QuarantinedPart{{Part: part("burst"), Burst: true, Trials: 1}}, now)
	if burst := []Fingerprint{part("burst")}; times.Grant(burst, now.Add(firstTrialDelay)) {
		t.Error("a part of one burst must be tried once at first")
	}
	if delay := TrialDelay(1000); delay != maxTrialDelay {
		t.Errorf("the delay after many trials is %v", delay)
	}
}
