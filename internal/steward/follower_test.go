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
	"github.com/lovagereach/lovagereach/roster"
)

// scriptedHosts answers watches from a table; a host without an answer is silent.
type scriptedHosts struct {
	answers  map[string]*WatchAnswer
	lastHost string
	request  WatchRequest
}

func (s *scriptedHosts) Call(_ context.Context, address string, _ port.Method, body []byte) ([]byte, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	s.lastHost, s.request = host, WatchRequest{}
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

// Guards against an entry that keeps an old configuration because it stays with a host that is
// lost or has no state. It must switch to another host immediately, and must not query the
// leader together with all other entries.
func TestFollowerFailsOver(t *testing.T) {
	ok := func(term uint64) *WatchAnswer { return &WatchAnswer{Term: term, Leader: "c1", Relays: twoRelays()} }
	hosts := &scriptedHosts{answers: map[string]*WatchAnswer{"c1": ok(1), "c2": ok(1), "c3": ok(1)}}
	f := testFollower(hosts)
	answers := 0
	step := func(want string, direct, answered bool) {
		t.Helper()
		before := answers
		f.once(context.Background(), &WatchRequest{Entry: &EntryView{Host: "e1"}}, func(*WatchAnswer, time.Time) { answers++ })
		if hosts.lastHost != want || hosts.request.Direct != direct || (answers > before) != answered {
			t.Fatalf("queried %s (direct %v, answered %v), want %s (direct %v, answered %v)",
				hosts.lastHost, hosts.request.Direct, answers > before, want, direct, answered)
		}
	}
	step("c1", false, true) // the seed, which lists the relays
	step("c3", false, true) // the relay of its own data centre
	hosts.answers["c3"] = nil
	step("c3", false, false)
	step("c2", false, true) // the other relay
	hosts.answers["c2"] = &WatchAnswer{Redirect: true, Leader: "c1"}
	step("c2", false, false)
	step("c1", false, true) // one relay answers: the leader is queried, but need not serve
	hosts.answers["c2"] = nil
	f.avoided["c2"] = failure{}
	step("c2", false, false)
	step("c1", true, true) // no relay answers: the leader must serve
}

// Guards against callers of Leader that are told no leader, or one that is lost, after an answer that
// only redirects or a host that is silent.
func TestFollowerTellsTheLeaderItFollows(t *testing.T) {
	hosts := &scriptedHosts{answers: map[string]*WatchAnswer{"c1": {Redirect: true, Leader: "c2"}}}
	f := testFollower(hosts)
	step := func(want string) {
		t.Helper()
		f.once(context.Background(), &WatchRequest{Entry: &EntryView{Host: "e1"}}, func(*WatchAnswer, time.Time) {})
		if got := f.Leader(); got != want || got != string(f.leader) {
			t.Errorf("after the answer of %s: %q is told, %q is followed, want %q", hosts.lastHost, got, f.leader, want)
		}
	}
	step("c2") // c1 names it
	hosts.answers["c2"] = &WatchAnswer{Term: 1, Leader: "c2"}
	step("c2")
	hosts.answers["c2"] = nil
	step("") // c2 is silent
	hosts.answers["c1"] = &WatchAnswer{Term: 2, Leader: "c3"}
	step("c3")
}

// Guards against an entry that keeps an old configuration because it tries one lost host after
// the other. After two it queries the leader directly.
func TestFollowerTriesFewSilentHosts(t *testing.T) {
	relays := []RelayView{{Host: "c2"}, {Host: "c3"}, {Host: "c4"}, {Host: "c5"}}
	hosts := &scriptedHosts{answers: map[string]*WatchAnswer{"c1": {Term: 1, Leader: "c1", Relays: relays}}}
	f := testFollower(hosts)
	queried := make(map[string]int)
	for range 4 {
		f.once(context.Background(), &WatchRequest{Entry: &EntryView{Host: "e1"}}, func(*WatchAnswer, time.Time) {})
		queried[hosts.lastHost]++
	}
	if len(queried) != 3 || queried["c1"] != 2 || !hosts.request.Direct {
		t.Fatalf("queried %v, the last time directly: %v", queried, hosts.request.Direct)
	}
}

// After a restart of all control hosts, each entry has found all of them silent, queries the
// first leader directly, and continues for 2 s although the relays are back and the leader
// lists them. Guards against a leader that is busy with all entries until it loses its
// leadership. Relays that a new leader lists are tried again, and each is avoided once more if
// it is still silent.
func TestFollowerRetriesRelaysOfNewLeader(t *testing.T) {
	ok := func(term uint64) *WatchAnswer { return &WatchAnswer{Term: term, Leader: "c1", Relays: twoRelays()} }
	hosts := &scriptedHosts{answers: map[string]*WatchAnswer{"c1": ok(1)}}
	f := testFollower(hosts)
	step := func(want string, direct bool) {
		t.Helper()
		f.once(context.Background(), &WatchRequest{Entry: &EntryView{Host: "e1"}}, func(*WatchAnswer, time.Time) {})
		if hosts.lastHost != want || hosts.request.Direct != direct {
			t.Fatalf("queried %s (direct %v), want %s (direct %v)", hosts.lastHost, hosts.request.Direct, want, direct)
		}
	}
	step("c1", false)
	step("c3", false)
	step("c2", false)
	step("c1", true) // both are silent
	hosts.answers["c1"], hosts.answers["c3"] = ok(2), ok(2)
	step("c1", true) // the answer has the new term
	step("c3", false)
	hosts.answers["c3"] = nil
	step("c3", false)
	step("c2", false)
	step("c1", true) // both are silent in this term too
	step("c1", true)
}

// Guards against an answer of a host that was cut off and still has the state of an older term:
// it must not replace the state of a later leader.
func TestFollowerIgnoresOlderTerms(t *testing.T) {
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
		t.Fatalf("applied the terms %v", terms)
	}
}

// slowHosts answers watches after a delay per host.
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

// Guards against an entry that never receives state because all its calls take longer than
// their timeout and it drops late answers. A late answer builds on the state held at its
// request: after a newer one only the parts with revisions may be applied.
func TestFollowerAppliesLateAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hosts := &slowHosts{
			after: map[string]time.Duration{"c1": 700 * time.Millisecond, "c3": 50 * time.Millisecond},
			answer: func(host string, _ *WatchRequest) WatchAnswer {
				age := map[string]time.Duration{"c3": 30 * time.Millisecond}[host]
				return WatchAnswer{Term: 1, Leader: "c1", Relays: twoRelays(), StateAge: age}
			},
		}
		f := slowFollower(hosts)
		type applied struct {
			partial bool
			asOf    time.Duration
		}
		var got []applied
		start := time.Now()
		step := func() {
			f.once(t.Context(), &WatchRequest{Entry: &EntryView{Host: "e1"}}, func(a *WatchAnswer, _ time.Time) {
				got = append(got, applied{a.Partial, f.configTime().Sub(start)})
			})
			time.Sleep(followPause)
		}
		step() // c1, times out after 600 ms
		step() // c1 again, and the late answer to the first call
		if want := (applied{false, 0}); len(got) != 1 || got[0] != want {
			t.Fatalf("applied %+v, want %+v", got, want)
		}
		f.relays = f.sortRelays(twoRelays())
		step() // c3 answers first, at 1290 ms with the state of the leader at 1210
		if want := (applied{false, 1210 * time.Millisecond}); len(got) != 2 || got[1] != want {
			t.Fatalf("applied %+v, want %+v last", got, want)
		}
		hosts.after["c3"] = 200 * time.Millisecond
		step() // the second answer of c1 comes first, at 1320 ms
		if want := (applied{true, 1210 * time.Millisecond}); len(got) != 4 || got[2] != want || got[3].partial {
			t.Fatalf("applied %+v, want %+v and a complete one", got, want)
		}
	})
}

// The relays answer immediately, but only redirect: their logs are behind, or the leader's
// answers reach them too late, while the leader lists them all the same. Guards against an
// entry that keeps an old configuration in this cycle: it must query the leader before that,
// but no more often than this requires (at most 10 answers in 8 s), since all other entries
// query it too. An entry that has just started serves nothing by an old configuration: it
// leaves the relays the time that they need after an election.
func TestFollowerQueriesLeaderWhenOverdue(t *testing.T) {
	testOverdueFollower(t, 1, overdueAfter, 8)
	testOverdueFollower(t, 0, relaysWithin+startSpread, 3)
}

func testOverdueFollower(t *testing.T, term uint64, bound time.Duration, least int) {
	synctest.Test(t, func(t *testing.T) {
		hosts := &slowHosts{answer: func(host string, request *WatchRequest) WatchAnswer {
			return WatchAnswer{Redirect: !request.Overdue, Term: 1, Leader: "c1", Relays: twoRelays()}
		}}
		f := slowFollower(hosts)
		f.term = term
		oldest, answered := time.Duration(0), 0
		for start := time.Now(); time.Since(start) < 8*time.Second; time.Sleep(followPause) {
			f.once(t.Context(), &WatchRequest{Entry: &EntryView{Host: "e1"}}, func(*WatchAnswer, time.Time) { answered++ })
			oldest = max(oldest, time.Since(f.configTime()))
		}
		if oldest > bound+2*followPause || answered < least || answered > 10 {
			t.Fatalf("after term %d the configuration state was %v old; the leader answered %d times in 8 s", term, oldest, answered)
		}
	})
}

// Guards against an entry that was stopped and finds all control hosts silent afterwards, though
// their answers have arrived: it avoids them for seconds.
func TestStallIsNoSilenceOfHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := slowFollower(&slowHosts{
			after:  map[string]time.Duration{"c1": watchTimeout + 50*time.Millisecond},
			answer: func(string, *WatchRequest) WatchAnswer { return WatchAnswer{Term: 1, Leader: "c1"} },
		})
		answered := func() bool {
			return f.once(t.Context(), &WatchRequest{Entry: &EntryView{Host: "e1"}}, func(*WatchAnswer, time.Time) {})
		}
		f.stalls.Beat(time.Now())
		if !answered() || len(f.avoided) > 0 {
			t.Errorf("avoided after a stall: %v", f.avoided)
		}
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		go f.stalls.Run(ctx, time.Now)
		if answered() || len(f.avoided) != 1 {
			t.Errorf("avoided without a stall: %v", f.avoided)
		}
	})
}

// waitingHosts keep watches open until the test ends, but for the leader's.
type waitingHosts struct {
	scriptedHosts
	leader string
}

func (w *waitingHosts) Call(ctx context.Context, address string, method port.Method, body []byte) ([]byte, error) {
	if host, _, _ := net.SplitHostPort(address); host != w.leader {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return w.scriptedHosts.Call(ctx, address, method, body)
}

// Guards against a control host that waits at another one for a leader that its own replica knows, and
// keeps the entries that ask it waiting; and against calls in a loop at a leader that fails them.
func TestControlHostFollowsLeaderOfItsReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hosts := &waitingHosts{leader: "c3"}
		f := testFollower(&hosts.scriptedHosts)
		start, elected := time.Now(), 100*time.Millisecond
		f.options.Transport, f.options.KnownLeader = hosts, func() ident.Host {
			if time.Since(start) < elected {
				return ""
			}
			return "c3"
		}
		f.SetSeeds([]ident.Host{"c1", "c2"})
		once := func() bool {
			return f.once(t.Context(), &WatchRequest{}, func(*WatchAnswer, time.Time) {})
		}
		if once() || time.Since(start) > elected+leaderPoll {
			t.Errorf("turns to the leader after %v", time.Since(start))
		}
		if once(); hosts.lastHost != "c3" {
			t.Errorf("asks %q, not the leader", hosts.lastHost)
		}
		asked := time.Now()
		if once(); time.Since(asked) < watchTimeout {
			t.Errorf("leaves another host after %v for a leader that failed", time.Since(asked))
		}
		time.Sleep(lateTimeout)
	})
}

// Guards against an answer of a host that states wrong times: an entry would take what it holds for fresh, and serve
// by it, for as long as that.
func TestTimesOfAnswersAreBounded(t *testing.T) {
	const wrong = time.Hour
	hosts := &scriptedHosts{answers: map[string]*WatchAnswer{"c1": {
		Term: 1, Leader: "c1", OpenFor: wrong, StateAge: -wrong, InventoryAge: -wrong, GrantsAge: -wrong, Led: -wrong,
		MinVersions: []roster.Loaded{{Model: "m", Version: 2}}, MinAges: []time.Duration{-wrong},
	}}}
	f := testFollower(hosts)
	delivered := 0
	f.once(t.Context(), &WatchRequest{Entry: &EntryView{Host: "e1"}}, func(answer *WatchAnswer, inventoriesAt time.Time) {
		delivered++
		if now := f.Now(); answer.OpenFor > time.Minute || inventoriesAt.After(now) || f.configTime().After(now) {
			t.Errorf("open for %v, inventories as of %v, configuration as of %v from now", answer.OpenFor, inventoriesAt.Sub(now), f.configTime().Sub(now))
		}
		if min(answer.StateAge, answer.InventoryAge, answer.GrantsAge, answer.Led, answer.MinAges[0]) < 0 {
			t.Errorf("ages %v, %v, %v, %v, %v", answer.StateAge, answer.InventoryAge, answer.GrantsAge, answer.Led, answer.MinAges[0])
		}
	})
	if delivered != 1 {
		t.Errorf("%d answers", delivered)
	}
}
