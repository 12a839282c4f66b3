package peer

import (
	"errors"
	"net"
	"sync"
	"time"
)

const (
	// refusalEvery is how often a refusal of one host for one reason is logged. A link
	// dials again every 0.2 s for as long as it is refused.
	refusalEvery = 10 * time.Second
	// refusalsMost bounds the lines about refusals within refusalEvery. With a wrong key
	// a fleet of a thousand hosts is refused 5,000 times a second.
	refusalsMost = 100
)

// refusalKey is what refusals have in common that are logged once.
type refusalKey struct {
	host     string
	reason   RefusalReason
	byRemote bool
}

// refusalLog bounds the lines about refused connections: one for each host and reason
// within refusalEvery, refusalsMost in all.
type refusalLog struct {
	mu    sync.Mutex
	since time.Time
	// told are the refusals that were logged since then.
	told map[refusalKey]struct{}
	// leftOut counts those that were not logged since the line before.
	leftOut int
}

// take reports whether a refusal is to be logged, and how many were left out before.
func (r *refusalLog) take(now time.Time, key refusalKey) (leftOut int, logged bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.told == nil || now.Sub(r.since) >= refusalEvery {
		r.since, r.told = now, make(map[refusalKey]struct{})
	}
	if _, known := r.told[key]; known || len(r.told) >= refusalsMost {
		r.leftOut++
		return 0, false
	}
	r.told[key] = struct{}{}
	leftOut, r.leftOut = r.leftOut, 0
	return leftOut, true
}

// logRefusal counts and logs a connection that was refused in the hello exchange, and
// returns err.
func (t *Transport) logRefusal(address string, err error) error {
	var refused *RefusedError
	if !errors.As(err, &refused) {
		return err
	}
	t.stats.refusals.Inc()
	host, _, split := net.SplitHostPort(address)
	if split != nil {
		host = address
	}
	key := refusalKey{host: host, reason: refused.Reason, byRemote: refused.ByRemote}
	if leftOut, logged := t.refused.take(time.Now(), key); logged {
		t.options.Log.Warn("peer refused", "address", address, "reason", refused.Reason,
			"by_remote", refused.ByRemote, "detail", refused.Detail, "left_out", leftOut)
	}
	return err
}
