package roster

import (
	"maps"
	"time"
)

const (
	// LateWithin is for how long after its sender's end a word may still arrive.
	LateWithin = 10 * time.Second
	// successionWords is the least number of words, each with a higher count, by which
	// an earlier-born life shows that it is the present one.
	successionWords = 4
	// maxSuccessors bounds the lives under observation.
	maxSuccessors = 4096
)

// Successions finds earlier-born lives that follow later-born ones, as after the clock
// of an upstream's host has stepped back between two starts.
//
// Late words can't pass for those of a present life. All of a life that ended before
// the known one was first heard arrive within LateWithin of that. An earlier-born life
// is present once it has gone on announcing itself with a growing count for longer
// than that, without a pause, while nothing was heard of the known one. Whoever forges
// such words gains nothing: a forged later birth is taken in at once, and a known life
// that runs is heard meanwhile.
//
// It belongs to whoever judges words before they are committed, and is not part of the
// replicated state. It is not safe for concurrent use.
type Successions struct {
	// successors are the lives under observation by name, one of each upstream.
	successors map[string]*successor
}

// successor is an earlier-born life that announces itself.
type successor struct {
	born, sequence uint64
	// state is the latest that it has come to.
	state State
	// over is the birth of the known life.
	over uint64
	// words came from since on, the latest at last.
	words       int
	since, last time.Time
	// found is when the life was found to be the present one.
	found time.Time
}

// Receive takes in a word of an earlier-born life than the one held, which was last heard
// at heard, and reports whether its life is the present one. Words more than pause apart
// don't belong together.
func (s *Successions) Receive(a, held Upstream, heard, now time.Time, pause time.Duration) bool {
	c := s.successors[a.ID]
	switch {
	case a.Service != held.Service && a.State != Gone:
		return false
	case a.State == Gone:
		if c != nil && c.born == a.StartedMs {
			c.state, c.last = Gone, now
		}
		return false
	case c != nil && c.over == held.StartedMs && c.born != a.StartedMs && now.Sub(c.last) <= pause:
		// One life at a time: late words of another one must not hold it up.
		return false
	case c == nil || c.over != held.StartedMs || c.born != a.StartedMs || now.Sub(c.last) > pause:
		if c = s.begin(a.ID, now, pause); c == nil {
			return false
		}
		*c = successor{born: a.StartedMs, over: held.StartedMs, since: now}
	case a.State < c.state:
		// Leaving is for good, as long as words go on.
		c.last = now
		return false
	case a.Sequence <= c.sequence:
		return false
	case heard.After(c.since) && heard.After(c.found):
		*c = successor{born: a.StartedMs, over: held.StartedMs, since: now}
	}
	c.sequence, c.state, c.last = a.Sequence, a.State, now
	c.words++
	if c.words < successionWords || now.Sub(c.since) <= LateWithin {
		return false
	}
	c.found = now
	return true
}

// Observes reports whether the life of a word has announced itself more than once, without
// a pause up to now: it may be the present one.
func (s *Successions) Observes(a Upstream, now time.Time, pause time.Duration) bool {
	c := s.successors[a.ID]
	return c != nil && c.born == a.StartedMs && c.words > 1 && now.Sub(c.last) <= pause
}

// Drop ends the observation of an upstream that has said that it leaves or is gone.
func (s *Successions) Drop(id string) { delete(s.successors, id) }

// begin returns room for the observation of an upstream, nil if there is none.
func (s *Successions) begin(id string, now time.Time, pause time.Duration) *successor {
	if s.successors == nil {
		s.successors = make(map[string]*successor)
	}
	if c := s.successors[id]; c != nil {
		return c
	}
	if len(s.successors) >= maxSuccessors {
		maps.DeleteFunc(s.successors, func(_ string, c *successor) bool { return now.Sub(c.last) > pause })
	}
	if len(s.successors) >= maxSuccessors {
		return nil
	}
	c := &successor{}
	s.successors[id] = c
	return c
}
