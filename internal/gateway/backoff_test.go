package gateway

import (
	"errors"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lovagereach/lovagereach/outcome"
)

// backOffGateway has two runners that answer 503 with the given times.
func backOffGateway(t *testing.T, waits map[string]time.Duration) (*Gateway, *scriptedSender) {
	return testGateway(t, func(_ int, s *Send) (*Answer, error) {
		if waits[s.Upstream] == 0 {
			return stream(io.EOF, "1"), nil
		}
		a := refusal(Full)
		a.BackOff = waits[s.Upstream]
		return a, nil
	})
}

// Guards against callers that wait for upstreams which want no requests from this entry, and are
// refused in the end without a time at which to come, or all with the same one.
func TestCallersAreRefusedAtOnceWhileAllUpstreamsBackOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, sender := backOffGateway(t, map[string]time.Duration{"l1": 2500 * time.Millisecond, "l2": 2200 * time.Millisecond})
		for range 2 {
			serve(g, request("/resume/x"))
		}
		before, times := sender.count(), make(map[time.Duration]bool)
		// A caller with 4 s left waits 0.33 of them at most.
		least, most := 990*time.Millisecond, 1320*time.Millisecond
		for range 5 {
			began := time.Now()
			rec := serve(g, request("/resume/x"))
			var refused *outcome.NotRun
			if !errors.As(rec.cause, &refused) || time.Since(began) > 0 || refused.RetryAfter < least || refused.RetryAfter > most {
				t.Errorf("after %v: %v, retry after %v", time.Since(began), rec.cause, refused.RetryAfter)
			}
			times[refused.RetryAfter] = true
		}
		if sender.count() != before {
			t.Errorf("%d requests sent to upstreams that want none", sender.count()-before)
		}
		if len(times) < 3 {
			t.Errorf("five callers are told %d different times", len(times))
		}
		time.Sleep(2200 * time.Millisecond)
		if serve(g, request("/resume/x")); sender.count() == before || sender.sends[before].Upstream != "l2" {
			t.Error("no request is sent once an upstream wants some again")
		}
	})
}

// Guards against a later, shorter time, or an answer without one, that ends an earlier time too
// soon, and against a time that is kept for the next incarnation.
func TestBackOffLastsUntilItsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, _ := backOffGateway(t, nil)
		u := g.state.upstreams["l1"]
		p := &plan{upstream: u}
		r := &run{gateway: g}
		for _, wait := range []time.Duration{2 * time.Second, 100 * time.Millisecond, 0, -time.Second} {
			r.recordBackOff(p, wait)
		}
		time.Sleep(1999 * time.Millisecond)
		if !u.backsOff(time.Now()) {
			t.Error("ended too soon")
		}
		r.recordBackOff(p, 500*time.Millisecond)
		time.Sleep(time.Millisecond)
		if !u.backsOff(time.Now()) {
			t.Error("a later time that ends later is ignored")
		}
		record := u.record
		record.StartedMs = 2000
		g.state.mu.Lock()
		g.state.applyUpstream(record)
		g.state.mu.Unlock()
		if g.state.upstreams["l1"].backsOff(time.Now()) {
			t.Error("kept for the next incarnation")
		}
	})
}

// Guards against a request that waits in vain because its stream can only go on at upstreams that
// want no requests.
func TestResumedStreamDoesNotWaitForBackOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, sender := backOffGateway(t, nil)
		g.state.mu.Lock()
		for id, software := range map[string]string{"l1": "v1", "l2": "v2"} {
			record := g.state.upstreams[id].record
			record.Software = software
			g.state.applyUpstream(record)
		}
		g.state.upstreams["l1"].backOffUntil = time.Now().Add(3 * time.Second)
		first := request("/resume/x")
		r := &run{gateway: g, request: first, route: g.state.index.Route("h", "/resume/x"), index: g.state.index}
		r.team = g.state.index.Team("k")
		g.state.origins.Put(originRecord(r, "v1"), time.Now())
		g.state.mu.Unlock()
		again := request("/resume/x")
		again.ID, again.Resumes, again.ResumeAfter = "id-2", "id-1", "1"
		began := time.Now()
		rec := serve(g, again)
		var refused *outcome.NotRun
		if !errors.As(rec.cause, &refused) || refused.RetryAfter <= 0 || time.Since(began) > 0 || sender.count() > 0 {
			t.Errorf("after %v and %d sends: %v", time.Since(began), sender.count(), rec.cause)
		}
	})
}

// Guards against one wrong answer of an upstream after which it gets no requests as long as this process runs.
func TestBackOffIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, _ := backOffGateway(t, nil)
		u := g.state.upstreams["l1"]
		(&run{gateway: g}).recordBackOff(&plan{upstream: u}, 1e9*time.Second)
		time.Sleep(maxBackOff - time.Millisecond)
		if !u.backsOff(time.Now()) {
			t.Error("ended too soon")
		}
		if time.Sleep(time.Millisecond); u.backsOff(time.Now()) {
			t.Errorf("no requests for over %v", maxBackOff)
		}
	})
}
