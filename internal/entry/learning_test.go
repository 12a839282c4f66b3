package entry

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lovagereach/lovagereach/config"
	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/outcome"
	"github.com/lovagereach/lovagereach/prefix"
	"github.com/lovagereach/lovagereach/route"
	"github.com/lovagereach/lovagereach/upstream"
)

// reportStored reports copies of a prompt's blocks in the memory of a store
// host, in events numbered from after+1.
func (b *testEntry) reportStored(t *testing.T, after uint64, prompt Prompt) []prefix.BlockID {
	t.Helper()
	return b.reportStoredOn(t, port.TierMemory, after, prompt)
}

func (b *testEntry) reportStoredOn(t *testing.T, tier port.Tier, after uint64, prompt Prompt) []prefix.BlockID {
	t.Helper()
	blocks := prefix.Chain(b.options.BlockKey, prefix.Scope{Team: "florists", Model: testModel, Version: testVersion}, prompt.Tokens, 10)
	events := port.CacheEvents{Upstream: "cellar", Incarnation: 1}
	for i, block := range blocks {
		id := port.BlockID(block.String())
		events.Events = append(events.Events, port.CacheEvent{Sequence: after + uint64(i) + 1, Kind: port.CacheStored, Block: id,
			State: &port.SlotState{Block: id, Phase: port.SlotCommitted, Slot: fmt.Sprint(i), Generation: 3, Bytes: 10, Tier: tier}})
	}
	if _, err := b.Events(events); err != nil {
		t.Fatal(err)
	}
	return blocks
}

// serve sends a prompt and reads its answer.
func (b *testEntry) serve(t *testing.T, prompt Prompt) {
	t.Helper()
	if answer, err := b.Prompt(t.Context(), prompt); err != nil {
		t.Error(err)
	} else if _, err = readAnswer(answer); err != nil {
		t.Error(err)
	}
}

// longPrompt returns a prompt long enough for an import to be cheaper than its
// computation.
func longPrompt(first uint32) []uint32 {
	tokens := make([]uint32, 4000)
	tokens[0] = first
	return tokens
}

// The links are slow, so every prompt waits long for its blocks, while the
// engine that runs it is idle and answers immediately. The limit on requests at
// the engines must not change: a lower one would refuse callers although the
// engines are idle.
func TestSlowImportsDoNotLowerLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestEntry(t)
		b.store(t, "cellar")
		engine := b.engine(t, "runner-1")
		engine.importTakes = 200 * time.Millisecond
		const prompts = 6
		var open sync.WaitGroup
		for i := range prompts {
			prompt := b.prompt(t, byte(i+1))
			prompt.Tokens = longPrompt(uint32(i))
			b.reportStored(t, uint64(400*i), prompt)
			open.Go(func() {
				b.serve(t, prompt)
			})
		}
		open.Wait()
		if len(engine.imports) != prompts {
			t.Fatalf("%d imports, want one per prompt", len(engine.imports))
		}
		if limit := b.pools[poolKey{model: testModel}].controller.Status().Limit; limit != 8 {
			t.Errorf("limit %d, want 8", limit)
		}
	})
}

// Events about evicted blocks were lost, so the directory lists a prompt as
// held by an engine whose answers show otherwise. After that is detected, an
// import must also name the blocks expected to be held, so that an error costs
// a fetch instead of a recomputation. Before, no import is needed.
func TestImportNamesBlocksOfInaccurateCache(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestEntry(t)
		b.store(t, "cellar")
		engine := b.engine(t, "runner-1")
		for i, imports := range []int{1, 1, 2} {
			prompt := b.prompt(t, byte(i+1))
			prompt.Tokens = longPrompt(0)
			blocks := b.reportStored(t, 0, prompt)
			b.serve(t, prompt)
			if len(engine.imports) != imports {
				t.Fatalf("%d imports after request %d", len(engine.imports), i+1)
			}
			if named := len(engine.imports[imports-1].Sources); named != len(blocks) {
				t.Errorf("the import names %d of %d blocks", named, len(blocks))
			}
		}
	})
}

// Two tiers of a store host are read at the same time. The speed learned for
// the disk must not affect the estimate for memory, the second reader of a tier
// must count the bytes pending before it, and the time to the first token must
// be learned for the band of the class target.
func TestTiersAndTargetsAreLearnedSeparately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestEntry(t)
		doc := b.control.snapshot.Document()
		for i := range doc.Classes {
			doc.Classes[i].FirstToken.Within = config.Duration(5 * time.Second)
		}
		var err error
		if b.control.snapshot, err = config.NewSnapshot(2, doc); err != nil {
			t.Fatal(err)
		}
		b.store(t, "cellar")
		engine := b.engine(t, "runner-1")
		engine.importTakes = 200 * time.Millisecond
		prompt := b.prompt(t, 1)
		prompt.Tokens = longPrompt(1)
		b.reportStoredOn(t, port.TierDisk, 0, prompt)
		var open sync.WaitGroup
		open.Go(func() { b.serve(t, prompt) })
		time.Sleep(100 * time.Millisecond)
		b.mu.Lock()
		disk, memory := b.fetching.from[storeTier{"cellar", true}], b.fetching.from[storeTier{"cellar", false}]
		into := b.routeCandidate(candidate{Candidate: upstream.Candidate{Upstream: "runner-1"}}, 10).PendingImportBytes
		pending := b.newRun(time.Now(), prefix.StoredCopy{Store: "cellar", Copy: prefix.Copy{Tier: prefix.Disk}}, 0, 10).PendingBytes
		b.mu.Unlock()
		if disk != 4000 || memory != 0 || into != 4000 || pending != 4000 {
			t.Errorf("bytes in progress: disk %d, memory %d, engine %d, pending before the next read %d", disk, memory, into, pending)
		}
		open.Wait()
		upstreams, links := b.planner.Learned()
		if len(links) != 1 || !links[0].Slow {
			t.Errorf("links %+v, want one slow link", links)
		}
		for _, learned := range upstreams {
			if (learned.MeanError != 0) != (learned.Band == 1) {
				t.Errorf("band %d has learned a miss of %g s", learned.Band, learned.MeanError)
			}
		}
		if len(b.fetching.from)+len(b.fetching.into) != 0 {
			t.Errorf("still in progress: %+v", b.fetching)
		}
	})
}

// An import read from both tiers of a store host while other reads were
// pending. A missing block took no time on the link, and pending reads of one
// tier did not delay the other.
func TestTransfersReportPendingBytes(t *testing.T) {
	source := func(block port.BlockID) port.BlockSource {
		return port.BlockSource{Block: block, Store: "cellar", Bytes: 10}
	}
	p := plan{
		sources:       []port.BlockSource{source("a"), source("b"), source("c")},
		cachedSources: []port.BlockSource{source("z")},
		slowBlocks:    map[port.BlockID]bool{"c": true},
	}
	missing := map[port.BlockID]bool{"a": true}
	before := map[storeTier]int64{{"cellar", true}: 70}
	got := make(map[bool]route.Transfer)
	for _, transfer := range p.transfers(port.ImportResult{Bytes: 20}, missing, before, time.Second) {
		got[transfer.Slow] = transfer
	}
	want := map[bool]route.Transfer{
		false: {Store: "cellar", Bytes: 10, Took: time.Second},
		true:  {Store: "cellar", Slow: true, PendingBytes: 70, Bytes: 10, Took: time.Second},
	}
	if !maps.Equal(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
	if more := p.transfers(port.ImportResult{Bytes: 30}, missing, before, time.Second); more != nil {
		t.Errorf("an import that also fetched a cached block was attributed to a link: %+v", more)
	}
}

// An engine holds the first half of a prompt, and the second half is fetched.
// The import must name the first half too, in front, so that the engine keeps
// it: if it were evicted to make space for the second, both would be useless.
// The blocks held are not transferred, so they must not count as in progress.
func TestImportNamesCachedBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestEntry(t)
		b.store(t, "cellar")
		engine := b.engine(t, "runner-1")
		engine.importTakes = 200 * time.Millisecond
		prompt := b.prompt(t, 1)
		prompt.Tokens = longPrompt(1)
		blocks := b.reportStored(t, 0, prompt)
		cache := port.CacheEvents{Upstream: "runner-1", Incarnation: 1}
		for i, block := range blocks[:200] {
			cache.Events = append(cache.Events, port.CacheEvent{
				Sequence: uint64(i + 1), Kind: port.CacheStored, Block: port.BlockID(block.String())})
		}
		if _, err := b.Events(cache); err != nil {
			t.Fatal(err)
		}
		var open sync.WaitGroup
		open.Go(func() { b.serve(t, prompt) })
		time.Sleep(100 * time.Millisecond)
		b.mu.Lock()
		reading := b.fetching.fromStore("cellar")
		b.mu.Unlock()
		open.Wait()
		if reading != 2000 {
			t.Errorf("%d bytes in progress, want those of the second half, 2000", reading)
		}
		if len(engine.imports) != 1 || len(engine.imports[0].Sources) != len(blocks) {
			t.Fatalf("%d imports, want one of %d blocks", len(engine.imports), len(blocks))
		}
		for i, source := range engine.imports[0].Sources {
			if source.Block != port.BlockID(blocks[i].String()) {
				t.Fatalf("source %d is not the prompt's block %d", i, i)
			}
		}
	})
}

// A prompt's blocks are being imported when a second request for the same
// prompt arrives. The second must use the same engine without an import of its
// own, and not before the first import has ended; otherwise it would compute
// blocks that are about to arrive. It must also proceed when the first caller
// leaves meanwhile. No pending state may remain.
func TestPromptJoinsPendingImport(t *testing.T) {
	for _, leaves := range []bool{false, true} {
		t.Run(fmt.Sprintf("first leaves %t", leaves), func(t *testing.T) { testJoinImport(t, leaves) })
	}
}

func testJoinImport(t *testing.T, leaves bool) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestEntry(t)
		b.store(t, "cellar")
		engines := []*fakeEngine{b.engine(t, "runner-1"), b.engine(t, "runner-2")}
		count := func() (imports, requests int) {
			for _, engine := range engines {
				engine.mu.Lock()
				imports += len(engine.imports)
				requests += len(engine.requests)
				engine.mu.Unlock()
			}
			return imports, requests
		}
		for _, engine := range engines {
			engine.importTakes, engine.delay = 200*time.Millisecond, time.Second
		}
		ctx, leave := context.WithCancel(t.Context())
		defer leave()
		var open sync.WaitGroup
		for i := range byte(2) {
			prompt := b.prompt(t, i+1)
			prompt.Tokens = longPrompt(1)
			b.reportStored(t, 0, prompt)
			open.Go(func() {
				if i == 0 && leaves {
					if _, err := b.Prompt(ctx, prompt); outcome.KindOf(err) != outcome.KindNotRun {
						t.Errorf("the caller that left got %v, want not-run", err)
					}
					return
				}
				b.serve(t, prompt)
			})
			time.Sleep(50 * time.Millisecond)
		}
		if _, requests := count(); requests != 0 {
			t.Errorf("%d requests were sent before the import ended", requests)
		}
		want := 2
		if leaves {
			leave()
			want = 1
		}
		time.Sleep(150 * time.Millisecond) // the import has ended, no token has been sent
		if imports, requests := count(); imports != 1 || requests != want {
			t.Errorf("%d imports and %d requests, want 1 and %d", imports, requests, want)
		}
		open.Wait()
		first := route.Prompt(b.blocksOf(&job{prompt: Prompt{Caller: b.prompt(t, 9).Caller, Model: testModel, Tokens: longPrompt(1)},
			model: &config.Model{BlockTokens: 10}}, testVersion).blocks[0])
		if len(b.pendingPrompts) != 0 || len(b.inFlight.Lookup(first)) != 0 {
			t.Errorf("still pending: %v, %v", b.pendingPrompts, b.inFlight.Lookup(first))
		}
	})
}

// Two prompts share their first block only. A pending import of one must not
// count as pending for the other's later blocks.
func TestPendingPrefixesCountCommonBlocks(t *testing.T) {
	b := newTestEntry(t)
	now := time.Now()
	first := plan{candidate: upstream.Candidate{Upstream: "runner-1"}, chain: chain{blocks: []prefix.BlockID{{1}, {2}, {3}}}}
	b.addPending(now, ident.Request{1}, first, 10)
	got := b.pendingPrefixes(now, chain{blocks: []prefix.BlockID{{1}, {9}, {8}, {7}}})
	if len(got) != 1 || got[0].upstream != "runner-1" || got[0].blocks != 1 {
		t.Errorf("got %+v, want one block", got)
	}
}
