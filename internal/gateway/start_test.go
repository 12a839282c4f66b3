package gateway

import (
	"errors"
	"io"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"

	"github.com/lovagereach/lovagereach/internal/decision"
	"github.com/lovagereach/lovagereach/outcome"
	"github.com/lovagereach/lovagereach/placement"
)

// Guards against callers lost by two refusals during one election: after a restart of all
// processes callers retry before an election has ended, most of them once only. The entry
// keeps the request until it knows where to send it, and refuses it in time for a retry, with
// the delay.
func TestRequestsWaitForEntryStart(t *testing.T) {
	cases := []struct {
		name string
		// configAfter is the time at which the configuration arrives, wait the caller's own time
		// limit.
		configAfter, wait time.Duration
		end               string
		after             time.Duration
	}{
		{"configured in time", 400 * time.Millisecond, 4 * time.Second, "done", 400 * time.Millisecond},
		{"configured after staggered host starts and an election", 900 * time.Millisecond, 4 * time.Second, "done", 900 * time.Millisecond},
		{"configured too late", 2 * time.Second, 4 * time.Second, "refused", startWait},
		{"short time limit", time.Second, 300 * time.Millisecond, "refused", 150 * time.Millisecond},
	}
	for _, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			sender := &scriptedSender{script: func(int, *Send) (*Answer, error) { return status(200), nil }}
			quiet := log.New(io.Discard)
			g, err := New(Options{
				Host: "e1", Sender: sender, Budget: BudgetLimits{Ratio: 0.2, Extra: 200}, Rates: placement.DefaultRates(),
				Log: quiet, Decisions: decision.New(quiet),
			})
			if err != nil {
				t.Fatal(err)
			}
			began := time.Now()
			go func() {
				time.Sleep(c.configAfter)
				g.ApplyAnswer(testAnswer(), time.Now())
			}()
			r := request("/safe/x")
			r.Wait = c.wait
			rec := serve(g, r)
			if took := time.Since(began); rec.end != c.end || took != c.after {
				t.Errorf("%s: %s after %v, want %s after %v (%v)", c.name, rec.end, took, c.end, c.after, rec.cause)
			}
			var refused *outcome.NotRun
			if c.end == "refused" && (!errors.As(rec.cause, &refused) || refused.RetryAfter <= 0) {
				t.Errorf("%s: no time to retry in the refusal: %v", c.name, rec.cause)
			}
			time.Sleep(c.configAfter)
		})
	}
}

// Guards against large prompts that are computed from the first token because they are sent
// before the entry knows the inventories of the stores, as after a restart of all processes.
func TestLargePromptsWaitForInventories(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, sender := testGateway(t, func(int, *Send) (*Answer, error) { return stream(io.EOF, "1"), nil })
		full := testAnswer()
		g.state = newState("e1", placement.DefaultRates().PrefillPerMs)
		bare := testAnswer()
		bare.Inventories = nil
		g.ApplyAnswer(bare, time.Now())
		go func() {
			time.Sleep(200 * time.Millisecond)
			full.Document, full.Roster = nil, nil
			g.ApplyAnswer(full, time.Now())
		}()
		began := time.Now()
		r := request("/stream/x")
		r.Prompt = prompt(placement.Part{ID: "own", Tokens: 10})
		serve(g, r)
		if took := time.Since(began); took != 0 {
			t.Fatalf("a short prompt waited %v", took)
		}
		r.Prompt = prompt(placement.Part{ID: "kept", Tokens: 9000}, placement.Part{ID: "own", Tokens: 10})
		serve(g, r)
		if took := time.Since(began); took != 200*time.Millisecond || sender.sends[1].Prompt.Fetch == nil {
			t.Fatalf("sent after %v with %+v", took, sender.sends[1].Prompt)
		}
	})
}

// Guards against prompts recomputed from the first token at an entry that starts together with
// its control hosts. Its first request waits for a host that is not up yet; the answer arrives
// 1.1 s later with inventories that are at least 1.1 s old, too old to rely on. Prompts have
// to wait for the next answer, which the entry has to request immediately.
func TestStaleFirstInventoriesAreNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, sender := testGateway(t, func(int, *Send) (*Answer, error) { return stream(io.EOF, "1"), nil })
		g.state = newState("e1", placement.DefaultRates().PrefillPerMs)
		requested := time.Now()
		time.Sleep(1100 * time.Millisecond)
		g.ApplyAnswer(testAnswer(), requested)
		if g.NextRequest().Term != 0 {
			t.Error("the watch request asks for an answer only after a change, want an immediate one")
		}
		go func() {
			time.Sleep(30 * time.Millisecond)
			g.ApplyAnswer(testAnswer(), time.Now())
		}()
		began := time.Now()
		r := request("/stream/x")
		r.Prompt = prompt(placement.Part{ID: "kept", Tokens: 9000}, placement.Part{ID: "own", Tokens: 10})
		serve(g, r)
		if took := time.Since(began); took != 30*time.Millisecond || sender.sends[0].Prompt.Fetch == nil {
			t.Fatalf("sent after %v with %+v", took, sender.sends[0].Prompt)
		}
		if g.NextRequest().Term == 0 {
			t.Error("the inventories are fresh, but the watch request asks for an immediate answer")
		}
	})
}

// Guards against large prompts that keep the runners from small ones for as long as their prefill
// takes together, because all that waited for the inventories are sent at the same moment. They are
// sent one after the other, none later than it can be in time; small ones go at once.
func TestLargePromptsAreReleasedOneAfterTheOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		var large, small []time.Duration
		began := time.Now()
		g, _ := testGateway(t, func(_ int, s *Send) (*Answer, error) {
			mu.Lock()
			defer mu.Unlock()
			if s.Request.Prompt.size() > smallTokens {
				large = append(large, time.Since(began))
			} else {
				small = append(small, time.Since(began))
			}
			return stream(io.EOF, "1"), nil
		})
		full, bare := testAnswer(), testAnswer()
		g.state = newState("e1", placement.DefaultRates().PrefillPerMs)
		g.state.exchange.enabled = true
		bare.Inventories, full.Document, full.Roster = nil, nil, nil
		g.ApplyAnswer(bare, time.Now())
		const ready = 200 * time.Millisecond
		time.AfterFunc(ready, func() { g.ApplyAnswer(full, time.Now()) })
		var callers sync.WaitGroup
		for range 12 {
			for _, size := range []int{5000, 100} {
				callers.Go(func() {
					r := request("/stream/x")
					r.Prompt = prompt(placement.Part{ID: "own", Tokens: size})
					serve(g, r)
				})
			}
		}
		callers.Wait()
		slices.Sort(large)
		if len(small) != 12 || slices.Max(small) > 0 {
			t.Errorf("small prompts were sent after %v", small)
		}
		target := g.state.index.Route("h", "/stream/x").Target
		if len(large) != 12 || large[11]-large[0] < 100*time.Millisecond || large[11] > target {
			t.Errorf("large prompts were sent after %v, their target is %v", large, target)
		}
		within := 0
		for _, at := range large {
			if at < ready+20*time.Millisecond {
				within++
			}
		}
		if within > 6 {
			t.Errorf("%d of 12 large prompts were sent within 20 ms of the inventories", within)
		}
	})
}
