package steward

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/lovagereach/lovagereach/roster"
)

const (
	// batchDelay is the time for which announcements are gathered into one command, or into one
	// message to the leader. After a restart all upstreams announce themselves within 1.2 s;
	// three thousand commands of two synced disks each take several times as long, and an
	// upstream without an answer within a second announces itself again.
	batchDelay = 5 * time.Millisecond
	// maxBatch bounds the announcements of one command, some 100 KB.
	maxBatch = 512
)

// announceResult is the outcome of an announcement.
type announceResult uint8

const (
	// announceAccepted: the leader has applied or recorded it.
	announceAccepted announceResult = iota
	// announceForeign: it was sent by another writer.
	announceForeign
	// announceUncertain: the outcome is unknown.
	announceUncertain
)

// err returns the result as an error.
func (v announceResult) err() error {
	switch v {
	case announceForeign:
		return ErrForeignWriter
	case announceUncertain:
		return ErrUnavailable
	}
	return nil
}

// batcher groups announcements that arrive at about the same time. Announcements that arrive
// while a batch is in flight share the next one.
type batcher struct {
	// deliver sends a batch and returns one result per announcement.
	deliver func(ctx context.Context, announcements []roster.Upstream) []announceResult

	// busy is a semaphore for the one batch in flight.
	busy chan struct{}

	mu   sync.Mutex
	next *announcementBatch
}

func newBatcher(deliver func(context.Context, []roster.Upstream) []announceResult) *batcher {
	return &batcher{deliver: deliver, busy: make(chan struct{}, 1)}
}

type announcementBatch struct {
	announcements []roster.Upstream
	results       []announceResult
	done          chan struct{}
}

// add adds an announcement to the next batch, waits and returns its outcome.
func (g *batcher) add(ctx context.Context, u roster.Upstream) error {
	g.mu.Lock()
	b := g.next
	if b == nil || len(b.announcements) >= maxBatch {
		b = &announcementBatch{done: make(chan struct{})}
		g.next = b
		go g.send(b)
	}
	at := len(b.announcements)
	b.announcements = append(b.announcements, u)
	g.mu.Unlock()
	select {
	case <-b.done:
		return b.results[at].err()
	case <-ctx.Done():
		return errors.Join(ErrUnavailable, ctx.Err())
	}
}

// send delivers a batch after the ones before it.
func (g *batcher) send(b *announcementBatch) {
	time.Sleep(batchDelay)
	g.busy <- struct{}{}
	defer func() { <-g.busy }()
	g.mu.Lock()
	if g.next == b {
		g.next = nil
	}
	g.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), proposeTimeout)
	defer cancel()
	b.results = g.deliver(ctx, b.announcements)
	for len(b.results) < len(b.announcements) {
		b.results = append(b.results, announceUncertain)
	}
	close(b.done)
}

// forwardAnnouncements sends announcements that arrived at this host to the leader.
func (s *Steward) forwardAnnouncements(ctx context.Context, announcements []roster.Upstream) []announceResult {
	answer, err := s.submit(ctx, submission{Announcements: announcements})
	if err != nil {
		s.forwardLog.info(time.Now(), "announcements not forwarded to the leader", "announcements", len(announcements), "cause", err)
		return nil
	}
	return answer.Results
}

// applyAnnouncements applies announcements on the leader. Those that change the roster are
// committed in a batch with others that arrive at the time.
func (s *Steward) applyAnnouncements(ctx context.Context, announcements []roster.Upstream) []announceResult {
	results := make([]announceResult, len(announcements))
	var waiting sync.WaitGroup
	for i := range announcements {
		changes, err := s.checkAnnouncement(&announcements[i])
		if err != nil {
			results[i] = resultOf(err)
			continue
		}
		if changes {
			waiting.Go(func() { results[i] = resultOf(s.commitBatcher.add(ctx, announcements[i])) })
		}
	}
	waiting.Wait()
	return results
}

func resultOf(err error) announceResult {
	switch {
	case err == nil:
		return announceAccepted
	case errors.Is(err, ErrForeignWriter):
		return announceForeign
	}
	return announceUncertain
}

// commitAnnouncements commits the announcements that change the roster.
func (s *Steward) commitAnnouncements(ctx context.Context, announcements []roster.Upstream) []announceResult {
	changing := make([]roster.Upstream, 0, len(announcements))
	for i := range announcements {
		// It may have been committed with the previous batch.
		if s.machine.changesRoster(announcements[i]) {
			changing = append(changing, announcements[i])
		}
	}
	results := make([]announceResult, len(announcements))
	if len(changing) == 0 {
		return results
	}
	if _, err := s.propose(ctx, command{Upstreams: changing}); err != nil {
		s.options.Log.Info("announcements not committed", "upstreams", len(changing), "cause", err)
		return nil
	}
	return results
}

// checkAnnouncement classifies an announcement on the leader, and reports whether it changes
// the roster.
func (s *Steward) checkAnnouncement(u *roster.Upstream) (changes bool, err error) {
	l := s.leading.Load()
	if l == nil {
		return false, ErrUnavailable
	}
	now := time.Now()
	switch s.machine.classify(*u) {
	case staleAnnouncement:
		follows, err := l.follows(u, now)
		if !follows {
			return false, err
		}
		s.options.Log.Warn("incarnation with an earlier start time accepted as the current one", "upstream", u.ID, "born", u.StartedMs, "follows", u.Supersedes)
	case foreignAnnouncement:
		return false, eris.Wrap(ErrForeignWriter, u.ID)
	}
	if u.State == roster.Serving {
		l.recordContact(u.ID, now)
	} else {
		l.dropSuccession(u.ID)
	}
	if !s.machine.changesRoster(*u) {
		return false, nil
	}
	s.upstreamLog.info(now, "upstream", "upstream", u.ID, "service", u.Service, "address", u.Address, "software", u.Software,
		"state", u.State, "sequence", u.Sequence, "born", u.StartedMs)
	return true, nil
}
