package standin_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/adapter/engine"
	"github.com/lovagereach/lovagereach/internal/adapter/store"
	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/internal/standin"
	"github.com/lovagereach/lovagereach/internal/upstreamapi"
	"github.com/lovagereach/lovagereach/outcome"
)

const (
	blockTokens = 4
	blockBytes  = 200
	// longTokens is the length of an answer that doesn't complete during a
	// test: at one token per 5 ms it takes 50 s.
	longTokens   = 10_000
	longInterval = 5 * time.Millisecond
)

func serve(t *testing.T, handler http.Handler) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return server.Listener.Addr().String()
}

func testOptions() standin.EngineOptions {
	return standin.EngineOptions{
		Upstream:    "engine-1",
		Models:      []port.LoadedVersion{{Model: "m", Version: "v1"}},
		BlockTokens: blockTokens,
		BlockBytes:  blockBytes,
		Slots:       1,
	}
}

func startEngine(t *testing.T, options standin.EngineOptions) (*standin.Engine, *engine.Client) {
	t.Helper()
	e := standin.NewEngine(options)
	return e, engine.New(serve(t, e.Handler()), engine.Options{})
}

func request(id byte, maxTokens int) port.GenerateRequest {
	return port.GenerateRequest{
		Request: ident.Request{id}, Attempt: 1, Model: "m", Version: "v1",
		Tokens: []uint32{1, 2, 3, 4, 5, 6, 7, 8, 9}, Blocks: []port.BlockID{"a", "b"}, MaxTokens: maxTokens,
	}
}

// finish reads a stream to the end and returns the usage.
func finish(t *testing.T, stream port.TokenStream, err error) port.Usage {
	t.Helper()
	for err == nil {
		var event port.TokenEvent
		if event, err = stream.Next(t.Context()); event.Done {
			return event.Usage
		}
	}
	t.Fatal(err)
	return port.Usage{}
}

// awaitIdle waits until the engine has no running or queued requests. The engine
// detects the end of a request later than the caller does.
func awaitIdle(e *standin.Engine) {
	for stats := e.Stats(); stats.Running+stats.Queued > 0; stats = e.Stats() {
		time.Sleep(time.Millisecond)
	}
}

// A caller disconnects in the middle of a long answer. The engine must stop and
// give its only slot to the next request, which would otherwise wait 50 s.
func TestEngineStopsWhenCallerDisconnects(t *testing.T) {
	options := testOptions()
	options.DecodeInterval = longInterval
	e, client := startEngine(t, options)
	stream, err := client.Generate(t.Context(), request(1, longTokens))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := stream.Next(t.Context()); err != nil {
		t.Fatal(err)
	}
	if err := stream.Close(); err != nil {
		t.Fatal(err)
	}
	stream, err = client.Generate(t.Context(), request(2, 1))
	finish(t, stream, err)
	awaitIdle(e)
	if stats := e.Stats(); stats.Cancelled != 1 || stats.Finished != 1 {
		t.Errorf("stats %+v", stats)
	}
}

// Orders load new weights and unload the old ones while an answer is in
// progress. The answer must complete with the old weights; a new request for
// them must be refused as not run.
func TestEngineSwapsVersions(t *testing.T) {
	options := testOptions()
	options.Slots = 2
	options.DecodeInterval = time.Millisecond
	_, client := startEngine(t, options)
	running, err := client.Generate(t.Context(), request(1, 100))
	if err != nil {
		t.Fatal(err)
	}
	orders := []port.Order{
		{ID: "load", Kind: port.OrderLoadVersion, Model: "m", Version: "v2"},
		{ID: "unload", Kind: port.OrderUnloadVersion, Model: "m", Version: "v1"},
	}
	for _, order := range orders {
		if result, err := client.Order(t.Context(), order); err != nil || !result.Accepted {
			t.Fatalf("%s: %+v, %v", order.ID, result, err)
		}
	}
	if _, err := client.Generate(t.Context(), request(2, 1)); outcome.KindOf(err) != outcome.KindNotRun {
		t.Errorf("new request for the old weights: %v", err)
	}
	if usage := finish(t, running, nil); usage.Version != "v1" || usage.OutputTokens != 100 {
		t.Errorf("usage of the running answer: %+v", usage)
	}
	state, err := client.State(t.Context())
	for len(state.Loading) > 0 && err == nil {
		state, err = client.State(t.Context())
	}
	if want := []port.LoadedVersion{{Model: "m", Version: "v2"}}; err != nil || !equalVersions(state.Loaded, want) {
		t.Errorf("loaded %+v, %v", state.Loaded, err)
	}
}

func equalVersions(a, b []port.LoadedVersion) bool {
	return slices.EqualFunc(a, b, func(x, y port.LoadedVersion) bool { return x.Model == y.Model && x.Version == y.Version })
}

// A request names a cached block that belongs to another prompt, as a bug in the
// system could cause. The engine must recompute the tokens for the caller's own
// answer and count the wrong block.
func TestEngineRefusesWrongBlocks(t *testing.T) {
	e, client := startEngine(t, testOptions())
	stream, err := client.Generate(t.Context(), request(1, 1))
	finish(t, stream, err)
	other := request(2, 3)
	other.Tokens = []uint32{9, 9, 9, 9, 9, 9, 9, 9, 9}
	stream, err = client.Generate(t.Context(), other)
	if usage := finish(t, stream, err); usage.ReusedTokens != 0 {
		t.Errorf("reused %d tokens of another prompt", usage.ReusedTokens)
	}
	if wrong := e.Stats().WrongBlocks; wrong == 0 {
		t.Error("the wrong block was not counted")
	}
}

// exportBlock exports block a of request 1 to a store host and returns the state
// of its slot.
func exportBlock(t *testing.T, from *engine.Client, to *store.Client, address string) (port.SlotState, error) {
	t.Helper()
	stream, err := from.Generate(t.Context(), request(1, 1))
	finish(t, stream, err)
	r, err := to.Reserve(t.Context(), port.ReserveRequest{Block: "a", Bytes: blockBytes, Tier: port.TierDisk, Lifetime: time.Minute})
	if err != nil || !r.Granted {
		t.Fatalf("reserve: %+v, %v", r, err)
	}
	result, err := from.Export(t.Context(), port.ExportRequest{
		Model: "m", Version: "v1",
		Targets: []port.ExportTarget{{Block: "a", Address: address, Slot: r.State.Slot, Generation: r.State.Generation}},
	})
	if err != nil || len(result.Written) != 1 {
		t.Fatalf("export: %+v, %v", result, err)
	}
	written := result.Written[0]
	return to.Commit(t.Context(), port.CommitRequest{
		Block: "a", Slot: r.State.Slot, Generation: r.State.Generation, Bytes: written.Bytes, Checksum: written.Checksum,
	})
}

// A store host keeps half of the data that an engine wrote and reports that the
// write is complete. The commit must fail, so that no reader gets the block.
func TestHalfWrittenSlotIsNotCommitted(t *testing.T) {
	s := standin.NewStore(standin.StoreOptions{Upstream: "store-1"})
	address := serve(t, s.Handler())
	_, client := startEngine(t, testOptions())
	if err := s.Faults().Add(standin.Fault{Kind: standin.FaultHalfWritten, Path: upstreamapi.PathSlots, Count: 1}); err != nil {
		t.Fatal(err)
	}
	_, err := exportBlock(t, client, store.New(address, nil), address)
	if outcome.KindOf(err) != outcome.KindFailed {
		t.Errorf("commit of half of a block: %v", err)
	}
	if snapshot, err := store.New(address, nil).Blocks(t.Context()); err != nil || len(snapshot.Blocks) != 0 {
		t.Errorf("readable blocks: %+v, %v", snapshot.Blocks, err)
	}
}

// A store host restarts and may reuse the name of a slot for other content. An
// engine with a reference from before must get nothing but a block that the host
// kept under its old generation; with references from the host's new snapshot
// it must get every block listed.
func TestImportAfterRestart(t *testing.T) {
	cases := map[string]struct{ old, listed int }{
		"none":  {old: 0, listed: 0},
		"disk":  {old: 0, listed: 1},
		"stale": {old: 1, listed: 1},
	}
	for keep, want := range cases {
		t.Run(keep, func(t *testing.T) {
			s := standin.NewStore(standin.StoreOptions{Upstream: "store-1"})
			address := serve(t, s.Handler())
			client := store.New(address, nil)
			_, writer := startEngine(t, testOptions())
			state, err := exportBlock(t, writer, client, address)
			if err != nil {
				t.Fatal(err)
			}
			s.Restart(standin.StoreRestart{Keep: keep})
			if got := importFrom(t, address, []port.SlotState{state}); got != want.old {
				t.Errorf("old reference: %d blocks, want %d", got, want.old)
			}
			snapshot, err := client.Blocks(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			if got := importFrom(t, address, snapshot.Blocks); got != want.listed {
				t.Errorf("listed: %d blocks, want %d", got, want.listed)
			}
		})
	}
}

// importFrom returns the number of slots that a new engine imports.
func importFrom(t *testing.T, address string, slots []port.SlotState) int {
	t.Helper()
	_, reader := startEngine(t, testOptions())
	req := port.ImportRequest{Model: "m", Version: "v1", Sources: []port.BlockSource{}}
	for _, slot := range slots {
		req.Sources = append(req.Sources, port.BlockSource{
			Block: slot.Block, Address: address, Slot: slot.Slot, Generation: slot.Generation, Bytes: slot.Bytes, Checksum: slot.Checksum,
		})
	}
	result, err := reader.Import(t.Context(), req)
	if err != nil {
		t.Fatal(err)
	}
	return len(result.Present)
}

// The engine's queue and cache are bounded: a request beyond the queue's bound is
// refused as not run, and the oldest blocks are evicted for new ones.
func TestEngineBounds(t *testing.T) {
	options := testOptions()
	options.MaxQueued = 1
	options.CacheBlocks = 2
	options.DecodeInterval = longInterval
	e, client := startEngine(t, options)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	if _, err := client.Generate(ctx, request(1, longTokens)); err != nil {
		t.Fatal(err)
	}
	refused := make(chan error)
	for id := byte(2); id < 4; id++ {
		go func() {
			_, err := client.Generate(ctx, request(id, longTokens))
			refused <- err
		}()
	}
	if err := <-refused; outcome.KindOf(err) != outcome.KindNotRun {
		t.Errorf("request beyond the queue's bound: %v", err)
	}
	cancel()
	<-refused
	awaitIdle(e)
	for n := range 5 {
		req := request(byte(10+n), 1)
		req.Tokens[0] = uint32(100 + n)
		req.Blocks = []port.BlockID{port.BlockID("x" + strconv.Itoa(n)), port.BlockID("y" + strconv.Itoa(n))}
		stream, err := client.Generate(t.Context(), req)
		finish(t, stream, err)
	}
	if cached := e.Stats().CachedBlocks; cached != 2 {
		t.Errorf("%d blocks cached, want 2", cached)
	}
}
