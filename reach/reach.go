// Package reach decides whether a process reaches the upstreams of a service.
//
// One upstream that can't be connected to has probably crashed. If most of them can't be, while
// others still serve by them, it is this process that is partitioned. No single failure tells the
// two apart, and without requests there are no failures: connections may hang without an error
// until the callers leave. The tracker therefore names upstreams to be probed by new connections
// as soon as there is a reason for doubt, and concludes from all of them together.
package reach

import "time"

const (
	// silence is the time without any bytes after which an upstream with requests is in doubt.
	silence = 300 * time.Millisecond
	// minDoubtful is the number of upstreams in doubt from which on they are probed: one that
	// is slow by itself isn't.
	minDoubtful = 2
	// doubtfulShare is the fraction of the upstreams with requests that must be in doubt.
	doubtfulShare = 0.6
	// probeInterval is the interval between two probes of an upstream.
	probeInterval = 500 * time.Millisecond
	// maxProbes bounds the probes under way, each a new connection.
	maxProbes = 8
	// comparedUpstreams is the number of further upstreams that are probed once one is lost, so
	// that there is something to compare it with.
	comparedUpstreams = 4
	// recent is the time for which a contact shows that an upstream is reached.
	recent = 2 * time.Second
	// minLost is the number of lost upstreams from which on a share is concluded.
	minLost = 2
	// maxTracked bounds the tracked upstreams, some 100 bytes each.
	maxTracked = 4096
)

// Tracker holds what a process knows of its paths to upstreams. It is not safe for concurrent use.
type Tracker struct {
	upstreams map[string]*path
	probing   int
	// lost is the number of upstreams whose latest connection failed.
	lost int
}

// path is what is known of the path to one upstream.
type path struct {
	// requests is the number of requests under way, waitingSince the time since which nothing
	// has been received although there are some.
	requests     int
	waitingSince time.Time
	contactAt    time.Time
	// suspectedAt is the time at which a connection was lost, zero if there was a contact since.
	suspectedAt time.Time
	// lost is set if the latest new connection failed.
	lost     bool
	probedAt time.Time
	probing  bool
}

// NewTracker returns a tracker without knowledge.
func NewTracker() *Tracker { return &Tracker{upstreams: make(map[string]*path)} }

func (t *Tracker) path(upstream string) *path {
	p := t.upstreams[upstream]
	if p == nil {
		if len(t.upstreams) >= maxTracked {
			t.prune()
		}
		p = &path{}
		t.upstreams[upstream] = p
	}
	return p
}

// prune drops the upstreams without requests that aren't lost.
func (t *Tracker) prune() {
	for upstream, p := range t.upstreams {
		if p.requests == 0 && !p.lost && !p.probing {
			delete(t.upstreams, upstream)
		}
	}
}

// Sent records that a request is under way to an upstream, until Ended is called.
func (t *Tracker) Sent(upstream string, now time.Time) {
	p := t.path(upstream)
	if p.requests++; p.requests == 1 {
		p.waitingSince = now
	}
}

// Ended records the end of a request.
func (t *Tracker) Ended(upstream string) {
	if p := t.upstreams[upstream]; p != nil && p.requests > 0 {
		p.requests--
	}
}

// Received records that bytes of an upstream have arrived.
func (t *Tracker) Received(upstream string, now time.Time) {
	p := t.path(upstream)
	p.contactAt, p.waitingSince, p.suspectedAt = now, now, time.Time{}
}

// Suspect records that a connection was lost, or that a request got no answer in time.
func (t *Tracker) Suspect(upstream string, now time.Time) { t.path(upstream).suspectedAt = now }

// Connected records whether a new connection to an upstream was established.
func (t *Tracker) Connected(upstream string, established bool, now time.Time) {
	p := t.path(upstream)
	if established {
		t.Received(upstream, now)
	}
	if p.lost == established {
		p.lost = !established
		t.lost += map[bool]int{true: 1, false: -1}[p.lost]
	}
}

// Forget drops what is known of an upstream that has gone.
func (t *Tracker) Forget(upstream string) {
	p := t.upstreams[upstream]
	if p == nil {
		return
	}
	if p.lost {
		t.lost--
	}
	if p.probing {
		t.probing--
	}
	delete(t.upstreams, upstream)
}

// Lost reports whether the latest new connection to an upstream failed.
func (t *Tracker) Lost(upstream string) bool {
	if t.lost == 0 {
		return false
	}
	p := t.upstreams[upstream]
	return p != nil && p.lost
}

// AllLost reports whether no upstream is left that might be connected to.
func (t *Tracker) AllLost(upstreams []string) bool {
	for _, upstream := range upstreams {
		if !t.Lost(upstream) {
			return false
		}
	}
	return len(upstreams) > 0
}

// Share returns the share of upstreams that are reached, among those with recent knowledge; 1 if
// there is no reason for doubt.
func (t *Tracker) Share(upstreams []string, now time.Time) float64 {
	needed := max(min(minLost, len(upstreams)), 1)
	if t.lost < needed {
		return 1
	}
	reached, lost := 0, 0
	for _, upstream := range upstreams {
		switch p := t.upstreams[upstream]; {
		case p == nil:
		case p.lost:
			lost++
		case now.Sub(p.contactAt) < recent:
			reached++
		}
	}
	if lost < needed {
		return 1
	}
	return float64(reached) / float64(reached+lost)
}

// doubtful reports whether there is a reason to probe an upstream.
func (p *path) doubtful(now time.Time) bool {
	return !p.suspectedAt.IsZero() || p.requests > 0 && now.Sub(p.waitingSince) >= silence
}

// InDoubt reports whether there is a reason to probe upstreams.
func (t *Tracker) InDoubt(now time.Time) bool {
	if t.lost > 0 {
		return true
	}
	working, doubtful := 0, 0
	for _, p := range t.upstreams {
		if p.requests > 0 || !p.suspectedAt.IsZero() {
			working++
		}
		if p.doubtful(now) {
			doubtful++
		}
	}
	return doubtful >= minDoubtful && float64(doubtful) >= doubtfulShare*float64(working)
}

// Probes returns the upstreams, among those given in random order, to which a connection should be
// opened now. Probed must be called for each of them.
func (t *Tracker) Probes(upstreams []string, now time.Time) []string {
	if !t.InDoubt(now) {
		return nil
	}
	var list []string
	compared := comparedUpstreams
	for _, upstream := range upstreams {
		if t.probing+len(list) >= maxProbes {
			break
		}
		p := t.path(upstream)
		switch {
		case p.probing || now.Sub(p.probedAt) < probeInterval:
			continue
		case p.lost || p.doubtful(now):
		case t.lost > 0 && compared > 0 && now.Sub(p.contactAt) >= recent/2:
			compared--
		default:
			continue
		}
		list = append(list, upstream)
	}
	for _, upstream := range list {
		p := t.upstreams[upstream]
		p.probing, p.probedAt = true, now
	}
	t.probing += len(list)
	return list
}

// Probed records the result of a probe.
func (t *Tracker) Probed(upstream string, established bool, now time.Time) {
	if p := t.upstreams[upstream]; p != nil && p.probing {
		p.probing = false
		t.probing--
	}
	t.Connected(upstream, established, now)
	if p := t.upstreams[upstream]; !established && p != nil {
		p.suspectedAt = time.Time{}
	}
}
