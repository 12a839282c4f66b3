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
	// probeInterval is the interval between two probes of an upstream, which doubles with each
	// failure up to maxProbeInterval: all entries probe an upstream that has crashed.
	probeInterval    = 500 * time.Millisecond
	maxProbeInterval = 2 * time.Second
	// maxProbes bounds the probes under way, each a new connection.
	maxProbes = 8
	// comparedUpstreams is the number of further upstreams that are probed in a probeInterval once
	// one is lost, so that there is something to compare it with.
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
	// comparedAt is the time of the latest probes for comparison.
	comparedAt time.Time
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
	// failures is the number of consecutive probes that failed.
	failures int
}

// probeDue reports whether the path may be probed again.
func (p *path) probeDue(now time.Time) bool {
	return !p.probing && now.Sub(p.probedAt) >= min(probeInterval<<min(p.failures, 8), maxProbeInterval)
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

// Tracked lists the upstreams of which something is known.
func (t *Tracker) Tracked() []string {
	list := make([]string, 0, len(t.upstreams))
	for upstream := range t.upstreams {
		list = append(list, upstream)
	}
	return list
}

// Share returns the share of the given upstreams, of total, that is reached, among those with
// recent knowledge; 1 if there is no reason for doubt. Those that aren't tracked may be left out.
func (t *Tracker) Share(upstreams []string, total int, now time.Time) float64 {
	needed := max(min(minLost, total), 1)
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
	compared := 0
	if now.Sub(t.comparedAt) >= probeInterval {
		compared = t.missingComparisons(upstreams, now)
	}
	for _, upstream := range upstreams {
		if t.probing >= maxProbes {
			break
		}
		p := t.upstreams[upstream]
		switch {
		case p != nil && !p.probeDue(now):
			continue
		case p != nil && (p.lost || p.doubtful(now)):
		case compared > 0 && (p == nil || now.Sub(p.contactAt) >= recent/2):
			compared--
			t.comparedAt = now
		default:
			continue
		}
		p = t.path(upstream)
		p.probing, p.probedAt = true, now
		t.probing++
		list = append(list, upstream)
	}
	return list
}

// missingComparisons returns how many upstreams should be probed for comparison: none if as many
// are known to be reached as are lost.
func (t *Tracker) missingComparisons(upstreams []string, now time.Time) int {
	reached, lost := 0, 0
	for _, upstream := range upstreams {
		switch p := t.upstreams[upstream]; {
		case p == nil:
		case p.lost:
			lost++
		case now.Sub(p.contactAt) < recent/2:
			reached++
		}
	}
	if lost == 0 || reached >= max(lost, comparedUpstreams) {
		return 0
	}
	return comparedUpstreams
}

// Probed records the result of a probe. One of an upstream that has gone meanwhile is ignored.
func (t *Tracker) Probed(upstream string, established bool, now time.Time) {
	p := t.upstreams[upstream]
	if p == nil || !p.probing {
		return
	}
	p.probing = false
	t.probing--
	t.Connected(upstream, established, now)
	if established {
		p.failures = 0
		return
	}
	p.failures++
	p.suspectedAt = time.Time{}
}
