package pace

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

// host is a shared host whose factor changes within a time; its logarithm has the deviation 0.5.
type host struct {
	random *rand.Rand
	change time.Duration
	value  float64
	at     time.Time
}

func (h *host) factor(now time.Time) float64 {
	kept := math.Exp(-float64(now.Sub(h.at)) / float64(h.change))
	h.value = kept*h.value + math.Sqrt(1-kept*kept)*0.5*h.random.NormFloat64()
	h.at = now
	return math.Exp(h.value)
}

// Guards against statements that are believed when they are stale, and against those that are
// forgotten while they hold: an entry gets an answer of each of 40 upstreams every 0.4 s, and their
// factors change within 30 ms, 300 ms or 30 s. Predictions have to be as good as the better of the
// latest statement and the mean.
func TestStatementsCountAsLongAsTheyHold(t *testing.T) {
	for _, change := range []time.Duration{30 * time.Millisecond, 300 * time.Millisecond, 30 * time.Second} {
		random := rand.New(rand.NewPCG(3, uint64(change)))
		var s Service
		upstreams, hosts := make([]Upstream, 40), make([]host, 40)
		for i := range hosts {
			hosts[i] = host{random: random, change: change, at: start, value: 0.5 * random.NormFloat64()}
		}
		now := start
		var predicted, latest, mean float64
		for step := range 8000 {
			now = now.Add(time.Duration(random.ExpFloat64() * float64(10*time.Millisecond)))
			i := random.IntN(len(hosts))
			u := &upstreams[i]
			actual := hosts[i].factor(now)
			if step > 4000 {
				predicted += square(math.Log(s.Factor(u, now)) - math.Log(actual))
				latest += square(u.stated - math.Log(actual))
				mean += square(math.Log(actual))
			}
			s.State(u, actual, now)
		}
		if predicted > 1.08*min(latest, mean) {
			t.Errorf("change within %v: squared error %.0f, the latest statement has %.0f and the mean %.0f", change, predicted, latest, mean)
		}
		// Times far below the interval between statements of one upstream can't be told apart.
		if got := s.Change(); got < change/4 || got > max(4*change, 400*time.Millisecond/4) {
			t.Errorf("statements change within %v, found %v", change, got)
		}
	}
}

func square(x float64) float64 { return x * x }

// An upstream that has stated nothing, such as one that was restarted, has the mean of the service.
func TestUnknownUpstreamHasMeanPace(t *testing.T) {
	var s Service
	if got := s.Factor(&Upstream{}, start); got != 1 {
		t.Errorf("factor %v before any statement", got)
	}
	for range 100 {
		var u Upstream
		s.State(&u, 2, start)
	}
	if got := s.Factor(&Upstream{}, start); got < 1.9 || got > 2.1 {
		t.Errorf("factor %v of an unknown upstream, the others have 2", got)
	}
}

// Guards against wild statements and times: a prediction stays within its bounds and is a number.
func TestWildFiguresAreBounded(t *testing.T) {
	var s Service
	var u Upstream
	for _, factor := range []float64{math.NaN(), math.Inf(1), 0, -4, 1e300, 1e-300, math.MaxFloat64} {
		for i := range 100 {
			now := start.Add(time.Duration(i%3-1) * time.Hour)
			s.State(&u, factor, now)
			s.Measure(&u, factor, now)
			if got := s.Factor(&u, now); !(got >= 1/maxFactor-1e-9 && got <= maxFactor+1e-9) {
				t.Fatalf("factor %v after %v", got, factor)
			}
		}
	}
}

// Guards against sound upstreams that count as slow because requests queue at them, and slow ones
// that don't: half of all answers take up to ten times as long for other reasons.
func TestSlownessIsNoQueueing(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 5))
	var s Service
	measure := func(slowness float64) float64 {
		var u Upstream
		now, sum := start, 0.0
		for i := range 400 {
			now = now.Add(100 * time.Millisecond)
			took := slowness * (0.9 + 0.2*random.Float64())
			if random.IntN(2) == 0 {
				took *= 1 + 9*random.Float64()
			}
			s.Measure(&u, took, now)
			if i >= 100 {
				sum += s.Factor(&u, now) / 300
			}
		}
		if after := s.Factor(&u, now.Add(time.Minute)); after > 1.01 {
			t.Errorf("factor %v a minute after the last answer", after)
		}
		return sum
	}
	if got := measure(1); got > 1.4 {
		t.Errorf("a sound upstream counts as %.2f times as slow", got)
	}
	if got := measure(4); got < 2.5 || got > 5 {
		t.Errorf("an upstream that takes 4 times as long counts as %.2f times as slow", got)
	}
}
