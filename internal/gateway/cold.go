package gateway

import (
	"errors"
	"math/rand/v2"
	"time"

	"github.com/lovagereach/lovagereach/outcome"
	"github.com/lovagereach/lovagereach/warmup"
)

// announceDelay is the largest delay after the time it is due until an upstream's announcement
// is known to the entries.
const announceDelay = 300 * time.Millisecond

// updateCold sets how long an upstream stays cold by its record. The time counts from now,
// which is after the announcement.
func (u *upstreamState) updateCold(now time.Time) {
	u.coldUntil, u.nextProbe, u.answeredAt = time.Time{}, time.Time{}, time.Time{}
	if u.record.ColdMs > 0 {
		u.coldUntil = now.Add(time.Duration(u.record.ColdMs) * time.Millisecond)
	}
}

// cold reports whether the upstream sustains only a few requests a second, from all entries
// together.
func (u *upstreamState) cold(now time.Time) bool { return now.Before(u.coldUntil) }

// coldRate returns how many requests a second a cold upstream of a service sustains, 0 for a
// service without cold upstreams.
func (s *state) coldRate(name string) float64 {
	if s.index == nil {
		return 0
	}
	if service := s.index.Service(name); service != nil {
		return service.ColdPerS
	}
	return 0
}

// coldDueAt returns when a request may be sent to an upstream that is cold, as soon as this entry
// has a grant, or that was lost and may be cold when it is available again. All entries lose an
// upstream at the same time and find it idle when it is available, before they are informed that
// it is cold. rate is what a cold upstream of its service sustains.
func (s *state) coldDueAt(u *upstreamState, rate float64, now time.Time) time.Time {
	if rate <= 0 {
		return now
	}
	if u.cold(now) {
		return earlier(s.allowance.DueAt(u.record.ID, now), u.coldUntil)
	}
	if !u.answeredAt.IsZero() && now.Sub(u.answeredAt) >= s.announceWithin {
		u.nextProbe, u.answeredAt = time.Time{}, time.Time{}
	}
	return u.nextProbe
}

// recordRecovery records that a lost upstream answers again. It may be cold.
func (u *upstreamState) recordRecovery(now time.Time) {
	if !u.nextProbe.IsZero() && u.answeredAt.IsZero() {
		u.answeredAt = now
	}
}

// recordSent counts a request against what its upstream sustains.
func (s *state) recordSent(u *upstreamState, now time.Time) {
	switch {
	case u.cold(now):
		s.allowance.RecordSent(u.record.ID, now)
	case !u.nextProbe.IsZero():
		s.delayProbe(u, now)
	}
}

// recordBrokenSend records that a send failed to connect to its upstream or lost the
// connection.
func (s *state) recordBrokenSend(u *upstreamState, cause error, now time.Time) {
	if isDisconnect(cause) {
		s.delayProbe(u, now)
		u.answeredAt = time.Time{}
	}
}

// isDisconnect reports whether a send failed to connect to its upstream or lost the connection.
func isDisconnect(cause error) bool {
	var unsent *outcome.NotRun
	var unknown *outcome.Unknown
	return errors.As(cause, &unsent) && unsent.Reason == outcome.ReasonDial ||
		errors.As(cause, &unknown) && unknown.Reason == outcome.ReasonConnectionLost
}

// delayProbe delays the next request to an upstream that may be down by a random time, which
// differs between entries: together they send no more than a cold upstream sustains.
func (s *state) delayProbe(u *upstreamState, now time.Time) {
	if rate := s.coldRate(u.record.Service); rate > 0 {
		interval := warmup.ProbeInterval(rate, s.entries)
		u.nextProbe = now.Add(interval/2 + rand.N(interval))
	}
}

// setSilent records whether the control hosts have contact with an upstream.
func (s *state) setSilent(u *upstreamState, silent bool, now time.Time) {
	switch {
	case silent && !u.silent && u.nextProbe.IsZero():
		s.delayProbe(u, now)
	case !silent && u.silent:
		u.recordRecovery(now)
	}
	u.silent = silent
}
