package gateway

import (
	"io"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lovagereach/lovagereach/quarantine"
)

// unframed returns an answer that ends with its connection.
func unframed(ids ...string) *Answer {
	a := stream(io.EOF, ids...)
	a.Unframed = true
	return a
}

// Guards against an answer without a length or chunks being passed on as complete, and clearing what
// its request is suspected of, though its upstream has crashed or may have.
func TestUnframedAnswerEndsWithUpstream(t *testing.T) {
	for name, test := range map[string]struct {
		crashed, unreachable bool
		ids                  []string
		end                  string
		sends                int
		served               bool
	}{
		"running":                               {ids: []string{"1"}, end: "done", sends: 1, served: true},
		"running, empty":                        {end: "refused", sends: 2},
		"crashed before the first event":        {crashed: true, end: "refused", sends: 2},
		"crashed between events":                {crashed: true, ids: []string{"1"}, end: "broken", sends: 2},
		"unreachable, so that nothing is known": {unreachable: true, ids: []string{"1"}, end: "broken", sends: 2},
	} {
		synctest.Test(t, func(t *testing.T) {
			g, sender := testGateway(t, func(int, *Send) (*Answer, error) { return unframed(test.ids...), nil })
			sender.crashed = map[string]bool{"l1": test.crashed, "l2": test.crashed}
			sender.unreachable = map[string]bool{"l1": test.unreachable, "l2": test.unreachable}
			time.Sleep(time.Second)
			applyParts(g, 1, nil, "suspect")
			r := withParts("suspect", "1")
			if !test.served {
				r = withParts("a", "1")
			}
			began := time.Now()
			rec := serve(g, r)
			if rec.end != test.end || sender.count() != test.sends {
				t.Errorf("%s: ends %q after %d sends, want %q after %d", name, rec.end, sender.count(), test.end, test.sends)
			}
			if took := time.Since(began); took > 2*quarantine.CheckTimeout {
				t.Errorf("%s: ends after %v", name, took)
			}
			time.Sleep(time.Second)
			synctest.Wait()
			report := g.reports.take()
			if got := slices.Contains(report.Served, partOf("suspect")); got != test.served {
				t.Errorf("%s: reported as served %t, want %t", name, got, test.served)
			}
			if got := len(report.Crashes) > 0; got != test.crashed {
				t.Errorf("%s: reported crashes %+v", name, report.Crashes)
			}
			if served := g.state.served.Requests.Has(fingerprintOf(t, g, r), time.Now()); served != test.served {
				t.Errorf("%s: remembered as served %t, want %t", name, served, test.served)
			}
		})
	}
}

// pendingChecks returns the number of upstreams that are being checked.
func (g *Gateway) pendingChecks() int {
	g.state.mu.Lock()
	defer g.state.mu.Unlock()
	return len(g.state.crashChecks)
}

// Guards against one check after the other where all answers end with their connection, and against
// log lines that name them as lost.
func TestUnframedAnswersShareACheck(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, _ := testGateway(t, func(int, *Send) (*Answer, error) { return unframed("1"), nil })
		began := time.Now()
		for range 4 {
			go func() {
				if rec := serve(g, request("/safe/x")); rec.end != "done" {
					t.Errorf("ends %q with %v", rec.end, rec.cause)
				}
			}()
		}
		synctest.Wait()
		if checks := g.pendingChecks(); checks > 3 {
			t.Errorf("%d checks of three upstreams", checks)
		}
		time.Sleep(quarantine.CheckDelay)
		synctest.Wait()
		if checks := g.pendingChecks(); checks != 0 || g.open.Load() != 0 {
			t.Errorf("after %v %d checks and %d requests are under way", time.Since(began), checks, g.open.Load())
		}
	})
}
