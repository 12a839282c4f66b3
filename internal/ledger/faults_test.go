package ledger

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/once"
	"github.com/lovagereach/lovagereach/outcome"
)

// step is a step between claim and outcome at which a fault can be injected.
type step string

const (
	stepClaimOut   step = "claim leaves"
	stepClaimed    step = "claim committed"
	stepSend       step = "before the first byte"
	stepRan        step = "service has run"
	stepAnswered   step = "answer arrived"
	stepRecordOut  step = "record or release leaves"
	stepRecorded   step = "record or release committed"
	stepDialFailed step = "dial fails"
	stepRefused    step = "service refuses"
)

// faultKind is the failure of one process or connection at a step.
type faultKind string

const (
	faultEntryCrash     faultKind = "entry dies"
	faultEntryPause     faultKind = "entry pauses past its hold"
	faultLeaderIsolated faultKind = "leader cut off or dead"
	faultMessageLost    faultKind = "message lost"
	faultAnswerLost     faultKind = "answer lost"
	faultLateCopy       faultKind = "answer lost, copy arrives late"
	faultServiceCrash   faultKind = "service dies"
	faultCallerGone     faultKind = "caller leaves"
	faultStep           faultKind = "itself"
)

type fault struct {
	at   step
	kind faultKind
}

func (f fault) String() string { return string(f.kind) + " when " + string(f.at) }

// allFaults returns the faults of each process at each step that it takes part
// in.
func allFaults() []fault {
	faults := []fault{
		{stepDialFailed, faultStep}, {stepRefused, faultStep},
		{stepSend, faultServiceCrash}, {stepRan, faultServiceCrash},
		{stepClaimed, faultEntryPause}, {stepSend, faultEntryPause}, {stepAnswered, faultEntryPause},
		{stepClaimed, faultCallerGone}, {stepSend, faultCallerGone}, {stepRan, faultCallerGone},
	}
	for _, at := range []step{stepClaimOut, stepClaimed, stepSend, stepRan, stepAnswered, stepRecordOut, stepRecorded} {
		faults = append(faults, fault{at, faultEntryCrash}, fault{at, faultLeaderIsolated})
	}
	for _, at := range []step{stepClaimOut, stepRecordOut} {
		faults = append(faults, fault{at, faultMessageLost}, fault{at, faultAnswerLost}, fault{at, faultLateCopy})
	}
	return faults
}

// trial is a run with one key. Faults are injected into its first request, which
// is then resent through another entry host and through the next incarnation of
// the first.
type trial struct {
	faults  []fault
	cluster *fakeCluster
	service *fakeService
	entry   *fakeEntry

	mu         sync.Mutex
	injected   map[fault]bool
	cancelCall context.CancelFunc
	results    []callResult

	// do and send replace the real functions when a bug is seeded.
	do   func(*Client, context.Context, Call, SendFunc) (Result, error)
	send func(SendFunc) SendFunc
}

// callResult is the result that a caller got.
type callResult struct {
	request     ident.Request
	done        Result
	err         error
	ranAtReturn bool
}

const callDeadline = 20 * time.Second

func newTrial(faults ...fault) *trial {
	return &trial{
		faults: faults, cluster: newFakeCluster(1), service: newFakeService(), injected: make(map[fault]bool),
		do:   (*Client).Do,
		send: func(s SendFunc) SendFunc { return s },
	}
}

// due returns the faults to inject at a step, each only once.
func (tr *trial) due(at step) []faultKind {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	var kinds []faultKind
	for _, f := range tr.faults {
		if f.at == at && !tr.injected[f] {
			tr.injected[f] = true
			kinds = append(kinds, f.kind)
		}
	}
	return kinds
}

// inject carries out the process faults of a step and returns all faults due at
// it.
func (tr *trial) inject(at step) []faultKind {
	kinds := tr.due(at)
	for _, kind := range kinds {
		switch kind {
		case faultEntryCrash:
			tr.entry.kill()
		case faultEntryPause:
			time.Sleep(callDeadline + holdMargin + time.Second)
		case faultLeaderIsolated:
			tr.cluster.depose()
		case faultCallerGone:
			tr.mu.Lock()
			tr.cancelCall()
			tr.mu.Unlock()
		}
	}
	return kinds
}

func (tr *trial) delivery(method port.Method) delivery {
	at := stepRecordOut
	if method == MethodClaim {
		at = stepClaimOut
	}
	for _, kind := range tr.inject(at) {
		switch kind {
		case faultMessageLost:
			return lostBefore
		case faultAnswerLost:
			return lostAfter
		case faultLateCopy:
			return lateCopy
		}
	}
	return delivered
}

func (tr *trial) call(request uint64) Call {
	key := once.Key{Team: "florists", Service: "clock-app", Text: "k"}
	return Call{Key: key, Digest: once.DigestCall("POST", "/bid", nil), Request: requestOf(request)}
}

// sendFirst returns the send function of the first entry, with each step at
// which a fault can be injected.
func (tr *trial) sendFirst(call Call) SendFunc {
	return func(ctx context.Context) (once.Answer, error) {
		tr.inject(stepClaimed)
		lost := &outcome.Unknown{Reason: outcome.ReasonConnectionLost}
		if len(tr.due(stepDialFailed)) > 0 {
			return once.Answer{}, &outcome.NotRun{Reason: outcome.ReasonDial}
		}
		if len(tr.due(stepRefused)) > 0 {
			return once.Answer{}, &outcome.NotRun{Reason: outcome.ReasonRefused}
		}
		kinds := tr.inject(stepSend)
		if tr.entry.net.stopped.Err() != nil || hasFault(kinds, faultServiceCrash) {
			return once.Answer{}, lost
		}
		answer := tr.service.run(call.Key.Text, call.Request)
		kinds = tr.inject(stepRan)
		if hasFault(kinds, faultServiceCrash) || ctx.Err() != nil {
			return once.Answer{}, lost
		}
		tr.inject(stepAnswered)
		return answer, nil
	}
}

func hasFault(kinds []faultKind, want faultKind) bool {
	for _, s := range kinds {
		if s == want {
			return true
		}
	}
	return false
}

func (tr *trial) runCall(entry *fakeEntry, call Call, send SendFunc) {
	ctx, cancel := context.WithTimeout(context.Background(), callDeadline)
	defer cancel()
	tr.mu.Lock()
	if entry == tr.entry {
		tr.cancelCall = cancel
	}
	tr.mu.Unlock()
	done, err := tr.do(entry.Client, ctx, call, tr.send(send))
	if entry.net.stopped.Err() != nil || errors.Is(ctx.Err(), context.Canceled) {
		return // no caller got the result
	}
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.results = append(tr.results, callResult{request: call.Request, done: done, err: err, ranAtReturn: tr.service.ran(call.Request)})
}

// run runs the trial in virtual time and returns the problems found.
func (tr *trial) run() (problems []string) {
	tr.entry = newFakeEntry(tr.cluster, "e1", 1, 1)
	tr.entry.net.delivery = tr.delivery
	second := newFakeEntry(tr.cluster, "e2", 1, 1)
	plain := func(call Call) SendFunc {
		return func(context.Context) (once.Answer, error) {
			return tr.service.run(call.Key.Text, call.Request), nil
		}
	}
	first := make(chan struct{})
	go func() {
		defer close(first)
		tr.runCall(tr.entry, tr.call(1), tr.sendFirst(tr.call(1)))
	}()
	time.Sleep(time.Second)
	for request := uint64(2); request <= 3; request++ {
		tr.runCall(second, tr.call(request), plain(tr.call(request)))
	}
	<-first
	tr.inject(stepRecorded)
	time.Sleep(time.Minute)
	tr.cluster.heal()
	tr.entry.kill()
	restarted := newFakeEntry(tr.cluster, "e1", 2, 1)
	tr.runCall(restarted, tr.call(4), plain(tr.call(4)))
	tr.runCall(second, tr.call(5), plain(tr.call(5)))
	second.kill()
	restarted.kill()
	time.Sleep(resolveTimeout)
	return tr.check()
}

// check compares the results of the callers with the runs of the service.
func (tr *trial) check() (problems []string) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if n := tr.service.byKey["k"]; n > 1 {
		problems = append(problems, fmt.Sprintf("doubled run: the key ran %d times", n))
	}
	body := ""
	for _, a := range tr.results {
		var notRun *outcome.NotRun
		if errors.As(a.err, &notRun) && (a.ranAtReturn || tr.service.ran(a.request)) {
			problems = append(problems, fmt.Sprintf("false not-run: request %s ran", a.request))
		}
		if a.err != nil {
			continue
		}
		got := string(a.done.Answer.Body)
		if body != "" && got != body {
			problems = append(problems, fmt.Sprintf("two answers: %q and %q", body, got))
		}
		body = got
		if !strings.HasPrefix(got, "k run 1 for ") || !a.done.Replayed && !strings.HasSuffix(got, a.request.String()) {
			problems = append(problems, fmt.Sprintf("crossed answer: %s got %q", a.request, got))
		}
	}
	if len(tr.results) < 3 {
		problems = append(problems, "a resend got no answer")
	}
	return problems
}

// A bid must run at most once and must never be falsely reported as not run,
// whichever process crashes or is isolated between claim and outcome. One or two
// faults are injected into the first request, at any step; the same key is then
// resent through another entry host during the fault, and through both after it.
// The claim is committed before the send and only its owner can release it, so
// no resend can be granted the key while the first may have been sent.
func TestFaultsAtEveryStep(t *testing.T) {
	faults := allFaults()
	trials := 0
	outcomes := make(map[string]int)
	runTrial := func(t *testing.T, planned ...fault) {
		trials++
		synctest.Test(t, func(t *testing.T) {
			tr := newTrial(planned...)
			for _, problem := range tr.run() {
				t.Errorf("%v: %s", planned, problem)
			}
			for _, f := range planned {
				if len(planned) == 1 && !tr.injected[f] {
					t.Errorf("%v was never injected: the trial tests nothing", f)
				}
			}
			for _, a := range tr.results {
				outcomes[outcome.KindOf(a.err).String()]++
			}
		})
	}
	for i, f := range faults {
		runTrial(t, f)
		for _, g := range faults[i+1:] {
			runTrial(t, f, g)
		}
	}
	t.Logf("%d faults, %d trials, outcomes of the callers: %v", len(faults), trials, outcomes)
	for _, kind := range []outcome.Kind{outcome.KindDone, outcome.KindNotRun, outcome.KindUnknown} {
		if outcomes[kind.String()] == 0 {
			t.Errorf("no call ended with outcome %v: the trials don't cover it", kind)
		}
	}
}

// Each seeded bug is one that a code change could introduce. The check of the
// trials must detect it, or a pass of TestFaultsAtEveryStep would prove nothing.
func TestSeededBugsAreDetected(t *testing.T) {
	sendFirst := func(c *Client, ctx context.Context, call Call, send SendFunc) (Result, error) {
		answer, err := send(ctx)
		if err != nil {
			return Result{}, err
		}
		return c.Do(ctx, call, func(context.Context) (once.Answer, error) { return answer, nil })
	}
	ledgerDownIsNotRun := func(c *Client, ctx context.Context, call Call, send SendFunc) (Result, error) {
		done, err := c.Do(ctx, call, send)
		if outcome.KindOf(err) == outcome.KindUnknown {
			err = &outcome.NotRun{Reason: outcome.ReasonTimeout}
		}
		return done, err
	}
	releaseAfterSend := func(send SendFunc) SendFunc {
		return func(ctx context.Context) (once.Answer, error) {
			answer, err := send(ctx)
			if outcome.KindOf(err) == outcome.KindUnknown {
				err = &outcome.NotRun{Reason: outcome.ReasonConnectionLost}
			}
			return answer, err
		}
	}
	otherBody := func(c *Client, ctx context.Context, call Call, send SendFunc) (Result, error) {
		done, err := c.Do(ctx, call, send)
		if done.Replayed {
			done.Answer.Body = []byte("k run 1 for somebody")
		}
		return done, err
	}
	crossed := func(send SendFunc) SendFunc {
		return func(ctx context.Context) (once.Answer, error) {
			answer, err := send(ctx)
			answer.Body = []byte("k run 1 for " + requestOf(99).String())
			return answer, err
		}
	}
	cases := []struct {
		name   string
		faults []fault
		seed   func(*trial)
		want   string
	}{
		{"send before claim", nil, func(tr *trial) { tr.do = sendFirst }, "doubled run"},
		{"release after send", []fault{{stepRan, faultServiceCrash}}, func(tr *trial) { tr.send = releaseAfterSend }, "doubled run"},
		{"false not-run", []fault{{stepRan, faultServiceCrash}}, func(tr *trial) { tr.do = ledgerDownIsNotRun }, "false not-run"},
		{"duplicate answered differently", nil, func(tr *trial) { tr.do = otherBody }, "two answers"},
		{"crossed answer", nil, func(tr *trial) { tr.send = crossed }, "crossed answer"},
		{"no bug", []fault{{stepRan, faultServiceCrash}}, func(*trial) {}, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tr := newTrial(c.faults...)
				c.seed(tr)
				problems := strings.Join(tr.run(), "; ")
				if !strings.Contains(problems, c.want) || (c.want == "") != (problems == "") {
					t.Errorf("problems %q, want %q", problems, c.want)
				}
			})
		})
	}
}
