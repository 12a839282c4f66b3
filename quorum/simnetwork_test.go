package quorum

import (
	"slices"
	"time"

	"github.com/lovagereach/lovagereach/ident"
)

type delivery struct {
	at time.Time
	m  Message
}

// enqueue inserts a message in order of delivery time. Messages with the same
// time keep their order.
func (s *sim) enqueue(at time.Time, m Message) {
	i, _ := slices.BinarySearchFunc(s.queue, at, func(d delivery, at time.Time) int {
		if d.at.After(at) {
			return 1
		}
		return -1
	})
	s.queue = slices.Insert(s.queue, i, delivery{at, m})
}

func (s *sim) deliver(m Message) {
	h := s.host(m.To)
	switch {
	case h.node == nil || s.blocked[[2]ident.Host{m.From, m.To}]:
	case !s.running(h):
		s.enqueue(h.paused, m)
	default:
		s.deferTimeouts(h)
		h.node.Step(s.local(h), m)
		s.drain(h)
	}
}

func (s *sim) send(h *simHost, list []Message) {
	for _, m := range list {
		s.checkSyncOrder(h, m)
		s.checkVote(m)
		s.counts[m.Type]++
		copies := 1
		if s.rand.Float64() < s.dup {
			copies = 2
		}
		if s.rand.Float64() < s.drop {
			copies = 0
		}
		for range copies {
			s.enqueue(s.now.Add(s.delay+time.Duration(s.rand.Int64N(int64(s.jitter)+1))), m)
		}
	}
}

// partition splits the network into groups that can't reach one another.
func (s *sim) partition(groups ...[]*simHost) {
	s.heal()
	in := map[ident.Host]int{}
	for i, g := range groups {
		for _, h := range g {
			in[h.host] = i
		}
	}
	for _, a := range s.hosts {
		for _, b := range s.hosts {
			if in[a.host] != in[b.host] {
				s.blocked[[2]ident.Host{a.host, b.host}] = true
			}
		}
	}
}

func (s *sim) heal() { clear(s.blocked) }
