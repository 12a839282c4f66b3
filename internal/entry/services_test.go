package entry

import (
	"context"
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

func (b *testEntry) call(t *testing.T, id byte, method, path, key string) (string, ServiceAnswer, error) {
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

// A call to a plain service fails in one way at the first replica. A repeatable
// call must be sent to the other replica. A call that is not repeatable may be
// sent again only if the first replica provably did not run it, and otherwise
// must end as unknown: for a caller, a bid that runs twice is worse than one
// with an unknown outcome.
func TestServiceCallAttempts(t *testing.T) {
	cases := map[string]struct {
		method, path, key string
		first             error
		kind              outcome.Kind
		sent              int
	}{
		"repeatable":                 {method: http.MethodGet, path: "/lots/7", kind: outcome.KindDone, sent: 1},
		"repeatable, lost":           {method: http.MethodGet, path: "/lots/7", first: errLost, kind: outcome.KindDone, sent: 2},
		"not repeatable":             {method: http.MethodPost, path: "/bids", key: "k", kind: outcome.KindDone, sent: 1},
		"not repeatable, lost":       {method: http.MethodPost, path: "/bids", key: "k", first: errLost, kind: outcome.KindUnknown, sent: 1},
		"not repeatable, not sent":   {method: http.MethodPost, path: "/bids", key: "k", first: errDial, kind: outcome.KindDone, sent: 2},
		"no key":                     {method: http.MethodPost, path: "/bids", kind: outcome.KindNotRun},
		"path with a similar prefix": {method: http.MethodGet, path: "/lotsale", kind: outcome.KindNotRun},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestEntry(t)
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

// A caller resends a bid with the same key after a lost answer. The service
// must run it once, and both answers must be the same.
func TestResentCallGetsFirstAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestEntry(t)
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

// An entry is shut down while one caller holds an address answer and another
// has an open stream. The entry must immediately be removed from address
// answers, serve the caller until its answer has expired, and end only after
// the open stream has.
func TestDrainServesUntilAddressAnswersExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestEntry(t)
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
		if after, err := b.Address(Caller{}, "10.0.0.1"); err != nil || after.Address != "127.0.0.1:8001" || b.Ready() == nil || !b.control.leaving.Load() {
			t.Fatalf("got %+v, %v while leaving", after, err)
		}
		b.announce(t, port.Announcement{
			Upstream: "runner-1", Kind: port.KindEngine, Address: "127.0.0.1:9000",
			Models: []port.LoadedVersion{{Model: testModel, Version: testVersion}},
		})
		late, err := b.Prompt(t.Context(), b.prompt(t, 2))
		if err != nil {
			t.Fatalf("a caller with a valid address answer was refused: %v", err)
		}
		late.Close()
		if text, err := readAnswer(running); err != nil || text != fullAnswer {
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

// Cache events arrive with a gap. The entry must request a snapshot; otherwise
// it would route prompts by blocks that were evicted long ago.
func TestGapInCacheEventsRequestsSnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestEntry(t)
		b.engine(t, "runner-1")
		missing, err := b.Events(port.CacheEvents{Upstream: "runner-1", Incarnation: 1, Events: []port.CacheEvent{
			{Sequence: 5, Kind: port.CacheStored, Block: "00112233445566778899aabbccddeeff"},
		}})
		if err != nil || !missing {
			t.Fatalf("got %t, %v", missing, err)
		}
		if len(b.repairs) != 1 {
			t.Fatalf("%d snapshots were requested, want 1", len(b.repairs))
		}
	})
}

// An entry that has given no address answer shuts down. Other entries may have
// named it just before, and continue until they receive its announcement. It
// must serve until those answers have expired.
func TestDrainOutlastsAddressAnswersOfPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestEntry(t)
		started := time.Now()
		if err := b.Drain(t.Context()); err != nil {
			t.Fatal(err)
		}
		if took := time.Since(started); took != leaveNotice+DefaultKeepAddress {
			t.Fatalf("drained after %v", took)
		}
	})
}

// All callers are configured with the same entry and request an address from
// it. They must be spread over the entries, each must get the same answer from
// every entry, and no answer may name an entry that can't serve.
func TestAddressesSpreadCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peers := []Peer{{Host: "entry-1", Callers: "127.0.0.1:7001"}, {Host: "entry-2", Callers: "127.0.0.1:8001"}, {Host: "entry-3", Callers: "127.0.0.1:9001"}}
		one, two := newTestEntry(t), newTestEntry(t)
		two.options.Host, two.options.Callers = "entry-2", "127.0.0.1:8001"
		counts := make(map[string]int)
		for _, b := range []*testEntry{one, two} {
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

// One of two replicas stalls. A slow repeatable call must also be sent to the
// other replica, and the first answer counts. A bid is not repeatable and must
// wait, since it could otherwise run twice.
func TestSlowCallsAreHedgedOnlyIfRepeatable(t *testing.T) {
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
				b := newTestEntry(t)
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
					t.Fatal("no call was sent to the stalled replica")
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

// Guards against an answer without a length or chunks being taken as complete, and clearing its call,
// though its replica has crashed or may have.
func TestUnframedAnswerEndsWithReplica(t *testing.T) {
	for name, test := range map[string]struct{ crashed, unreachable, complete bool }{
		"running": {complete: true}, "crashed": {crashed: true}, "unreachable": {unreachable: true},
	} {
		synctest.Test(t, func(t *testing.T) {
			b := newTestEntry(t)
			b.upstreams.crashed, b.upstreams.unreachable = test.crashed, test.unreachable
			b.service(t, "app-1").unframed = true
			runEntries(t, b)
			caller, err := b.Authorize(digest(testToken))
			if err != nil {
				t.Fatal(err)
			}
			call := ServiceCall{Request: ident.Request{1}, Caller: caller, Service: "clock-app", Method: "GET", Path: "/lots/1"}
			answer, err := b.Call(t.Context(), call)
			if err != nil {
				t.Fatal(err)
			}
			_, err = io.ReadAll(answer.Body)
			_ = answer.Body.Close()
			if complete := err == nil; complete != test.complete {
				t.Errorf("%s: read to its end: %v", name, err)
			}
			time.Sleep(time.Second)
			b.mu.Lock()
			defer b.mu.Unlock()
			if served := b.crashes.served.Requests.Has(callFingerprint(&call), time.Now()); served != test.complete {
				t.Errorf("%s: remembered as served: %t", name, served)
			}
			if got := len(b.crashes.tracker.Incarnations()) > 0; got != test.crashed {
				t.Errorf("%s: crash recorded: %t", name, got)
			}
		})
	}
}

// Guards against the answer to a call that isn't repeatable being framed as whole, at once or when it is
// repeated, though only the end of its connection told its end.
func TestRecordedAnswerStaysUnframed(t *testing.T) {
	for name, unframed := range map[string]bool{"unframed": true, "framed": false} {
		synctest.Test(t, func(t *testing.T) {
			b := newTestEntry(t)
			b.service(t, "app-1").unframed = unframed
			runEntries(t, b)
			for id := byte(1); id <= 2; id++ {
				body, answer, err := b.call(t, id, http.MethodPost, "/bids", "bid-1")
				if err != nil || body != "ran /bids" || answer.Repeated != (id == 2) {
					t.Fatalf("%s: %q, repeated %t, %v", name, body, answer.Repeated, err)
				}
				if answer.Unframed != unframed || (answer.Length < 0) != unframed {
					t.Errorf("%s, answer %d: unframed %t, length %d", name, id, answer.Unframed, answer.Length)
				}
				if te := answer.Header.Get("Transfer-Encoding"); te != "" {
					t.Errorf("%s, answer %d has the header Transfer-Encoding: %s", name, id, te)
				}
			}
		})
	}
}

// Guards against a call that arrives while the entry drains, runs, and is cut at the end of the time for the
// drain.
func TestDrainRefusesWhatMayOutlastIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit = 5 * time.Second
		b := newTestEntry(t)
		service := b.service(t, "app-1")
		caller, err := b.Authorize(digest(testToken))
		if err != nil {
			t.Fatal(err)
		}
		call := func(id byte) error {
			answer, err := b.Call(t.Context(), ServiceCall{
				Request: ident.Request{id}, Caller: caller, Service: "clock-app", Method: http.MethodPost, Path: "/bids", Key: fmt.Sprint("bid-", id), Deadline: limit,
			})
			if err == nil {
				err = answer.Body.Close()
			}
			return err
		}
		ctx, cancel := context.WithTimeout(t.Context(), limit+answerReserve)
		defer cancel()
		go func() { _ = b.Drain(ctx) }()
		synctest.Wait()
		if err := call(1); err != nil {
			t.Errorf("a call that ends in time: %v", err)
		}
		time.Sleep(time.Millisecond)
		if err := call(2); outcome.KindOf(err) != outcome.KindNotRun || len(service.calls) != 1 {
			t.Errorf("%v, %d calls", err, len(service.calls))
		}
		cancel()
		synctest.Wait()
	})
}
