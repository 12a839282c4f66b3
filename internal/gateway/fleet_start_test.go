package gateway

import (
	"testing"
	"testing/synctest"
	"time"
)

// Guards against entries that all start into a crowd with an assumed rate twice that of the engines:
// they take runners for nearly idle that have work for a second. Load: callers need nine tenths of the
// prefill rate from the first moment on, and every shared part is computed for the first time.
func TestEntriesThatStartIntoACrowdKnowTheRate(t *testing.T) {
	t.Parallel()
	const plays = 6
	inTime := func(handover bool) (sum float64) {
		for seed := range uint64(plays) {
			shape := smallFleet()
			shape.prefillPerMs, shape.length, shape.seed = 56, 3*time.Second, seed
			synctest.Test(t, func(t *testing.T) {
				f := newModelFleet(t, shape)
				for _, g := range f.gateways {
					g.state.exchange.enabled = handover
					g.ApplyAnswer(learnedAnswer(56, func([]byte) {}), time.Now())
				}
				result := f.run()
				t.Logf("handover %v: %v", handover, result)
				sum += result.share(result.inTime, "short")
			})
		}
		return sum / plays
	}
	with, without := inTime(true), inTime(false)
	t.Logf("short prompts in time: %.3f with the rate known, %.3f without", with, without)
	if with < without+0.02 {
		t.Errorf("%.3f of the short prompts are in time with the rate known, %.3f without", with, without)
	}
}
