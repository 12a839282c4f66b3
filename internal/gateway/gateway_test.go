package gateway

import (
	"context"
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/lovagereach/lovagereach/catalog"
	"github.com/lovagereach/lovagereach/internal/steward"
	"github.com/lovagereach/lovagereach/outcome"
	"github.com/lovagereach/lovagereach/placement"
	"github.com/lovagereach/lovagereach/roster"
)

// The final answer to a caller must be true. Each case is one request and the behaviour of its
// upstreams; a refusal as not run is allowed only if no send may have run.
func TestFinalAnswers(t *testing.T) {
	type script = func(n int, s *Send) (*Answer, error)
	always := func(a func() *Answer, err error) script {
		return func(int, *Send) (*Answer, error) {
			if err != nil {
				return nil, err
			}
			return a(), nil
		}
	}
	inTurn := func(steps ...any) script {
		return func(n int, _ *Send) (*Answer, error) {
			switch step := steps[min(n, len(steps))-1].(type) {
			case error:
				return nil, step
			case *Answer:
				return step, nil
			}
			return nil, errors.New("no such step")
		}
	}
	cases := []struct {
		name, path string
		script     script
		sends      int
		end        string
		kind       outcome.Kind
		status     int
	}{
		{"safe, complete", "/safe/x", always(func() *Answer { return status(200) }, nil), 1, "done", outcome.KindDone, 200},
		{"safe, lost once", "/safe/x", inTurn(connectionLost(), status(200)), 2, "done", outcome.KindDone, 200},
		{"safe, failed once", "/safe/x", inTurn(status(500), status(200)), 2, "done", outcome.KindDone, 200},
		{"safe, failed twice: the second failure is passed on", "/safe/x", inTurn(status(500), status(500)), 2, "done", outcome.KindDone, 500},
		{"safe, lost twice", "/safe/x", inTurn(connectionLost(), connectionLost()), 2, "refused", outcome.KindUnknown, 0},
		{"safe, lost and then full: it may have run", "/safe/x", inTurn(connectionLost(), refusal(Full)), 2, "refused", outcome.KindUnknown, 0},
		{"safe, failed and then full: it has run", "/safe/x", inTurn(status(500), refusal(Full)), 2, "refused", outcome.KindUnknown, 0},
		{"unsafe, lost: never sent again", "/unsafe/x", inTurn(connectionLost()), 1, "refused", outcome.KindUnknown, 0},
		{"unsafe, failed: never sent again", "/unsafe/x", inTurn(status(500)), 1, "done", outcome.KindDone, 500},
		{"unsafe, full: not run", "/unsafe/x", inTurn(refusal(Full)), 1, "refused", outcome.KindNotRun, 0},
		{"unsafe, unsent once: another upstream", "/unsafe/x", inTurn(dialRefused(), status(200)), 2, "done", outcome.KindDone, 200},
		{"unsafe, never sent: not run", "/unsafe/x", inTurn(dialRefused()), 3, "refused", outcome.KindNotRun, 0},
		{"unsafe with more attempts, full once", "/bids/x", inTurn(refusal(Full), status(200)), 2, "done", outcome.KindDone, 200},
		{"unsafe with more attempts, lost", "/bids/x", inTurn(refusal(Full), connectionLost()), 2, "refused", outcome.KindUnknown, 0},
		{"unsafe, the address belongs to another upstream", "/unsafe/x", inTurn(refusal(OtherUpstream)), 1, "refused", outcome.KindNotRun, 0},
		{"no such route", "/none/x", inTurn(status(200)), 0, "refused", outcome.KindNotRun, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g, sender := testGateway(t, c.script)
			rec := serve(g, request(c.path))
			if sender.count() != c.sends || rec.end != c.end || rec.status != c.status {
				t.Fatalf("%d sends, ends %q with status %d (%v)", sender.count(), rec.end, rec.status, rec.cause)
			}
			if got := outcome.KindOf(rec.cause); got != c.kind {
				t.Fatalf("outcome %v (%v), want %v", got, rec.cause, c.kind)
			}
		})
	}
}

// A stream that breaks off must never look complete, and a resumable one continues after the
// last event that the caller has, without a gap or a repetition.
func TestStreams(t *testing.T) {
	broken := errors.New("reset")
	cases := []struct {
		name, path  string
		first, next *Answer
		end, body   string
		resumeAfter string
	}{
		{"complete", "/stream/x", stream(io.EOF, "1", "2"), nil, "done", "id: 1\n\nid: 2\n\n", ""},
		{"broken, not resumable", "/stream/x", stream(broken, "1"), stream(io.EOF, "2"), "broken", "id: 1\n\n", ""},
		{"broken before its first event, not resumable", "/stream/x", stream(broken), nil, "refused", "", ""},
		{"broken before its first event, resumable", "/resume/x", stream(broken), stream(io.EOF, "1"), "done", "id: 1\n\n", ""},
		{"broken, resumable", "/resume/x", stream(broken, "1", "2"), stream(io.EOF, "3"), "done", "id: 1\n\nid: 2\n\nid: 3\n\n", "2"},
		{"broken twice", "/resume/x", stream(broken, "1"), stream(broken, "2"), "broken", "id: 1\n\nid: 2\n\n", "1"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g, sender := testGateway(t, func(n int, _ *Send) (*Answer, error) {
				if n == 1 {
					return c.first, nil
				}
				return c.next, nil
			})
			r := request(c.path)
			r.Prompt = prompt(placement.Part{ID: "p", Tokens: 100})
			rec := serve(g, r)
			if rec.end != c.end || rec.body != c.body {
				t.Fatalf("ends %q with %q", rec.end, rec.body)
			}
			if c.end == "refused" && outcome.KindOf(rec.cause) != outcome.KindUnknown {
				t.Fatalf("the outcome of a stream that may have run is %v", rec.cause)
			}
			if c.resumeAfter != "" && sender.sends[1].ResumeAfter != c.resumeAfter {
				t.Fatalf("resumed after %q", sender.sends[1].ResumeAfter)
			}
			if c.resumeAfter != "" && sender.sends[0].Upstream == sender.sends[1].Upstream {
				t.Fatal("resumed at the upstream that broke off")
			}
		})
	}
}

// Guards against the head of one answer with the body of another: the first upstream crashes
// before the body of its answer is complete, and the request is retried. Nothing of the first
// answer may reach the caller.
func TestRetriedRequestYieldsOneAnswer(t *testing.T) {
	broken := errors.New("reset")
	cases := []struct {
		name  string
		first []string
		body  string
		end   string
		sends int
	}{
		{"no body came", nil, "second", "done", 2},
		{"some of the body came", []string{"fir"}, "second", "done", 2},
		{"more came than is held back", []string{strings.Repeat("x", maxBuffered), "y"}, strings.Repeat("x", maxBuffered) + "y", "broken", 1},
	}
	for _, c := range cases {
		g, sender := testGateway(t, func(n int, _ *Send) (*Answer, error) {
			body := &events{end: io.EOF, pieces: []Piece{{Data: []byte("second")}}}
			if n == 1 {
				body = &events{end: broken}
				for _, piece := range c.first {
					body.pieces = append(body.pieces, Piece{Data: []byte(piece)})
				}
			}
			return &Answer{Status: 200 + n, Body: body}, nil
		})
		rec := serve(g, request("/safe/x"))
		if rec.body != c.body || rec.end != c.end || rec.status != 200+c.sends || sender.count() != c.sends {
			t.Errorf("%s: status %d, %d bytes, ends %q after %d sends", c.name, rec.status, len(rec.body), rec.end, sender.count())
		}
	}
}

func TestKeyDeterminesTeam(t *testing.T) {
	cases := []struct {
		name, key, team string
		reason          outcome.Reason
	}{
		{"known", "k", "growers", ""},
		{"unknown", "other", "", outcome.ReasonUnauthorized},
		{"none", "", "", outcome.ReasonUnauthorized},
	}
	for _, c := range cases {
		g, sender := testGateway(t, func(int, *Send) (*Answer, error) { return status(200), nil })
		r := request("/safe/x")
		r.Key = c.key
		rec := serve(g, r)
		if c.reason == "" {
			if sender.count() != 1 || sender.sends[0].Team != c.team {
				t.Errorf("%s: sent as %v", c.name, sender.sends)
			}
			continue
		}
		var refused *outcome.NotRun
		if !errors.As(rec.cause, &refused) || refused.Reason != c.reason {
			t.Errorf("%s: %v", c.name, rec.cause)
		}
	}
}

// An entry that has just started must not refuse a request for lack of a route: the route may
// be in force at all other entries.
func TestNoConfigurationRefusesWithRetryAfter(t *testing.T) {
	g, _ := testGateway(t, nil)
	g.state.index = nil
	rec := serve(g, request("/safe/x"))
	var refused *outcome.NotRun
	if !errors.As(rec.cause, &refused) || refused.Reason != ReasonNoConfig || refused.RetryAfter <= 0 {
		t.Fatalf("refused with %v", rec.cause)
	}
	if g.Ready() {
		t.Fatal("ready without a configuration")
	}
}

// A late answer, applied after a newer one, may still bring a configuration that the newer one
// did not have. Its silent upstreams, loads and term are outdated: if they were applied,
// requests would be sent to lost upstreams.
func TestPartialAnswerAppliesOnlyRevisionedState(t *testing.T) {
	g, _ := testGateway(t, nil)
	now := testAnswer()
	now.Term, now.Document, now.Silent = 2, nil, []string{"a1"}
	now.Loads = []steward.Load{{Upstream: "a2", Requests: 3}}
	now.Inventories = nil
	g.ApplyAnswer(now, time.Now())
	late := testAnswer()
	late.Partial, late.Document.Version, late.Inventories = true, 8, nil
	g.ApplyAnswer(late, time.Now())
	old := testAnswer()
	old.Partial, old.Document.Version, old.Inventories = true, 7, nil
	g.ApplyAnswer(old, time.Now())
	s := g.state
	if v := g.Index().Version(); v != 8 || s.term != 2 || !s.upstreams["a1"].silent || s.upstreams["a2"].others.Requests != 3 {
		t.Fatalf("version %d, term %d, a1 %+v, a2 %+v", v, s.term, s.upstreams["a1"], s.upstreams["a2"])
	}
}

// An answer of a control host that lags contains an older configuration.
func TestConfigurationNeverGoesBack(t *testing.T) {
	g, _ := testGateway(t, nil)
	older := testAnswer()
	older.Document.Version = 3
	older.Roster = nil
	g.ApplyAnswer(older, time.Now())
	if g.Index().Version() != 7 {
		t.Fatalf("version %d is in force", g.Index().Version())
	}
}

func TestLeavingUpstreamsGetNoRequests(t *testing.T) {
	g, sender := testGateway(t, func(int, *Send) (*Answer, error) { return status(200), nil })
	left := testAnswer()
	left.Document = nil
	left.Roster.Revision = 2
	for i := range left.Roster.Upstreams {
		if left.Roster.Upstreams[i].ID != "a2" {
			left.Roster.Upstreams[i].State = roster.Leaving
		}
	}
	g.ApplyAnswer(left, time.Now())
	for range 20 {
		serve(g, request("/safe/x"))
	}
	for _, s := range sender.sends {
		if s.Upstream != "a2" {
			t.Fatalf("a request was sent to %s", s.Upstream)
		}
	}
}

// The cache of one weight version, or of an isolated team, must never serve another: the salt
// and the version that the runner must have belong together.
func TestSaltSeparatesVersionsAndIsolatedTeams(t *testing.T) {
	g, sender := testGateway(t, func(int, *Send) (*Answer, error) { return stream(io.EOF, "1"), nil })
	send := func(key string) *PromptSend {
		r := request("/stream/x")
		r.Key = key
		r.Prompt = prompt(placement.Part{ID: "kept", Tokens: 9000}, placement.Part{ID: "own", Tokens: 10})
		serve(g, r)
		return sender.sends[sender.count()-1].Prompt
	}
	open, isolated := send("k"), send("kb")
	if open.Version != 1 || open.Salt == isolated.Salt || !strings.Contains(isolated.Salt, "bank") {
		t.Fatalf("salts %q and %q, version %d", open.Salt, isolated.Salt, open.Version)
	}
	if open.Fetch == nil || open.Fetch[0].Address != "store:1" || open.Fetch[0].Tokens != 9000 {
		t.Fatalf("the kept part is not fetched: %+v", open)
	}
	if isolated.Fetch != nil {
		t.Fatalf("an isolated team fetches a part of other teams: %+v", isolated.Fetch)
	}
	swapped := testAnswer()
	swapped.Document, swapped.Inventories.Batches = nil, nil
	swapped.Roster.Revision = 2
	for i := range swapped.Roster.Upstreams {
		swapped.Roster.Upstreams[i].Loaded = []roster.Loaded{{Model: "m", Version: 2}}
	}
	g.ApplyAnswer(swapped, time.Now())
	if after := send("k"); after.Version != 2 || after.Salt == open.Salt || after.Fetch != nil {
		t.Fatalf("after new weights: %+v", after)
	}
}

// Inventories of stores become outdated: a store may have restarted since, and a part fetched
// from it could be half written.
func TestStoresAreUsedOnlyWithFreshInventories(t *testing.T) {
	cases := []struct {
		name  string
		spoil func(*steward.WatchAnswer) time.Time
		fetch bool
	}{
		{"fresh", func(*steward.WatchAnswer) time.Time { return time.Now() }, true},
		{"old", func(*steward.WatchAnswer) time.Time { return time.Now().Add(-steward.InventoryMaxAge) }, false},
		{"newer parts with old store states", func(a *steward.WatchAnswer) time.Time { a.Inventories.More = true; return time.Now() }, false},
		{"closed", func(a *steward.WatchAnswer) time.Time { a.StoreStates[0].Open = false; return time.Now() }, false},
		{"no store state", func(a *steward.WatchAnswer) time.Time { a.StoreStates = nil; return time.Now() }, false},
	}
	for _, c := range cases {
		g, sender := testGateway(t, func(int, *Send) (*Answer, error) { return stream(io.EOF, "1"), nil })
		answer := testAnswer()
		sent := c.spoil(answer)
		g.ApplyAnswer(answer, sent)
		r := request("/stream/x")
		r.Prompt = prompt(placement.Part{ID: "kept", Tokens: 9000}, placement.Part{ID: "own", Tokens: 10})
		serve(g, r)
		p := sender.sends[0].Prompt
		if (p.Fetch != nil) != c.fetch || (!c.fetch && p.Save != nil) {
			t.Errorf("%s: fetch %v, save %v", c.name, p.Fetch, p.Save)
		}
		if c.fetch && (p.FetchDeadlineMs < 1000 || p.FetchDeadlineMs > 1000+2*steward.FetchPermit.Milliseconds()) {
			t.Errorf("%s: the fetch deadline is %d", c.name, p.FetchDeadlineMs)
		}
	}
}

// A runner has new weights before this entry knows. It refuses without having run the request,
// which is then sent to the same runner with the new version.
func TestOtherVersionRetriesSameRunner(t *testing.T) {
	g, sender := testGateway(t, func(n int, _ *Send) (*Answer, error) {
		if n == 1 {
			return refusal(OtherVersion), nil
		}
		return stream(io.EOF, "1"), nil
	})
	targeted := testAnswer()
	targeted.Document, targeted.Roster = nil, nil
	targeted.Weights = &steward.WeightsView{Revision: 2, Newest: []roster.Loaded{{Model: "m", Version: 2}}}
	g.ApplyAnswer(targeted, time.Now())
	r := request("/stream/x")
	r.Prompt = prompt(placement.Part{ID: "p", Tokens: 100}, placement.Part{ID: "own", Tokens: 10})
	rec := serve(g, r)
	if rec.end != "done" || sender.count() != 2 {
		t.Fatalf("ends %q after %d sends: %v", rec.end, sender.count(), rec.cause)
	}
	a, b := sender.sends[0], sender.sends[1]
	if a.Upstream != b.Upstream || a.Prompt.Version != 1 || b.Prompt.Version != 2 || a.Prompt.Salt == b.Prompt.Salt {
		t.Fatalf("sent to %s as %d %q, then to %s as %d %q", a.Upstream, a.Prompt.Version, a.Prompt.Salt, b.Upstream, b.Prompt.Version, b.Prompt.Salt)
	}
}

func TestCallerDisconnectClosesAnswer(t *testing.T) {
	body := &events{end: io.EOF, pieces: []Piece{{Data: []byte("x")}}}
	g, sender := testGateway(t, func(int, *Send) (*Answer, error) { return &Answer{Status: 200, Body: body}, nil })
	rec := &recorder{gone: true}
	g.Serve(context.Background(), request("/safe/x"), rec)
	if sender.count() != 1 || !body.closed {
		t.Fatalf("%d sends, upstream's answer closed: %t", sender.count(), body.closed)
	}
	if u := g.state.upstreams[sender.sends[0].Upstream]; u.own.Requests != 0 || u.health.consecutive != 0 {
		t.Fatalf("load %+v, health %+v", u.own, u.health)
	}
}

func TestAccountingEndsWithRequest(t *testing.T) {
	scripts := map[string]func(int, *Send) (*Answer, error){
		"complete": func(int, *Send) (*Answer, error) { return stream(io.EOF, "1"), nil },
		"broken":   func(int, *Send) (*Answer, error) { return stream(errors.New("reset"), "1"), nil },
		"refused":  func(int, *Send) (*Answer, error) { return refusal(Full), nil },
		"lost":     func(int, *Send) (*Answer, error) { return nil, connectionLost() },
		"unsent":   func(int, *Send) (*Answer, error) { return nil, dialRefused() },
	}
	for name, script := range scripts {
		g, _ := testGateway(t, script)
		r := request("/resume/x")
		r.Prompt = prompt(placement.Part{ID: "kept", Tokens: 9000}, placement.Part{ID: "own", Tokens: 10})
		serve(g, r)
		for id, u := range g.state.upstreams {
			if u.own != (steward.Load{}) {
				t.Errorf("%s: load of %s after the request: %+v", name, id, u.own)
			}
		}
		for address, store := range g.state.stores {
			if store.own != 0 {
				t.Errorf("%s: %d tokens stay queued at %s", name, store.own, address)
			}
		}
	}
}

// Guards against a prompt that is sent without the salt of its version and team, so that its
// caller could get what another team's prompt left in a cache: a stream breaks off, and a new
// configuration drops the service before it is resumed. A request keeps the configuration that
// it was admitted under.
func TestRequestKeepsItsConfiguration(t *testing.T) {
	var g *Gateway
	g, sender := testGateway(t, func(n int, _ *Send) (*Answer, error) {
		if n > 1 {
			return stream(io.EOF, "2"), nil
		}
		dropped := testDocument()
		dropped.Version++
		dropped.Routes = dropped.Routes[:3]
		dropped.Services = []catalog.Service{{Name: "app"}}
		g.ApplyAnswer(&steward.WatchAnswer{Term: 1, Document: dropped, EntryCount: 1}, time.Now())
		return stream(connectionLost(), "1"), nil
	})
	r := request("/resume/x")
	r.Prompt = prompt(placement.Part{ID: "own", Tokens: 100})
	rec := serve(g, r)
	if g.Index().Version() != 8 || sender.count() != 2 || rec.end != "done" {
		t.Fatalf("version %d, %d sends, ends %q: %v", g.Index().Version(), sender.count(), rec.end, rec.cause)
	}
	first, second := sender.sends[0].Prompt, sender.sends[1].Prompt
	if second == nil || second.Salt != first.Salt || second.Version != first.Version {
		t.Fatalf("sent as %+v, and again as %+v", first, second)
	}
	if rec := serve(g, request("/resume/x")); rec.end != "refused" {
		t.Fatalf("a later request ends %q", rec.end)
	}
}

// Guards against a send for a caller whose close this process has not read yet, as after a stall.
func TestNoSendForACallerThatHasClosed(t *testing.T) {
	g, sender := testGateway(t, func(int, *Send) (*Answer, error) { return status(200), nil })
	r := request("/safe/x")
	r.Left = func() bool { return true }
	rec := &recorder{}
	g.Serve(context.Background(), r, rec)
	if sender.count() != 0 || rec.end != "refused" || outcome.KindOf(rec.cause) != outcome.KindUnknown {
		t.Errorf("%d sends, ended as %s: %v", sender.count(), rec.end, rec.cause)
	}
	for id, u := range g.state.upstreams {
		if u.own.Requests != 0 {
			t.Errorf("%s has %d requests under way", id, u.own.Requests)
		}
	}
}
