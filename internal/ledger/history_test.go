package ledger

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/once"
	"github.com/lovagereach/lovagereach/outcome"
)

// ledgerOp is one operation on one key.
type ledgerOp struct {
	key    string
	kind   port.Method
	claim  once.ClaimID
	digest byte
	body   string
}

// ledgerOut is the result of a ledgerOp. An uncertain operation may or may not
// have taken effect.
type ledgerOut struct {
	uncertain bool
	status    once.Status
	body      string
}

// keyState is the state of one key in the sequential specification.
type keyState struct {
	claim    once.ClaimID
	digest   byte
	seen     bool
	inFlight bool
	released bool
	body     string
	// abandoned lists the tags of the abandoned claims.
	abandoned string
}

func (s keyState) isAbandoned(claim once.ClaimID) bool {
	return strings.Contains(s.abandoned, tag(claim))
}

func (s keyState) abandon(claim once.ClaimID) keyState {
	if !s.isAbandoned(claim) {
		s.abandoned += tag(claim)
	}
	return s
}

func tag(claim once.ClaimID) string { return fmt.Sprintf("%x;", claim) }

// applySpec applies one operation to the state of a key as the ledger must.
func applySpec(s keyState, op ledgerOp) (keyState, ledgerOut) {
	switch op.kind {
	case MethodClaim:
		return applyClaimSpec(s, op)
	case MethodRelease:
		switch {
		case !s.seen:
			s = keyState{claim: op.claim, digest: op.digest, seen: true, released: true}
		case s.claim != op.claim, s.released:
		case s.inFlight:
			s.inFlight, s.released = false, true
		default:
			return s, ledgerOut{status: once.StatusAnswered, body: s.body}
		}
		return s.abandon(op.claim), ledgerOut{status: once.StatusReleased}
	default:
		switch {
		case s.claim != op.claim || !s.seen:
			return s, ledgerOut{status: once.StatusMissing}
		case s.released:
			return s, ledgerOut{status: once.StatusReleased}
		case s.inFlight:
			s.inFlight, s.body = false, op.body
		}
	}
	return s, ledgerOut{status: once.StatusAnswered, body: s.body}
}

func applyClaimSpec(s keyState, op ledgerOp) (keyState, ledgerOut) {
	switch {
	case s.seen && s.digest != op.digest:
		return s, ledgerOut{status: once.StatusConflict}
	case s.isAbandoned(op.claim):
		return s, ledgerOut{status: once.StatusReleased}
	case !s.seen, s.released:
		won := keyState{claim: op.claim, digest: op.digest, seen: true, inFlight: true, abandoned: s.abandoned}
		return won, ledgerOut{status: once.StatusGranted}
	case s.inFlight && s.claim == op.claim:
		return s, ledgerOut{status: once.StatusGranted}
	case s.inFlight:
		return s, ledgerOut{status: once.StatusInFlight}
	}
	return s, ledgerOut{status: once.StatusAnswered, body: s.body}
}

var ledgerModel = porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := make(map[string][]porcupine.Operation)
		for _, op := range history {
			key := op.Input.(ledgerOp).key
			byKey[key] = append(byKey[key], op)
		}
		var parts [][]porcupine.Operation
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() []any { return []any{keyState{}} },
	Step: func(state, input, output any) []any {
		next, want := applySpec(state.(keyState), input.(ledgerOp))
		switch got := output.(ledgerOut); {
		case got.uncertain:
			return []any{state, next}
		case got == want:
			return []any{next}
		}
		return nil
	},
}

// history runs clients against the servers and records their operations.
type history struct {
	cluster *fakeCluster
	start   time.Time
	mu      sync.Mutex
	ops     []porcupine.Operation
}

// do runs one operation. A delayed copy of a claim that was not granted may be
// granted later. Like Client.Do, do then abandons the claim and records the copy
// as an uncertain operation that returns with the release.
func (h *history) do(client int, entry *fakeEntry, op ledgerOp) ledgerOut {
	called := time.Since(h.start)
	out, doubtful := h.call(client, entry, op)
	if op.kind == MethodClaim && doubtful && out.status != once.StatusGranted {
		release := op
		release.kind = MethodRelease
		returned := time.Duration(math.MaxInt64)
		if out, _ := h.call(client, entry, release); !out.uncertain {
			returned = time.Since(h.start)
		}
		h.record(client, op, ledgerOut{uncertain: true}, called, returned)
	}
	return out
}

func (h *history) record(client int, op ledgerOp, out ledgerOut, called, returned time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{ClientId: client, Input: op, Output: out, Call: int64(called), Return: int64(returned)})
}

func (h *history) call(client int, entry *fakeEntry, op ledgerOp) (out ledgerOut, doubtful bool) {
	key := once.Key{Team: "t", Service: "s", Text: op.key}
	digest := once.Digest{op.digest}
	owner := entry.options.Self()
	req := Request{Group: GroupOf(0)}
	switch op.kind {
	case MethodClaim:
		req.Claim = &once.Claim{Key: key, Digest: digest, Owner: owner, ID: op.claim}
	case MethodRelease:
		req.Release = &once.Release{Key: key, Digest: digest, Owner: owner, ID: op.claim, Reason: outcome.ReasonDial}
	default:
		req.Record = &once.Record{Key: key, ID: op.claim, Answer: once.Answer{Kind: outcome.KindDone, Body: []byte(op.body)}}
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	called := time.Since(h.start)
	reply, doubtful, err := entry.call(ctx, op.kind, req)
	out = ledgerOut{uncertain: true}
	returned := time.Duration(math.MaxInt64)
	if err == nil {
		out = ledgerOut{status: reply.Result.Status}
		if reply.Result.Answer != nil {
			out.body = string(reply.Result.Answer.Body)
		}
		returned = time.Since(h.start)
	}
	h.record(client, op, out, called, returned)
	return out, doubtful
}

const (
	historyClients = 6
	historyKeys    = 5
	historyRounds  = 12
)

// run runs clients that claim, record and release a few keys while messages are
// lost, delayed and repeated and the leader changes.
func (h *history) run(seed uint64) {
	h.start = time.Now()
	var clients sync.WaitGroup
	for client := range historyClients {
		random := rand.New(rand.NewPCG(seed, uint64(client)))
		entry := newFakeEntry(h.cluster, "e1", 1, 1)
		entry.net.delivery = func(port.Method) delivery { return delivery(max(0, random.IntN(9)-5)) }
		clients.Go(func() {
			defer entry.kill()
			for round := range historyRounds {
				time.Sleep(time.Duration(random.IntN(200)) * time.Millisecond)
				op := ledgerOp{key: fmt.Sprint(random.IntN(historyKeys)), kind: MethodClaim, digest: byte(random.IntN(8) / 7)}
				op.claim = once.ClaimID{byte(client + 1), byte(round)}
				if h.do(client, entry, op).status != once.StatusGranted {
					continue
				}
				time.Sleep(time.Duration(random.IntN(200)) * time.Millisecond)
				op.kind, op.body = MethodRecord, fmt.Sprint(client, "/", round)
				if random.IntN(3) == 0 {
					op.kind = MethodRelease
				}
				h.do(client, entry, op)
			}
		})
	}
	random := rand.New(rand.NewPCG(seed, 1000))
	for range 10 {
		time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
		h.cluster.depose()
	}
	clients.Wait()
	time.Sleep(2 * copyDelay)
}

func linearizable(t *testing.T, seed uint64, splitBrain bool) (ok bool, ops int) {
	synctest.Test(t, func(t *testing.T) {
		h := &history{cluster: newFakeCluster(1)}
		h.cluster.splitBrain = splitBrain
		h.run(seed)
		ok, ops = porcupine.CheckOperations(ledgerModel.ToModel(), h.ops), len(h.ops)
	})
	return ok, ops
}

// Callers on several entry hosts must see a linearizable ledger while messages
// are lost and repeated and leaders are deposed. The second run of each seed lets
// a deposed leader continue to commit to its own copy; the check must reject a
// history in which this is visible.
func TestHistoriesAreLinearizable(t *testing.T) {
	total, caught := 0, 0
	for seed := range uint64(20) {
		ok, ops := linearizable(t, seed, false)
		total += ops
		if !ok {
			t.Errorf("seed %d: history is not linearizable", seed)
		}
		if ok, _ := linearizable(t, seed, true); !ok {
			caught++
		}
	}
	t.Logf("%d operations; %d of 20 histories of a split ledger rejected", total, caught)
	if caught < 10 {
		t.Errorf("only %d of 20 histories of a split ledger were rejected", caught)
	}
}
