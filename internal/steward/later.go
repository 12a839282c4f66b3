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
	// laterEvery is how often announcements are taken in that were acknowledged before.
	laterEvery = 20 * time.Millisecond
	// laterPause is the pause after an attempt that nobody answered.
	laterPause = 150 * time.Millisecond
	// laterMost bounds the announcements that wait, some 2 MB. One that finds no room is
	// answered once the leader has it.
	laterMost = 8192
	// answerWithin is when an announcement is acknowledged that is not taken in yet. Upstreams
	// turn to another host after a second.
	answerWithin = 300 * time.Millisecond
	// leaderless is for how long without a word of the leader a host acknowledges that
	// upstreams serve. One that is cut off for longer sends them to hosts that are not.
	leaderless = 2 * time.Second
	// formingFor is the same from its start on, until a leader is heard for the first time.
	formingFor = 10 * time.Second
)

// laterWords are announcements that upstreams serve, by name: the latest of each.
//
// That an upstream serves promises it nothing, and it says so again. Answered only when
// the log has it, all upstreams of a large fleet are answered too late after a restart,
// turn to the next host on a new connection, and keep every host from electing and
// following a leader.
type laterWords struct {
	announcing announcing

	mu    sync.Mutex
	words map[string]*laterWord
}

type laterWord struct {
	upstream roster.Upstream
	// said is when it came.
	said time.Time
	// done is closed once err tells what became of it.
	done chan struct{}
	err  error
}

// add keeps an announcement, in place of an earlier one of the same upstream. It returns
// nil where there is no room, or where another word under this name waits that is not
// the same upstream's.
func (w *laterWords) add(u roster.Upstream) *laterWord {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.words == nil {
		w.words = make(map[string]*laterWord)
	}
	held := w.words[u.ID]
	switch {
	case held == nil && len(w.words) >= laterMost || held != nil && held.upstream.Service != u.Service:
		return nil
	case held == nil:
		held = &laterWord{upstream: u, said: time.Now(), done: make(chan struct{})}
		w.words[u.ID] = held
	case u.StartedMs > held.upstream.StartedMs || u.StartedMs == held.upstream.StartedMs && u.Sequence > held.upstream.Sequence:
		held.upstream, held.said = u, time.Now()
	}
	return held
}

// again keeps an announcement that nobody took, unless a later one has come.
func (w *laterWords) again(word *laterWord) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.words[word.upstream.ID] == nil {
		w.words[word.upstream.ID] = word
	}
}

// take returns up to wordsAtOnce announcements, and forgets those that are too old: an
// upstream that runs has said it again, and one that has ended would count as heard now.
func (w *laterWords) take() []*laterWord {
	w.mu.Lock()
	defer w.mu.Unlock()
	list := make([]*laterWord, 0, min(len(w.words), wordsAtOnce))
	for id, word := range w.words {
		if time.Since(word.said) > w.announcing.silentAfter() {
			delete(w.words, id)
			continue
		}
		if len(list) < wordsAtOnce {
			list = append(list, word)
			delete(w.words, id)
		}
	}
	return list
}

// mayTakeLater reports whether this host leads or has heard from the leader lately, so
// that what it acknowledges now will be known to the leader.
func (s *Steward) mayTakeLater(now time.Time) bool {
	if s.leading.Load() != nil {
		return true
	}
	if !s.branch.hasHeard() {
		return now.Sub(s.started) < formingFor
	}
	return s.branch.heardAge(s.branch.at(now)) <= leaderless
}

// takeLater has an announcement that an upstream serves taken in, and acknowledges it
// after answerWithin also if it is not yet. It reports false where there is no room.
func (s *Steward) takeLater(ctx context.Context, u roster.Upstream) (bool, error) {
	// The leader hears late words too: they may be those of an earlier-born life that
	// follows the known one.
	judged := s.machine.hear(u)
	if judged == foreignWord {
		return true, ErrForeignWriter
	}
	if l := s.leading.Load(); l != nil && judged == ownWord && !s.machine.wouldChange(u) {
		// Most words change nothing, and need not wait for a batch at the leader.
		l.beat(u.ID, time.Now())
		return true, nil
	}
	word := s.later.add(u)
	if word == nil {
		return false, nil
	}
	timer := time.NewTimer(answerWithin)
	defer timer.Stop()
	select {
	case <-word.done:
		return true, word.err
	case <-timer.C:
		return true, nil
	case <-ctx.Done():
		return true, errors.Join(ErrUnavailable, ctx.Err())
	}
}

// takeInLater has the leader take in what upstreams announced, as long as there is one.
func (s *Steward) takeInLater(ctx context.Context) {
	for wait.For(ctx, laterEvery) {
		list := s.later.take()
		if len(list) == 0 {
			continue
		}
		failed := false
		for i, err := range s.carryWords(ctx, list) {
			if errors.Is(err, ErrUnavailable) {
				s.later.again(list[i])
				failed = true
				continue
			}
			list[i].err = err
			close(list[i].done)
		}
		if failed {
			wait.For(ctx, jitter(laterPause))
		}
	}
}

// carryWords has the leader take in announcements and returns what became of each.
func (s *Steward) carryWords(ctx context.Context, list []*laterWord) []error {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	words := make([]roster.Upstream, len(list))
	for i := range list {
		words[i] = list[i].upstream
	}
	var verdicts []wordVerdict
	if s.leading.Load() != nil {
		verdicts = s.takeWords(ctx, words)
	} else {
		verdicts = s.forwardWords(ctx, words)
	}
	errs := make([]error, len(list))
	for i := range list {
		errs[i] = ErrUnavailable
		if i < len(verdicts) {
			errs[i] = verdicts[i].err()
		}
	}
	return errs
}
