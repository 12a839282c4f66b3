package estimate

import (
	"math"
	"math/rand/v2"
	"testing"
)

// Guards against hints that are far off: what counts stays between one token and the maximum that
// the request declares, and the correction of a sender stays within its bounds.
func TestHintsStayWithinMaximum(t *testing.T) {
	var h OutputHints
	for _, hint := range []int{0, -1, math.MinInt, 1, 30, 31, math.MaxInt} {
		for range 50 {
			h.Observe(hint, math.MaxInt)
		}
		if got := h.Expect(hint, 30); got < 1 || got > 30 {
			t.Errorf("hint %d counts as %d, want 1 to 30", hint, got)
		}
	}
	for _, hint := range []int{0, -7} {
		if got := h.Expect(hint, 30); got != 30 {
			t.Errorf("no hint counts as %d, want the maximum", got)
		}
	}
}

// Hints that are right at the median and far off in both directions cover four in five outputs after
// the correction. A sender that changes is corrected anew.
func TestCorrectedHintsCoverMostOutputs(t *testing.T) {
	for name, off := range map[string]float64{"right at the median": 1, "a third of the output": 3, "twice the output": 0.5} {
		random := rand.New(rand.NewPCG(7, 7))
		var h OutputHints
		covered := 0
		for i := range 3000 {
			hint := 20 + random.IntN(100)
			made := int(float64(hint) * off * math.Exp(0.7*random.NormFloat64()))
			if i >= 1000 && h.Expect(hint, 1e6) >= made {
				covered++
			}
			h.Observe(hint, made)
		}
		if share := float64(covered) / 2000; share < 0.74 || share > 0.93 {
			t.Errorf("%s: %.2f of the outputs are covered", name, share)
		}
	}
}
