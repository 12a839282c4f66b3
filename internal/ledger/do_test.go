package ledger

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/once"
	"github.com/lovagereach/lovagereach/outcome"
)

// doCase is a first call and a resend through another entry host.
type doCase struct {
	name string
	// sendErr is the error of the first send. The service runs unless it is
	// *outcome.NotRun.
	sendErr error
	// before and between modify the cluster before the first and the second call.
	before, between func(*fakeCluster, *fakeEntry)
	change          func(*Call)
	first, second   outcome.Kind
	runs            int
}

// A call is sent twice under one key, through two entry hosts, while the send or
// the ledger fails as the case specifies. The second caller must get the outcome
// of the first, or unknown where it can't be determined, and the upstream must
// run the call at most once.
func TestDoOutcomes(t *testing.T) {
	otherBody := func(c *Call) { c.Digest = once.DigestCall("POST", "/bid", []byte("more")) }
	cases := []doCase{
		{name: "done, then the same answer", first: outcome.KindDone, second: outcome.KindDone, runs: 1},
		{name: "failed, then the same answer", sendErr: &outcome.Failed{Status: 500}, first: outcome.KindFailed, second: outcome.KindFailed, runs: 1},
		{name: "unknown stays unknown", sendErr: &outcome.Unknown{}, first: outcome.KindUnknown, second: outcome.KindUnknown, runs: 1},
		{name: "an error of no type is unknown", sendErr: errors.New("?"), first: outcome.KindUnknown, second: outcome.KindUnknown, runs: 1},
		{name: "not run, then run", sendErr: &outcome.NotRun{}, first: outcome.KindNotRun, second: outcome.KindDone, runs: 1},
		{name: "other content", change: otherBody, first: outcome.KindDone, second: outcome.KindNotRun, runs: 1},
		{
			name: "no ledger for the first", first: outcome.KindUnknown, second: outcome.KindDone, runs: 1,
			before: func(c *fakeCluster, e *fakeEntry) {
				e.net.delivery = func(port.Method) delivery { return lostBefore }
			},
		},
		{
			name: "first entry host crashes before recording", first: outcome.KindUnknown, second: outcome.KindUnknown, runs: 1,
			sendErr: &outcome.Unknown{},
			before: func(c *fakeCluster, e *fakeEntry) {
				e.net.delivery = func(m port.Method) delivery {
					if m == MethodRecord {
						return lostBefore
					}
					return delivered
				}
			},
			between: func(c *fakeCluster, e *fakeEntry) {
				for _, s := range c.servers {
					s.OwnerLost(context.Background(), e.options.Self())
				}
			},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { synctest.Test(t, c.runCase) })
	}
}

func (c *doCase) runCase(t *testing.T) {
	cluster, service := newFakeCluster(1), newFakeService()
	first, second := newFakeEntry(cluster, "e1", 1, 1), newFakeEntry(cluster, "e2", 1, 1)
	call := func(entry *fakeEntry, n uint64, fail error, change func(*Call)) outcome.Kind {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		key := once.Key{Team: "t", Service: "s", Text: "k"}
		call := Call{Key: key, Digest: once.DigestCall("POST", "/bid", nil), Request: requestOf(n)}
		if change != nil {
			change(&call)
		}
		_, err := entry.Do(ctx, call, func(context.Context) (once.Answer, error) {
			if outcome.KindOf(fail) == outcome.KindNotRun {
				return once.Answer{}, fail
			}
			return service.run("k", call.Request), fail
		})
		return outcome.KindOf(err)
	}
	if c.before != nil {
		c.before(cluster, first)
	}
	if got := call(first, 1, c.sendErr, nil); got != c.first {
		t.Errorf("first call: %v, want %v", got, c.first)
	}
	if c.between != nil {
		c.between(cluster, first)
	}
	if got := call(second, 2, nil, c.change); got != c.second {
		t.Errorf("second call: %v, want %v", got, c.second)
	}
	if got := service.byKey["k"]; got != c.runs {
		t.Errorf("%d runs, want %d", got, c.runs)
	}
	first.kill()
	second.kill()
	time.Sleep(resolveTimeout)
}

// The leader's data centre is partitioned: its connections stay open and no
// answers arrive. A first call must try the next control host after the timeout
// of one message, and must not wait as long as a duplicate does.
func TestSilentLeaderCostsOneTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster, service := newFakeCluster(1), newFakeService()
		entry := newFakeEntry(cluster, "e1", 1, 1)
		silent := true
		entry.net.delivery = func(port.Method) delivery {
			if silent {
				silent = false
				return unanswered
			}
			return delivered
		}
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
		started := time.Now()
		_, err := entry.Do(ctx, Call{Key: once.Key{Team: "t", Service: "s", Text: "k"}}, func(context.Context) (once.Answer, error) {
			return service.run("k", requestOf(1)), nil
		})
		if waited := time.Since(started); err != nil || waited > 2*defaultTimeout {
			t.Errorf("done after %v: %v", waited, err)
		}
		entry.kill()
	})
}

// A hundred duplicates of one bid wait through one entry host. They must not use
// all concurrent requests of its connection, or the outcome that they wait for
// couldn't be sent. All of them must get that outcome.
func TestWaitingDuplicatesLeaveCapacityForRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster, service := newFakeCluster(1), newFakeService()
		entry := newFakeEntry(cluster, "e1", 1, 1)
		running, maxRunning := 0, 0
		var mu sync.Mutex
		entry.net.onHandler = func(change int) {
			mu.Lock()
			defer mu.Unlock()
			running += change
			maxRunning = max(maxRunning, running)
		}
		var callers sync.WaitGroup
		answers := make(chan string, 101)
		for n := range uint64(101) {
			callers.Go(func() {
				time.Sleep(time.Duration(n) * time.Millisecond)
				ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
				defer cancel()
				done, err := entry.Do(ctx, Call{Key: once.Key{Team: "t", Service: "s", Text: "k"}, Request: requestOf(n)}, func(context.Context) (once.Answer, error) {
					time.Sleep(20 * time.Second)
					return service.run("k", requestOf(n)), nil
				})
				if err == nil {
					answers <- string(done.Answer.Body)
				}
			})
		}
		callers.Wait()
		if len(answers) != 101 || service.byKey["k"] != 1 {
			t.Errorf("%d of 101 callers were answered, %d runs", len(answers), service.byKey["k"])
		}
		if maxRunning > maxHostWaits+1 {
			t.Errorf("%d requests ran concurrently on the connection", maxRunning)
		}
		entry.kill()
	})
}

// An entry host crashes with a bid in flight and restarts. The caller has resent
// the bid through another entry host. It must get an unknown outcome as soon as
// the first entry host has restarted, not when the hold ends.
func TestNewIncarnationResolvesEarlierClaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newFakeCluster(1)
		crashed, other := newFakeEntry(cluster, "e1", 1, 1), newFakeEntry(cluster, "e2", 1, 1)
		key := once.Key{Team: "t", Service: "s", Text: "k"}
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		if last, err := crashed.claim(ctx, once.Claim{Key: key, Owner: crashed.options.Self(), ID: newClaimID()}); err != nil || last.result.Status != once.StatusGranted {
			t.Fatal(last, err)
		}
		crashed.kill()
		restarted := make(chan *fakeEntry, 1)
		time.AfterFunc(5*time.Second, func() { restarted <- newFakeEntry(cluster, "e1", 2, 1) })
		started := time.Now()
		_, err := other.Do(ctx, Call{Key: key}, func(context.Context) (once.Answer, error) {
			t.Error("the bid was sent again")
			return once.Answer{}, nil
		})
		if waited := time.Since(started); outcome.KindOf(err) != outcome.KindUnknown || waited > 6*time.Second {
			t.Errorf("after %v: %v", waited, err)
		}
		other.kill()
		(<-restarted).kill()
	})
}

// An entry host shuts down gracefully while the outcome of one of its calls is
// not yet recorded. A duplicate that waits at another entry host must get the
// recorded answer. A duplicate of a claim that was never resolved must get an
// unknown outcome immediately, not after the hold.
func TestDrainResolvesPendingClaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster, service := newFakeCluster(1), newFakeService()
		draining, remaining := newFakeEntry(cluster, "e1", 1, 1), newFakeEntry(cluster, "e2", 1, 1)
		var down atomic.Bool
		down.Store(true)
		draining.net.delivery = func(m port.Method) delivery {
			if down.Load() && m == MethodRecord {
				return lostBefore
			}
			return delivered
		}
		callOf := func(text string, n uint64) Call {
			return Call{Key: once.Key{Team: "t", Service: "s", Text: text}, Request: requestOf(n)}
		}
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Minute)
		defer cancel()
		if _, err := draining.Do(ctx, callOf("a", 1), func(context.Context) (once.Answer, error) {
			return service.run("a", requestOf(1)), nil
		}); err != nil {
			t.Fatal(err)
		}
		if last, err := draining.claim(ctx, once.Claim{Key: callOf("b", 2).Key, Owner: draining.options.Self(), ID: newClaimID()}); err != nil || last.result.Status != once.StatusGranted {
			t.Fatal(last, err)
		}
		kinds := make(chan outcome.Kind, 2)
		for n, text := range []string{"a", "b"} {
			go func() {
				_, err := remaining.Do(ctx, callOf(text, uint64(n+3)), func(context.Context) (once.Answer, error) {
					return service.run(text, requestOf(uint64(n+3))), nil
				})
				kinds <- outcome.KindOf(err)
			}()
		}
		time.Sleep(time.Second)
		down.Store(false)
		started := time.Now()
		draining.Drain(ctx)
		got := map[outcome.Kind]int{<-kinds: 1}
		got[<-kinds]++
		if got[outcome.KindDone] != 1 || got[outcome.KindUnknown] != 1 {
			t.Errorf("outcomes of the duplicates: %v", got)
		}
		if waited := time.Since(started); waited > maxWait {
			t.Errorf("duplicates waited %v after the drain", waited)
		}
		if service.byKey["a"] != 1 || service.byKey["b"] != 0 {
			t.Errorf("runs: %v", service.byKey)
		}
		draining.kill()
		remaining.kill()
		time.Sleep(resolveTimeout)
	})
}
