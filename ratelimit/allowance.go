package ratelimit

import "time"

const (
	// fallbackShare is the fraction of a limit that entries without confirmed shares use
	// together. Entries with shares may use all of the limit at the same time.
	fallbackShare = 0.15
	// minFallback is the lowest fallback rate in requests a second. If the entries are more than
	// the limit has such rates, some of them, drawn by hash, send nothing.
	minFallback = 0.5
	// minEntries is the smallest number of entries assumed for the fallback: it applies while the
	// number is unknown.
	minEntries = 8
	// burstTime is the time for which an unused share accumulates, at least one request.
	burstTime = 125 * time.Millisecond
)

// Allowance is what one entry may send to limited upstreams. It is not safe for concurrent use.
type Allowance struct {
	*Observations
	host    string
	entries int
	shares  map[string]float64
	// validUntil is the time until which the shares may be used.
	validUntil time.Time
	buckets    map[string]*bucket
}

// bucket is a token bucket. It starts empty, since an earlier incarnation of the entry, or an
// earlier holder of the share, may have used what was due.
type bucket struct {
	tokens float64
	at     time.Time
}

// refill adds the tokens of the time since the last refill.
func (b *bucket) refill(perSecond float64, now time.Time) {
	burst := max(1, perSecond*burstTime.Seconds())
	b.tokens = min(b.tokens+perSecond*now.Sub(b.at).Seconds(), burst)
	b.at = now
}

// NewAllowance returns the allowance of an entry that starts.
func NewAllowance(host string) *Allowance {
	return &Allowance{Observations: NewObservations(), host: host, shares: make(map[string]float64), buckets: make(map[string]*bucket)}
}

// SetEntries sets the number of entries, 0 if unknown. Those without requests count: any of them
// may get requests while it is partitioned from the control hosts.
func (a *Allowance) SetEntries(entries int) { a.entries = entries }

// SetShares replaces the shares with those that the leader confirmed at the given time.
func (a *Allowance) SetShares(shares []Share, confirmed, now time.Time) {
	for upstream, b := range a.buckets {
		if !a.Limit(upstream).Limited {
			delete(a.buckets, upstream)
			continue
		}
		b.refill(a.Rate(upstream, now), now)
	}
	clear(a.shares)
	a.validUntil = confirmed.Add(Validity)
	for _, s := range shares {
		a.shares[s.Upstream] = s.PerSecond
	}
}

// Rate returns the requests a second that this entry may send to a limited upstream.
func (a *Allowance) Rate(upstream string, now time.Time) float64 {
	if now.Before(a.validUntil) {
		return a.shares[upstream]
	}
	return FallbackRate(upstream, a.host, a.Limit(upstream), a.entries)
}

// FallbackRate returns the requests a second of an entry without confirmed shares. The rates of
// all entries add up to fallbackShare of the limit, on average where it is small.
func FallbackRate(upstream, host string, limit Limit, entries int) float64 {
	each := fallbackShare * limit.effective() / float64(max(entries, minEntries))
	if each >= minFallback {
		return each
	}
	if unit(upstream, host) < each/minFallback {
		return minFallback
	}
	return 0
}

// Allows reports whether one more request may be sent to an upstream now.
func (a *Allowance) Allows(upstream string, now time.Time) bool {
	return !a.Limit(upstream).Limited || a.bucket(upstream, now).tokens >= 1
}

// DueAt returns when the next request may be sent to an upstream: now if Allows, otherwise later.
// Without a rate it is Validity ahead, by when the entry's shares are replaced or have expired.
func (a *Allowance) DueAt(upstream string, now time.Time) time.Time {
	if a.Allows(upstream, now) {
		return now
	}
	rate := a.Rate(upstream, now)
	missing := 1 - a.bucket(upstream, now).tokens
	if rate <= 0 || missing >= rate*Validity.Seconds() {
		return now.Add(Validity)
	}
	return now.Add(time.Duration(missing / rate * float64(time.Second)))
}

// RecordSent records a request to an upstream.
func (a *Allowance) RecordSent(upstream string, now time.Time) {
	if a.Limit(upstream).Limited {
		a.bucket(upstream, now).tokens--
	}
}

// bucket returns the refilled bucket of a limited upstream.
func (a *Allowance) bucket(upstream string, now time.Time) *bucket {
	b := a.buckets[upstream]
	if b == nil {
		b = &bucket{at: now}
		a.buckets[upstream] = b
	}
	b.refill(a.Rate(upstream, now), now)
	return b
}
