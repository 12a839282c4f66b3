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
	// maxRefusalsTold bounds the refusals that are remembered as logged.
	maxRefusalsTold = 1024
)

// refusalKey is what refusals have in common that are logged once.
type refusalKey struct {
	host     string
	reason   RefusalReason
	byRemote bool
}

type refusalTold struct {
	at      time.Time
	leftOut int
}

// refusalLog bounds the lines about refused connections.
type refusalLog struct {
	mu   sync.Mutex
	told map[refusalKey]*refusalTold
}

// take reports whether a refusal is to be logged, and how many were left out before.
func (r *refusalLog) take(now time.Time, key refusalKey) (leftOut int, logged bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.told[key]
	if known != nil && now.Sub(known.at) < refusalEvery {
		known.leftOut++
		return 0, false
	}
	if known == nil {
		if r.told == nil || len(r.told) >= maxRefusalsTold {
			r.told = make(map[refusalKey]*refusalTold)
		}
		known = &refusalTold{}
		r.told[key] = known
	}
	leftOut = known.leftOut
	known.at, known.leftOut = now, 0
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
