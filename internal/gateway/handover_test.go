package gateway

import (
	"io"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lovagereach/lovagereach/estimate"
	"github.com/lovagereach/lovagereach/handover"
	"github.com/lovagereach/lovagereach/internal/steward"
	"github.com/lovagereach/lovagereach/placement"
)

// learnedAnswer returns an answer with the estimates of an engine, changed by change.
func learnedAnswer(perMs float64, change func([]byte)) *steward.WatchAnswer {
	p := estimate.NewPrefillTime(120, initialBaseTime)
	for i := range 100 {
		tokens := 500 + 900*(i%5)
		p.Observe(tokens, time.Duration((90+float64(tokens)/perMs)*float64(time.Millisecond)))
	}
	snapshot := handover.Encode(handover.Estimates{
		Services: []handover.Service{{Name: "llm", Prefill: p.Observed(), Small: 900}, {Name: "gone", Prefill: p.Observed()}},
		Routes:   []handover.Route{{Name: "stream", WaitMs: time.Hour.Milliseconds()}, {Name: "gone", WaitMs: 1000}},
	}, time.Now())
	change(snapshot)
	return &steward.WatchAnswer{Partial: true, Learned: snapshot, LearnedRevision: 1}
}

// Guards against an entry that starts into a crowd with assumed values although others know better,
// and against one that follows them blindly: a snapshot that can't be used changes nothing, one that
// names what the configuration lacks is used for the rest, and what the entry observes itself
// prevails.
func TestEntryStartsFromWhatOthersLearned(t *testing.T) {
	for _, c := range []struct {
		name    string
		enabled bool
		change  func([]byte)
		result  handover.Result
		used    bool
	}{
		{"good", true, func([]byte) {}, handover.Used, true},
		{"not switched on", false, func([]byte) {}, handover.Used, false},
		{"damaged", true, func(b []byte) { b[len(b)-1] ^= 1 }, handover.Damaged, false},
		{"of another build", true, func(b []byte) { b[0]++ }, handover.Newer, false},
	} {
		synctest.Test(t, func(t *testing.T) {
			g, _ := testGateway(t, func(int, *Send) (*Answer, error) { return stream(io.EOF, "1"), nil })
			g.state.exchange.enabled = c.enabled
			for range 3 {
				g.ApplyAnswer(learnedAnswer(56, c.change), time.Now())
			}
			g.state.mu.Lock()
			defer g.state.mu.Unlock()
			perMs, small := g.state.prefillOf("llm").PerMs(), g.state.learnedOf("llm").size.Small()
			if used := perMs > 50 && perMs < 62 && small == 900; used != c.used || !used && (perMs != 120 || small != smallTokens) {
				t.Errorf("%s: %.1f tokens a ms, small up to %d", c.name, perMs, small)
			}
			if got := g.meter.snapshots[c.result].Get(); c.enabled && got != 1 {
				t.Errorf("%s: counted %d times", c.name, got)
			}
			if g.state.learned["gone"] != nil || g.state.usualWaits["gone"] != nil {
				t.Errorf("%s: what the configuration lacks was used", c.name)
			}
			route := g.state.index.Route("h", "/stream/x")
			if longest := g.state.usualWaits["stream"]; c.used && (longest == nil || longest.Value() > route.Timeout) {
				t.Errorf("%s: callers wait %v, the route allows %v", c.name, longest, route.Timeout)
			}
			for i := range 200 {
				tokens := 500 + 900*(i%5)
				g.state.prefillOf("llm").Observe(tokens, time.Duration((90+float64(tokens)/20)*float64(time.Millisecond)))
			}
			if perMs := g.state.prefillOf("llm").PerMs(); perMs < 18 || perMs > 22 {
				t.Errorf("%s: %.1f tokens a ms after own observations of 20", c.name, perMs)
			}
		})
	}
}

// Guards against entries that never learn a rate under load, because no runner is idle and no
// prompt is known to be computed in full: at each of them other answers are under way, and it has
// half of the shared parts.
func TestRateIsLearnedFromBusyRunners(t *testing.T) {
	for _, perMs := range []float64{25, 56, 250} {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(7, uint64(perMs)))
			g, _ := testGateway(t, func(_ int, s *Send) (*Answer, error) {
				parts := s.Request.Prompt.Parts
				tokens := parts[1].Tokens
				if random.IntN(2) == 0 {
					tokens += parts[0].Tokens
				}
				first := 90 + float64(tokens)/perMs + 8*random.Float64()
				return &Answer{Status: 200, Body: &delayedBody{first: time.Duration(first * float64(time.Millisecond))}}, nil
			})
			g.state.exchange.enabled = true
			for range 150 {
				for _, u := range g.state.upstreams {
					u.others = steward.Load{Requests: 1, Tokens: 5000}
				}
				r := request("/stream/x")
				r.Prompt = prompt(placement.Part{ID: "shared", Tokens: 6000 + random.IntN(9000)}, placement.Part{ID: "own", Tokens: 100 + random.IntN(2000)})
				serve(g, r)
			}
			g.state.mu.Lock()
			defer g.state.mu.Unlock()
			if got := g.state.prefillOf("llm").PerMs(); got < 0.75*perMs || got > 1.3*perMs {
				t.Errorf("%.1f tokens a ms learned, the engine computes %.0f", got, perMs)
			}
			if report := g.state.ownEstimates(); len(report.Services) != 1 || !report.Services[0].Prefill.Valid() {
				t.Errorf("reports %+v", report)
			}
		})
	}
}
