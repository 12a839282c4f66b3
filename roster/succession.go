package roster

import (
	"maps"
	"time"
)

const (
	// MaxAnnouncementDelay is how long after its sender's end an announcement may still
	// arrive.
	MaxAnnouncementDelay = 10 * time.Second
	// minAnnouncements is the minimum number of announcements, with growing sequence
	// numbers, by which an incarnation with an earlier start time proves to be current.
	minAnnouncements = 4
	// maxObserved is the maximum number of incarnations under observation.
	maxObserved = 4096
)

// Successions detects incarnations that follow one with a later start time, as happens
// when the clock of an upstream's host has stepped back between two starts.
//
// Stale announcements can't be mistaken for those of a running incarnation. If an
// incarnation ended before the known one first announced itself, all its announcements
// arrive within MaxAnnouncementDelay of that. An incarnation with an earlier start time is
// therefore current once it has announced itself with growing sequence numbers for longer
// than that, without a gap, while nothing was received from the known one. Forging such
// announcements gains nothing: a forged later start time would be accepted immediately,
// and a known incarnation that runs is received in the meantime.
//
// The leader, which checks announcements before they are committed, uses it; it is not part
// of the replicated state. It is not safe for concurrent use.
type Successions struct {
	// successors are the incarnations under observation by name, one per upstream.
	successors map[string]*successor
}

// successor is an incarnation with an earlier start time that announces itself.
type successor struct {
	startedMs, sequence uint64
	// state is the most advanced state it has announced.
	state State
	// knownStartedMs is the start time of the known incarnation.
	knownStartedMs uint64
	// announcements is how many were counted since first; last is when the latest was
	// received.
	announcements int
	first, last   time.Time
	// confirmedAt is when the incarnation was last found to be the current one.
	confirmedAt time.Time
}

// Receive processes an announcement of an incarnation with an earlier start time than the
// one held, which was last received at lastContact, and reports whether the announced
// incarnation is the current one. Announcements more than maxGap apart are not combined.
func (s *Successions) Receive(a, held Upstream, lastContact, now time.Time, maxGap time.Duration) bool {
	c := s.successors[a.ID]
	switch {
	case a.Service != held.Service && a.State != Gone:
		return false
	case a.State == Gone:
		if c != nil && c.startedMs == a.StartedMs {
			c.state, c.last = Gone, now
		}
		return false
	case c != nil && c.knownStartedMs == held.StartedMs && c.startedMs != a.StartedMs && now.Sub(c.last) <= maxGap:
		// One incarnation is observed at a time: stale announcements of another one must
		// not delay it.
		return false
	case c == nil || c.knownStartedMs != held.StartedMs || c.startedMs != a.StartedMs || now.Sub(c.last) > maxGap:
		if c = s.begin(a.ID, now, maxGap); c == nil {
			return false
		}
		*c = successor{startedMs: a.StartedMs, knownStartedMs: held.StartedMs, first: now}
	case a.State < c.state:
		// Leaving is final as long as the announcements continue.
		c.last = now
		return false
	case a.Sequence <= c.sequence:
		return false
	case lastContact.After(c.first) && lastContact.After(c.confirmedAt):
		*c = successor{startedMs: a.StartedMs, knownStartedMs: held.StartedMs, first: now}
	}
	c.sequence, c.state, c.last = a.Sequence, a.State, now
	c.announcements++
	if c.announcements < minAnnouncements || now.Sub(c.first) <= MaxAnnouncementDelay {
		return false
	}
	c.confirmedAt = now
	return true
}

// Observes reports whether the incarnation of an announcement has announced itself more than
// once, without a gap up to now, so that it may be the current one.
func (s *Successions) Observes(a Upstream, now time.Time, maxGap time.Duration) bool {
	c := s.successors[a.ID]
	return c != nil && c.startedMs == a.StartedMs && c.announcements > 1 && now.Sub(c.last) <= maxGap
}

// Drop ends the observation of an upstream that has announced that it leaves or is gone.
func (s *Successions) Drop(id string) { delete(s.successors, id) }

// begin returns the observation of an upstream, a new one if there is none yet, or nil if
// maxObserved is reached.
func (s *Successions) begin(id string, now time.Time, maxGap time.Duration) *successor {
	if s.successors == nil {
		s.successors = make(map[string]*successor)
	}
	if c := s.successors[id]; c != nil {
		return c
	}
	if len(s.successors) >= maxObserved {
		maps.DeleteFunc(s.successors, func(_ string, c *successor) bool { return now.Sub(c.last) > maxGap })
	}
	if len(s.successors) >= maxObserved {
		return nil
	}
	c := &successor{}
	s.successors[id] = c
	return c
}
