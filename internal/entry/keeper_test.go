package entry

import (
	"bytes"
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lovagereach/lovagereach/cell"
	"github.com/lovagereach/lovagereach/config"
	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/internal/wire"
	"github.com/lovagereach/lovagereach/keep"
	"github.com/lovagereach/lovagereach/outcome"
	"github.com/lovagereach/lovagereach/prefix"
)

// fakeStore is a store host whose operations can be made to fail.
type fakeStore struct {
	full       bool
	raced      bool
	reserveErr error
	commitErr  error
	// wrongSlot makes a commit describe another slot than was written.
	wrongSlot   bool
	incarnation fakeIncarnation
	reserved    []port.ReserveRequest
	commits     []port.CommitRequest
}

func (f *fakeStore) Reserve(_ context.Context, req port.ReserveRequest) (port.Reservation, error) {
	f.reserved = append(f.reserved, req)
	if f.reserveErr != nil {
		return port.Reservation{}, f.reserveErr
	}
	state := port.SlotState{Block: req.Block, Phase: port.SlotReserved, Slot: "s" + string(req.Block[:4]), Generation: 7, Tier: req.Tier}
	return port.Reservation{Granted: !f.full && !f.raced, Full: f.full, State: state}, nil
}

func (f *fakeStore) Commit(_ context.Context, req port.CommitRequest) (port.SlotState, error) {
	f.commits = append(f.commits, req)
	if f.commitErr != nil {
		return port.SlotState{}, f.commitErr
	}
	state := port.SlotState{Block: req.Block, Phase: port.SlotCommitted, Slot: req.Slot, Generation: req.Generation,
		Bytes: req.Bytes, Checksum: req.Checksum, Tier: port.TierMemory}
	if f.wrongSlot {
		state.Checksum++
	}
	return state, nil
}

func (f *fakeStore) Stat(context.Context, []port.BlockID) ([]port.SlotState, error) { return nil, nil }
func (f *fakeStore) Free(context.Context, port.BlockID, uint64) error               { return nil }
func (f *fakeStore) Status(context.Context) (port.StoreStatus, error) {
	return port.StoreStatus{Incarnation: f.incarnation.get(), LinkBytesPerSecond: 1 << 30, Tiers: []port.TierStatus{{Tier: port.TierMemory, Capacity: 1 << 30}}}, nil
}
func (f *fakeStore) Blocks(context.Context) (port.BlockSnapshot, error) {
	return port.BlockSnapshot{Incarnation: f.incarnation.get()}, nil
}

// store announces a fake store host.
func (b *testEntry) store(t *testing.T, name string) *fakeStore {
	t.Helper()
	f := &fakeStore{}
	b.upstreams.store = f
	b.announce(t, port.Announcement{Upstream: ident.Upstream(name), Kind: port.KindStore, Address: "127.0.0.1:9800"})
	return f
}

// mustServe sends one prompt and reads its answer.
func (b *testEntry) mustServe(t *testing.T, id byte) {
	t.Helper()
	answer, err := b.Prompt(t.Context(), b.prompt(t, id))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := readAnswer(answer); err != nil {
		t.Fatal(err)
	}
}

func (b *testEntry) blocks(t *testing.T, version ident.Version) []prefix.BlockID {
	t.Helper()
	prompt := b.prompt(t, 0)
	scope := prefix.Scope{Team: "florists", Model: testModel, Version: version}
	return prefix.Chain(b.options.BlockKey, scope, prompt.Tokens, 10)
}

// A finished prompt is exported, and one step of the export fails. Its blocks
// may become readable only after the store has confirmed exactly what the
// engine wrote; otherwise a reader would get an incomplete block.
func TestExportCommitsOnlyConfirmedBlocks(t *testing.T) {
	cases := map[string]struct {
		change func(*fakeStore, *fakeEngine)
		phase  keep.Phase
	}{
		"complete":                {func(*fakeStore, *fakeEngine) {}, keep.Committed},
		"store full":              {func(s *fakeStore, _ *fakeEngine) { s.full = true }, keep.Absent},
		"another writer":          {func(s *fakeStore, _ *fakeEngine) { s.raced = true }, keep.Absent},
		"store gone":              {func(s *fakeStore, _ *fakeEngine) { s.reserveErr = errLost }, keep.Absent},
		"engine gone":             {func(_ *fakeStore, e *fakeEngine) { e.exportErr = errLost }, keep.Absent},
		"engine wrote nothing":    {func(_ *fakeStore, e *fakeEngine) { e.exportNothing = true }, keep.Absent},
		"commit refused":          {func(s *fakeStore, _ *fakeEngine) { s.commitErr = errLost }, keep.Absent},
		"other slot than written": {func(s *fakeStore, _ *fakeEngine) { s.wrongSlot = true }, keep.Absent},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestEntry(t)
				store, engine := b.store(t, "cellar"), b.engine(t, "runner-1")
				test.change(store, engine)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				go b.Run(ctx)
				time.Sleep(2 * time.Second) // until the store's status has been read
				b.announceAgain(t)
				b.mustServe(t, 1)
				time.Sleep(4 * time.Second) // until the idle prompt has been exported
				cancel()
				synctest.Wait()
				for _, block := range b.blocks(t, testVersion) {
					if phase := b.keeper.manager.Phase(block); phase != test.phase {
						t.Errorf("phase of block %v is %v after %d reserves and %d commits", block, phase, len(store.reserved), len(store.commits))
					}
				}
			})
		})
	}
}

// The blocks of a prompt are on a store host and the engine imports them. The
// store no longer has one of them and reports it missing. The prompt must be
// answered, and the next request must not request that block.
func TestMissingBlocksOfImportAreRetracted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestEntry(t)
		b.store(t, "cellar")
		engine := b.engine(t, "runner-1")
		blocks := b.blocks(t, testVersion)
		events := port.CacheEvents{Upstream: "cellar", Incarnation: 1}
		for i, block := range blocks {
			id := port.BlockID(block.String())
			events.Events = append(events.Events, port.CacheEvent{Sequence: uint64(i + 1), Kind: port.CacheStored, Block: id,
				State: &port.SlotState{Block: id, Phase: port.SlotCommitted, Slot: fmt.Sprint(i), Generation: 3, Bytes: 10, Tier: port.TierMemory}})
		}
		if _, err := b.Events(events); err != nil {
			t.Fatal(err)
		}
		engine.missing = []port.BlockID{port.BlockID(blocks[0].String())}
		b.mustServe(t, 1)
		if len(engine.imports) != 1 || len(engine.imports[0].Sources) != len(blocks) {
			t.Fatalf("imports %+v, want one of all blocks", engine.imports)
		}
		if got := engine.imports[0].Sources[1]; got.Generation != 3 || got.Slot != "1" || got.Address != "127.0.0.1:9800" {
			t.Errorf("source %+v", got)
		}
		b.mu.Lock()
		left := b.stores.Copies(blocks[0], nil)
		b.mu.Unlock()
		if len(left) != 0 {
			t.Errorf("the missing block is still listed: %+v", left)
		}
	})
}

// A slot that is reserved but not committed must never be offered to a reader.
func TestUnfinishedSlotsAreNotCopies(t *testing.T) {
	for _, phase := range []port.SlotPhase{port.SlotReserved, port.SlotAbsent, ""} {
		if kept := copyOf(port.SlotState{Phase: phase, Slot: "s", Generation: 1}); kept != nil {
			t.Errorf("a slot in phase %q was converted to the copy %+v", phase, kept)
		}
	}
}

// New weights are loaded on one of two runners. Each request must name a
// version that the chosen runner has loaded, with blocks of that version only,
// and a broken answer must be resumed under the version with which it began.
func TestVersionsDoNotMix(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestEntry(t)
		doc := b.control.snapshot.Document()
		doc.Models[0].Versions = []config.TargetVersion{{Version: "v2"}, {Version: "v1"}}
		snapshot, err := config.NewSnapshot(2, doc)
		if err != nil {
			t.Fatal(err)
		}
		b.control.snapshot = snapshot
		old := b.engine(t, "runner-old")
		b.mustServe(t, 1)
		if len(old.requests) != 1 || old.requests[0].Version != "v1" {
			t.Fatalf("requests before the version change: %+v", old.requests)
		}
		swapped := b.engine(t, "runner-new", step{tokens: 2, fail: errBroken}, step{})
		message := b.announced[len(b.announced)-1]
		message.Models = []port.LoadedVersion{{Model: testModel, Version: "v2"}}
		b.announce(t, message)
		answer, err := b.Prompt(t.Context(), b.prompt(t, 2))
		if err != nil {
			t.Fatal(err)
		}
		if text, err := readAnswer(answer); err != nil || text != fullAnswer {
			t.Fatalf("got %q, %v", text, err)
		}
		if len(swapped.requests) != 2 || len(old.requests) != 1 {
			t.Fatalf("the new runner got %d attempts, the old one %d", len(swapped.requests), len(old.requests))
		}
		for _, request := range swapped.requests {
			if request.Version != "v2" || request.Blocks[0] == old.requests[0].Blocks[0] {
				t.Errorf("attempt %d names version %s and block %s", request.Attempt, request.Version, request.Blocks[0])
			}
		}
		if swapped.requests[1].ResumeAt != 2 || swapped.requests[1].Seed != swapped.requests[0].Seed {
			t.Errorf("resumed as %+v", swapped.requests[1])
		}
	})
}

// Guards against an answer that goes on at an engine of another software version than the one that
// began it.
func TestAnswerGoesOnAtItsSoftwareVersion(t *testing.T) {
	for left, want := range map[string]string{"v2": fullAnswer, "v3": "t0 t1 "} {
		synctest.Test(t, func(t *testing.T) {
			b := newTestEntry(t)
			announce := func(name, software string, steps ...step) *fakeEngine {
				engine := b.engine(t, name, steps...)
				message := b.announced[len(b.announced)-1]
				message.Software = software
				b.announce(t, message)
				return engine
			}
			broken := announce("broken", "v2", step{tokens: 2, fail: errBroken}, step{refuse: errDial})
			answer, err := b.Prompt(t.Context(), b.prompt(t, 1))
			if err != nil {
				t.Fatal(err)
			}
			engines := make(map[string]*fakeEngine)
			for name, software := range map[string]string{"a": "v1", "b": "v1", "c": "v3", "d": left} {
				engines[name] = announce(name, software)
			}
			text, err := readAnswer(answer)
			if len(broken.requests) == 0 || text != want || (err == nil) != (want == fullAnswer) {
				t.Errorf("with v1, v3 and %s left: %q, %v after %d attempts at the first engine", left, text, err, len(broken.requests))
			}
			for _, name := range []string{"a", "b", "c"} {
				if len(engines[name].requests) > 0 {
					t.Errorf("%s has run a part of the answer", name)
				}
			}
		})
	}
}

// Two entries serve the same prompts. Each use must be counted at one home,
// whichever entry served it.
func TestUsesAreReportedToHome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestEntry(t)
		b.engine(t, "runner-1")
		var sent [][]byte
		b.options.SendUse = func(home ident.Host, body []byte) bool {
			if home != "entry-2" {
				t.Errorf("use sent to %s", home)
			}
			sent = append(sent, body)
			return true
		}
		b.keeper.setMembers(time.Now(), []cell.Member{{Host: "entry-1"}, {Host: "entry-2"}})
		for id := range byte(32) {
			prompt := b.prompt(t, id+1)
			prompt.Tokens[0] = uint32(id) // another prompt, with another home
			answer, err := b.Prompt(t.Context(), prompt)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := readAnswer(answer); err != nil {
				t.Fatal(err)
			}
		}
		if here := b.keeper.manager.Prompts(); here+len(sent) != 32 || here == 0 || len(sent) == 0 {
			t.Fatalf("%d prompts recorded locally, %d sent", here, len(sent))
		}
		home := newTestEntry(t)
		for _, body := range sent {
			if err := home.ApplyUse(body); err != nil {
				t.Fatal(err)
			}
		}
		if home.keeper.manager.Prompts() != len(sent) {
			t.Errorf("the home recorded %d of %d uses", home.keeper.manager.Prompts(), len(sent))
		}
	})
}

// An entry on a busy host misses a few lease renewals and is absent from the
// members for a moment, in its own view and that of others. No prompt may
// change its home for that, since prompts not yet exported would be lost. A
// lasting change of the members must move prompts.
func TestHomesSurviveMissedRenewals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestEntry(t)
		b.engine(t, "runner-1")
		b.options.SendUse = func(ident.Host, []byte) bool { return true }
		both := []Peer{{Host: "entry-1"}, {Host: "entry-2"}}
		planWith := func(peers []Peer, duration time.Duration) {
			b.control.peers = peers
			for end := time.Now().Add(duration); !time.Now().After(end); time.Sleep(planInterval) {
				b.keeper.planOnce(time.Now())
			}
		}
		planWith(both, 0)
		for id := range byte(16) {
			prompt := b.prompt(t, id+1)
			prompt.Tokens[0] = uint32(id)
			answer, err := b.Prompt(t.Context(), prompt)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := readAnswer(answer); err != nil {
				t.Fatal(err)
			}
		}
		here := b.keeper.manager.Prompts()
		planWith(nil, homeDelay/2)
		planWith(both[1:], homeDelay/2)
		planWith(both, homeDelay/2)
		if left := b.keeper.manager.Prompts(); left != here || here == 0 || here == 16 {
			t.Fatalf("%d of %d prompts are left", left, here)
		}
		planWith([]Peer{{Host: "entry-1"}, {Host: "entry-2"}, {Host: "entry-3"}}, 2*homeDelay)
		if left := b.keeper.manager.Prompts(); left >= here {
			t.Fatalf("%d of %d prompts are left after an entry was added", left, here)
		}
	})
}

// A short and a long prompt run at the same rate. A block of either saves the
// same time, so both must be valued alike; otherwise the store fills with long
// prompts instead of those that return.
func TestSavedTimeIsPerBlock(t *testing.T) {
	cases := map[string]struct {
		usage port.Usage
		want  time.Duration
	}{
		"short":            {port.Usage{PromptTokens: 50, Prefill: 100 * time.Millisecond}, 20 * time.Millisecond},
		"long":             {port.Usage{PromptTokens: 5000, Prefill: 10 * time.Second}, 20 * time.Millisecond},
		"mostly reused":    {port.Usage{PromptTokens: 5000, ReusedTokens: 4950, Prefill: 100 * time.Millisecond}, 20 * time.Millisecond},
		"nothing computed": {port.Usage{PromptTokens: 50, ReusedTokens: 50, Prefill: time.Millisecond}, 0},
		"no time measured": {port.Usage{PromptTokens: 50}, 0},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			j := &job{model: &config.Model{BlockTokens: 10}}
			j.prompt.Tokens = make([]uint32, test.usage.PromptTokens)
			if got := savedBy(j, test.usage); got != test.want {
				t.Errorf("saved %v, want %v", got, test.want)
			}
		})
	}
}

// The home of a prompt can't be reached. The entry that served the prompt must
// keep it, since no other entry would export it.
func TestUseIsRecordedLocallyIfHomeIsUnreachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestEntry(t)
		b.engine(t, "runner-1")
		b.options.SendUse = func(ident.Host, []byte) bool { return false }
		b.keeper.setMembers(time.Now(), []cell.Member{{Host: "entry-2"}})
		b.mustServe(t, 1)
		if kept := b.keeper.manager.Prompts(); kept != 1 {
			t.Errorf("%d prompts recorded locally, want 1", kept)
		}
	})
}

func TestApplyUseRejectsInvalidMessages(t *testing.T) {
	long := use{Blocks: make([][]byte, keep.MaxPromptBlocks+1)}
	short := use{Blocks: [][]byte{{1, 2, 3}}}
	for name, body := range map[string][]byte{
		"empty": nil, "not CBOR": {0xff}, "many blocks": wire.MustMarshal(long), "short block": wire.MustMarshal(short),
	} {
		if err := newTestEntry(t).ApplyUse(body); err == nil {
			t.Errorf("%s: the message was accepted", name)
		}
	}
}

func FuzzApplyUse(f *testing.F) {
	f.Add(wire.MustMarshal(use{Team: "t", Blocks: [][]byte{bytes.Repeat([]byte{1}, prefix.BlockIDSize)}, BlockBytes: 1}))
	b := newTestEntry(f)
	f.Fuzz(func(t *testing.T, body []byte) {
		if b.ApplyUse(body) == nil && b.keeper.manager.Prompts() > keep.DefaultMaxPrompts {
			t.Fatal("more prompts than the bound")
		}
	})
}

// A caller leaves while its request is queued, or its deadline passes. The
// outcome must be not-run, and the place in the queue must be free again.
func TestQueuedCallerLeavesOrTimesOut(t *testing.T) {
	cases := map[string]struct {
		end    func(cancel context.CancelFunc)
		reason outcome.Reason
	}{
		"leaves":          {func(cancel context.CancelFunc) { cancel() }, outcome.ReasonCallerGone},
		"deadline passes": {func(context.CancelFunc) { time.Sleep(4 * time.Second) }, outcome.ReasonDeadline},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestEntry(t)
				engine := b.engine(t, "runner-1", step{tokens: 1, hang: true})
				// Fill the pool: two requests for each of four slots.
				for id := range byte(8) {
					answer, err := b.Prompt(t.Context(), b.prompt(t, id+1))
					if err != nil {
						t.Fatal(err)
					}
					defer answer.Close()
				}
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				refused := make(chan error, 1)
				go func() {
					prompt := b.prompt(t, 99)
					prompt.Deadline = 3 * time.Second
					_, err := b.Prompt(ctx, prompt)
					refused <- err
				}()
				synctest.Wait()
				test.end(cancel)
				if err := <-refused; outcome.KindOf(err) != outcome.KindNotRun || reason(err) != test.reason {
					t.Errorf("got %v", err)
				}
				if queued := b.pools[poolKey{model: testModel}].controller.Status().Queued; queued != 0 || len(engine.requests) != 8 {
					t.Errorf("%d requests are still queued, %d were sent", queued, len(engine.requests))
				}
			})
		})
	}
}

func reason(err error) outcome.Reason {
	if notRun, ok := err.(*outcome.NotRun); ok {
		return notRun.Reason
	}
	return ""
}
