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
	// gatherWords is how long announcements are gathered for one command, or for one
	// message to the leader. After a restart all upstreams announce themselves within
	// 1.2 s; three thousand commands of two synced disks each take several times as long,
	// and who is not answered within a second announces itself again.
	gatherWords = 5 * time.Millisecond
	// wordsAtOnce bounds the announcements of one command, some 100 KB.
	wordsAtOnce = 512
)

// wordVerdict is what became of an announcement.
type wordVerdict uint8

const (
	// wordTaken: the leader knows it.
	wordTaken wordVerdict = iota
	// wordForeign: it is not its upstream's own.
	wordForeign
	// wordUncertain: nothing is certain about it.
	wordUncertain
)

// err is the verdict as an error.
func (v wordVerdict) err() error {
	switch v {
	case wordForeign:
		return ErrForeignWriter
	case wordUncertain:
		return ErrUnavailable
	}
	return nil
}

// gatherer has announcements that come at about the same time carried together. Those
// that come while a batch is on its way share the next one.
type gatherer struct {
	// carry takes a batch and returns a verdict on each of its announcements.
	carry func(ctx context.Context, words []roster.Upstream) []wordVerdict

	// busy has room for the one batch that is on its way.
	busy chan struct{}

	mu   sync.Mutex
	next *wordBatch
}

func newGatherer(carry func(context.Context, []roster.Upstream) []wordVerdict) *gatherer {
	return &gatherer{carry: carry, busy: make(chan struct{}, 1)}
}

type wordBatch struct {
	words    []roster.Upstream
	verdicts []wordVerdict
	done     chan struct{}
}

// add has an announcement carried with others and returns what became of it.
func (g *gatherer) add(ctx context.Context, u roster.Upstream) error {
	g.mu.Lock()
	b := g.next
	if b == nil || len(b.words) >= wordsAtOnce {
		b = &wordBatch{done: make(chan struct{})}
		g.next = b
		go g.send(b)
	}
	at := len(b.words)
	b.words = append(b.words, u)
	g.mu.Unlock()
	select {
	case <-b.done:
		return b.verdicts[at].err()
	case <-ctx.Done():
		return errors.Join(ErrUnavailable, ctx.Err())
	}
}

// send carries a batch once those before it are done.
func (g *gatherer) send(b *wordBatch) {
	time.Sleep(gatherWords)
	g.busy <- struct{}{}
	defer func() { <-g.busy }()
	g.mu.Lock()
	if g.next == b {
		g.next = nil
	}
	g.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), proposeTimeout)
	defer cancel()
	b.verdicts = g.carry(ctx, b.words)
	for len(b.verdicts) < len(b.words) {
		b.verdicts = append(b.verdicts, wordUncertain)
	}
	close(b.done)
}

// forwardWords has the leader take in announcements that came to this host.
func (s *Steward) forwardWords(ctx context.Context, words []roster.Upstream) []wordVerdict {
	answer, err := s.submit(ctx, submission{Words: words})
	if err != nil {
		s.unforwarded.info(time.Now(), "announcements not passed on", "announcements", len(words), "cause", err)
		return nil
	}
	return answer.Words
}

// takeWords takes in announcements on the leader: what changes the roster is committed
// with all else that comes at the time.
func (s *Steward) takeWords(ctx context.Context, words []roster.Upstream) []wordVerdict {
	verdicts := make([]wordVerdict, len(words))
	var waiting sync.WaitGroup
	for i := range words {
		changes, err := s.hearWord(&words[i])
		if err != nil {
			verdicts[i] = verdictOf(err)
			continue
		}
		if changes {
			waiting.Go(func() { verdicts[i] = verdictOf(s.enrolling.add(ctx, words[i])) })
		}
	}
	waiting.Wait()
	return verdicts
}

func verdictOf(err error) wordVerdict {
	switch {
	case err == nil:
		return wordTaken
	case errors.Is(err, ErrForeignWriter):
		return wordForeign
	}
	return wordUncertain
}

// commitWords commits announcements that change the roster.
func (s *Steward) commitWords(ctx context.Context, words []roster.Upstream) []wordVerdict {
	changing := make([]roster.Upstream, 0, len(words))
	for i := range words {
		// It may have been committed with the batch before.
		if s.machine.wouldChange(words[i]) {
			changing = append(changing, words[i])
		}
	}
	verdicts := make([]wordVerdict, len(words))
	if len(changing) == 0 {
		return verdicts
	}
	if _, err := s.propose(ctx, command{Upstreams: changing}); err != nil {
		s.options.Log.Info("upstreams not enrolled", "upstreams", len(changing), "cause", err)
		return nil
	}
	return verdicts
}

// hearWord judges an announcement on the leader, and reports whether it changes the
// roster.
func (s *Steward) hearWord(u *roster.Upstream) (changes bool, err error) {
	l := s.leading.Load()
	if l == nil {
		return false, ErrUnavailable
	}
	now := time.Now()
	switch s.machine.hear(*u) {
	case lateWord:
		follows, err := l.follows(u, now)
		if !follows {
			return false, err
		}
		s.options.Log.Warn("earlier birth is the present life", "upstream", u.ID, "born", u.StartedMs, "follows", u.Follows)
	case foreignWord:
		return false, eris.Wrap(ErrForeignWriter, u.ID)
	}
	if u.State == roster.Serving {
		l.beat(u.ID, now)
	} else {
		l.left(u.ID)
	}
	if !s.machine.wouldChange(*u) {
		return false, nil
	}
	s.announced.info(now, "upstream", "upstream", u.ID, "service", u.Service, "address", u.Address,
		"state", u.State, "sequence", u.Sequence, "born", u.StartedMs)
	return true, nil
}
