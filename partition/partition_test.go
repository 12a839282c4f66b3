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
