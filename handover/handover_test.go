package handover

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/lovagereach/lovagereach/estimate"
)

var wall = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// observer returns the estimates of an entry that has seen n prompts of an engine that prefills
// perMs tokens a ms.
func observer(random *rand.Rand, n int, perMs float64) Estimates {
	p := estimate.NewPrefillTime(120, 50*time.Millisecond)
	for range n {
		tokens := 200 + random.IntN(6000)
		ms := 90 + float64(tokens)/perMs + 5*random.Float64()
		p.Observe(tokens, time.Duration(ms*float64(time.Millisecond)))
	}
	return Estimates{
		Services: []Service{{Name: "llm", Prefill: p.Observed(), Small: 1800 + random.IntN(400)}},
		Routes:   []Route{{Name: "ask", WaitMs: 14000 + int64(random.IntN(1000))}},
	}
}

func perMs(e Estimates) float64 {
	perMs, _ := e.Services[0].Prefill.Line(120, 50)
	return perMs
}

// Guards against entries that all choose by assumed rates after a start into a crowd, because none
// has enough observations of its own: together they have.
func TestManyEntriesKnowTogetherWhatNoneKnowsAlone(t *testing.T) {
	for _, entries := range []int{7, 74, 300} {
		random := rand.New(rand.NewPCG(1, uint64(entries)))
		var observers []Estimates
		for range entries {
			observers = append(observers, observer(random, 3, 56))
		}
		if alone := perMs(observers[0]); alone != 120 {
			t.Fatalf("%.0f tokens a ms known after 3 prompts", alone)
		}
		merged := Merge(Estimates{}, observers)
		if got := perMs(merged); got < 50 || got > 62 {
			t.Errorf("%d entries: %.1f tokens a ms, want about 56", entries, got)
		}
		if got := merged.Services[0].Small; got < 1900 || got > 2100 || !merged.Services[0].Prefill.Valid() {
			t.Errorf("%d entries: small up to %d, %+v", entries, got, merged.Services[0].Prefill)
		}
	}
}

// Guards against one entry that is wrong, by a fault or on purpose, and leads all others to choose
// by its values.
func TestWrongEntryDoesNotDecide(t *testing.T) {
	random := rand.New(rand.NewPCG(2, 2))
	for _, lie := range []float64{1, 3000} {
		observers := []Estimates{observer(random, 200, lie)}
		for range 6 {
			observers = append(observers, observer(random, 40, 56))
		}
		observers[0].Services[0].Small, observers[0].Routes[0].WaitMs = maxSize, maxWait.Milliseconds()
		merged := Merge(Estimates{}, observers)
		if got := perMs(merged); got < 45 || got > 70 {
			t.Errorf("an entry claims %.0f tokens a ms: %.1f merged, want about 56", lie, got)
		}
		if s, r := merged.Services[0], merged.Routes[0]; s.Small > 2500 || r.WaitMs > 16000 {
			t.Errorf("small up to %d, callers wait %d ms", s.Small, r.WaitMs)
		}
	}
}

// Guards against a good result that is replaced by that of the few entries that report first after
// a restart, and against one that never follows a change of the engines.
func TestResultFollowsEnginesSlowly(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 3))
	known := Merge(Estimates{}, []Estimates{observer(random, 300, 56), observer(random, 300, 56), observer(random, 300, 56)})
	if got := perMs(Merge(known, []Estimates{observer(random, 1, 20)})); got < 45 || got > 65 {
		t.Errorf("%.1f tokens a ms after one report of one prompt, want about 56", got)
	}
	for range 12 {
		known = Merge(known, []Estimates{observer(random, 300, 20), observer(random, 300, 20), observer(random, 300, 20)})
	}
	if got := perMs(known); got < 18 || got > 23 {
		t.Errorf("%.1f tokens a ms after a change to 20", got)
	}
}

// Guards against a start from a snapshot that was damaged, is old, was written by another build or
// holds what no observations can have led to. Each is told apart, and none is used in part.
func TestBadSnapshotsAreThrownAway(t *testing.T) {
	good := observer(rand.New(rand.NewPCG(4, 4)), 100, 56)
	snapshot := Encode(good, wall)
	changed := func(change func(*Estimates)) []byte {
		e := observer(rand.New(rand.NewPCG(4, 4)), 100, 56)
		change(&e)
		return Encode(e, wall)
	}
	flipped, newer, garbage := bytes.Clone(snapshot), bytes.Clone(snapshot), bytes.Repeat([]byte{0xff}, 60)
	flipped[len(flipped)/2] ^= 4
	newer[0] = version + 1
	garbage[0] = version
	binary.BigEndian.PutUint32(garbage[1:], crc32.ChecksumIEEE(garbage[headLength:]))
	many := func(e *Estimates) {
		for i := range 4000 {
			e.Routes = append(e.Routes, Route{Name: fmt.Sprintf("%0100d", i), WaitMs: 1000})
		}
	}
	for _, c := range []struct {
		name string
		data []byte
		at   time.Time
		want Result
	}{
		{"good", snapshot, wall.Add(maxAge), Used},
		{"more routes than fit", changed(many), wall, Used},
		{"none", nil, wall, Damaged},
		{"cut short", snapshot[:len(snapshot)-3], wall, Damaged},
		{"a flipped bit", flipped, wall, Damaged},
		{"garbage with a right checksum", garbage, wall, Damaged},
		{"too long", append(bytes.Clone(snapshot), make([]byte, MaxBytes)...), wall, Damaged},
		{"another format", newer, wall, Newer},
		{"old", snapshot, wall.Add(maxAge + time.Millisecond), Stale},
		{"from the future", snapshot, wall.Add(-maxAhead - time.Millisecond), Stale},
		{"no number", changed(func(e *Estimates) { e.Services[0].Prefill.Tokens = math.NaN() }), wall, Absurd},
		{"endless", changed(func(e *Estimates) { e.Services[0].Prefill.TokensByMs = math.Inf(1) }), wall, Absurd},
		{"all weight", changed(func(e *Estimates) { e.Services[0].Prefill.Weight = 1e9 }), wall, Absurd},
		{"negative size", changed(func(e *Estimates) { e.Services[0].Small = -1 }), wall, Absurd},
		{"endless wait", changed(func(e *Estimates) { e.Routes[0].WaitMs = math.MaxInt64 }), wall, Absurd},
		{"long name", changed(func(e *Estimates) { e.Routes[0].Name = string(make([]byte, maxName+1)) }), wall, Absurd},
	} {
		e, got := Decode(c.data, c.at)
		if got != c.want || got != Used && !e.Empty() {
			t.Errorf("%s: %v with %d services, want %v", c.name, got, len(e.Services), c.want)
		}
	}
}

// Guards against reports that cost more than they are worth: entries whose estimates have settled
// report three times a minute, each some hundred bytes, whatever the number of their requests.
func TestSettledEntriesReportRarely(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 5))
	p := estimate.NewPrefillTime(120, 50*time.Millisecond)
	var r Reporter
	reports, sent, asked := 0, 0, 0
	now := wall
	for now.Before(wall.Add(10 * time.Minute)) {
		now = now.Add(40 * time.Millisecond)
		tokens := 200 + random.IntN(6000)
		p.Observe(tokens, time.Duration((90+float64(tokens)/56+20*random.Float64())*float64(time.Millisecond)))
		data := r.Report(func() Estimates {
			asked++
			return Estimates{Services: []Service{{Name: "llm", Prefill: p.Observed(), Small: 2000}}}
		}, now, now)
		if data != nil {
			reports, sent = reports+1, sent+len(data)
		}
	}
	if reports < 25 || reports > 60 || asked > 305 || sent/reports > 400 {
		t.Errorf("%d reports in 10 minutes of %d bytes each, asked %d times", reports, sent/reports, asked)
	}
}

// Guards against a release that is right for one size of the deployment only: the runners read what
// waited in the time over which it is released, whatever the numbers of entries and runners.
func TestReleaseFollowsSize(t *testing.T) {
	for _, c := range []struct {
		crowd Crowd
		want  time.Duration
	}{
		{Crowd{Tokens: 0, Entries: 64, Runners: 60, PerMs: 50}, 0},
		{Crowd{Tokens: 6000, Entries: 64, Runners: 60, PerMs: 50}, 256 * time.Millisecond},
		{Crowd{Tokens: 6000, Entries: 128, Runners: 120, PerMs: 50}, 256 * time.Millisecond},
		{Crowd{Tokens: 6000, Entries: 7, Runners: 60, PerMs: 50}, 28 * time.Millisecond},
		{Crowd{Tokens: 6000, Entries: 64, Runners: 60, PerMs: 5}, maxRelease},
		{Crowd{Tokens: 6000, Entries: 64}, maxRelease},
	} {
		if got := c.crowd.ReleaseTime(); got != c.want {
			t.Errorf("%+v: released over %v, want %v", c.crowd, got, c.want)
		}
	}
}

func BenchmarkMerge(b *testing.B) {
	random := rand.New(rand.NewPCG(6, 6))
	var observers []Estimates
	for range 300 {
		observers = append(observers, observer(random, 20, 56))
	}
	for b.Loop() {
		Merge(Estimates{}, observers)
	}
}
