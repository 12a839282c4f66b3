package steward

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/internal/wire"
)

// scriptedHosts answer watches by a table; a host without an answer is silent.
type scriptedHosts struct {
	answers map[string]*WatchAnswer
	asked   string
	request WatchRequest
}

func (s *scriptedHosts) Call(_ context.Context, address string, _ port.Method, body []byte) ([]byte, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	s.asked, s.request = host, WatchRequest{}
	if err := wire.Unmarshal(body, &s.request); err != nil {
		return nil, err
	}
	answer := s.answers[host]
	if answer == nil {
		return nil, errors.New("silent")
	}
	return wire.MustMarshal(answer), nil
}

func (s *scriptedHosts) Send(string, port.Method, []byte) bool { return false }

func testFollower(hosts *scriptedHosts) *Follower {
	return NewFollower(FollowerOptions{
		Transport: hosts, Seeds: []ident.Host{"c1"}, PeerPort: 1, Self: "e1", DataCentre: "north", Log: log.New(io.Discard),
	})
}

func twoRelays() []RelayView {
	return []RelayView{{Host: "c2", DataCentre: "south"}, {Host: "c3", DataCentre: "north"}}
}

// Requests go by an old configuration while an entry hears nothing. It must find
// another host at once when the one that it asked is lost or has nothing to
// tell, and must not fall upon the leader together with all others.
func TestFollowerTurnsToAnotherHost(t *testing.T) {
	ok := func(term uint64) *WatchAnswer { return &WatchAnswer{Term: term, Leader: "c1", Relays: twoRelays()} }
	hosts := &scriptedHosts{answers: map[string]*WatchAnswer{"c1": ok(1), "c2": ok(1), "c3": ok(1)}}
	f := testFollower(hosts)
	told := 0
	step := func(want string, direct, answered bool) {
		t.Helper()
		before := told
		f.once(context.Background(), &WatchRequest{Entry: &EntryView{Host: "e1"}}, func(*WatchAnswer, time.Time) { told++ })
		if hosts.asked != want || hosts.request.Direct != direct || (told > before) != answered {
			t.Fatalf("asked %s (direct %v, answered %v), want %s (direct %v, answered %v)",
				hosts.asked, hosts.request.Direct, told > before, want, direct, answered)
		}
	}
	step("c1", false, true) // the seed, which names the relays
	step("c3", false, true) // the relay of its own data centre
	hosts.answers["c3"] = nil
	step("c3", false, false)
	step("c2", false, true) // the other relay
	hosts.answers["c2"] = &WatchAnswer{Redirect: true, Leader: "c1"}
	step("c2", false, false)
	step("c1", false, true) // one relay answers: the leader is asked, but need not serve
	hosts.answers["c2"] = nil
	f.avoided["c2"] = failure{}
	step("c2", false, false)
	step("c1", true, true) // no relay answers: the leader must serve
}

// Requests go by an old configuration for as long as an entry tries one lost host
// after the other. After two it has the leader answer.
func TestFollowerTriesFewSilentHosts(t *testing.T) {
	relays := []RelayView{{Host: "c2"}, {Host: "c3"}, {Host: "c4"}, {Host: "c5"}}
	hosts := &scriptedHosts{answers: map[string]*WatchAnswer{"c1": {Term: 1, Leader: "c1", Relays: relays}}}
	f := testFollower(hosts)
	asked := make(map[string]int)
	for range 4 {
		f.once(context.Background(), &WatchRequest{Entry: &EntryView{Host: "e1"}}, func(*WatchAnswer, time.Time) {})
		asked[hosts.asked]++
	}
	if len(asked) != 3 || asked["c1"] != 2 || !hosts.request.Direct {
		t.Fatalf("asked %v, the last time directly: %v", asked, hosts.request.Direct)
	}
}

// Callers get no answer after a restart of all control hosts: each entry has found all
// of them silent, has the first that leads answer it, and does so for 2 s, though the
// others are back and that leader names them. It is busy with all entries until it
// loses the lead. Those that a new leader names are asked again, and each is left
// alone once more if it is silent still.
func TestFollowerAsksAgainWhomANewLeaderNames(t *testing.T) {
	ok := func(term uint64) *WatchAnswer { return &WatchAnswer{Term: term, Leader: "c1", Relays: twoRelays()} }
	hosts := &scriptedHosts{answers: map[string]*WatchAnswer{"c1": ok(1)}}
	f := testFollower(hosts)
	step := func(want string, direct bool) {
		t.Helper()
		f.once(context.Background(), &WatchRequest{Entry: &EntryView{Host: "e1"}}, func(*WatchAnswer, time.Time) {})
		if hosts.asked != want || hosts.request.Direct != direct {
			t.Fatalf("asked %s (direct %v), want %s (direct %v)", hosts.asked, hosts.request.Direct, want, direct)
		}
	}
	step("c1", false)
	step("c3", false)
	step("c2", false)
	step("c1", true) // both are silent
	hosts.answers["c1"], hosts.answers["c3"] = ok(2), ok(2)
	step("c1", true) // which tells of its election
	step("c3", false)
	hosts.answers["c3"] = nil
	step("c3", false)
	step("c2", false)
	step("c1", true) // both are silent in this term too
	step("c1", true)
}

// A host that was cut off wakes with an old belief. What it tells must not take
// the place of what a later leader told.
func TestFollowerKeepsToTheLatestTerm(t *testing.T) {
	hosts := &scriptedHosts{answers: map[string]*WatchAnswer{"c1": {Term: 7, Leader: "c1"}}}
	f := testFollower(hosts)
	var terms []uint64
	watch := func() {
		f.once(context.Background(), &WatchRequest{}, func(a *WatchAnswer, _ time.Time) { terms = append(terms, a.Term) })
	}
	watch()
	hosts.answers["c1"] = &WatchAnswer{Term: 6, Leader: "c1"}
	watch()
	hosts.answers["c1"] = &WatchAnswer{Term: 8, Leader: "c1"}
	watch()
	if len(terms) != 2 || terms[0] != 7 || terms[1] != 8 {
		t.Fatalf("took the terms %v", terms)
	}
}

// slowHosts answer watches after a time of their own.
type slowHosts struct {
	mu     sync.Mutex
	after  map[string]time.Duration
	answer func(host string, request *WatchRequest) WatchAnswer
}

func (s *slowHosts) Call(ctx context.Context, address string, _ port.Method, body []byte) ([]byte, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	var request WatchRequest
	if err := wire.Unmarshal(body, &request); err != nil {
		return nil, err
	}
	s.mu.Lock()
	after, answer := s.after[host], s.answer(host, &request)
	s.mu.Unlock()
	select {
	case <-time.After(after):
		return wire.MustMarshal(answer), nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (s *slowHosts) Send(string, port.Method, []byte) bool { return false }

func slowFollower(hosts *slowHosts) *Follower {
	return NewFollower(FollowerOptions{
		Transport: hosts, Seeds: []ident.Host{"c1"}, PeerPort: 1, Self: "e1", DataCentre: "north", Log: log.New(io.Discard),
	})
}

// An entry whose calls all last longer than it waits for one hears nothing, ever,
// if it drops what comes late. But a late answer builds on what the entry held
// when it asked: beside a younger one it may tell no more than what has revisions.
func TestFollowerTakesLateAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hosts := &slowHosts{
			after: map[string]time.Duration{"c1": 700 * time.Millisecond, "c3": 50 * time.Millisecond},
			answer: func(host string, _ *WatchRequest) WatchAnswer {
				heard := map[string]time.Duration{"c3": 30 * time.Millisecond}[host]
				return WatchAnswer{Term: 1, Leader: "c1", Relays: twoRelays(), StateAge: heard}
			},
		}
		f := slowFollower(hosts)
		type taken struct {
			partial bool
			word    time.Duration
		}
		var got []taken
		start := time.Now()
		step := func() {
			f.once(t.Context(), &WatchRequest{Entry: &EntryView{Host: "e1"}}, func(a *WatchAnswer, _ time.Time) {
				got = append(got, taken{a.Partial, f.wordTime().Sub(start)})
			})
			time.Sleep(followPause)
		}
		step() // c1, given up after 600 ms
		step() // c1 once more, and the late answer of before
		if want := (taken{false, 0}); len(got) != 1 || got[0] != want {
			t.Fatalf("took %+v, want %+v", got, want)
		}
		f.relays = f.order(twoRelays())
		step() // c3 answers first, at 1290 ms of what the leader had at 1210
		if want := (taken{false, 1210 * time.Millisecond}); len(got) != 2 || got[1] != want {
			t.Fatalf("took %+v, want %+v last", got, want)
		}
		hosts.after["c3"] = 200 * time.Millisecond
		step() // the second answer of c1 comes first, at 1320 ms
		if want := (taken{true, 1210 * time.Millisecond}); len(got) != 4 || got[2] != want || got[3].partial {
			t.Fatalf("took %+v, want %+v and a whole one", got, want)
		}
	})
}

// The relays answer at once, but only to ask elsewhere: their logs are behind, or
// the leader's answers come to them too late. The leader lists them all the same
// and sends entries there. Callers are served by an old configuration for as long
// as an entry goes round in this circle; it must have the leader answer before
// that, and no oftener than that takes, for all other entries ask it, too. One that
// has just started serves nobody by an old configuration: it leaves the others the
// time that they have after an election.
func TestFollowerWithAnOldWordAsksTheLeader(t *testing.T) {
	followerWithAnOldWord(t, 1, overdueAfter, 8)
	followerWithAnOldWord(t, 0, relaysWithin+firstSpread, 3)
}

func followerWithAnOldWord(t *testing.T, term uint64, bound time.Duration, least int) {
	synctest.Test(t, func(t *testing.T) {
		hosts := &slowHosts{answer: func(host string, request *WatchRequest) WatchAnswer {
			return WatchAnswer{Redirect: !request.Overdue, Term: 1, Leader: "c1", Relays: twoRelays()}
		}}
		f := slowFollower(hosts)
		f.term = term
		oldest, answered := time.Duration(0), 0
		for start := time.Now(); time.Since(start) < 8*time.Second; time.Sleep(followPause) {
			f.once(t.Context(), &WatchRequest{Entry: &EntryView{Host: "e1"}}, func(*WatchAnswer, time.Time) { answered++ })
			oldest = max(oldest, time.Since(f.wordTime()))
		}
		if oldest > bound+2*followPause || answered < least || answered > 10 {
			t.Fatalf("after term %d the word was %v old; the leader answered %d times in 8 s", term, oldest, answered)
		}
	})
}
