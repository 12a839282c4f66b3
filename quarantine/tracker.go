package quarantine

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// CrashThreshold is the number of upstreams that must crash under a request
	// before it is quarantined. Fewer may crash by chance while a request is retried.
	CrashThreshold = 3
	// SuspectThreshold is the number of crashes from which a request is a suspect:
	// one more quarantines it.
	SuspectThreshold = CrashThreshold - 1
	// MaxCrashes bounds the recorded crashes, and MaxFingerprints the requests
	// recorded for each, which is more than an upstream runs at the same time.
	// Together they allow 32,768 fingerprints, 0.5 MB.
	MaxCrashes, MaxFingerprints = 256, 128
	// MaxListed bounds the quarantined requests, and the suspects, that are sent to
	// entries.
	MaxListed = 256
)

// Incarnation identifies one incarnation of an upstream: one run of its process.
type Incarnation struct {
	Upstream  string `cbor:"1,keyasint"`
	StartedMs uint64 `cbor:"2,keyasint,omitempty"`
}

// Crash is the crash of an upstream, with the requests that were in flight there.
type Crash struct {
	Incarnation  Incarnation   `cbor:"1,keyasint"`
	Fingerprints []Fingerprint `cbor:"2,keyasint"`
	// Parts are the parts of their prompts that other requests may share.
	Parts []Fingerprint `cbor:"3,keyasint,omitempty"`
	// Joined indicates that the crash belongs to the group of the one reported before.
	Joined bool `cbor:"4,keyasint,omitempty"`
	// Group is the number of its group, once a Tracker has recorded it.
	Group uint64 `cbor:"5,keyasint,omitempty"`
	// Age is the time since the crash was noticed when it is reported.
	Age time.Duration `cbor:"6,keyasint,omitempty"`
	// ServedBefore are those of Parts that were served shortly before the crash.
	ServedBefore []Fingerprint `cbor:"7,keyasint,omitempty"`
}

// Tracker records the crashes of upstreams and derives which requests are quarantined
// or suspect. Two Trackers that receive the same updates in the same order derive the
// same. It is not safe for concurrent use.
type Tracker struct {
	// crashes is in the order in which the crashes were first received.
	crashes []*Crash
	// counts is the number of recorded crashes at which each request was in flight.
	counts                map[Fingerprint]int
	quarantined, suspects []Fingerprint
	parts                 partState
	revision              uint64
}

// NewTracker returns an empty Tracker.
func NewTracker() *Tracker {
	return &Tracker{counts: make(map[Fingerprint]int), parts: newPartState(nil)}
}

// AddCrashes records crashes, or further requests that were in flight at known ones.
func (t *Tracker) AddCrashes(crashes ...Crash) {
	for _, c := range crashes {
		t.add(c)
	}
	t.update()
}

func (t *Tracker) add(c Crash) {
	if !c.Joined {
		t.parts.group++
	}
	known := t.find(c.Incarnation)
	if known == nil {
		if len(t.crashes) == MaxCrashes {
			t.drop(0)
		}
		known = &Crash{Incarnation: c.Incarnation, Group: cmp.Or(c.Group, t.parts.group)}
		t.crashes = append(t.crashes, known)
	}
	t.parts.add(known, c)
	for _, f := range c.Fingerprints {
		if len(known.Fingerprints) < MaxFingerprints && !slices.Contains(known.Fingerprints, f) {
			known.Fingerprints = append(known.Fingerprints, f)
			t.counts[f]++
		}
	}
}

// Served clears requests that an upstream has served completely, and parts of such.
func (t *Tracker) Served(fingerprints ...Fingerprint) {
	for _, f := range fingerprints {
		t.servedPart(f)
		if t.counts[f] == 0 {
			continue
		}
		delete(t.counts, f)
		for _, c := range t.crashes {
			c.Fingerprints = slices.DeleteFunc(c.Fingerprints, func(other Fingerprint) bool { return other == f })
		}
	}
	t.update()
}

// Forget removes the crashes of these incarnations.
func (t *Tracker) Forget(incarnations ...Incarnation) {
	for _, incarnation := range incarnations {
		if i := slices.IndexFunc(t.crashes, func(c *Crash) bool { return c.Incarnation == incarnation }); i >= 0 {
			t.drop(i)
		}
	}
	t.update()
}

// Incarnations returns the incarnations whose crashes are recorded.
func (t *Tracker) Incarnations() []Incarnation {
	incarnations := make([]Incarnation, len(t.crashes))
	for i, c := range t.crashes {
		incarnations[i] = c.Incarnation
	}
	return incarnations
}

// Quarantined returns the requests that must not be sent to any upstream, at most
// MaxListed. The caller must not modify it.
func (t *Tracker) Quarantined() []Fingerprint { return t.quarantined }

// Suspects returns further requests, at most MaxListed, that one more crash may
// quarantine. The caller must not modify it.
func (t *Tracker) Suspects() []Fingerprint { return t.suspects }

// Revision returns a number that increases whenever Quarantined or Suspects change.
func (t *Tracker) Revision() uint64 { return t.revision }

func (t *Tracker) find(incarnation Incarnation) *Crash {
	for _, c := range t.crashes {
		if c.Incarnation == incarnation {
			return c
		}
	}
	return nil
}

// drop removes the crash with an index.
func (t *Tracker) drop(index int) {
	for _, f := range t.crashes[index].Fingerprints {
		if t.counts[f]--; t.counts[f] == 0 {
			delete(t.counts, f)
		}
	}
	t.parts.drop(t.crashes[index])
	t.crashes = slices.Delete(t.crashes, index, index+1)
}

// update recomputes the quarantined and suspect parts and requests.
func (t *Tracker) update() {
	changed := t.updateParts()
	quarantined := t.selectQuarantined()
	suspects := t.selectSuspects(quarantined)
	if changed || !slices.Equal(quarantined, t.quarantined) || !slices.Equal(suspects, t.suspects) {
		t.quarantined, t.suspects = quarantined, suspects
		t.revision++
	}
}

// selectQuarantined returns the requests to quarantine, of those that were in flight
// at CrashThreshold crashes or more. One that was the only such request at some crash
// must have caused it, and explains all crashes at which it was in flight. Of the
// others, those at an unexplained crash are quarantined too, except for one with
// exactly CrashThreshold crashes that shares all of them with another of these: with
// both quarantined, the innocent one would never be served again and so never
// cleared, while one more crash distinguishes them.
func (t *Tracker) selectQuarantined() []Fingerprint {
	byRequest := t.crashesByRequest(CrashThreshold)
	quarantined := soleCandidates(byRequest)
	explained := crashesOf(quarantined, byRequest)
	var rest []Fingerprint
	for f, crashes := range byRequest {
		if !quarantined[f] && slices.ContainsFunc(crashes, func(i int) bool { return !explained[i] }) {
			rest = append(rest, f)
		}
	}
	for _, f := range rest {
		same := func(other Fingerprint) bool { return other != f && slices.Equal(byRequest[other], byRequest[f]) }
		if len(byRequest[f]) > CrashThreshold || !slices.ContainsFunc(rest, same) {
			quarantined[f] = true
		}
	}
	return boundedList(quarantined)
}

// selectSuspects returns further requests that were in flight at enough crashes that
// no quarantined request explains.
func (t *Tracker) selectSuspects(quarantined []Fingerprint) []Fingerprint {
	byRequest := t.crashesByRequest(SuspectThreshold)
	isQuarantined := make(map[Fingerprint]bool, len(quarantined))
	for _, f := range quarantined {
		isQuarantined[f] = true
	}
	explained := crashesOf(isQuarantined, byRequest)
	suspects := make(map[Fingerprint]bool)
	for f, crashes := range byRequest {
		left := len(crashes)
		for _, i := range crashes {
			if explained[i] {
				left--
			}
		}
		if left >= SuspectThreshold {
			suspects[f] = true
		}
	}
	return boundedList(suspects)
}

// crashesByRequest returns the indexes of the crashes at which each request was in
// flight and that no quarantined part explains, for the requests with minCrashes such
// crashes or more.
func (t *Tracker) crashesByRequest(minCrashes int) map[Fingerprint][]int {
	byRequest := make(map[Fingerprint][]int)
	for i, c := range t.crashes {
		if t.parts.explains(c) {
			continue
		}
		for _, f := range c.Fingerprints {
			if t.counts[f] >= minCrashes {
				byRequest[f] = append(byRequest[f], i)
			}
		}
	}
	maps.DeleteFunc(byRequest, func(_ Fingerprint, crashes []int) bool { return len(crashes) < minCrashes })
	return byRequest
}

// soleCandidates returns the requests that were at some crash the only one of
// byRequest in flight.
func soleCandidates(byRequest map[Fingerprint][]int) map[Fingerprint]bool {
	candidates := make(map[int]int)
	for _, crashes := range byRequest {
		for _, i := range crashes {
			candidates[i]++
		}
	}
	sole := make(map[Fingerprint]bool)
	for f, crashes := range byRequest {
		if slices.ContainsFunc(crashes, func(i int) bool { return candidates[i] == 1 }) {
			sole[f] = true
		}
	}
	return sole
}

// crashesOf returns the indexes of the crashes at which any of the requests was in
// flight.
func crashesOf(requests map[Fingerprint]bool, byRequest map[Fingerprint][]int) map[int]bool {
	crashes := make(map[int]bool)
	for f := range requests {
		for _, i := range byRequest[f] {
			crashes[i] = true
		}
	}
	return crashes
}

// boundedList returns the requests in ascending order, at most MaxListed.
func boundedList(requests map[Fingerprint]bool) []Fingerprint {
	sorted := slices.SortedFunc(maps.Keys(requests), func(a, b Fingerprint) int { return bytes.Compare(a[:], b[:]) })
	return sorted[:min(len(sorted), MaxListed)]
}

// State is the complete state of a Tracker.
type State struct {
	Crashes  []Crash `cbor:"1,keyasint"`
	Revision uint64  `cbor:"2,keyasint"`
	// Parts are the quarantined parts, Group is the number of the latest group of crashes.
	Parts []QuarantinedPart `cbor:"3,keyasint,omitempty"`
	Group uint64            `cbor:"4,keyasint,omitempty"`
	// Unserved are the parts that Unserved recorded.
	Unserved []Fingerprint `cbor:"5,keyasint,omitempty"`
}

// Save returns the state.
func (t *Tracker) Save() State {
	saved := State{Revision: t.revision, Parts: slices.Clone(t.parts.quarantined), Group: t.parts.group}
	saved.Unserved = slices.SortedFunc(maps.Keys(t.parts.unserved), func(a, b Fingerprint) int { return bytes.Compare(a[:], b[:]) })
	for _, c := range t.crashes {
		saved.Crashes = append(saved.Crashes, Crash{Incarnation: c.Incarnation, Fingerprints: slices.Clone(c.Fingerprints), Parts: slices.Clone(c.Parts), ServedBefore: slices.Clone(c.ServedBefore), Group: c.Group})
	}
	return saved
}

// Restore replaces the state.
func (t *Tracker) Restore(s State) {
	*t = *NewTracker()
	t.parts = newPartState(s.Parts)
	for _, c := range s.Crashes {
		t.add(c)
	}
	t.parts.group = s.Group
	for _, f := range s.Unserved {
		t.parts.unserved[f] = true
	}
	t.update()
	t.revision = s.Revision
}
