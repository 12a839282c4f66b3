package quarantine

import (
	"maps"
	"slices"
)

const (
	// PartThreshold is the number of groups of crashes at which a part must have been in
	// flight before it is quarantined.
	PartThreshold = 3
	// MaxParts bounds the parts recorded for each crash.
	MaxParts = 128
)

// QuarantinedPart is a part whose requests are sent to no upstream, except for trials.
type QuarantinedPart struct {
	Part Fingerprint `cbor:"1,keyasint"`
	// Trials is the number of trials so far. None has been served.
	Trials int `cbor:"2,keyasint,omitempty"`
}

// partState is what a Tracker knows about parts.
type partState struct {
	// counts is the number of recorded crashes at which each part was in flight.
	counts map[Fingerprint]int
	// quarantined is in the order in which the parts were quarantined.
	quarantined []QuarantinedPart
	// isQuarantined has the same parts.
	isQuarantined map[Fingerprint]bool
	suspects      []Fingerprint
	// group is the number of the latest group of crashes.
	group uint64
}

// newPartState returns a state with quarantined parts and without crashes.
func newPartState(quarantined []QuarantinedPart) partState {
	s := partState{counts: make(map[Fingerprint]int), quarantined: slices.Clone(quarantined), isQuarantined: make(map[Fingerprint]bool)}
	for _, q := range quarantined {
		s.isQuarantined[q.Part] = true
	}
	return s
}

// add records parts that were in flight at a recorded crash.
func (s *partState) add(crash *Crash, parts []Fingerprint) {
	for _, f := range parts {
		if len(crash.Parts) < MaxParts && !slices.Contains(crash.Parts, f) {
			crash.Parts = append(crash.Parts, f)
			s.counts[f]++
		}
	}
}

// drop removes the parts of a crash.
func (s *partState) drop(crash *Crash) {
	for _, f := range crash.Parts {
		if s.counts[f]--; s.counts[f] == 0 {
			delete(s.counts, f)
		}
	}
	crash.Parts = nil
}

// find returns the index of a quarantined part, -1 if it is not quarantined.
func (s *partState) find(f Fingerprint) int {
	return slices.IndexFunc(s.quarantined, func(q QuarantinedPart) bool { return q.Part == f })
}

// explains reports whether a quarantined part was in flight at a crash.
func (s *partState) explains(crash *Crash) bool {
	return len(s.quarantined) > 0 && slices.ContainsFunc(crash.Parts, func(f Fingerprint) bool { return s.isQuarantined[f] })
}

// quarantine adds a part. Beyond the bound the one that was quarantined first is released.
func (s *partState) quarantine(f Fingerprint) {
	if len(s.quarantined) == MaxListed {
		s.release(0)
	}
	s.quarantined = append(slices.Clone(s.quarantined), QuarantinedPart{Part: f})
	s.isQuarantined[f] = true
}

// release removes the quarantined part with an index.
func (s *partState) release(index int) {
	delete(s.isQuarantined, s.quarantined[index].Part)
	s.quarantined = slices.Delete(slices.Clone(s.quarantined), index, index+1)
}

// QuarantinedParts returns the quarantined parts, at most MaxListed. The caller must not
// modify it.
func (t *Tracker) QuarantinedParts() []QuarantinedPart { return t.parts.quarantined }

// SuspectedParts returns further parts, at most MaxListed, that one more group of crashes may
// quarantine. The caller must not modify it.
func (t *Tracker) SuspectedParts() []Fingerprint { return t.parts.suspects }

// FirstCrashes returns the first recorded crash of each quarantined or suspected part.
func (t *Tracker) FirstCrashes() map[Fingerprint]Incarnation {
	listed := make(map[Fingerprint]bool)
	for _, q := range t.parts.quarantined {
		listed[q.Part] = true
	}
	for _, f := range t.parts.suspects {
		listed[f] = true
	}
	first := make(map[Fingerprint]Incarnation)
	for _, c := range t.crashes {
		for _, f := range c.Parts {
			if _, found := first[f]; !found && listed[f] {
				first[f] = c.Incarnation
			}
		}
	}
	return first
}

// RecordTrial records that a request with a quarantined part is sent. It reports false for a part
// that is not quarantined.
func (t *Tracker) RecordTrial(part Fingerprint) bool {
	i := t.parts.find(part)
	if i < 0 {
		return false
	}
	t.parts.quarantined = slices.Clone(t.parts.quarantined)
	t.parts.quarantined[i].Trials++
	t.revision++
	return true
}

// servedPart clears a part of which a request was served. If that was a trial, the crashes at which
// the part was in flight are dropped: whatever caused them is over, and without the part they would
// count against others that were in flight there.
func (t *Tracker) servedPart(f Fingerprint) {
	at := t.parts.find(f)
	tried := at >= 0 && t.parts.quarantined[at].Trials > 0
	if at >= 0 {
		t.parts.release(at)
		t.revision++
	}
	if t.parts.counts[f] == 0 {
		return
	}
	for i := len(t.crashes) - 1; i >= 0; i-- {
		c := t.crashes[i]
		switch {
		case !slices.Contains(c.Parts, f):
		case tried:
			t.drop(i)
		default:
			c.Parts = slices.DeleteFunc(c.Parts, func(other Fingerprint) bool { return other == f })
		}
	}
	delete(t.parts.counts, f)
}

// updateParts quarantines further parts, recomputes the suspects, and reports whether anything
// has changed. A quarantined part stays so until a request with it is served: without it no
// crash would count against it any more.
func (t *Tracker) updateParts() bool {
	changed := false
	for {
		blamed := t.blamedParts()
		if len(blamed) == 0 {
			break
		}
		for _, f := range boundedList(blamed) {
			t.parts.quarantine(f)
		}
		changed = true
	}
	suspects := make(map[Fingerprint]bool)
	for f, crashes := range t.unexplainedByPart(SuspectThreshold) {
		if t.groups(crashes) >= SuspectThreshold {
			suspects[f] = true
		}
	}
	if list := boundedList(suspects); !slices.Equal(list, t.parts.suspects) {
		t.parts.suspects, changed = list, true
	}
	return changed
}

// blamedParts returns the parts to quarantine next, of those that were in flight at PartThreshold
// groups of unexplained crashes or more. One that was the only such part at some crash must have
// caused it. Otherwise those at the most groups are blamed, except for one with exactly
// PartThreshold groups that shares all of its crashes with another: one more crash, or one request
// that is served, distinguishes them.
func (t *Tracker) blamedParts() map[Fingerprint]bool {
	byPart := t.unexplainedByPart(PartThreshold)
	maps.DeleteFunc(byPart, func(_ Fingerprint, crashes []int) bool {
		return t.groups(crashes) < PartThreshold || t.haveCommonRequest(crashes)
	})
	if sole := soleCandidates(byPart); len(sole) > 0 {
		return sole
	}
	most := 0
	for _, crashes := range byPart {
		most = max(most, t.groups(crashes))
	}
	blamed := make(map[Fingerprint]bool)
	for f, crashes := range byPart {
		same := func(other Fingerprint) bool { return other != f && slices.Equal(byPart[other], crashes) }
		if t.groups(crashes) == most && (most > PartThreshold || !containsKey(byPart, same)) {
			blamed[f] = true
		}
	}
	return blamed
}

// unexplainedByPart returns the indexes of the crashes at which each part was in flight and that
// no quarantined part explains, for the parts with minCrashes such crashes or more.
func (t *Tracker) unexplainedByPart(minCrashes int) map[Fingerprint][]int {
	byPart := make(map[Fingerprint][]int)
	for i, c := range t.crashes {
		if t.parts.explains(c) {
			continue
		}
		for _, f := range c.Parts {
			if t.parts.counts[f] >= minCrashes {
				byPart[f] = append(byPart[f], i)
			}
		}
	}
	maps.DeleteFunc(byPart, func(_ Fingerprint, crashes []int) bool { return len(crashes) < minCrashes })
	return byPart
}

// groups returns the number of groups that the crashes with these indexes belong to. Upstreams that
// crash at the same time, as in a rack, are in one group: their requests were sent before any of
// them crashed.
func (t *Tracker) groups(crashes []int) int {
	groups := make(map[uint64]bool, len(crashes))
	for _, i := range crashes {
		groups[t.crashes[i].Group] = true
	}
	return len(groups)
}

// haveCommonRequest reports whether one request was in flight at all of the crashes: it is to blame
// rather than the parts that it shares with others.
func (t *Tracker) haveCommonRequest(crashes []int) bool {
	return slices.ContainsFunc(t.crashes[crashes[0]].Fingerprints, func(f Fingerprint) bool {
		return t.counts[f] >= len(crashes) && !slices.ContainsFunc(crashes, func(i int) bool { return !slices.Contains(t.crashes[i].Fingerprints, f) })
	})
}

func containsKey(m map[Fingerprint][]int, match func(Fingerprint) bool) bool {
	for f := range m {
		if match(f) {
			return true
		}
	}
	return false
}
