package gateway

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lovagereach/lovagereach/placement"
)

// Guards against choices that assume a wrong prefill rate, which save parts that aren't worth
// it, or give slow engines seconds of work. Engines prefill 3 times slower to 3 times faster
// than assumed, and prompts are 4 times smaller or larger. After 150 prompts to idle runners,
// the choices have to be those made with the true rate.
func TestChoicesFollowObservedPrefillRate(t *testing.T) {
	for _, perMs := range []float64{22, 40, 120, 360} {
		for _, scale := range []float64{0.25, 1, 4} {
			synctest.Test(t, func(t *testing.T) { testChoicesFollowPrefillRate(t, perMs, scale) })
		}
	}
}

func testChoicesFollowPrefillRate(t *testing.T, perMs, scale float64) {
	random := rand.New(rand.NewPCG(1, uint64(perMs)))
	size := func(mean float64) int { return int(scale * mean * (0.5 + random.Float64())) }
	g, _ := testGateway(t, func(_ int, s *Send) (*Answer, error) {
		tokens := s.Request.Prompt.size() - s.Request.Prompt.Output
		first := 15 + float64(tokens)/perMs + 4*random.Float64()
		return &Answer{Status: 200, Body: &delayedBody{first: time.Duration(first * float64(time.Millisecond))}}, nil
	})
	for i := range 150 {
		r := request("/stream/x")
		r.Prompt = prompt(placement.Part{ID: "own", Tokens: size(300 + 1500*float64(i%3))})
		r.Wait, r.Arrived = time.Hour, time.Now()
		serve(g, r)
	}
	learned, truth := g.state.ratesOf("llm", placement.DefaultRates()), placement.DefaultRates()
	truth.PrefillPerMs = perMs
	differ, all := 0, 0
	for i := range 600 {
		runners := make([]placement.Runner, 18)
		for at := range runners {
			runners[at] = placement.Runner{ID: fmt.Sprint(at), Slots: 64, Memory: 94000, PendingPrefill: random.IntN(int(100 * perMs))}
		}
		p := placement.Prompt{
			Parts:      []placement.Part{{ID: fmt.Sprint(i), Tokens: size(6000)}, {ID: "own", Tokens: size(2000)}},
			TokenBytes: 163840, Complete: [][]int{{0}, nil},
		}
		stores := []placement.Store{{Address: "s", LinkMbps: 350000, FirstByte: 6 * time.Millisecond, Capacity: 1 << 24, Open: i%4 > 0}}
		a, _ := placement.Choose(&learned, "m.1", &p, runners, stores)
		b, _ := placement.Choose(&truth, "m.1", &p, runners, stores)
		if a.Runner != b.Runner || a.Fetch[0] != b.Fetch[0] {
			differ++
		}
		small := placement.Part{ID: fmt.Sprint(i), Tokens: size(400)}
		if placement.KeepAt(&learned, "m.1", small, 163840, stores) != placement.KeepAt(&truth, "m.1", small, 163840, stores) {
			differ++
		}
		all += 2
	}
	if share := float64(differ) / float64(all); share > 0.03 {
		t.Errorf("%v tokens a ms, sizes times %v: %.3f of the choices differ (%.0f tokens a ms learned)", perMs, scale, share, learned.PrefillPerMs)
	}
}
