package partition

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

// mixed returns what an entry knows of a mix in which one request in ten is large and takes an
// upstream's time 30 times as long.
func mixed(seed uint64, n int) *Work {
	random := rand.New(rand.NewPCG(seed, 1))
	w := &Work{}
	for range n {
		if random.IntN(10) == 0 {
			w.Observe(false, 120*(0.5+random.Float64()))
			continue
		}
		w.Observe(true, 4*(0.5+random.Float64()))
	}
	return w
}

func ranks(n int) []uint64 {
	list := make([]uint64, n)
	for i := range list {
		list[i] = Rank(fmt.Sprint("u", i))
	}
	return list
}

// The share of the work is 0.9 x 4 / (0.9 x 4 + 0.1 x 120) = 0.23. Entries that see different
// requests of the same mix must agree on nearly all upstreams.
func TestEntriesAgreeOnDivision(t *testing.T) {
	for _, n := range []int{7, 60, 72, 300} {
		counts := make([]int, n)
		const entries = 40
		for entry := range uint64(entries) {
			d := Divide(ranks(n), mixed(entry, 1500).SmallShare())
			for i := range n {
				if d.Serves(Rank(fmt.Sprint("u", i)), true) {
					counts[i]++
				}
			}
		}
		total, disputed := 0, 0
		for _, c := range counts {
			total += c
			if c > entries/10 && c < entries*9/10 {
				disputed++
			}
		}
		if share := float64(total) / entries / float64(n); share < 0.14 || share > 0.3 {
			t.Errorf("%d upstreams: %.2f of them for small requests, want about 0.23", n, share)
		}
		if disputed > max(n/8, 1) {
			t.Errorf("%d upstreams: entries disagree on %d", n, disputed)
		}
	}
}

func TestUpstreamServesOneSize(t *testing.T) {
	for _, share := range []float64{1e-9, 0.3, 1} {
		d, small := Divide(ranks(60), share), 0
		for _, rank := range ranks(60) {
			if d.Serves(rank, true) == d.Serves(rank, false) {
				t.Fatal("an upstream serves both sizes, or none")
			}
			if d.Serves(rank, true) {
				small++
			}
		}
		if want := min(max(int(math.Round(share*60)), 1), 59); small != want {
			t.Errorf("share %v: %d upstreams for small requests, want %d", share, small, want)
		}
	}
}

// Guards against a service that gets requests of one size only, or has too few upstreams, and keeps
// some of them idle.
func TestNothingIsDividedForOneSize(t *testing.T) {
	var one, few Work
	for range 1000 {
		one.Observe(true, 4)
	}
	for range minRequests - 1 {
		few.Observe(true, 4)
		few.Observe(false, 100)
	}
	wild := &Work{}
	for range 10 {
		for _, ms := range []float64{0, -5, math.NaN(), math.Inf(1)} {
			wild.Observe(true, ms)
			wild.Observe(false, ms)
		}
	}
	for name, share := range map[string]float64{
		"one size": one.SmallShare(), "few": few.SmallShare(), "no times": wild.SmallShare(), "negative": -1, "not a number": math.NaN(),
	} {
		if d := Divide(ranks(60), share); d.Divided() || !d.Serves(1, true) || !d.Serves(1, false) {
			t.Errorf("%s: the upstreams are divided", name)
		}
	}
	if Divide(ranks(minUpstreams-1), 0.3).Divided() {
		t.Error("too few upstreams are divided")
	}
}

// Large requests that come no more give their upstreams back.
func TestDivisionFollowsMix(t *testing.T) {
	w := mixed(1, 2000)
	before := w.SmallShare()
	for range 4 * window {
		w.Observe(true, 4)
	}
	if after := w.SmallShare(); after < 0.9 || before > 0.3 {
		t.Errorf("small requests have %.2f of the work and %.2f after large ones end", before, after)
	}
}

// runner works on prompts in the order of their arrival.
type runner struct{ freeAt float64 }

func (r *runner) serve(at, ms float64) (first float64) {
	r.freeAt = max(r.freeAt, at) + ms
	return r.freeAt - at
}

// Guards against short prompts that stand behind long ones which other entries have just sent: 60
// runners get 950 short prompts and 80 long ones a second from entries that don't know of each
// other's sends. With a division, a third as many short prompts wait for more than 100 ms, also while
// a tenth of the runners is lost, and long ones wait at most half as long again.
func TestShortPromptsDoNotStandBehindLongOnes(t *testing.T) {
	const shortMs, longMs, seconds = 4, 120, 60
	replay := func(divided bool, lost int) (shortLate, longWait float64) {
		random := rand.New(rand.NewPCG(11, 3))
		var division Division
		if divided {
			division = Divide(ranks(60), mixed(1, 1500).SmallShare())
		}
		var parts [2][]*runner
		for _, rank := range ranks(60)[lost:] {
			r := &runner{}
			for size, small := range []bool{true, false} {
				if division.Serves(rank, small) {
					parts[size] = append(parts[size], r)
				}
			}
		}
		shorts, longs, late := 0, 0, 0
		for at := 0.0; at < seconds*1000; at += random.ExpFloat64() * 1000 / 1030 {
			if random.IntN(1030) < 950 {
				if parts[0][random.IntN(len(parts[0]))].serve(at, shortMs) > 100 {
					late++
				}
				shorts++
				continue
			}
			longWait += parts[1][random.IntN(len(parts[1]))].serve(at, longMs) - longMs
			longs++
		}
		return float64(late) / float64(shorts), longWait / float64(longs)
	}
	for _, lost := range []int{0, 6} {
		before, waitBefore := replay(false, lost)
		after, waitAfter := replay(true, lost)
		if after > before/3 {
			t.Errorf("%d runners lost: %.3f of the short prompts wait for over 100 ms, %.3f without a division", lost, after, before)
		}
		if waitAfter > 1.5*waitBefore {
			t.Errorf("%d runners lost: long prompts wait for %.0f ms, %.0f without a division", lost, waitAfter, waitBefore)
		}
		t.Logf("%d lost: short late %.3f -> %.3f, long wait %.0f -> %.0f ms", lost, before, after, waitBefore, waitAfter)
	}
}
