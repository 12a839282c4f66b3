package gateway

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lovagereach/lovagereach/outcome"
	"github.com/lovagereach/lovagereach/placement"
)

const (
	// candidatesMost bounds the upstreams that one choice is made among: those that come
	// first by hash.
	candidatesMost = 128
	// candidatesDrawn is how many more are drawn from all upstreams. Where those that come
	// first are full, or slow, one of them takes the request.
	candidatesDrawn = 16
)

// candidates lists upstreams that may take the request: those not tried yet
// and, for a prompt, with its model if any tells that it has it, for one that tells
// of no model answers nothing but refusals. Runners whose weights are past their
// bound are left out: the loader may fail to bring a runner to newer ones, and a
// prompt would begin on weights that the operator has replaced for good; so are those
// of evacuated data centres. heldBack tells that others must get nothing just now.
func (r *run) candidates(s *state, now time.Time) (list []*upstreamState, heldBack bool) {
	coldRate := s.coldRate(r.service)
	fit := func(u *upstreamState, withModel bool) bool {
		switch {
		case u.trust.gone || r.tried[u] || r.below(s, u) || s.evacuation.Evacuated(u.record.DataCentre):
			return false
		case s.holdsBack(u, coldRate, now):
			heldBack = true
			return false
		}
		return r.request.Prompt == nil || withModel == (u.versionOf(r.request.Prompt.Model) != 0)
	}
	list = r.shortlist(s.serving[r.service], func(u *upstreamState) bool { return fit(u, true) })
	if len(list) == 0 {
		list = r.shortlist(s.serving[r.service], func(u *upstreamState) bool { return fit(u, false) })
	}
	return list, heldBack
}

// shortlist chooses candidates among the upstreams that are fit.
func (r *run) shortlist(all []*upstreamState, fit func(*upstreamState) bool) []*upstreamState {
	places := placement.Shortlist(r.candidatesKey(), len(all), candidatesMost,
		func(i int) string { return all[i].record.ID }, func(i int) bool { return fit(all[i]) })
	list := make([]*upstreamState, len(places), len(places)+candidatesDrawn)
	for i, at := range places {
		list[i] = all[at]
	}
	if len(all) <= candidatesMost {
		return list
	}
	for range candidatesDrawn {
		if u := all[rand.IntN(len(all))]; fit(u) && !slices.Contains(list, u) {
			list = append(list, u)
		}
	}
	return list
}

// candidatesKey is what the candidates are ordered by: for a prompt that of its last
// shared part, for a call of a plain service the entry, whose connections are used again.
func (r *run) candidatesKey() string {
	if prompt := r.request.Prompt; prompt != nil && len(prompt.Parts) > 0 {
		return prompt.Model + "/" + prompt.Parts[max(len(prompt.Parts)-2, 0)].ID
	}
	return r.gateway.options.Host
}

// versionOf is the version that the request's prompt would ask an upstream for.
func (r *run) versionOf(u *upstreamState) uint64 {
	return max(u.versionOf(r.request.Prompt.Model), r.guessed[u])
}

// below reports whether an upstream's weights are too old for the request's prompt.
func (r *run) below(s *state, u *upstreamState) bool {
	if r.request.Prompt == nil {
		return false
	}
	has := r.versionOf(u)
	return has != 0 && has < s.floor[r.request.Prompt.Model]
}

// noCandidate tells why no upstream may take the request, and when to come back.
func (r *run) noCandidate(s *state) error {
	evacuated := false
	for _, u := range s.serving[r.service] {
		if s.evacuation.Evacuated(u.record.DataCentre) {
			evacuated = evacuated || !r.tried[u]
			continue
		}
		if r.below(s, u) {
			return notRun(outcome.ReasonNoUpstream, comeBackLoaded, "the upstreams left have weights that are past their bound")
		}
	}
	if evacuated {
		return notRun(outcome.ReasonNoUpstream, comeBackLoaded, "the upstreams left stand in evacuated data centres")
	}
	return notRun(outcome.ReasonNoUpstream, comeBack, "no upstream of the service is known")
}
