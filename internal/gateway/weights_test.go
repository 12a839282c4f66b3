package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"

	"github.com/lovagereach/lovagereach/internal/decision"
	"github.com/lovagereach/lovagereach/internal/steward"
	"github.com/lovagereach/lovagereach/outcome"
	"github.com/lovagereach/lovagereach/placement"
	"github.com/lovagereach/lovagereach/roster"
)

// queueSender sends to runners at which each prompt waits for a time before its first event. Another one
// follows after eventPause.
type queueSender struct {
	scriptedSender
	waits map[string]time.Duration
}

func (q *queueSender) Send(ctx context.Context, s *Send) (*Answer, error) {
	q.mu.Lock()
	q.sends = append(q.sends, s)
	wait := q.waits[s.Upstream]
	q.mu.Unlock()
	select {
	case <-time.After(wait):
	case <-ctx.Done():
		return nil, &outcome.Unknown{Reason: outcome.ReasonTimeout, Detail: "the send was ended"}
	}
	return &Answer{Status: 200, Header: http.Header{}, Length: -1, Body: &queueBody{ctx: ctx}}, nil
}

// eventPause is the time between two events.
const eventPause = 1500 * time.Millisecond

type queueBody struct {
	ctx  context.Context
	sent int
}

func (b *queueBody) Next() (Piece, error) {
	b.sent++
	switch b.sent {
	case 1:
		return Piece{Data: []byte("id: 1\n\n"), ID: "1"}, nil
	case 3:
		return Piece{}, io.EOF
	}
	select {
	case <-time.After(eventPause):
		return Piece{Data: []byte("id: 2\n\n"), ID: "2"}, nil
	case <-b.ctx.Done():
		return Piece{}, b.ctx.Err()
	}
}

func (b *queueBody) Close() {}

// versionGateway returns an entry of runners l1 with version 1 and l2 with version 2 of the weights, that
// learnt 5 s ago of version 2, whose bound is 10 s.
func versionGateway(t *testing.T, waits map[string]time.Duration) (*Gateway, *queueSender) {
	t.Helper()
	sender, quiet := &queueSender{waits: waits}, log.New(io.Discard)
	g, err := New(Options{
		Host: "e1", Sender: sender, Budget: BudgetLimits{Ratio: 0.2, Extra: 200}, Rates: placement.DefaultRates(),
		VersionTime: 10 * time.Second, Log: quiet, Decisions: decision.New(quiet),
	})
	if err != nil {
		t.Fatal(err)
	}
	answer := testAnswer()
	answer.Weights = &steward.WeightsView{Revision: 1, Newest: []roster.Loaded{{Model: "m", Version: 2}}, Ages: []time.Duration{5 * time.Second}}
	answer.Roster.Upstreams[4].Loaded = []roster.Loaded{{Model: "m", Version: 2}}
	g.ApplyAnswer(answer, time.Now())
	return g, sender
}

// Guards against a prompt that an entry chose a runner for, and sends after a stall in which the minimum
// version rose above that runner's.
func TestMinimumVersionHoldsAtTheSend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, sender := versionGateway(t, map[string]time.Duration{"l1": time.Millisecond, "l2": time.Millisecond})
		l2 := g.state.upstreams["l2"]
		l2.own.Requests = 1000
		r := request("/stream/x")
		r.Prompt = prompt(placement.Part{ID: "p", Tokens: 100})
		// Asked between the choice and the send.
		r.Left = func() bool {
			g.state.mu.Lock()
			l2.own.Requests = 0
			g.state.mu.Unlock()
			answer := testAnswer()
			answer.Document, answer.Roster, answer.Inventories, answer.Weights = nil, nil, nil, nil
			answer.MinVersions = []roster.Loaded{{Model: "m", Version: 2}}
			g.ApplyAnswer(answer, time.Now())
			return false
		}
		if got := serve(g, r); got.end != "done" || sender.count() != 1 || sender.sends[0].Upstream != "l2" {
			t.Fatalf("ends %q after sends %+v: %v", got.end, sender.sends, got.cause)
		}
		if u := g.state.upstreams["l1"]; u.own.Requests != 0 || len(g.state.unbegun) != 0 {
			t.Errorf("l1 has %d requests, %d prompts have not begun", u.own.Requests, len(g.state.unbegun))
		}
	})
}

// Guards against a prompt that begins on older weights past the bound of newer ones, since it waited at
// its runner from before the minimum version was raised.
func TestPromptsDoNotBeginPastTheBoundOfNewerWeights(t *testing.T) {
	const slow = 3 * time.Second
	for _, c := range []struct {
		name, path, last string
		// sent and raised are the times of the send and of the minimum version since version 2 was named.
		sent, raised time.Duration
		wait         time.Duration
		sends        int
		end          string
	}{
		{"it would begin late", "/stream/x", "l1", 8 * time.Second, 9 * time.Second, slow, 1, "refused"},
		{"it would begin late and may be repeated", "/resume/x", "l2", 8 * time.Second, 9 * time.Second, slow, 2, "done"},
		{"it begins in time and ends late", "/stream/x", "l1", 7500 * time.Millisecond, 9 * time.Second, 2 * time.Second, 1, "done"},
		{"the minimum version comes past the bound", "/stream/x", "l1", 9 * time.Second, 11 * time.Second, slow, 1, "refused"},
		{"no minimum version comes, as without contact to the runners", "/stream/x", "l1", 9 * time.Second, time.Minute, slow, 1, "done"},
	} {
		synctest.Test(t, func(t *testing.T) {
			g, sender := versionGateway(t, map[string]time.Duration{"l1": c.wait, "l2": time.Millisecond})
			named := time.Now().Add(-5 * time.Second)
			g.state.upstreams["l2"].fullUntil = named.Add(c.sent + time.Second)
			g.state.upstreams["l2"].own.Requests = 1000
			time.Sleep(time.Until(named.Add(c.sent)))
			time.AfterFunc(time.Until(named.Add(c.raised)), func() {
				g.state.mu.Lock()
				g.state.upstreams["l2"].own.Requests = 0
				g.state.mu.Unlock()
				answer := testAnswer()
				answer.Document, answer.Roster, answer.Inventories, answer.Weights = nil, nil, nil, nil
				answer.MinVersions = []roster.Loaded{{Model: "m", Version: 2}}
				g.ApplyAnswer(answer, time.Now())
			})
			r := request(c.path)
			r.Wait = 5 * time.Second
			r.Prompt = prompt(placement.Part{ID: "p", Tokens: 100})
			got := serve(g, r)
			ended := time.Since(named)
			var unknown *outcome.Unknown
			if got.end != c.end || sender.count() != c.sends || sender.sends[0].Upstream != "l1" || sender.sends[c.sends-1].Upstream != c.last {
				t.Fatalf("%s: ends %q after %d sends: %v", c.name, got.end, sender.count(), got.cause)
			}
			if c.end == "refused" && (!errors.As(got.cause, &unknown) || unknown.Reason != ReasonOldWeights || ended > max(c.raised, 10*time.Second)) {
				t.Errorf("%s: refused after %v: %v", c.name, ended, got.cause)
			}
			if late := g.meter.lateBegins.Get(); late > 0 != (c.raised > 20*time.Second) {
				t.Errorf("%s: %d prompts began late", c.name, late)
			}
			if u := g.state.upstreams["l1"]; u.health.consecutive > 0 || u.own.Requests != 0 || len(g.state.unbegun) != 0 {
				t.Errorf("%s: l1 has %d failures and %d requests, %d prompts have not begun", c.name, u.health.consecutive, u.own.Requests, len(g.state.unbegun))
			}
		})
	}
}

// Guards against prompts that begin past the bound of newer weights at an entry that the leader's word on it
// reaches late. Where most runners lack the weights, they may not have got their orders, and the leader decides.
func TestMinimumVersionHoldsWhileTheLeadersWordIsLate(t *testing.T) {
	for _, c := range []struct {
		name   string
		behind []string
		want   uint64
	}{
		{"one runner lacks the weights", []string{"l1"}, 2},
		{"most runners lack the weights", []string{"a1", "a2", "l1"}, 0},
	} {
		synctest.Test(t, func(t *testing.T) {
			g, _ := versionGateway(t, map[string]time.Duration{"l1": 3 * time.Second, "l2": time.Millisecond})
			named := time.Now().Add(-5 * time.Second)
			g.state.mu.Lock()
			for id, u := range g.state.upstreams {
				u.record.Loaded = []roster.Loaded{{Model: "m", Version: 2}}
				if slices.Contains(c.behind, id) {
					u.record.Loaded[0].Version = 1
				}
			}
			g.state.upstreams["l2"].own.Requests = 1000
			g.state.mu.Unlock()
			time.Sleep(time.Until(named.Add(9 * time.Second)))
			r := request("/stream/x")
			r.Wait = 5 * time.Second
			r.Prompt = prompt(placement.Part{ID: "p", Tokens: 100})
			got := serve(g, r)
			ended := time.Since(named)
			g.state.mu.Lock()
			defer g.state.mu.Unlock()
			if raised := g.state.minVersions["m"]; raised != c.want {
				t.Errorf("%s: the minimum version is %d, want %d", c.name, raised, c.want)
			}
			if ended := ended < 10*time.Second; ended != (c.want > 0) {
				t.Errorf("%s: a prompt that waits at l1 ends %q within the bound: %v", c.name, got.end, ended)
			}
		})
	}
}
