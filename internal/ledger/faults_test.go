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

// A point is a step between claim and outcome at which a fault can strike.
type point string

const (
	pointClaimOut   point = "claim leaves"
	pointClaimed    point = "claim committed"
	pointSend       point = "before the first byte"
	pointRan        point = "service has run"
	pointAnswered   point = "answer arrived"
	pointRecordOut  point = "record or release leaves"
	pointRecorded   point = "record or release committed"
	pointDialFailed point = "dial fails"
	pointRefused    point = "service refuses"
)

// A strike is what happens there, to one process or connection.
type strike string

const (
	strikeEntryDies   strike = "entry dies"
	strikeEntryPauses strike = "entry pauses past its hold"
	strikeLeaderCut   strike = "leader cut off or dead"
	strikeMessageLost strike = "message lost"
	strikeAnswerLost  strike = "answer lost"
	strikeLateCopy    strike = "answer lost, copy arrives late"
	strikeServiceDies strike = "service dies"
	strikeCallerGone  strike = "caller leaves"
	strikeItself      strike = "itself"
)

type fault struct {
	at   point
	what strike
}

func (f fault) String() string { return string(f.what) + " when " + string(f.at) }

// allFaults crosses every step with every process that takes part in it.
func allFaults() []fault {
	faults := []fault{
		{pointDialFailed, strikeItself}, {pointRefused, strikeItself},
		{pointSend, strikeServiceDies}, {pointRan, strikeServiceDies},
		{pointClaimed, strikeEntryPauses}, {pointSend, strikeEntryPauses}, {pointAnswered, strikeEntryPauses},
		{pointClaimed, strikeCallerGone}, {pointSend, strikeCallerGone}, {pointRan, strikeCallerGone},
	}
	for _, at := range []point{pointClaimOut, pointClaimed, pointSend, pointRan, pointAnswered, pointRecordOut, pointRecorded} {
		faults = append(faults, fault{at, strikeEntryDies}, fault{at, strikeLeaderCut})
	}
	for _, at := range []point{pointClaimOut, pointRecordOut} {
		faults = append(faults, fault{at, strikeMessageLost}, fault{at, strikeAnswerLost}, fault{at, strikeLateCopy})
	}
	return faults
}

// trial is one key whose first request meets faults, and which is then sent
// again through another entry host and through the first one's next incarnation.
type trial struct {
	faults  []fault
	cluster *fakeCluster
	service *fakeService
	entry   *fakeEntry

	mu      sync.Mutex
	struck  map[fault]bool
	leave   context.CancelFunc
	answers []said

	// do and send stand in for the real ones when a bug is seeded.
	do   func(*Client, context.Context, Call, SendFunc) (Result, error)
	send func(SendFunc) SendFunc
}

// said is what a caller was told.
type said struct {
	request ident.Request
	done    Result
	err     error
	ranThen bool
}

const callDeadline = 20 * time.Second

func newTrial(faults ...fault) *trial {
	return &trial{
		faults: faults, cluster: newFakeCluster(1), service: newFakeService(), struck: make(map[fault]bool),
		do:   (*Client).Do,
		send: func(s SendFunc) SendFunc { return s },
	}
}

// hits reports the faults that strike at a point, each once.
func (tr *trial) hits(at point) []strike {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	var strikes []strike
	for _, f := range tr.faults {
		if f.at == at && !tr.struck[f] {
			tr.struck[f] = true
			strikes = append(strikes, f.what)
		}
	}
	return strikes
}

// pass carries out the faults of a point that strike a process.
func (tr *trial) pass(at point) []strike {
	strikes := tr.hits(at)
	for _, what := range strikes {
		switch what {
		case strikeEntryDies:
			tr.entry.kill()
		case strikeEntryPauses:
			time.Sleep(callDeadline + holdMargin + time.Second)
		case strikeLeaderCut:
			tr.cluster.depose()
		case strikeCallerGone:
			tr.mu.Lock()
			tr.leave()
			tr.mu.Unlock()
		}
	}
	return strikes
}

func (tr *trial) fate(method port.Method) fate {
	at := pointRecordOut
	if method == MethodClaim {
		at = pointClaimOut
	}
	for _, what := range tr.pass(at) {
		switch what {
		case strikeMessageLost:
			return lostBefore
		case strikeAnswerLost:
			return lostAfter
		case strikeLateCopy:
			return lateCopy
		}
	}
	return delivered
}

func (tr *trial) call(request uint64) Call {
	key := once.Key{Team: "florists", Service: "clock-app", Text: "k"}
	return Call{Key: key, Digest: once.DigestCall("POST", "/bid", nil), Request: requestOf(request)}
}

// sendFirst is the first entry's send, with every step that can be struck.
func (tr *trial) sendFirst(call Call) SendFunc {
	return func(ctx context.Context) (once.Answer, error) {
		tr.pass(pointClaimed)
		lost := &outcome.Unknown{Reason: outcome.ReasonConnectionLost}
		if len(tr.hits(pointDialFailed)) > 0 {
			return once.Answer{}, &outcome.NotRun{Reason: outcome.ReasonDial}
		}
		if len(tr.hits(pointRefused)) > 0 {
			return once.Answer{}, &outcome.NotRun{Reason: outcome.ReasonRefused}
		}
		strikes := tr.pass(pointSend)
		if tr.entry.net.dead.Err() != nil || has(strikes, strikeServiceDies) {
			return once.Answer{}, lost
		}
		answer := tr.service.run(call.Key.Text, call.Request)
		strikes = tr.pass(pointRan)
		if has(strikes, strikeServiceDies) || ctx.Err() != nil {
			return once.Answer{}, lost
		}
		tr.pass(pointAnswered)
		return answer, nil
	}
}

func has(strikes []strike, want strike) bool {
	for _, s := range strikes {
		if s == want {
			return true
		}
	}
	return false
}

func (tr *trial) ask(entry *fakeEntry, call Call, send SendFunc) {
	ctx, cancel := context.WithTimeout(context.Background(), callDeadline)
	defer cancel()
	tr.mu.Lock()
	if entry == tr.entry {
		tr.leave = cancel
	}
	tr.mu.Unlock()
	done, err := tr.do(entry.Client, ctx, call, tr.send(send))
	if entry.net.dead.Err() != nil || errors.Is(ctx.Err(), context.Canceled) {
		return // nobody was told
	}
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.answers = append(tr.answers, said{request: call.Request, done: done, err: err, ranThen: tr.service.ran(call.Request)})
}

// run plays the trial in virtual time and returns what went wrong.
func (tr *trial) run() (problems []string) {
	tr.entry = newFakeEntry(tr.cluster, "e1", 1, 1)
	tr.entry.net.fate = tr.fate
	second := newFakeEntry(tr.cluster, "e2", 1, 1)
	plain := func(call Call) SendFunc {
		return func(context.Context) (once.Answer, error) {
			return tr.service.run(call.Key.Text, call.Request), nil
		}
	}
	first := make(chan struct{})
	go func() {
		defer close(first)
		tr.ask(tr.entry, tr.call(1), tr.sendFirst(tr.call(1)))
	}()
	time.Sleep(time.Second)
	for request := uint64(2); request <= 3; request++ {
		tr.ask(second, tr.call(request), plain(tr.call(request)))
	}
	<-first
	tr.pass(pointRecorded)
	time.Sleep(time.Minute)
	tr.cluster.heal()
	tr.entry.kill()
	restarted := newFakeEntry(tr.cluster, "e1", 2, 1)
	tr.ask(restarted, tr.call(4), plain(tr.call(4)))
	tr.ask(second, tr.call(5), plain(tr.call(5)))
	second.kill()
	restarted.kill()
	time.Sleep(settleFor)
	return tr.check()
}

// check compares what the callers were told with what the service did.
func (tr *trial) check() (problems []string) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if n := tr.service.byKey["k"]; n > 1 {
		problems = append(problems, fmt.Sprintf("doubled run: the key ran %d times", n))
	}
	body := ""
	for _, a := range tr.answers {
		var notRun *outcome.NotRun
		if errors.As(a.err, &notRun) && (a.ranThen || tr.service.ran(a.request)) {
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
			problems = append(problems, fmt.Sprintf("crossed answer: %s was given %q", a.request, got))
		}
	}
	if len(tr.answers) < 3 {
		problems = append(problems, "a resend was left without an answer")
	}
	return problems
}

// The callers of a bid must see at most one run and never a false refusal,
// whatever dies or is cut off between claim and outcome. The first request
// meets one fault, or two, at any step; the same key is then sent again through
// another entry host while the fault lasts, and through both after it. The
// claim is committed before the send and only its owner can release it, so no
// resend can win while the first may have been sent.
func TestFaultsAtEveryStep(t *testing.T) {
	faults := allFaults()
	trials := 0
	told := make(map[string]int)
	play := func(t *testing.T, strikes ...fault) {
		trials++
		synctest.Test(t, func(t *testing.T) {
			tr := newTrial(strikes...)
			for _, problem := range tr.run() {
				t.Errorf("%v: %s", strikes, problem)
			}
			for _, f := range strikes {
				if len(strikes) == 1 && !tr.struck[f] {
					t.Errorf("%v never struck: the trial shows nothing", f)
				}
			}
			for _, a := range tr.answers {
				told[outcome.KindOf(a.err).String()]++
			}
		})
	}
	for i, f := range faults {
		play(t, f)
		for _, g := range faults[i+1:] {
			play(t, f, g)
		}
	}
	t.Logf("%d faults, %d trials, callers told %v", len(faults), trials, told)
	for _, kind := range []outcome.Kind{outcome.KindDone, outcome.KindNotRun, outcome.KindUnknown} {
		if told[kind.String()] == 0 {
			t.Errorf("no trial ended %v: the table leaves a case out", kind)
		}
	}
}

// Each seeded bug is one that a careless change could bring. The trials must
// notice it, or their silence above means nothing.
func TestSeededBugsAreNoticed(t *testing.T) {
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
		{"release after send", []fault{{pointRan, strikeServiceDies}}, func(tr *trial) { tr.send = releaseAfterSend }, "doubled run"},
		{"false not-run", []fault{{pointRan, strikeServiceDies}}, func(tr *trial) { tr.do = ledgerDownIsNotRun }, "false not-run"},
		{"duplicate answered differently", nil, func(tr *trial) { tr.do = otherBody }, "two answers"},
		{"crossed answer", nil, func(tr *trial) { tr.send = crossed }, "crossed answer"},
		{"no bug", []fault{{pointRan, strikeServiceDies}}, func(*trial) {}, ""},
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
