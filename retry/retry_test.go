package retry

import (
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/outcome"
)

// A caller that receives not-run may send a bid again under a new key. The only
// evidence that counts as not-run is therefore that no byte was written, or the
// upstream's own statement; every doubtful case is unknown.
func TestClassifyNotRunOnlyOnProof(t *testing.T) {
	cause := errors.New("broken pipe")
	cases := []struct {
		name     string
		evidence Evidence
		kind     outcome.Kind
		reason   outcome.Reason
	}{
		{"complete answer", Evidence{Wrote: true, Answered: true, Complete: true, Status: 201}, outcome.KindDone, ""},
		{"client error is an answer", Evidence{Wrote: true, Answered: true, Complete: true, Status: 404}, outcome.KindDone, ""},
		{"server error", Evidence{Wrote: true, Answered: true, Complete: true, Status: 503}, outcome.KindFailed, outcome.ReasonUpstreamError},
		{"dial failed", Evidence{DialFailed: true, Cause: cause}, outcome.KindNotRun, outcome.ReasonDial},
		{"dial failed on a second connection", Evidence{DialFailed: true, Wrote: true, Cause: cause}, outcome.KindUnknown, outcome.ReasonConnectionLost},
		{"deadline before the first byte", Evidence{TimedOut: true}, outcome.KindNotRun, outcome.ReasonDeadline},
		{"caller disconnected before the first byte", Evidence{CallerGone: true}, outcome.KindNotRun, outcome.ReasonCallerGone},
		{"first byte failed", Evidence{Wrote: true, Cause: cause}, outcome.KindUnknown, outcome.ReasonConnectionLost},
		{"no answer in time", Evidence{Wrote: true, TimedOut: true}, outcome.KindUnknown, outcome.ReasonTimeout},
		{"answer broke off", Evidence{Wrote: true, Answered: true, Status: 200, Cause: cause}, outcome.KindUnknown, outcome.ReasonStreamBroken},
		{"answer without a write", Evidence{Answered: true}, outcome.KindUnknown, outcome.ReasonStreamBroken},
		{"upstream refused", Evidence{Wrote: true, Answered: true, Complete: true, Status: 503, Refused: true}, outcome.KindNotRun, outcome.ReasonRefused},
		{"refusal in a crossed answer", Evidence{Wrote: true, Refused: true, Mismatched: true}, outcome.KindUnknown, outcome.ReasonBadAnswer},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			err := Classify(c.evidence)
			if kind := outcome.KindOf(err); kind != c.kind {
				t.Fatalf("kind %v (%v), want %v", kind, err, c.kind)
			}
			if got := reasonOf(err); got != c.reason {
				t.Errorf("reason %q, want %q", got, c.reason)
			}
		})
	}
}

func reasonOf(err error) outcome.Reason {
	var notRun *outcome.NotRun
	var failed *outcome.Failed
	var unknown *outcome.Unknown
	switch {
	case errors.As(err, &notRun):
		return notRun.Reason
	case errors.As(err, &failed):
		return failed.Reason
	case errors.As(err, &unknown):
		return unknown.Reason
	}
	return ""
}

// An attempt ends without an answer. Another one follows only if it cannot run a call
// twice and attempts, time and budget are left. Otherwise the caller gets the
// attempt's outcome unchanged, so that a possible run is never reported as not run.
func TestPolicyNext(t *testing.T) {
	now := time.Unix(1_764_700_000, 0)
	lost := &outcome.Unknown{Reason: outcome.ReasonConnectionLost}
	dial := &outcome.NotRun{Reason: outcome.ReasonDial}
	call := Call{Team: "t", Class: "c", Repeatable: true, Attempts: 1, Deadline: now.Add(time.Second), Expected: 100 * time.Millisecond}
	with := func(change func(*Call)) Call { c := call; change(&c); return c }
	cases := []struct {
		name  string
		call  Call
		err   error
		retry bool
	}{
		{"repeatable, connection lost", call, lost, true},
		{"done", call, nil, false},
		{"not repeatable, may have run", with(func(c *Call) { c.Repeatable = false }), lost, false},
		{"not repeatable, certainly not run", with(func(c *Call) { c.Repeatable = false }), dial, true},
		{"refused for a limit", call, &outcome.NotRun{Reason: outcome.ReasonTeamLimit}, false},
		{"attempts used up", with(func(c *Call) { c.Attempts = 3 }), lost, false},
		{"no time left for another answer", with(func(c *Call) { c.Expected = time.Second }), lost, false},
		{"deadline passed", with(func(c *Call) { c.Deadline = now.Add(-1) }), lost, false},
		{"no deadline", with(func(c *Call) { c.Deadline = time.Time{} }), lost, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 1))
			p := NewPolicy(DefaultOptions(), NewBudgets(DefaultBudgetOptions()))
			d := p.Next(now, c.call, c.err, random)
			if got := d.Action == ActionRetry; got != c.retry {
				t.Fatalf("decision %+v, want retry %v", d, c.retry)
			}
			if !c.retry && !errors.Is(d.Err, c.err) {
				t.Errorf("outcome %v, want %v", d.Err, c.err)
			}
			hedge := p.Hedge(now, c.call, time.Second, time.Millisecond)
			if want := c.call.Repeatable && c.call.Attempts < 3 && (c.call.Deadline.IsZero() || c.call.Deadline.Sub(now) >= max(c.call.Expected, 1)); hedge != want {
				t.Errorf("hedge %v, want %v", hedge, want)
			}
		})
	}
}

// Many requests fail at the same time and each requests another attempt. A team's
// retries in a class stay within their share of its first attempts, so that a failing
// upstream does not receive a multiple of its load. The number of budgets is bounded
// for any number of teams.
func TestBudgetsBoundEachTeamAndClass(t *testing.T) {
	options := BudgetOptions{Ratio: 0.1, Burst: 2, MaxTeams: 2}
	b := NewBudgets(options)
	spend := func(team ident.Team, class ident.Class) (taken int) {
		for b.Take(team, class) {
			taken++
		}
		return taken
	}
	if got := spend("a", "c"); got != 2 {
		t.Errorf("a full budget granted %d attempts, want 2", got)
	}
	if got := spend("b", "c"); got != 0 {
		t.Errorf("a class without budget granted %d attempts to another team", got)
	}
	if got := spend("a", "other"); got != 2 {
		t.Errorf("another class granted %d attempts, want 2", got)
	}
	for range 100 {
		b.First("b", "c")
	}
	if got := spend("b", "c"); got != 2 {
		t.Errorf("after 100 first attempts the budget granted %d attempts, want the burst of 2", got)
	}
	for i := range 1000 {
		b.First(ident.Team(rune(i)), "c")
	}
	if len(b.teams) > options.MaxTeams+2 {
		t.Errorf("%d budgets are kept, beyond the bound", len(b.teams))
	}
}

// A hedged request is answered twice, and the slower answer arrives when its
// upstream's connection already serves another caller. It must not reach any caller.
func TestTrackerDropsLateAndCrossedAnswers(t *testing.T) {
	tr := NewTracker(2)
	mine, other := ident.Request{1}, ident.Request{2}
	for _, request := range []ident.Request{mine, other} {
		if err := tr.Start(request); err != nil {
			t.Fatal(err)
		}
	}
	if err := tr.Start(mine); !errors.Is(err, ErrDuplicate) {
		t.Errorf("second Start of a request: %v, want ErrDuplicate", err)
	}
	if err := tr.Start(ident.Request{3}); !errors.Is(err, ErrTrackerFull) {
		t.Errorf("Start beyond the limit: %v, want ErrTrackerFull", err)
	}
	first := tr.Send(mine, "u1")
	hedge := tr.Send(mine, "u2")
	if first == hedge || !tr.Match(mine, first, "u1") || !tr.Match(mine, hedge, "u2") {
		t.Fatal("live attempts do not match their own answers")
	}
	if tr.Match(mine, first, "u2") || tr.Match(other, first, "u1") {
		t.Error("a crossed answer matched")
	}
	tr.End(mine, first)
	if tr.Match(mine, first, "u1") {
		t.Error("the answer to an ended attempt matched")
	}
	tr.Finish(mine)
	if tr.Match(mine, hedge, "u2") || tr.Send(mine, "u1") != 0 {
		t.Error("a finished request is still in flight")
	}
	if got := tr.Dropped(); got != (Dropped{Late: 3, Crossed: 1}) {
		t.Errorf("dropped %+v, want 3 late and 1 crossed", got)
	}
}

// A stream breaks after the caller received some tokens. It is resumed only where the
// continuation is certain to match: on the same upstream process, or on any upstream
// if generation is deterministic. An answer joined from two different generations
// would look complete and be wrong.
func TestResume(t *testing.T) {
	cases := []struct {
		broken BrokenStream
		want   ResumeAt
	}{
		{BrokenStream{}, ResumeAnyUpstream},
		{BrokenStream{Delivered: 3, UpstreamAlive: true}, ResumeSameUpstream},
		{BrokenStream{Delivered: 3, Deterministic: true}, ResumeAnyUpstream},
		{BrokenStream{Delivered: 3}, ResumeNowhere},
	}
	for _, c := range cases {
		if got := Resume(c.broken); got != c.want {
			t.Errorf("%+v: %v, want %v", c.broken, got, c.want)
		}
	}
}
