package quarantine

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
)

const (
	// PartThreshold is the number of groups of crashes at which a part must have been in flight
	// before it is quarantined.
	PartThreshold = 3
	// servedPartThreshold is that of a part that was served shortly before. It is in flight at many
	// crashes by chance, but may have begun to crash upstreams.
	servedPartThreshold = PartThreshold + 2
	// burstCrashes is the number of crashes from which a part is to blame although they are in few groups:
	// requests with it that come at one moment crash upstreams together, which are back together.
	burstCrashes = 5
	// burstEvidence is the number of groups that they count as: more than PartThreshold, since a further
	// burst would not distinguish parts that come together.
	burstEvidence = PartThreshold + 1
)

// updateParts derives again which parts are quarantined, except for those that are confirmed: reports
// of one crash come one after the other, and the first ones may blame another part than all of them.
// It reports whether the quarantined or suspected parts have changed.
func (t *Tracker) updateParts() bool {
	before := t.parts.quarantined
	t.parts.quarantined = slices.DeleteFunc(slices.Clone(before), func(q QuarantinedPart) bool { return !q.Confirmed })
	t.parts.isQuarantined = make(map[Fingerprint]bool)
	for _, q := range t.parts.quarantined {
		t.parts.isQuarantined[q.Part] = true
	}
	for full := false; !full; {
		blamed := t.blamedParts()
		if len(blamed) == 0 {
			break
		}
		for _, f := range t.latestFirst(blamed) {
			full = full || !t.parts.quarantine(f, t.groups(blamed[f]) < PartThreshold)
		}
	}
	suspects := t.suspectedParts()
	changed := !slices.Equal(before, t.parts.quarantined) || !slices.Equal(suspects, t.parts.suspects)
	t.parts.suspects = suspects
	return changed
}

// suspectedParts returns the parts that were in flight at SuspectThreshold groups of unexplained
// crashes or more, or at a burst, those at the most groups first, at most MaxSuspectedParts. A part in
// the requests of all teams stands for those of single teams.
func (t *Tracker) suspectedParts() []Fingerprint {
	groups, explained := make(map[Fingerprint]int), t.explainedCrashes()
	for f, crashes := range t.unexplainedByPart(SuspectThreshold) {
		if n := t.groups(crashes); n >= SuspectThreshold || t.isBurst(crashes, explained) {
			groups[f] = n
		}
	}
	maps.DeleteFunc(groups, func(f Fingerprint, _ int) bool { return f != f.Shared() && groups[f.Shared()] > 0 })
	list := slices.SortedFunc(maps.Keys(groups), func(a, b Fingerprint) int {
		return cmp.Or(groups[b]-groups[a], bytes.Compare(a[:], b[:]))
	})
	return list[:min(len(list), MaxSuspectedParts)]
}

// latestFirst returns parts by their latest crash, the latest first.
func (t *Tracker) latestFirst(parts map[Fingerprint][]int) []Fingerprint {
	var list []Fingerprint
	for _, c := range slices.Backward(t.crashes) {
		at := len(list)
		for _, f := range c.Parts {
			if parts[f] != nil && !slices.Contains(list, f) {
				list = append(list, f)
			}
		}
		slices.SortFunc(list[at:], func(a, b Fingerprint) int { return bytes.Compare(a[:], b[:]) })
	}
	return list
}

// blamedParts returns the parts to quarantine next, of those that were in flight at enough groups of
// unexplained crashes, with the indexes of these crashes. Parts that were served shortly before are blamed
// only for crashes that no other part explains.
func (t *Tracker) blamedParts() map[Fingerprint][]int {
	byPart, explained := t.unexplainedByPart(PartThreshold), t.explainedCrashes()
	evidence := make(map[Fingerprint]int)
	maps.DeleteFunc(byPart, func(f Fingerprint, crashes []int) bool {
		evidence[f] = t.groups(crashes)
		if t.isBurst(crashes, explained) {
			evidence[f] = max(evidence[f], burstEvidence)
		}
		return evidence[f] < PartThreshold || t.haveCommonRequest(crashes)
	})
	t.dropScopes(byPart)
	served := make(map[Fingerprint][]int)
	for f, crashes := range byPart {
		if t.servedBefore(f, crashes) {
			served[f] = crashes
			delete(byPart, f)
		}
	}
	if blamed := mostBlamed(byPart, evidence, PartThreshold); len(blamed) > 0 {
		return blamed
	}
	maps.DeleteFunc(served, func(f Fingerprint, crashes []int) bool {
		evidence[f] = t.groups(crashes)
		return evidence[f] < servedPartThreshold
	})
	return mostBlamed(served, evidence, servedPartThreshold)
}

// dropScopes leaves one scope of each part. If the requests of only one team may have caused all of a
// part's crashes, the part is to blame in those only: that team may crash upstreams by what else it
// sends, and the others' requests must go on.
func (t *Tracker) dropScopes(byPart map[Fingerprint][]int) {
	maps.DeleteFunc(byPart, func(f Fingerprint, crashes []int) bool { return f == f.Shared() && t.isOfOneTeam(f, crashes) })
	maps.DeleteFunc(byPart, func(f Fingerprint, _ []int) bool {
		_, found := byPart[f.Shared()]
		return found && f != f.Shared()
	})
}

// isOfOneTeam reports whether the requests of one team with a part were in flight at all of these crashes,
// and those of no other team at PartThreshold of them.
func (t *Tracker) isOfOneTeam(shared Fingerprint, crashes []int) bool {
	counts := make(map[Fingerprint]int)
	for _, i := range crashes {
		for _, f := range t.crashes[i].Parts {
			if f.within(shared) {
				counts[f]++
			}
		}
	}
	atAll, others := 0, 0
	for _, n := range counts {
		switch {
		case n == len(crashes):
			atAll++
		case n >= PartThreshold:
			others++
		}
	}
	return atAll == 1 && others == 0
}

// mostBlamed returns the parts that are most likely to blame. One that was the only candidate at some
// crash must have caused it. Otherwise it is those with the most groups as evidence, except for one with
// exactly threshold groups that shares all of its crashes with another: one more crash, or one request that
// is served, distinguishes them.
func mostBlamed(byPart map[Fingerprint][]int, evidence map[Fingerprint]int, threshold int) map[Fingerprint][]int {
	blamed := make(map[Fingerprint][]int)
	for f := range soleCandidates(byPart) {
		blamed[f] = byPart[f]
	}
	if len(blamed) > 0 {
		return blamed
	}
	most := 0
	for f := range byPart {
		most = max(most, evidence[f])
	}
	for f, crashes := range byPart {
		same := func(other Fingerprint) bool { return other != f && slices.Equal(byPart[other], crashes) }
		if evidence[f] == most && (most > threshold || !containsKey(byPart, same)) {
			blamed[f] = crashes
		}
	}
	return blamed
}

// isBurst reports whether a part was in flight at many crashes, and at three quarters or more of those in
// their groups that nothing else explains. Where a rack crashes, a part that is served at other upstreams
// too was in flight at few of its upstreams.
func (t *Tracker) isBurst(crashes []int, explained []bool) bool {
	if len(crashes) < burstCrashes {
		return false
	}
	groups := make(map[uint64]bool, len(crashes))
	for _, i := range crashes {
		groups[t.crashes[i].Group] = true
	}
	all := len(crashes)
	for i, c := range t.crashes {
		if groups[c.Group] && !explained[i] {
			if _, with := slices.BinarySearch(crashes, i); !with {
				all++
			}
		}
	}
	return 4*len(crashes) >= 3*all
}

// explainedCrashes reports of each crash whether a quarantined part was in flight there.
func (t *Tracker) explainedCrashes() []bool {
	explained := make([]bool, len(t.crashes))
	for i, c := range t.crashes {
		explained[i] = t.parts.explains(c)
	}
	return explained
}

// servedBefore reports whether a part had been served shortly before one of the crashes, and nothing tells
// that it is served no more.
func (t *Tracker) servedBefore(part Fingerprint, crashes []int) bool {
	if t.parts.unserved[part] || t.parts.unserved[part.Shared()] {
		return false
	}
	return slices.ContainsFunc(crashes, func(i int) bool { return slices.Contains(t.crashes[i].ServedBefore, part) })
}

// unexplainedByPart returns the indexes of the crashes at which each part was in flight and that
// no quarantined part explains, for the parts with minCrashes such crashes or more.
func (t *Tracker) unexplainedByPart(minCrashes int) map[Fingerprint][]int {
	byPart := make(map[Fingerprint][]int)
	for i, c := range t.crashes {
		explaining := t.parts.explaining(c)
		for _, f := range c.Parts {
			// That a part is quarantined for one team leaves it in question for all teams.
			explains := func(q Fingerprint) bool { return !q.within(f) }
			if t.parts.counts[f.Shared()] >= minCrashes && !slices.ContainsFunc(explaining, explains) {
				byPart[f] = append(byPart[f], i)
			}
		}
	}
	maps.DeleteFunc(byPart, func(_ Fingerprint, crashes []int) bool { return len(crashes) < minCrashes })
	return byPart
}

// groups returns the number of groups that the crashes with these indexes, in ascending order, belong to.
// Upstreams that crash at the same time, as in a rack, are in one group: their requests were sent before
// any of them crashed. The crashes of a group follow one another.
func (t *Tracker) groups(crashes []int) int {
	n := 0
	for at, i := range crashes {
		if at == 0 || t.crashes[i].Group != t.crashes[crashes[at-1]].Group {
			n++
		}
	}
	return n
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
