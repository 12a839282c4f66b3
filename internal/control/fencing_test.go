package control_test

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/lovagereach/lovagereach/internal/control"
	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/lease"
)

// fencingInput is the opening of an epoch or an order with a token.
type fencingInput struct {
	open  bool
	token lease.Token
}

// fencingOutput is the token of the epoch or whether the order was accepted.
type fencingOutput struct {
	uncertain bool
	token     lease.Token
	accepted  bool
}

// fencingState is the state of the specification: the number of opened epochs and
// the highest token that the upstream has seen.
type fencingState struct {
	opened, highestSeen lease.Token
}

var fencingModel = porcupine.Model{
	Init: func() any { return fencingState{} },
	Step: func(state, input, output any) (bool, any) {
		s, in, out := state.(fencingState), input.(fencingInput), output.(fencingOutput)
		if in.open {
			s.opened++
			return out.uncertain || out.token == s.opened, s
		}
		accepted := in.token >= s.highestSeen
		s.highestSeen = max(s.highestSeen, in.token)
		return out.accepted == accepted && in.token <= s.opened, s
	},
	DescribeOperation: func(input, output any) string { return fmt.Sprint(input, output) },
}

// fencedUpstream simulates an upstream that receives orders over a network with
// delays.
type fencedUpstream struct {
	mu    sync.Mutex
	fence lease.Fence
	// ignoresTokens is the seeded fault: the upstream accepts every order.
	ignoresTokens bool
}

func (u *fencedUpstream) order(token lease.Token, requestDelay, responseDelay time.Duration) bool {
	time.Sleep(requestDelay)
	u.mu.Lock()
	accepted := u.fence.Admit(token) || u.ignoresTokens
	u.mu.Unlock()
	time.Sleep(responseDelay)
	return accepted
}

type fencingHistory struct {
	mu    sync.Mutex
	start time.Time
	ops   []porcupine.Operation
}

func (h *fencingHistory) record(client int, in fencingInput, call time.Time, out fencingOutput) {
	h.mu.Lock()
	defer h.mu.Unlock()
	returned := int64(time.Since(h.start))
	if out.uncertain {
		returned = math.MaxInt64
	}
	h.ops = append(h.ops, porcupine.Operation{ClientId: client, Input: in, Call: int64(call.Sub(h.start)), Output: out, Return: returned})
}

// leadAndOrder opens epochs on one host and sends orders with the token of each,
// also after other hosts have opened newer ones.
func leadAndOrder(host int, group *fakeGroup, upstream *fencedUpstream, history *fencingHistory, random *rand.Rand) {
	delay := func() time.Duration { return time.Duration(random.IntN(200)) * time.Millisecond }
	for range 8 {
		time.Sleep(delay())
		group.elect(host)
		call := time.Now()
		answer, err := group.hosts[host].Propose(context.Background(), control.EpochCommand(hostNames[host]))
		if errors.Is(err, port.ErrUncertain) {
			history.record(host, fencingInput{open: true}, call, fencingOutput{uncertain: true})
			continue
		}
		if err != nil {
			continue
		}
		token := control.EpochToken(answer)
		history.record(host, fencingInput{open: true}, call, fencingOutput{token: token})
		for range 3 {
			call := time.Now()
			accepted := upstream.order(token, delay(), delay())
			history.record(host, fencingInput{token: token}, call, fencingOutput{accepted: accepted})
		}
	}
}

func runFencing(t *testing.T, seed uint64, ignoresTokens bool) porcupine.CheckResult {
	history := &fencingHistory{}
	synctest.Test(t, func(t *testing.T) {
		history.start = time.Now()
		group, upstream := newFakeGroup(), &fencedUpstream{ignoresTokens: ignoresTokens}
		random := rand.New(rand.NewPCG(seed, 3))
		group.loseAnswers = 2
		var wg sync.WaitGroup
		for host := range hostNames {
			own := rand.New(rand.NewPCG(seed, random.Uint64()))
			wg.Go(func() { leadAndOrder(host, group, upstream, history, own) })
		}
		wg.Wait()
	})
	return porcupine.CheckOperationsTimeout(fencingModel, history.ops, time.Minute)
}

// Three hosts lead alternately and continue to send orders of old epochs while
// answers are lost and orders are delayed. Epoch tokens must increase, and the
// upstream must never accept an order with a token below one it has seen. The
// check must reject an upstream that ignores tokens.
func TestFencingHistoryIsLinearizable(t *testing.T) {
	for _, ignoresTokens := range []bool{false, true} {
		t.Run(fmt.Sprint("upstream ignores tokens ", ignoresTokens), func(t *testing.T) {
			illegal := 0
			for seed := range uint64(*historySeeds) {
				result := runFencing(t, seed, ignoresTokens)
				if result == porcupine.Illegal {
					illegal++
				}
				if !ignoresTokens && result != porcupine.Ok {
					t.Errorf("seed %d: history is %s", seed, result)
				}
			}
			t.Logf("illegal histories in %d of %d runs", illegal, *historySeeds)
			if ignoresTokens && illegal == 0 {
				t.Error("no run detected an upstream that ignores tokens")
			}
		})
	}
}
