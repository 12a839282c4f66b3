package steward

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/lovagereach/lovagereach/internal/wait"
	"github.com/lovagereach/lovagereach/roster"
)

const (
	// deferredInterval is the interval at which acknowledged announcements are delivered to the
	// leader.
	deferredInterval = 20 * time.Millisecond
	// deferredRetry is the pause after a failed delivery.
	deferredRetry = 150 * time.Millisecond
	// maxDeferred bounds the deferred announcements, some 2 MB. Beyond it an announcement is
	// answered once the leader has it.
	maxDeferred = 8192
	// ackTimeout is the time after which an announcement is acknowledged that is not delivered
	// yet. Upstreams turn to another host after a second.
	ackTimeout = 300 * time.Millisecond
	// deferWithoutLeader is the time since the leader's latest answer for which a host
	// acknowledges that upstreams serve. A host that is cut off for longer sends them to hosts
	// that are not.
	deferWithoutLeader = 2 * time.Second
	// deferAtStart replaces deferWithoutLeader from the host's start until the first answer of
	// a leader.
	deferAtStart = 10 * time.Second
)

// deferredAnnouncements holds announcements of serving upstreams, the latest of each by ID.
//
// That an upstream serves promises it nothing, and it repeats the announcement. If these were
// acknowledged only once the log has them, all upstreams of a large fleet would get their
// answers too late after a restart, turn to the next host on a new connection, and keep every
// host from electing and following a leader.
type deferredAnnouncements struct {
	announceEvery announceInterval

	mu   sync.Mutex
	byID map[string]*deferredAnnouncement
}

type deferredAnnouncement struct {
	upstream roster.Upstream
	// receivedAt is the time at which the announcement arrived.
	receivedAt time.Time
	// done is closed once err holds the outcome.
	done chan struct{}
	err  error
}

// add stores an announcement, replacing an earlier one of the same upstream. It returns nil if
// there is no capacity, or if an announcement with this ID but of another service is waiting.
func (w *deferredAnnouncements) add(u roster.Upstream) *deferredAnnouncement {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.byID == nil {
		w.byID = make(map[string]*deferredAnnouncement)
	}
	held := w.byID[u.ID]
	switch {
	case held == nil && len(w.byID) >= maxDeferred || held != nil && held.upstream.Service != u.Service:
		return nil
	case held == nil:
		held = &deferredAnnouncement{upstream: u, receivedAt: time.Now(), done: make(chan struct{})}
		w.byID[u.ID] = held
	case u.StartedMs > held.upstream.StartedMs || u.StartedMs == held.upstream.StartedMs && u.Sequence > held.upstream.Sequence:
		held.upstream, held.receivedAt = u, time.Now()
	}
	return held
}

// requeue stores an announcement that wasn't delivered, unless a later one has arrived.
func (w *deferredAnnouncements) requeue(announcement *deferredAnnouncement) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.byID[announcement.upstream.ID] == nil {
		w.byID[announcement.upstream.ID] = announcement
	}
}

// take removes and returns up to maxBatch announcements, and drops those that are too old: a
// running upstream has announced itself again, and one that has ended would count as in contact
// now.
func (w *deferredAnnouncements) take() []*deferredAnnouncement {
	w.mu.Lock()
	defer w.mu.Unlock()
	list := make([]*deferredAnnouncement, 0, min(len(w.byID), maxBatch))
	for id, announcement := range w.byID {
		if time.Since(announcement.receivedAt) > w.announceEvery.silentAfter() {
			delete(w.byID, id)
			continue
		}
		if len(list) < maxBatch {
			list = append(list, announcement)
			delete(w.byID, id)
		}
	}
	return list
}

// mayDefer reports whether this host leads or has a recent answer of the leader, so that what
// it acknowledges now will reach the leader.
func (s *Steward) mayDefer(now time.Time) bool {
	if s.leading.Load() != nil {
		return true
	}
	if !s.relay.hasLeaderContact() {
		return now.Sub(s.startedAt) < deferAtStart
	}
	return s.relay.leaderContactAge(s.relay.clockAt(now)) <= deferWithoutLeader
}

// deferAnnouncement queues an announcement of a serving upstream, and acknowledges it after
// ackTimeout even if it is not delivered by then. It returns false if there is no capacity.
func (s *Steward) deferAnnouncement(ctx context.Context, u roster.Upstream) (bool, error) {
	// Stale announcements are queued too: the leader may find them to be from a current
	// incarnation with an earlier start time.
	kind := s.machine.classify(u)
	if kind == foreignAnnouncement {
		return true, ErrForeignWriter
	}
	if l := s.leading.Load(); l != nil && kind == currentAnnouncement && !s.machine.changesRoster(u) {
		// Most announcements change nothing, and need not wait for a batch at the leader.
		l.recordContact(u.ID, time.Now())
		return true, nil
	}
	announcement := s.deferred.add(u)
	if announcement == nil {
		return false, nil
	}
	timer := time.NewTimer(ackTimeout)
	defer timer.Stop()
	select {
	case <-announcement.done:
		return true, announcement.err
	case <-timer.C:
		return true, nil
	case <-ctx.Done():
		return true, errors.Join(ErrUnavailable, ctx.Err())
	}
}

// deliverDeferred delivers deferred announcements to the leader, whenever there is one.
func (s *Steward) deliverDeferred(ctx context.Context) {
	for wait.For(ctx, deferredInterval) {
		list := s.deferred.take()
		if len(list) == 0 {
			continue
		}
		failed := false
		for i, err := range s.deliver(ctx, list) {
			if errors.Is(err, ErrUnavailable) {
				s.deferred.requeue(list[i])
				failed = true
				continue
			}
			list[i].err = err
			close(list[i].done)
		}
		if failed {
			wait.For(ctx, jitter(deferredRetry))
		}
	}
}

// deliver sends announcements to the leader and returns the outcome of each.
func (s *Steward) deliver(ctx context.Context, list []*deferredAnnouncement) []error {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	announcements := make([]roster.Upstream, len(list))
	for i := range list {
		announcements[i] = list[i].upstream
	}
	var results []announceResult
	if s.leading.Load() != nil {
		results = s.applyAnnouncements(ctx, announcements)
	} else {
		results = s.forwardAnnouncements(ctx, announcements)
	}
	errs := make([]error, len(list))
	for i := range list {
		errs[i] = ErrUnavailable
		if i < len(results) {
			errs[i] = results[i].err()
		}
	}
	return errs
}
