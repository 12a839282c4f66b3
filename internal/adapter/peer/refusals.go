package peer

import (
	"errors"
	"net"
	"sync"
	"time"
)

const (
	// refusalLogInterval is the interval in which refusals of one host for one reason are
	// logged once. A refused link dials again every 0.2 s.
	refusalLogInterval = 10 * time.Second
	// maxRefusalLines is the maximum number of log lines about refusals within
	// refusalLogInterval. A fleet of a thousand hosts with a wrong key is refused 5,000
	// times a second.
	maxRefusalLines = 100
)

// refusalKey groups refusals: those with the same key are logged once per interval.
type refusalKey struct {
	host     string
	reason   RefusalReason
	byRemote bool
}

// refusalLog limits the log lines about refused connections within refusalLogInterval to
// one for each host and reason, and to maxRefusalLines in total.
type refusalLog struct {
	mu    sync.Mutex
	since time.Time
	// logged is the set of refusals logged since the time in since.
	logged map[refusalKey]struct{}
	// suppressed is the number of refusals not logged since the last log line.
	suppressed int
}

// allow reports whether to log a refusal, and how many refusals were suppressed since
// the last log line.
func (r *refusalLog) allow(now time.Time, key refusalKey) (suppressed int, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.logged == nil || now.Sub(r.since) >= refusalLogInterval {
		r.since, r.logged = now, make(map[refusalKey]struct{})
	}
	if _, known := r.logged[key]; known || len(r.logged) >= maxRefusalLines {
		r.suppressed++
		return 0, false
	}
	r.logged[key] = struct{}{}
	suppressed, r.suppressed = r.suppressed, 0
	return suppressed, true
}

// logRefusal counts and logs err if it is a RefusedError, and returns err.
func (t *Transport) logRefusal(address string, err error) error {
	var refused *RefusedError
	if !errors.As(err, &refused) {
		return err
	}
	t.stats.refusals.Inc()
	host, _, splitErr := net.SplitHostPort(address)
	if splitErr != nil {
		host = address
	}
	key := refusalKey{host: host, reason: refused.Reason, byRemote: refused.ByRemote}
	if suppressed, ok := t.refusalLimiter.allow(time.Now(), key); ok {
		t.options.Log.Warn("peer refused", "address", address, "reason", refused.Reason,
			"by_remote", refused.ByRemote, "detail", refused.Detail, "left_out", suppressed)
	}
	return err
}
