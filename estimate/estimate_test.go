package estimate

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Engines whose speeds differ by a factor of a hundred serve prompts of any size, with
// noise and with an occasional delayed answer. An estimate that stays at its start value
// would mistake slow prefill for a slow store, or leave a runner with seconds of pending
// prefill.
func TestPrefillTimeFollowsAnyEngineSpeed(t *testing.T) {
	for _, perMs := range []float64{4, 22, 66, 120, 157, 500} {
		for _, size := range []int{400, 2400, 17000} {
			random := rand.New(rand.NewPCG(1, uint64(size)))
			r := NewPrefillTime(120, 50*time.Millisecond)
			for i := range 400 {
				tokens := size/4 + random.IntN(2*size)
				ms := 20 + float64(tokens)/perMs*(0.95+0.1*random.Float64()) + 3*random.Float64()
				if i%20 == 7 {
					ms += 800
				}
				r.Observe(tokens, time.Duration(ms*float64(time.Millisecond)))
			}
			// The predicted time is what matters: within a fifth, plus what noise adds.
			got, want := r.BaseMs()+float64(size)/r.PerMs(), 20+float64(size)/perMs
			if got < 0.8*want-5 || got > 1.35*want+45 {
				t.Errorf("%v tokens a ms, prompts of %d: predicted %.0f ms, takes %.0f", perMs, size, got, want)
			}
		}
	}
}

func TestPrefillTimeStartsAtStartValueAndDecays(t *testing.T) {
	r := NewPrefillTime(120, 50*time.Millisecond)
	for range 7 {
		r.Observe(6000, time.Second)
	}
	if r.PerMs() != 120 || r.BaseMs() != 50 {
		t.Errorf("%.0f tokens a ms after 7 observations, want the start value 120", r.PerMs())
	}
	feed := func(perMs float64) {
		for i := range 300 {
			tokens := 1000 + 50*(i%100)
			r.Observe(tokens, time.Duration((20+float64(tokens)/perMs)*float64(time.Millisecond)))
		}
	}
	feed(40)
	if got := r.PerMs(); got < 36 || got > 44 {
		t.Errorf("%.0f tokens a ms, want 36 to 44", got)
	}
	feed(160)
	if got := r.PerMs(); got < 144 || got > 176 {
		t.Errorf("%.0f tokens a ms after a change to 160, want 144 to 176", got)
	}
}

// With prompts of one size only, the slope cannot be separated from the intercept.
func TestPrefillTimeWithOnePromptSize(t *testing.T) {
	r := NewPrefillTime(120, 50*time.Millisecond)
	for range 100 {
		r.Observe(6000, 200*time.Millisecond)
	}
	if took := r.BaseMs() + 6000/r.PerMs(); took < 190 || took > 210 {
		t.Errorf("predicted %.0f ms, takes 200", took)
	}
	r.Observe(0, time.Second)
	r.Observe(100, 0)
	if got := r.PerMs(); got < 30 || got > 50 {
		t.Errorf("%.0f tokens a ms, want 30 to 50", got)
	}
}

// Many short checks run beside a few long reviews. Whatever their sizes, the checks must
// count as small and the reviews must not. If all prompts have about the same size, none
// may be held back as large.
func TestSmallLiesBetweenSmallAndLargePrompts(t *testing.T) {
	for _, scale := range []float64{0.25, 1, 4, 16} {
		s := NewSize(2000)
		for i := range 2000 {
			tokens := 600.0
			if i%6 == 0 {
				tokens = 12000
			}
			s.Observe(int(tokens * scale))
		}
		if small := float64(s.Small()); small < 700*scale || small > 8000*scale {
			t.Errorf("sizes of 600 and 12000 times %v: small up to %.0f tokens", scale, small)
		}
	}
	for _, size := range []int{40, 400, 9000} {
		same := NewSize(2000)
		for i := range 500 {
			same.Observe(size + (i%5-2)*size/10)
		}
		if small := same.Small(); small < size*13/10 || small > 3*size {
			t.Errorf("all prompts have about %d tokens: small up to %d", size, small)
		}
	}
	s := NewSize(2000)
	for range 10 {
		s.Observe(90000)
	}
	if s.Small() != 2000 {
		t.Errorf("small up to %d tokens after ten prompts, want the start value 2000", s.Small())
	}
}

// Callers wait 15 s at most, and some retry with the remaining part of it. When an operator
// lowers the limit to 5 s, the estimate must follow: with the old value all callers would
// count as retries.
func TestLongestFollowsCallerWaits(t *testing.T) {
	var l Longest
	if l.Value() != 0 {
		t.Errorf("estimate %v before any observation", l.Value())
	}
	for i := range 1000 {
		l.Observe(time.Duration(3+12*((i+1)%2)) * time.Second)
	}
	if got := l.Value(); got < 14900*time.Millisecond || got > 15*time.Second {
		t.Errorf("estimate %v, callers wait 15 s", got)
	}
	for range 2000 {
		l.Observe(5 * time.Second)
	}
	if got := l.Value(); got != 5*time.Second {
		t.Errorf("estimate %v after a change to 5 s", got)
	}
}
