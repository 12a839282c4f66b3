package quarantine

import (
	"maps"
	"slices"
)

const (
	// MaxParts bounds the parts recorded for each crash, each in two scopes.
	MaxParts = 256
	// MaxQuarantinedParts and MaxSuspectedParts bound the parts that are sent to entries.
	MaxQuarantinedParts, MaxSuspectedParts = 64, 48
)

// QuarantinedPart is a part whose requests are sent to no upstream, except for trials.
type QuarantinedPart struct {
	Part Fingerprint `cbor:"1,keyasint"`
	// Trials is the number of trials so far with no other quarantined part, Shared that of trials
	// with others. None has been served.
	Trials int `cbor:"2,keyasint,omitempty"`
	Shared int `cbor:"3,keyasint,omitempty"`
	// Confirmed indicates that it stays quarantined until a request with it is served, whatever is
	// recorded: it was tried, or some of its crashes are no longer recorded. Without requests with
	// it no further crash counts against it.
	Confirmed bool `cbor:"4,keyasint,omitempty"`
	// Burst indicates that its crashes are many but in few groups: it is tried at once, since it may
	// have been in flight by chance.
	Burst bool `cbor:"5,keyasint,omitempty"`
}

// partState is what a Tracker knows about parts.
type partState struct {
	// counts is the number of recorded crashes at which each part was in flight, by its fingerprint for all
	// teams: with one for each scope it would be as large as all crashes together.
	counts map[Fingerprint]int
	// quarantined is in the order in which the parts were quarantined.
	quarantined []QuarantinedPart
	// isQuarantined has the same parts.
	isQuarantined map[Fingerprint]bool
	suspects      []Fingerprint
	// unserved are parts that were served before a crash, and of which no request was served since although
	// others were.
	unserved map[Fingerprint]bool
	// group is the number of the latest group of crashes.
	group uint64
}

// newPartState returns a state with quarantined parts and without crashes.
func newPartState(quarantined []QuarantinedPart) partState {
	s := partState{counts: make(map[Fingerprint]int), unserved: make(map[Fingerprint]bool), quarantined: slices.Clone(quarantined), isQuarantined: make(map[Fingerprint]bool)}
	for _, q := range quarantined {
		s.isQuarantined[q.Part] = true
	}
	return s
}

// add records parts that were in flight at a recorded crash.
func (s *partState) add(known *Crash, reported Crash) {
	for _, f := range reported.Parts {
		if len(known.Parts) == MaxParts || slices.Contains(known.Parts, f) {
			continue
		}
		if !known.hasPart(f) {
			s.counts[f.Shared()]++
		}
		known.Parts = append(known.Parts, f)
	}
	for _, f := range reported.ServedBefore {
		if slices.Contains(known.Parts, f) && !slices.Contains(known.ServedBefore, f) {
			known.ServedBefore = append(known.ServedBefore, f)
		}
	}
}

// drop removes the parts of a crash that is no longer recorded.
func (s *partState) drop(crash *Crash) {
	for _, f := range crash.Parts {
		if s.isQuarantined[f] {
			s.quarantined = slices.Clone(s.quarantined)
			s.quarantined[s.find(f)].Confirmed = true
		}
	}
	for last := len(crash.Parts) - 1; last >= 0; last-- {
		f := crash.Parts[last]
		crash.Parts = crash.Parts[:last]
		s.uncount(crash, f)
	}
}

// uncount takes into account that one scope of a part was removed from a crash.
func (s *partState) uncount(crash *Crash, f Fingerprint) {
	if crash.hasPart(f) {
		return
	}
	shared := f.Shared()
	if s.counts[shared]--; s.counts[shared] == 0 {
		delete(s.counts, shared)
		maps.DeleteFunc(s.unserved, func(other Fingerprint, _ bool) bool { return other.Shared() == shared })
	}
}

// hasPart reports whether a part was in flight, in any scope.
func (c *Crash) hasPart(f Fingerprint) bool {
	return slices.ContainsFunc(c.Parts, f.samePart)
}

// find returns the index of a quarantined part, -1 if it is not quarantined.
func (s *partState) find(f Fingerprint) int {
	return slices.IndexFunc(s.quarantined, func(q QuarantinedPart) bool { return q.Part == f })
}

// explains reports whether a quarantined part was in flight at a crash.
func (s *partState) explains(crash *Crash) bool {
	return len(s.quarantined) > 0 && slices.ContainsFunc(crash.Parts, func(f Fingerprint) bool { return s.isQuarantined[f] })
}

// explaining returns the quarantined parts that were in flight at a crash.
func (s *partState) explaining(crash *Crash) []Fingerprint {
	if len(s.quarantined) == 0 {
		return nil
	}
	var list []Fingerprint
	for _, f := range crash.Parts {
		if s.isQuarantined[f] {
			list = append(list, f)
		}
	}
	return list
}

// quarantine adds a part. A part in the requests of all teams replaces those of single teams, whose
// trials were trials of it. Beyond the bound the confirmed one that was quarantined first is released. It
// reports false if there is none, so that deriving verdicts ends.
func (s *partState) quarantine(f Fingerprint, burst bool) bool {
	added := QuarantinedPart{Part: f, Burst: burst}
	for i := len(s.quarantined) - 1; i >= 0; i-- {
		if q := s.quarantined[i]; q.Part.within(f) {
			added.Trials, added.Shared, added.Confirmed = added.Trials+q.Trials, added.Shared+q.Shared, added.Confirmed || q.Confirmed
			s.release(i)
		}
	}
	if len(s.quarantined) == MaxQuarantinedParts {
		first := slices.IndexFunc(s.quarantined, func(q QuarantinedPart) bool { return q.Confirmed })
		if first < 0 {
			return false
		}
		s.release(first)
	}
	s.quarantined = append(slices.Clone(s.quarantined), added)
	s.isQuarantined[f] = true
	return true
}

// release removes the quarantined part with an index.
func (s *partState) release(index int) {
	delete(s.isQuarantined, s.quarantined[index].Part)
	s.quarantined = slices.Delete(slices.Clone(s.quarantined), index, index+1)
}

// QuarantinedParts returns the quarantined parts, at most MaxQuarantinedParts. The caller must not
// modify it.
func (t *Tracker) QuarantinedParts() []QuarantinedPart { return t.parts.quarantined }

// SuspectedParts returns further parts, at most MaxSuspectedParts, that one more group of crashes
// may quarantine. The caller must not modify it.
func (t *Tracker) SuspectedParts() []Fingerprint { return t.parts.suspects }

// ListsPart reports whether a part is quarantined or suspected, in the requests of its team or in those of
// all.
func (t *Tracker) ListsPart(f Fingerprint) bool {
	return slices.ContainsFunc(f.Scopes(), func(scope Fingerprint) bool {
		return t.parts.isQuarantined[scope] || slices.Contains(t.parts.suspects, scope)
	})
}

// IsQuarantinedPart reports whether a part is quarantined.
func (t *Tracker) IsQuarantinedPart(f Fingerprint) bool { return t.parts.isQuarantined[f] }

// AddQuarantined adds parts that another Tracker has quarantined, whose crashes are not known here.
func (t *Tracker) AddQuarantined(parts ...QuarantinedPart) {
	for _, q := range parts {
		if t.parts.find(q.Part) < 0 {
			if !t.parts.quarantine(q.Part, q.Burst) {
				continue
			}
			t.revision++
		}
		i := t.parts.find(q.Part)
		t.parts.quarantined = slices.Clone(t.parts.quarantined)
		known := &t.parts.quarantined[i]
		known.Trials, known.Shared, known.Confirmed = max(known.Trials, q.Trials), max(known.Shared, q.Shared), true
	}
	t.update()
}

// PartCrashes returns the number of recorded crashes, and of their groups, at which a part was in flight.
func (t *Tracker) PartCrashes(f Fingerprint) (crashes, groups int) {
	var list []int
	for i, c := range t.crashes {
		if slices.Contains(c.Parts, f) {
			list = append(list, i)
		}
	}
	return len(list), t.groups(list)
}

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

// RecordTrial records that a request is sent although these parts of its prompt are quarantined. It
// reports false if none of them is.
func (t *Tracker) RecordTrial(parts []Fingerprint) bool { return t.countTrial(parts, 1) }

// ReturnTrial takes back a trial that was granted and not run: it tells nothing of the parts.
func (t *Tracker) ReturnTrial(parts []Fingerprint) { t.countTrial(parts, -1) }

func (t *Tracker) countTrial(parts []Fingerprint, change int) bool {
	quarantined, found := slices.Clone(t.parts.quarantined), false
	for _, part := range parts {
		i := t.parts.find(part)
		if i < 0 {
			continue
		}
		found = true
		q := &quarantined[i]
		q.Confirmed = true
		if len(parts) == 1 {
			q.Trials = max(q.Trials+change, 0)
		} else {
			q.Shared = max(q.Shared+change, 0)
		}
	}
	if found {
		t.parts.quarantined = quarantined
		t.revision++
	}
	return found
}

// servedPart clears a part of which a request was served. If that was a trial, the crashes at which
// the part was in flight are dropped: whatever caused them is over, and without the part they would
// count against others that were in flight there.
func (t *Tracker) servedPart(f Fingerprint) {
	at := t.parts.find(f)
	tried := at >= 0 && t.parts.quarantined[at].Trials+t.parts.quarantined[at].Shared > 0
	if at >= 0 {
		t.parts.release(at)
		t.revision++
	}
	if t.parts.counts[f.Shared()] == 0 {
		return
	}
	for i := len(t.crashes) - 1; i >= 0; i-- {
		c := t.crashes[i]
		switch {
		case !slices.Contains(c.Parts, f):
		case tried:
			t.drop(i)
		default:
			isPart := func(other Fingerprint) bool { return other == f }
			c.Parts, c.ServedBefore = slices.DeleteFunc(c.Parts, isPart), slices.DeleteFunc(c.ServedBefore, isPart)
			t.parts.uncount(c, f)
		}
	}
	delete(t.parts.unserved, f)
}

// Unserved records that no request with these parts was served for a while although others were. Sound
// parts are in flight at crashes because they are served all the time: these are not.
func (t *Tracker) Unserved(parts ...Fingerprint) {
	for _, f := range parts {
		if t.parts.counts[f.Shared()] > 0 {
			t.parts.unserved[f] = true
		}
	}
	t.update()
}
