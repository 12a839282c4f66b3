package entry

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/outcome"
)

func (b *bench) call(t *testing.T, id byte, method, path, key string) (string, ServiceAnswer, error) {
	t.Helper()
	caller, err := b.Authorize(digest(testToken))
	if err != nil {
		t.Fatal(err)
	}
	answer, err := b.Call(t.Context(), ServiceCall{
		Request: ident.Request{id}, Caller: caller, Service: "clock-app",
		Method: method, Path: path, Body: []byte("lot 7"), Key: key,
	})
	if err != nil {
		return "", answer, err
	}
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		t.Fatal(err)
	}
	if err := answer.Body.Close(); err != nil {
		t.Fatal(err)
	}
	return string(body), answer, nil
}

// A call of a plain service fails in one way at the first replica. A call that
// may be repeated goes to the other one; one that may not is sent again only on
// proof that the first did not run it, and else ends as unknown: a bid that ran
// twice is worse for its caller than one whose fate is in doubt.
func TestServiceCallAttempts(t *testing.T) {
	cases := map[string]struct {
		method, path, key string
		first             error
		kind              outcome.Kind
		sent              int
	}{
		"repeatable":               {method: http.MethodGet, path: "/lots/7", kind: outcome.KindDone, sent: 1},
		"repeatable, lost":         {method: http.MethodGet, path: "/lots/7", first: errLost, kind: outcome.KindDone, sent: 2},
		"not repeatable":           {method: http.MethodPost, path: "/bids", key: "k", kind: outcome.KindDone, sent: 1},
		"not repeatable, lost":     {method: http.MethodPost, path: "/bids", key: "k", first: errLost, kind: outcome.KindUnknown, sent: 1},
		"not repeatable, not sent": {method: http.MethodPost, path: "/bids", key: "k", first: errDial, kind: outcome.KindDone, sent: 2},
		"no key":                   {method: http.MethodPost, path: "/bids", kind: outcome.KindNotRun},
		"path that only starts so": {method: http.MethodGet, path: "/lotsale", kind: outcome.KindNotRun},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench(t)
				one := b.service(t, "app-1", test.first)
				two := b.service(t, "app-2")
				two.shared, one.shared = &one.calls, &one.calls
				two.errs = one.errs
				body, _, err := b.call(t, 1, test.method, test.path, test.key)
				if outcome.KindOf(err) != test.kind || len(one.calls) != test.sent {
					t.Fatalf("got %q, %v after %d sends; want %v after %d", body, err, len(one.calls), test.kind, test.sent)
				}
				if err == nil && body != "ran "+test.path {
					t.Fatalf("got %q", body)
				}
				if b.tracker.InFlight() != 0 {
					t.Fatal("the request is still in flight")
				}
			})
		})
	}
}

// A caller resends a bid under the same key after a lost answer. The service
// must see it once, and both answers must be the same.
func TestResentCallGetsTheFirstAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		service := b.service(t, "app-1")
		first, _, err := b.call(t, 1, http.MethodPost, "/bids", "bid-1")
		if err != nil {
			t.Fatal(err)
		}
		again, answer, err := b.call(t, 2, http.MethodPost, "/bids", "bid-1")
		if err != nil {
			t.Fatal(err)
		}
		if first != again || !answer.Repeated || answer.Header.Get("X-Run") != "0" || len(service.calls) != 1 {
			t.Fatalf("got %q then %q, repeated %t, %d calls", first, again, answer.Repeated, len(service.calls))
		}
	})
}

// An operator shuts an entry down while a caller holds an address answer and
// another one's stream is open. The entry must leave the address answers at
// once, serve the caller that still comes until the answer has run out, and end
// only after the open stream has.
func TestDrainServesUntilAddressAnswersRunOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		b.control.peers = []Peer{{Host: "entry-1", Callers: "127.0.0.1:7001"}, {Host: "entry-2", Callers: "127.0.0.1:8001"}}
		engine := b.engine(t, "runner-1")
		engine.delay = 10 * time.Second
		before, err := b.Address(Caller{}, "10.0.0.1")
		if err != nil || before.Address != "127.0.0.1:7001" {
			t.Fatalf("got %+v, %v", before, err)
		}
		started := time.Now()
		running, err := b.Prompt(t.Context(), b.prompt(t, 1))
		if err != nil {
			t.Fatal(err)
		}
		drained := make(chan time.Duration, 1)
		go func() {
			if b.Drain(t.Context()) == nil {
				drained <- time.Since(started)
			}
		}()
		time.Sleep(before.Keep / 2)
		if after, err := b.Address(Caller{}, "10.0.0.1"); err != nil || after.Address != "127.0.0.1:8001" || b.Ready() == nil || !b.control.left.Load() {
			t.Fatalf("got %+v, %v while leaving", after, err)
		}
		b.announce(t, port.Announcement{
			Upstream: "runner-1", Kind: port.KindEngine, Address: "127.0.0.1:9000",
			Models: []port.LoadedVersion{{Model: testModel, Version: testVersion}},
		})
		late, err := b.Prompt(t.Context(), b.prompt(t, 2))
		if err != nil {
			t.Fatalf("a caller with a live address answer was refused: %v", err)
		}
		late.Close()
		if text, err := read(running); err != nil || text != whole {
			t.Fatalf("the open stream got %q, %v", text, err)
		}
		if took := <-drained; took != 65*time.Second {
			t.Fatalf("drained after %v", took)
		}
		if _, err := b.Prompt(t.Context(), b.prompt(t, 3)); outcome.KindOf(err) != outcome.KindNotRun {
			t.Fatalf("got %v after the drain", err)
		}
	})
}

// Cache events arrive with a hole. The entry must read a snapshot, so that it
// does not send prompts after blocks that are long gone.
func TestGapInCacheEventsIsRepaired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		b.engine(t, "runner-1")
		missing, err := b.Events(port.CacheEvents{Upstream: "runner-1", Incarnation: 1, Events: []port.CacheEvent{
			{Sequence: 5, Kind: port.CacheStored, Block: "00112233445566778899aabbccddeeff"},
		}})
		if err != nil || !missing {
			t.Fatalf("got %t, %v", missing, err)
		}
		if len(b.repairs) != 1 {
			t.Fatalf("%d snapshots are asked for", len(b.repairs))
		}
	})
}

// An entry that was never asked for an address shuts down. The others may have
// named it a moment ago, and do so until they have heard; their callers must
// find it serving until those answers have run out.
func TestDrainOutlastsTheOthersAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		started := time.Now()
		if err := b.Drain(t.Context()); err != nil {
			t.Fatal(err)
		}
		if took := time.Since(started); took != leaveNotice+DefaultKeepAddress {
			t.Fatalf("drained after %v", took)
		}
	})
}

// Callers that all know the same one entry ask it for an address. They must be
// spread over the entries, each must get the same answer again, at whichever
// entry it asks, and no answer may name an entry that can't serve.
func TestAddressesSpreadCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peers := []Peer{{Host: "entry-1", Callers: "127.0.0.1:7001"}, {Host: "entry-2", Callers: "127.0.0.1:8001"}, {Host: "entry-3", Callers: "127.0.0.1:9001"}}
		one, two := newBench(t), newBench(t)
		two.options.Host, two.options.Callers = "entry-2", "127.0.0.1:8001"
		counts := make(map[string]int)
		for _, b := range []*bench{one, two} {
			b.control.peers = peers
			b.keeper.planOnce(time.Now())
		}
		for i := range 300 {
			from := fmt.Sprintf("10.0.%d.%d", i/250, i%250)
			first, err := one.Address(Caller{}, from)
			if err != nil {
				t.Fatal(err)
			}
			second, err := two.Address(Caller{}, from)
			if err != nil || second.Address != first.Address || len(first.Alternates) != 2 {
				t.Fatalf("got %+v and %+v, %v", first, second, err)
			}
			counts[first.Address]++
		}
		for _, peer := range peers {
			if counts[peer.Callers] < 60 {
				t.Errorf("%s got %d of 300 callers", peer.Callers, counts[peer.Callers])
			}
		}
		one.control.serving = false
		for i := range 30 {
			answer, err := one.Address(Caller{}, fmt.Sprint(i))
			if err != nil || one.includesSelf(answer) {
				t.Fatalf("without a lease: %+v, %v", answer, err)
			}
		}
	})
}

// One of two replicas stalls. A call that may be repeated and takes longer than
// such calls do is sent to the other one too, and the first answer counts; a
// bid, which may not, must wait, as it could else run twice.
func TestSlowCallsAreHedgedOnlyWhereRepeatable(t *testing.T) {
	cases := map[string]struct {
		method, path string
		hedged       bool
	}{
		"repeatable":     {http.MethodGet, "/lots/7", true},
		"not repeatable": {http.MethodPost, "/bids", false},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench(t)
				stalls := b.service(t, "app-1")
				stalls.delay = 5 * time.Millisecond
				for id := range byte(minObserved) {
					if _, _, err := b.call(t, id+1, http.MethodGet, "/lots/7", ""); err != nil {
						t.Fatal(err)
					}
				}
				stalls.delay = 10 * time.Second
				b.service(t, "app-2").delay = 5 * time.Millisecond
				started, before := time.Now(), len(stalls.calls)
				for id := range byte(6) {
					b.announceAgain(t)
					if _, _, err := b.call(t, 100+id, test.method, test.path, fmt.Sprint("key-", id)); err != nil {
						t.Fatal(err)
					}
				}
				stalled := len(stalls.calls) - before
				if stalled == 0 {
					t.Fatal("no call met the stalled replica")
				}
				if fast := time.Since(started) < 6*time.Second; fast != test.hedged {
					t.Errorf("six calls took %v, %d of them at the stalled replica", time.Since(started), stalled)
				}
				if hedges := b.counts.hedges.Get(); (hedges > 0) != test.hedged {
					t.Errorf("%d calls were hedged", hedges)
				}
				time.Sleep(20 * time.Second) // the cancelled attempts end
				if b.tracker.InFlight() != 0 || b.registry.InFlight() != 0 {
					t.Errorf("%d requests and %d attempts are in flight", b.tracker.InFlight(), b.registry.InFlight())
				}
			})
		})
	}
}
