package gateway

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lovagereach/lovagereach/internal/steward"
	"github.com/lovagereach/lovagereach/outcome"
)

// How the connections of cut entries to upstreams fail.
type cutKind string

const (
	// cutHanging: nothing arrives any more, and new connections are not established.
	cutHanging cutKind = "hanging"
	// cutReset: open connections are reset and new ones refused.
	cutReset cutKind = "reset"
	// cutRefused: a part of the requests finds an open connection that works, new ones are
	// refused.
	cutRefused cutKind = "refused"
)

const (
	// cutGrace is the time after a cut began from which callers must be served again.
	cutGrace = 3 * time.Second
	// cutShare is how often first attempts at cut entries must be served, relative to the others.
	cutShare = 2.0 / 3
	// cutConnect is the time after which an attempt to connect fails, cutUnanswered that after
	// which a connection without answers does.
	cutConnect, cutUnanswered = 400 * time.Millisecond, 1500 * time.Millisecond
)

// cutEntries models entries that are partitioned from all upstreams, or from all but some.
type cutEntries struct {
	kind    cutKind
	entries map[string]bool
	// reached are the upstreams that cut entries still reach.
	reached    map[string]bool
	begin, end time.Time

	mu sync.Mutex
	// sent and served count first attempts during the cut, at cut entries and at the others.
	sent, served map[bool]int
	// open counts the requests of cut entries.
	open int
	// unreached holds what the entries report.
	unreached map[string]int
}

// exchange models the control hosts, which name entries that reach more upstreams.
func (c *cutEntries) exchange(request *steward.WatchRequest, answer *steward.WatchAnswer) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unreached[request.Entry.Host] = request.Entry.Unreached
	for host, unreached := range c.unreached {
		if unreached+30 <= request.Entry.Unreached {
			answer.Peers = append(answer.Peers, steward.PeerView{Host: host, Callers: host})
		}
	}
}

// Forward implements Peers: it passes a request to another entry of the model.
func (f *modelFleet) Forward(ctx context.Context, forward *Forward) (*Answer, error) {
	for _, g := range f.gateways {
		if g.options.Host != forward.Host {
			continue
		}
		copied := *forward.Request
		copied.Forwarded, copied.Arrived, copied.Wait, copied.ResumeAfter = true, time.Now(), forward.Wait, forward.ResumeAfter
		ctx, cancel := context.WithCancel(ctx)
		p := &passedAnswer{began: make(chan *Answer, 1), pieces: make(chan Piece), ended: make(chan struct{}), cancel: cancel}
		go g.Serve(ctx, &copied, p)
		return p.await(context.Background())
	}
	return nil, &outcome.NotRun{Reason: outcome.ReasonDial}
}

// passedAnswer passes an answer from one entry to another. It is the Responder of the one and the
// Body of the other.
type passedAnswer struct {
	began  chan *Answer
	pieces chan Piece
	ended  chan struct{}
	cancel func()
	cause  error
	broken bool
}

// await returns the answer once it begins, or why it doesn't. life ends with the entry that serves.
func (p *passedAnswer) await(life context.Context) (*Answer, error) {
	select {
	case answer := <-p.began:
		return answer, nil
	case <-p.ended:
		if p.cause != nil {
			return nil, p.cause
		}
		return <-p.began, nil
	case <-life.Done():
		return nil, connectionLost()
	}
}

func (p *passedAnswer) Begin(answer *Answer) error {
	passed := *answer
	passed.Body = p
	p.began <- &passed
	return nil
}

// idOf returns the identity of an event that another entry passed on, in one of the forms that the
// simulated upstreams write.
func idOf(event []byte) string {
	text := strings.TrimPrefix(string(event), "id: ")
	return text[:max(strings.IndexAny(text, "@\n"), 0)]
}

func (p *passedAnswer) Piece(data []byte) error {
	p.pieces <- Piece{Data: data, ID: idOf(data)}
	return nil
}

func (p *passedAnswer) Done() { close(p.ended) }

func (p *passedAnswer) Abort() {
	p.broken = true
	close(p.ended)
}

func (p *passedAnswer) Refuse(cause error) {
	p.cause = cause
	close(p.ended)
}

func (p *passedAnswer) Next() (Piece, error) {
	select {
	case piece := <-p.pieces:
		return piece, nil
	case <-p.ended:
		if p.broken {
			return Piece{}, io.ErrUnexpectedEOF
		}
		return Piece{}, io.EOF
	}
}

func (p *passedAnswer) Close() { p.cancel() }

func (c *cutEntries) active() bool {
	now := time.Now()
	return c != nil && !now.Before(c.begin) && now.Before(c.end)
}

// dial opens a connection.
func (c *cutEntries) dial(ctx context.Context, entry, upstream string) error {
	if !c.active() || !c.entries[entry] || c.reached[upstream] {
		return nil
	}
	if c.kind == cutHanging {
		select {
		case <-time.After(cutConnect):
		case <-ctx.Done():
		}
	}
	return &outcome.NotRun{Reason: outcome.ReasonDial, Detail: "cut"}
}

// send passes a request on its way to an upstream.
func (c *cutEntries) send(ctx context.Context, entry, upstream string) error {
	if !c.active() || !c.entries[entry] || c.reached[upstream] {
		return nil
	}
	switch {
	case c.kind == cutRefused:
		c.mu.Lock()
		c.open++
		works := c.open%4 == 0
		c.mu.Unlock()
		if works {
			return nil
		}
	case time.Since(c.begin) < cutUnanswered && c.kind == cutHanging:
		select {
		case <-time.After(cutUnanswered):
		case <-ctx.Done():
		}
		return &outcome.Unknown{Reason: outcome.ReasonTimeout, Detail: "cut"}
	}
	return c.dial(ctx, entry, upstream)
}

// count counts a first attempt.
func (c *cutEntries) count(entry string, served bool) {
	if !c.active() || time.Since(c.begin) < cutGrace {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent[c.entries[entry]]++
	if served {
		c.served[c.entries[entry]]++
	}
}

func (c *cutEntries) share(cut bool) float64 {
	return float64(c.served[cut]) / float64(max(c.sent[cut], 1))
}

// Guards against callers of entries that reach no upstream, or nearly none, who are refused while
// the other entries serve theirs.
func TestCutEntriesServeTheirCallers(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		kind                  cutKind
		entries, cut, reached int
	}{
		{cutHanging, 7, 4, 0}, {cutReset, 7, 4, 0}, {cutRefused, 7, 4, 0}, {cutHanging, 7, 6, 0},
		{cutHanging, 7, 4, 1}, {cutReset, 7, 4, 1}, {cutHanging, 64, 22, 0},
	} {
		t.Run(fmt.Sprintf("%s, %d of %d entries, %d upstreams reached", test.kind, test.cut, test.entries, test.reached), func(t *testing.T) {
			t.Parallel()
			c := &cutEntries{kind: test.kind, entries: make(map[string]bool), reached: make(map[string]bool), sent: make(map[bool]int), served: make(map[bool]int), unreached: make(map[string]int)}
			synctest.Test(t, func(t *testing.T) {
				f := newModelFleet(t, migrationFleet(test.entries))
				for i := range test.cut {
					c.entries[f.gateways[i].options.Host] = true
				}
				for _, runner := range slices.SortedFunc(maps.Keys(f.runners), cmp.Compare[string])[:test.reached] {
					c.reached[runner] = true
				}
				c.begin = time.Now().Add(time.Second)
				c.end = c.begin.Add(8 * time.Second)
				f.cut = c
				t.Log(f.run())
			})
			t.Logf("served %d of %d first attempts at cut entries, %d of %d at the others", c.served[true], c.sent[true], c.served[false], c.sent[false])
			if c.share(true) < cutShare*c.share(false) {
				t.Errorf("served %.2f of the first attempts at cut entries, %.2f at the others", c.share(true), c.share(false))
			}
		})
	}
}
