package gateway

import (
	"errors"
	"math/rand/v2"
	"time"

	"github.com/lovagereach/lovagereach/outcome"
	"github.com/lovagereach/lovagereach/warmup"
)

// wordLate is how much later than it is due an upstream's announcement may be known to
// the entries.
const wordLate = 300 * time.Millisecond

// noteCold takes in how long an upstream stays cold, by its record. It counts from now
// on, which is later than the announcement.
func (u *upstreamState) noteCold(now time.Time) {
	u.coldUntil, u.probeAt, u.backAt = time.Time{}, time.Time{}, time.Time{}
	if u.record.ColdMs > 0 {
		u.coldUntil = now.Add(time.Duration(u.record.ColdMs) * time.Millisecond)
	}
}

// cold reports whether the upstream bears only a few requests a second, from all
// entries together.
func (u *upstreamState) cold(now time.Time) bool { return now.Before(u.coldUntil) }

// coldRate is how many requests a second a cold upstream of a service bears, 0 where
// none turns cold.
func (s *state) coldRate(name string) float64 {
	if s.index == nil {
		return 0
	}
	if service := s.index.Service(name); service != nil {
		return service.ColdPerS
	}
	return 0
}

// holdsBack reports whether a request must not go to an upstream now: it is cold and
// this entry has no grant left, or it was lost and may have come back cold. All entries
// lose an upstream at the same time and find it idle when it is back, before they are
// told that it is cold. rate is what a cold upstream of its service bears.
func (s *state) holdsBack(u *upstreamState, rate float64, now time.Time) bool {
	if rate <= 0 {
		return false
	}
	if u.cold(now) {
		return !s.allowance.Allows(u.record.ID, now)
	}
	if !u.backAt.IsZero() && now.Sub(u.backAt) >= s.wordWithin {
		u.probeAt, u.backAt = time.Time{}, time.Time{}
	}
	return now.Before(u.probeAt)
}

// noteBack notes that an upstream that was lost answers again. It may be cold.
func (u *upstreamState) noteBack(now time.Time) {
	if !u.probeAt.IsZero() && u.backAt.IsZero() {
		u.backAt = now
	}
}

// noteSent counts a request against what its upstream bears.
func (s *state) noteSent(u *upstreamState, now time.Time) {
	switch {
	case u.cold(now):
		s.allowance.Sent(u.record.ID, now)
	case !u.probeAt.IsZero():
		s.probeLater(u, now)
	}
}

// noteEnded notes that a send broke off at its upstream.
func (s *state) noteEnded(u *upstreamState, cause error, now time.Time) {
	var unsent *outcome.NotRun
	var unknown *outcome.Unknown
	if errors.As(cause, &unsent) && unsent.Reason == outcome.ReasonDial ||
		errors.As(cause, &unknown) && unknown.Reason == outcome.ReasonConnectionLost {
		s.probeLater(u, now)
		u.backAt = time.Time{}
	}
}

// probeLater has the next request to an upstream that may be down wait for a time that
// differs between entries: together they send it no more than it bears when cold.
func (s *state) probeLater(u *upstreamState, now time.Time) {
	if rate := s.coldRate(u.record.Service); rate > 0 {
		every := warmup.Every(rate, s.entries)
		u.probeAt = now.Add(every/2 + rand.N(every))
	}
}

// noteSilent notes whether the control hosts hear an upstream.
func (s *state) noteSilent(u *upstreamState, silent bool, now time.Time) {
	switch {
	case silent && !u.silent && u.probeAt.IsZero():
		s.probeLater(u, now)
	case !silent && u.silent:
		u.noteBack(now)
	}
	u.silent = silent
}
