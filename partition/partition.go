// Package partition divides the upstreams of a service between small and large requests.
//
// An upstream works on requests in the order of their arrival. A small request that is sent to one
// shortly after a large one takes as long as the large one, and neither entry knows of the other's
// request at that moment. If small requests have upstreams of their own, they only wait for each
// other. The upstreams are divided in proportion to the work, so that both parts are equally busy at
// any load, and all entries compute the same division without messages.
package partition

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// window is the number of requests that make up two thirds of the shares of the work. The mix of
	// sizes changes slowly compared to the number of requests.
	window = 512
	// minRequests is the number of requests of each size that must be known: below it a service may
	// have only one size.
	minRequests = 4
	// minUpstreams is the smallest number of upstreams that are divided: each part has to bear the
	// loss of an upstream.
	minUpstreams = 4
)

// Work tracks the work for small and for large requests. The zero value has observed none.
type Work struct {
	count        int
	small, large class
}

// class holds the mean work per request of any size that is due to requests of one size, and their
// number, which ends at minRequests.
type class struct {
	seen int
	work float64
}

// Observe adds one request that takes an upstream's time for ms milliseconds. A time that is no
// finite positive number is not counted.
func (w *Work) Observe(small bool, ms float64) {
	if !(ms > 0) || math.IsInf(ms, 1) {
		return
	}
	w.count = min(w.count+1, window)
	own, other := &w.large, &w.small
	if small {
		own, other = other, own
	}
	weight := 1 / float64(w.count)
	own.seen = min(own.seen+1, minRequests)
	own.work += weight * (ms - own.work)
	other.work -= weight * other.work
}

// SmallShare returns the share of the work that is due to small requests, 0 if it isn't known.
func (w *Work) SmallShare() float64 {
	if w.small.seen < minRequests || w.large.seen < minRequests {
		return 0
	}
	return w.small.work / (w.small.work + w.large.work)
}

// Rank returns the rank of an upstream: those with the lowest ranks serve small requests.
func Rank(upstream string) uint64 { return xxhash.Sum64String(upstream) }

// Division is a division of upstreams. The zero value divides none.
type Division struct {
	divided bool
	highest uint64
}

// Divide divides the upstreams with the given ranks, which it sorts: small requests get a share of
// them, at least one, and large requests as well.
func Divide(ranks []uint64, share float64) Division {
	if !(share > 0) || len(ranks) < minUpstreams {
		return Division{}
	}
	slices.Sort(ranks)
	small := int(math.Round(share * float64(len(ranks))))
	small = min(max(small, 1), len(ranks)-1)
	return Division{divided: true, highest: ranks[small-1]}
}

// Divided reports whether the upstreams are divided.
func (d Division) Divided() bool { return d.divided }

// Serves reports whether the upstream with a rank serves requests of a size.
func (d Division) Serves(rank uint64, small bool) bool {
	return !d.divided || small == (rank <= d.highest)
}
