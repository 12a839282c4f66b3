package gateway

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lovagereach/lovagereach/outcome"
	"github.com/lovagereach/lovagereach/placement"
)

const (
	// maxCandidates bounds the upstreams considered for one choice: the first ones by hash.
	maxCandidates = 128
	// randomCandidates is the number of further candidates drawn from all upstreams at random.
	// They take the request if the first ones by hash are full or slow.
	randomCandidates = 16
)

// candidates lists the upstreams that may take the request: those not tried yet and, for a
// prompt, those that announce its model, since a runner that announces no model only refuses.
// If none announces the model, the others are listed. Runners with weights below the minimum
// version are excluded: the loader may fail to update a runner, and a prompt would start on
// weights that the operator has replaced permanently. Runners of evacuated data centres are
// excluded too. throttled indicates that some upstream was left out because it may get no
// request now; the first of them may get one at r.dueAt.
func (r *run) candidates(s *state, now time.Time) (list []*upstreamState, throttled bool) {
	coldRate, fits := s.coldRate(r.service), r.softwareFilter(s)
	r.dueAt = time.Time{}
	eligible := func(u *upstreamState, withModel bool) bool {
		if r.tried[u] || r.excludes(s, u, fits) {
			return false
		}
		if due := s.dueAt(u, coldRate, now); due.After(now) {
			throttled = true
			r.dueAt = earlier(r.dueAt, due)
			return false
		}
		return r.request.Prompt == nil || withModel == (u.versionOf(r.request.Prompt.Model) != 0)
	}
	list = r.shortlist(s.serving[r.service], func(u *upstreamState) bool { return eligible(u, true) })
	if len(list) == 0 {
		list = r.shortlist(s.serving[r.service], func(u *upstreamState) bool { return eligible(u, false) })
	}
	return list, throttled
}

// excludes reports whether an upstream can't run the request, now or later.
func (r *run) excludes(s *state, u *upstreamState, fits func(*upstreamState) bool) bool {
	return u.health.replaced || u.leaving || r.belowMinVersion(s, u) || s.evacuation.Evacuated(u.record.DataCentre) || !fits(u)
}

// shortlist chooses candidates among the eligible upstreams.
func (r *run) shortlist(all []*upstreamState, eligible func(*upstreamState) bool) []*upstreamState {
	places := placement.Shortlist(r.affinityKey(), len(all), maxCandidates,
		func(i int) string { return all[i].record.ID }, func(i int) bool { return eligible(all[i]) })
	list := make([]*upstreamState, len(places), len(places)+randomCandidates)
	for i, at := range places {
		list[i] = all[at]
	}
	if len(all) <= maxCandidates {
		return list
	}
	for range randomCandidates {
		if u := all[rand.IntN(len(all))]; eligible(u) && !slices.Contains(list, u) {
			list = append(list, u)
		}
	}
	return list
}

// affinityKey is the key that orders the candidates by hash: for a prompt its model and last
// shared part, for a request to a plain service the host of this entry, so that connections
// are reused.
func (r *run) affinityKey() string {
	if prompt := r.request.Prompt; prompt != nil && len(prompt.Parts) > 0 {
		return prompt.Model + "/" + prompt.Parts[max(len(prompt.Parts)-2, 0)].ID
	}
	return r.gateway.options.Host
}

// versionOf returns the weight version that the request would ask an upstream for, 0 if none
// is known.
func (r *run) versionOf(u *upstreamState) uint64 {
	return max(u.versionOf(r.request.Prompt.Model), r.guessed[u])
}

// belowMinVersion reports whether an upstream's weights are too old for the request's prompt.
func (r *run) belowMinVersion(s *state, u *upstreamState) bool {
	if r.request.Prompt == nil {
		return false
	}
	has := r.versionOf(u)
	return has != 0 && has < s.minVersions[r.request.Prompt.Model]
}

// noCandidateError returns the refusal for a request that no upstream may take, with the time
// after which to retry.
func (r *run) noCandidateError(s *state) error {
	if r.pinned {
		return notRun(ReasonOrigin, retryAfterLoad, "no upstream is left of the software version that began the stream")
	}
	evacuated := false
	for _, u := range s.serving[r.service] {
		if s.evacuation.Evacuated(u.record.DataCentre) {
			evacuated = evacuated || !r.tried[u]
			continue
		}
		if r.belowMinVersion(s, u) {
			return notRun(outcome.ReasonNoUpstream, retryAfterLoad, "the upstreams left have weights that are past their bound")
		}
	}
	if evacuated {
		return notRun(outcome.ReasonNoUpstream, retryAfterLoad, "the upstreams left stand in evacuated data centres")
	}
	return notRun(outcome.ReasonNoUpstream, defaultRetryAfter, "no upstream of the service is known")
}
