package gateway

import (
	"errors"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"

	"github.com/lovagereach/lovagereach/internal/decision"
	"github.com/lovagereach/lovagereach/outcome"
	"github.com/lovagereach/lovagereach/placement"
)

// After a restart of all processes callers come back before an election has
// ended. Most of them come back once only: a caller that is refused twice during
// one election is lost. The entry keeps the request until it knows where to send
// it, gives up in time for the caller to come back, and says when.
func TestEntryThatHasJustStartedKeepsRequests(t *testing.T) {
	cases := []struct {
		name string
		// told is when the configuration comes, wait the caller's own time.
		told, wait time.Duration
		ends       string
		after      time.Duration
	}{
		{"told in time", 400 * time.Millisecond, 4 * time.Second, "done", 400 * time.Millisecond},
		{"told after hosts started apart and an election", 900 * time.Millisecond, 4 * time.Second, "done", 900 * time.Millisecond},
		{"told too late", 2 * time.Second, 4 * time.Second, "refused", startWait},
		{"little time of its own", time.Second, 300 * time.Millisecond, "refused", 150 * time.Millisecond},
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
				time.Sleep(c.told)
				g.ApplyAnswer(testAnswer(), time.Now())
			}()
			r := request("/safe/x")
			r.Wait = c.wait
			rec := serve(g, r)
			if took := time.Since(began); rec.ends != c.ends || took != c.after {
				t.Errorf("%s: %s after %v, want %s after %v (%v)", c.name, rec.ends, took, c.ends, c.after, rec.cause)
			}
			var refused *outcome.NotRun
			if c.ends == "refused" && (!errors.As(rec.cause, &refused) || refused.RetryAfter <= 0) {
				t.Errorf("%s: not told when to come back: %v", c.name, rec.cause)
			}
			time.Sleep(c.told)
		})
	}
}

// A large prompt that goes out before the entry knows what the stores hold is
// read from its first token; after a restart of all, every prompt is.
func TestLargePromptsWaitForTheFirstWordOnStores(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, sender := testGateway(t, func(int, *Send) (*Answer, error) { return stream(io.EOF, "1"), nil })
		full := testAnswer()
		g.state = newState(placement.DefaultRates().PrefillPerMs)
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

// An entry and its control hosts start together. The entry's first question waits for
// a host that is not up yet; the answer comes 1.1 s later and tells what the stores
// held 1.1 s ago at the earliest, too old to rely on. Prompts that are let go by it
// are all read from the start. They have to wait for the next answer, and the
// entry has to ask for it at once.
func TestAnAnswerThatIsTooOldIsNoFirstWordOnStores(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, sender := testGateway(t, func(int, *Send) (*Answer, error) { return stream(io.EOF, "1"), nil })
		g.state = newState(placement.DefaultRates().PrefillPerMs)
		asked := time.Now()
		time.Sleep(1100 * time.Millisecond)
		g.ApplyAnswer(testAnswer(), asked)
		if g.NextRequest().Term != 0 {
			t.Error("a question without the wait for news would be answered at once")
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
			t.Error("the word is fresh, and the question is to be answered at once")
		}
	})
}
