package steward

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/internal/wire"
)

const (
	// watchWait is the longest that a watch is kept open. Its answers carry the
	// loads of the other entries, which go stale.
	watchWait = 120 * time.Millisecond
	// gather is how long a watch waits for more after the first news, so that
	// parts that become whole one after the other share an answer.
	gather = 15 * time.Millisecond
)

func (s *Steward) handleWatch(ctx context.Context, _ port.Peer, _ port.Method, body []byte) ([]byte, error) {
	var request WatchRequest
	if err := wire.Unmarshal(body, &request); err != nil {
		return nil, eris.Wrap(err, "steward: watch")
	}
	return wire.MustMarshal(s.watch(ctx, &request)), nil
}

func (s *Steward) watch(ctx context.Context, request *WatchRequest) *WatchAnswer {
	l := s.leading.Load()
	if l == nil {
		return s.redirect()
	}
	l.follow(request, time.Now())
	answer := &WatchAnswer{Term: l.term}
	machineNews, shelfNews := s.machine.news(), l.shelves.news()
	found := s.machine.fill(request, answer)
	found = l.shelves.fill(request, answer) || found || request.Term != l.term
	if !found {
		awaitNews(ctx, machineNews, shelfNews)
		s.machine.fill(request, answer)
		l.shelves.fill(request, answer)
	}
	s.complete(l, request, answer)
	return answer
}

// awaitNews waits for one of two channels to be closed, for watchWait at most.
func awaitNews(ctx context.Context, machine, shelves <-chan struct{}) {
	timer := time.NewTimer(watchWait)
	defer timer.Stop()
	select {
	case <-machine:
	case <-shelves:
		select {
		case <-machine:
		case <-time.After(gather):
		case <-ctx.Done():
		}
	case <-timer.C:
	case <-ctx.Done():
	}
}

// complete adds what every answer carries.
func (s *Steward) complete(l *leadership, request *WatchRequest, answer *WatchAnswer) {
	now := time.Now()
	answer.Entries = l.list(now)
	answer.Silent = l.silent(s.machine.live(), now)
	answer.Loading = l.loader.loading()
	answer.Clock = l.shelves.clock(now)
	if request.Entry != nil {
		answer.Loads = l.loadsBut(request.Entry.Host)
	}
	answer.Leader = string(s.options.Self)
	answer.Members = s.memberNames()
}

func (s *Steward) redirect() *WatchAnswer {
	return &WatchAnswer{NotLeader: true, Leader: s.Leader(), Members: s.memberNames()}
}

func (s *Steward) memberNames() []string {
	r := s.replica()
	if r == nil {
		return nil
	}
	status := r.Status()
	names := make([]string, 0, len(status.Voters)+len(status.Learners))
	for _, host := range status.Voters {
		names = append(names, string(host))
	}
	for _, host := range status.Learners {
		names = append(names, string(host))
	}
	return names
}

// followLeader copies the leader's list of entries while another host leads, so
// that every control host can tell callers whom to ask.
func (s *Steward) followLeader(ctx context.Context) {
	request := &WatchRequest{}
	s.follower.Run(ctx, func() *WatchRequest {
		if s.leading.Load() != nil {
			return nil
		}
		// The log brings the rest.
		request.Document, request.Weights, request.Roster = s.machine.held()
		return request
	}, func(answer *WatchAnswer, _ time.Time) {
		request.Term = answer.Term
		request.Shelves = answer.Shelves
		s.mu.Lock()
		s.entries = answer.Entries
		s.mu.Unlock()
	})
}

// entryList returns the entries as this host knows them.
func (s *Steward) entryList() []EntryView {
	if l := s.leading.Load(); l != nil {
		return l.list(time.Now())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entries
}

// Addresses lists the listeners of the entries that take new callers.
func (s *Steward) Addresses() []EntryView {
	var ready []EntryView
	for _, view := range s.entryList() {
		if view.Ready {
			ready = append(ready, view)
		}
	}
	return ready
}
