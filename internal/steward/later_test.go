package steward

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lovagereach/lovagereach/roster"
)

// Guards against announcements that outgrow a host without a leader, against an older
// word that replaces a later one, and against another service under a name that waits.
func TestLaterWordsAreBoundedAndTheLatest(t *testing.T) {
	var w laterWords
	word := func(id, service string, sequence, born uint64) roster.Upstream {
		return roster.Upstream{ID: id, Service: service, State: roster.Serving, Sequence: sequence, StartedMs: born}
	}
	w.add(word("u", "llm", 5, 1))
	for _, u := range []roster.Upstream{word("u", "llm", 4, 1), word("u", "llm", 9, 0), word("u", "llm", 7, 1)} {
		w.add(u)
	}
	if w.add(word("u", "nobody", 90, 2)) != nil {
		t.Error("another service under the name")
	}
	if list := w.take(); len(list) != 1 || list[0].upstream.Sequence != 7 {
		t.Errorf("%d wait", len(list))
	}
	for i := range laterMost {
		w.add(word(fmt.Sprint(i), "llm", 1, 1))
	}
	if w.add(word("one more", "llm", 1, 1)) != nil {
		t.Error("no bound")
	}
	for range laterMost/wordsAtOnce - 1 {
		w.take()
	}
	if last := w.take(); len(last) != wordsAtOnce || len(w.words) != 0 {
		t.Errorf("%d in the last batch, %d left", len(last), len(w.words))
	}
	earlier := &laterWord{upstream: word("u", "llm", 1, 1), said: time.Now(), done: make(chan struct{})}
	w.add(word("u", "llm", 2, 1))
	w.again(earlier)
	if list := w.take(); len(list) != 1 || list[0].upstream.Sequence != 2 {
		t.Error("an earlier word replaced a later one")
	}
}

// Guards against upstreams that are answered late while nobody leads, turn to the next
// host and keep all of them busy; and against a host that is cut off from the leader and
// goes on acknowledging what nobody will know.
func TestServingIsAcknowledgedInTimeWithoutALeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &Steward{branch: newBranch(NewMachine(), newSharedBook(), nil), started: time.Now()}
		s.machine = s.branch.machine
		u := runner(1000, 1, 1)
		began := time.Now()
		if taken, err := s.takeLater(context.Background(), u); !taken || err != nil || time.Since(began) > answerWithin {
			t.Errorf("taken %v after %v: %v", taken, time.Since(began), err)
		}
		if len(s.later.take()) != 1 {
			t.Error("acknowledged and forgotten")
		}
		if !s.mayTakeLater(time.Now()) {
			t.Error("refused while the group forms")
		}
		time.Sleep(formingFor)
		if s.mayTakeLater(time.Now()) {
			t.Error("acknowledged by a host that never heard a leader")
		}
		s.branch.take(&WatchAnswer{Term: 1}, time.Now(), time.Now())
		for _, c := range []struct {
			after time.Duration
			may   bool
		}{{0, true}, {leaderless, true}, {time.Millisecond, false}} {
			time.Sleep(c.after)
			if got := s.mayTakeLater(time.Now()); got != c.may {
				t.Errorf("after %v more: %v", c.after, got)
			}
		}
	})
}

// Guards against an upstream that ended during an outage of the leader and is enrolled as
// alive afterwards: its word waits here, and what waits is taken in as said now.
func TestWordsOfLongAgoAreNotTakenInLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var w laterWords
		u := runner(1000, 1, 1)
		word := w.add(u)
		for range 20 {
			time.Sleep(time.Second)
			for _, waiting := range w.take() {
				w.again(waiting)
			}
		}
		if list := w.take(); len(list) != 0 {
			t.Errorf("a word of %v ago is taken in", 20*time.Second)
		}
		u.Sequence++
		if again := w.add(u); again == nil || again == word || len(w.take()) != 1 {
			t.Error("its next word is not")
		}
	})
}
