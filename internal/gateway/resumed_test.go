package gateway

import (
	"errors"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lovagereach/lovagereach/internal/steward"
	"github.com/lovagereach/lovagereach/outcome"
	"github.com/lovagereach/lovagereach/resumption"
)

// originRecord is the record of a stream that a run begins at a software version.
func originRecord(r *run, software string) resumption.Record {
	return resumption.Record{Key: r.originKey(), Origin: resumption.Origin{Service: "llm", Software: software}, Send: 1}
}

// Guards against a resumed stream that looks complete after the event at which it broke off:
// the upstream that it is resumed at answers with a failure, whose body must not be forwarded,
// since the caller has the head of a success and a part of the events.
func TestFailureDoesNotCompleteResumedStream(t *testing.T) {
	for _, code := range []int{400, 500, 503, 504} {
		g, sender := testGateway(t, func(n int, _ *Send) (*Answer, error) {
			if n == 1 {
				return stream(errors.New("connection reset"), "1"), nil
			}
			return status(code), nil
		})
		rec := serve(g, request("/resume/x"))
		if rec.end != "broken" || rec.body != "id: 1\n\n" {
			t.Errorf("resumed at an upstream that answers %d: %d sends, ends %q with %q", code, sender.count(), rec.end, rec.body)
		}
	}
}

// Guards against an upstream that was restarted under its ID and counts as the incarnation that is
// known, although its answers broke off.
func TestBrokenAnswerMayMeanARestart(t *testing.T) {
	for _, test := range []struct {
		cause error
		want  bool
	}{
		{io.ErrUnexpectedEOF, true}, {connectionLost(), true}, {dialRefused(), true},
		{&outcome.Unknown{Reason: outcome.ReasonTimeout}, false}, {notRun(ReasonConnections, 0, ""), false},
	} {
		g, _ := testGateway(t, nil)
		g.state.mu.Lock()
		record := g.state.upstreams["l1"].record
		record.Software, record.StartedMs = "v1", 1000
		g.state.applyUpstream(record)
		u := g.state.upstreams["l1"]
		g.state.recordDisconnect(u, test.cause)
		if got := g.state.originAt(u).Uncertain; got != test.want {
			t.Errorf("after %v: uncertain %v", test.cause, got)
		}
		g.state.mu.Unlock()
	}
}

// Guards against a restart that is forgotten because the next process answers: on the connection
// that replaced one closed early, or after a further answer that broke off.
func TestAnswersOfTheNextProcessAreNoProof(t *testing.T) {
	for name, broken := range map[string]bool{"closed early": false, "broken off": true} {
		synctest.Test(t, func(t *testing.T) {
			g, _ := testGateway(t, nil)
			s := g.state
			s.mu.Lock()
			record := s.upstreams["l1"].record
			record.Software, record.StartedMs = "v1", 1000
			s.applyUpstream(record)
			u := s.upstreams["l1"]
			s.mu.Unlock()
			time.Sleep(10 * time.Second)
			s.mu.Lock()
			s.rosterAsOf = time.Now()
			s.mu.Unlock()
			r := &run{gateway: g, request: request("/resume/x"), route: s.index.Route("h", "/resume/x"), index: s.index}
			older, answer := time.Now(), &Answer{}
			time.Sleep(time.Second)
			observe := func(connected time.Time, restarted bool) {
				p := &plan{upstream: u, sent: time.Now()}
				time.Sleep(20 * time.Millisecond)
				*answer = Answer{Connected: connected, MayHaveRestarted: restarted}
				r.observeIncarnation(p, answer)
			}
			connected := time.Now()
			if broken {
				s.recordDisconnect(u, io.ErrUnexpectedEOF)
				time.Sleep(100 * time.Millisecond)
				connected = time.Now()
				time.Sleep(100 * time.Millisecond)
				s.recordDisconnect(u, io.ErrUnexpectedEOF)
			} else {
				observe(connected, true)
			}
			time.Sleep(100 * time.Millisecond)
			observe(connected, false)
			if !s.originAt(u).Uncertain {
				t.Errorf("%s: an answer of the next process counts as one of the previous", name)
			}
			observe(older, false)
			if s.originAt(u).Uncertain {
				t.Errorf("%s: uncertain although a connection from before still works", name)
			}
		})
	}
}

// Guards against a stream that goes on, by a roster that is too old, at a plain service's upstream
// that may have been restarted with another version since.
func TestStreamDoesNotGoOnByAnOldRoster(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, _ := testGateway(t, nil)
		s := g.state
		time.Sleep(time.Minute)
		s.mu.Lock()
		defer s.mu.Unlock()
		r := &run{gateway: g, request: request("/safe/x"), route: s.index.Route("h", "/safe/x"), index: s.index, service: "app"}
		r.pin(resumption.Origin{Service: "app", Software: "v1"})
		for age, want := range map[time.Duration]bool{500 * time.Millisecond: true, 2 * time.Second: false} {
			for started, want := range map[uint64]bool{1000: want, 0: true} {
				u := &upstreamState{record: s.upstreams["a1"].record}
				u.record.Software, u.record.StartedMs = "v1", started
				s.rosterAsOf = time.Now().Add(-age)
				if got := r.softwareFilter(s)(u); got != want {
					t.Errorf("roster %v old, start time %d: %v", age, started, got)
				}
			}
		}
	})
}

// Guards against streams that begin at a new version while other entries don't know it yet, and
// resume them at the one that they know.
func TestNewVersionIsUsedOnceAllEntriesKnowIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, sender := testGateway(t, func(int, *Send) (*Answer, error) { return stream(io.EOF, "1"), nil })
		s := g.state
		s.mu.Lock()
		for id, software := range map[string]string{"l1": "v1", "l2": "v1"} {
			record := s.upstreams[id].record
			record.Software = software
			s.applyUpstream(record)
		}
		s.mu.Unlock()
		time.Sleep(time.Minute)
		s.mu.Lock()
		s.rosterAsOf = time.Now()
		record := s.upstreams["l2"].record
		record.StartedMs, record.Software = 2000, "v2"
		s.applyUpstream(record)
		s.mu.Unlock()
		served := make(map[string]int)
		for at := time.Duration(0); at < 2*time.Second; at += 20 * time.Millisecond {
			serve(g, request("/resume/x"))
			if used := sender.sends[sender.count()-1].Upstream; used == "l2" && at < resumption.SettleTime {
				t.Fatalf("used after %v", at)
			} else if at >= resumption.SettleTime {
				served[used]++
			}
			time.Sleep(20 * time.Millisecond)
		}
		if served["l2"] == 0 {
			t.Errorf("never used: %v", served)
		}
	})
}

// Guards against an upstream that counts as unreachable because it has been restarted, so that the
// entry takes itself for partitioned, and against a stream that doesn't try the next upstream.
func TestRestartedUpstreamCanBeReached(t *testing.T) {
	g, sender := testGateway(t, func(n int, s *Send) (*Answer, error) {
		if n == 1 {
			return nil, notRun(ReasonRestarted, 0, "")
		}
		return stream(io.EOF, "2"), nil
	})
	again := request("/resume/x")
	again.Resumes, again.ResumeAfter = "id-0", "1"
	rec := serve(g, again)
	first := sender.sends[0].Upstream
	if rec.end != "done" || sender.count() != 2 || sender.sends[1].Upstream == first {
		t.Errorf("ends %q after %d sends: %v", rec.end, sender.count(), rec.cause)
	}
	g.state.mu.Lock()
	defer g.state.mu.Unlock()
	if u := g.state.upstreams[first]; g.state.reach.Lost(first) || u.disconnectedAt.IsZero() {
		t.Errorf("lost %v, disconnected at %v", g.state.reach.Lost(first), u.disconnectedAt)
	}
}

// Guards against an entry that forgets what began a stream while a caller who may wait for long still
// holds on to it.
func TestOriginIsKeptForAsLongAsCallersHoldOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, _ := testGateway(t, nil)
		document := testDocument()
		document.Version++
		for i := range document.Routes {
			document.Routes[i].Timeout = time.Minute
		}
		g.ApplyAnswer(&steward.WatchAnswer{Partial: true, Term: 1, Document: document}, time.Now())
		r, err := g.admit(t.Context(), request("/resume/x"))
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(29 * time.Second)
		g.state.origins.Put(originRecord(r, "v1"), time.Now())
		time.Sleep(110 * time.Second)
		if origin, known := r.knownOrigin(); !known || origin.Software != "v1" {
			t.Errorf("%+v, known %v", origin, known)
		}
	})
}
