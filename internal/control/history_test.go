package control_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/lovagereach/lovagereach/config"
	"github.com/lovagereach/lovagereach/internal/port"
)

// historySeeds can be raised for a longer run: go test ./internal/control
// -run History -control.seeds 100.
var historySeeds = flag.Int("control.seeds", 6, "seeds of the history check")

// historyInput is a request of an operator: an apply, or a get if id is empty.
type historyInput struct {
	id   string
	base config.Revision
}

// historyOutput is the answer to a request. An uncertain request may or may not
// have taken effect.
type historyOutput struct {
	uncertain bool
	verdict   config.Verdict
	revision  config.Revision
}

// historyState is the state of the sequential specification: the latest revision
// and the first answer to each request ID.
type historyState struct {
	revision config.Revision
	answers  string
}

func (s historyState) find(id string) (historyOutput, bool) {
	_, rest, found := strings.Cut(s.answers, "|"+id+"=")
	if !found {
		return historyOutput{}, false
	}
	var answer historyOutput
	fmt.Sscanf(rest, "%s %d", &answer.verdict, &answer.revision)
	return answer, true
}

func (s historyState) answer(id string, out historyOutput) historyState {
	s.answers += fmt.Sprintf("|%s=%s %d", id, out.verdict, out.revision)
	return s
}

// applySpec is compare-and-set on the revision with idempotent request IDs.
func applySpec(s historyState, in historyInput) (historyState, historyOutput) {
	if in.id == "" {
		return s, historyOutput{revision: s.revision}
	}
	if first, found := s.find(in.id); found {
		return s, first
	}
	if in.base < s.revision {
		out := historyOutput{verdict: config.VerdictConflict, revision: s.revision}
		return s.answer(in.id, out), out
	}
	s.revision++
	out := historyOutput{verdict: config.VerdictApplied, revision: s.revision}
	return s.answer(in.id, out), out
}

var historyModel = porcupine.Model{
	Init: func() any { return historyState{} },
	Step: func(state, input, output any) (bool, any) {
		next, want := applySpec(state.(historyState), input.(historyInput))
		got := output.(historyOutput)
		return got.uncertain || got == want, next
	},
	DescribeOperation: func(input, output any) string { return fmt.Sprint(input, output) },
}

// recorder records the history of several operators.
type recorder struct {
	mu    sync.Mutex
	ops   []porcupine.Operation
	start time.Time
}

func (r *recorder) record(client int, in historyInput, call time.Time, out historyOutput) {
	r.mu.Lock()
	defer r.mu.Unlock()
	returned := int64(math.MaxInt64)
	if !out.uncertain {
		returned = int64(time.Since(r.start))
	}
	r.ops = append(r.ops, porcupine.Operation{ClientId: client, Input: in, Call: int64(call.Sub(r.start)), Output: out, Return: returned})
}

// runOperator applies, resends and reads at random hosts until the given time.
func (d *deployment) runOperator(client int, random *rand.Rand, history *recorder, until time.Time) {
	known := config.Revision(0)
	for n := 0; time.Now().Before(until); n++ {
		time.Sleep(time.Duration(random.IntN(400)) * time.Millisecond)
		host := random.IntN(len(d.servers))
		if random.IntN(3) == 0 {
			known = max(known, d.recordGet(client, host, history))
			continue
		}
		in := historyInput{id: fmt.Sprintf("c%d-%d", client, n), base: known}
		for range 1 + random.IntN(3) {
			known = max(known, d.recordApply(client, host, in, history))
			host = random.IntN(len(d.servers))
		}
	}
}

func (d *deployment) recordGet(client, host int, history *recorder) config.Revision {
	call := time.Now()
	ctx, cancel := context.WithTimeout(d.ctx, time.Second)
	defer cancel()
	snapshot, err := d.servers[host].Get(ctx)
	if err != nil {
		return 0
	}
	history.record(client, historyInput{}, call, historyOutput{revision: snapshot.Revision()})
	return snapshot.Revision()
}

func (d *deployment) recordApply(client, host int, in historyInput, history *recorder) config.Revision {
	call := time.Now()
	answer, err := d.apply(host, in.id, in.base, document(1, client*1000+int(in.base)))
	if errors.Is(err, port.ErrUncertain) {
		history.record(client, in, call, historyOutput{uncertain: true})
		return 0
	}
	if err != nil {
		// Any other error occurs before the proposal, so nothing was changed.
		return 0
	}
	history.record(client, in, call, historyOutput{verdict: answer.Result.Verdict, revision: answer.Result.Revision})
	return answer.Result.Revision
}

// injectFaults loses answers and replaces or isolates leaders at random intervals.
func (d *deployment) injectFaults(random *rand.Rand, until time.Time) {
	for time.Now().Before(until) {
		time.Sleep(time.Duration(500+random.IntN(1500)) * time.Millisecond)
		switch random.IntN(3) {
		case 0:
			d.group.mu.Lock()
			d.group.loseAnswers++
			d.group.mu.Unlock()
		case 1:
			d.group.elect(random.IntN(len(d.servers)))
		default:
			d.group.mu.Lock()
			old := d.group.leader
			d.group.mu.Unlock()
			d.group.setIsolated(old, true)
			d.group.elect((old + 1) % len(d.servers))
			time.Sleep(time.Second)
			d.group.setIsolated(old, false)
		}
	}
}

func runHistory(t *testing.T, seed uint64, answersBeforeQuorum bool) porcupine.CheckResult {
	var ops []porcupine.Operation
	synctest.Test(t, func(t *testing.T) {
		d := deploy(t, 1)
		defer d.close()
		d.group.answersBeforeQuorum = answersBeforeQuorum
		history := &recorder{start: time.Now()}
		until := time.Now().Add(15 * time.Second)
		var wg sync.WaitGroup
		for client := range 3 {
			wg.Go(func() { d.runOperator(client, rand.New(rand.NewPCG(seed, uint64(client))), history, until) })
		}
		wg.Go(func() { d.injectFaults(rand.New(rand.NewPCG(seed, 99)), until) })
		wg.Wait()
		ops = history.ops
	})
	if len(ops) < 20 {
		t.Errorf("seed %d: only %d operations, too few for the run to be meaningful", seed, len(ops))
	}
	uncertain := 0
	for _, op := range ops {
		if op.Output.(historyOutput).uncertain {
			uncertain++
		}
	}
	t.Logf("seed %d: %d operations, %d uncertain", seed, len(ops), uncertain)
	return porcupine.CheckOperationsTimeout(historyModel, ops, time.Minute)
}

// Three operators apply changes based on the last revision they saw, resend their
// requests to other hosts and read, while answers are lost and leaders are
// isolated and replaced. The history must be linearizable for a register with
// compare-and-set and idempotent requests. The check must reject a leader that
// answers before a quorum has the change.
func TestHistoryIsLinearizable(t *testing.T) {
	cases := []struct {
		name                string
		answersBeforeQuorum bool
	}{
		{"sound", false},
		{"seeded: answer before quorum", true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			found := 0
			for seed := range uint64(*historySeeds) {
				result := runHistory(t, seed, c.answersBeforeQuorum)
				if result == porcupine.Illegal {
					found++
				}
				if !c.answersBeforeQuorum && result != porcupine.Ok {
					t.Errorf("seed %d: history is %s", seed, result)
				}
			}
			t.Logf("illegal histories in %d of %d runs", found, *historySeeds)
			if c.answersBeforeQuorum && found == 0 {
				t.Error("no run detected answers before quorum")
			}
		})
	}
}
