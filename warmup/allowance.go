package warmup

import "time"

// Allowance is the number of requests that one entry may send to cold upstreams. It is not
// safe for concurrent use.
type Allowance struct {
	// validFrom is the time from which grants may be used. It is one Window after the start of
	// the entry, because requests that its previous incarnation sent count too.
	validFrom  time.Time
	validUntil time.Time
	grants     map[string]int
	// sent holds the times of the requests to each cold upstream in the last Window, oldest
	// first.
	sent map[string][]time.Time
}

// NewAllowance returns the allowance of an entry that starts now.
func NewAllowance(now time.Time) *Allowance {
	return &Allowance{validFrom: now.Add(Window), grants: make(map[string]int), sent: make(map[string][]time.Time)}
}

// SetGrants replaces the grants with those that the leader confirmed at the given time.
func (a *Allowance) SetGrants(grants []Grant, confirmed time.Time) {
	a.validUntil = confirmed.Add(Validity)
	clear(a.grants)
	for _, grant := range grants {
		a.grants[grant.Upstream] = grant.Requests
	}
}

// Allows reports whether one more request may be sent to a cold upstream now.
func (a *Allowance) Allows(upstream string, now time.Time) bool {
	if now.Before(a.validFrom) || !now.Before(a.validUntil) {
		return false
	}
	return a.recent(upstream, now) < a.grants[upstream]
}

// DueAt returns when the next request may be sent to a cold upstream by the grants that are known:
// now if Allows, otherwise later. Without a grant it is Window ahead.
func (a *Allowance) DueAt(upstream string, now time.Time) time.Time {
	switch {
	case a.Allows(upstream, now):
		return now
	case now.Before(a.validFrom):
		return a.validFrom
	case !now.Before(a.validUntil) || a.grants[upstream] == 0:
		return now.Add(Window)
	}
	// One request is allowed once fewer than the grant are left in the window.
	sent := a.sent[upstream]
	return sent[len(sent)-a.grants[upstream]].Add(Window + 1)
}

// RecordSent records a request to a cold upstream.
func (a *Allowance) RecordSent(upstream string, now time.Time) {
	a.recent(upstream, now)
	a.sent[upstream] = append(a.sent[upstream], now)
}

// recent returns the number of requests in the last Window and deletes older ones.
func (a *Allowance) recent(upstream string, now time.Time) int {
	list := a.sent[upstream]
	for len(list) > 0 && now.Sub(list[0]) > Window {
		list = list[1:]
	}
	if len(list) == 0 {
		delete(a.sent, upstream)
		return 0
	}
	a.sent[upstream] = list
	return len(list)
}
