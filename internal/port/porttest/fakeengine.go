package porttest

import (
	"context"
	"slices"
	"sync"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/internal/standin"
	"github.com/lovagereach/lovagereach/internal/upstreamapi"
	"github.com/lovagereach/lovagereach/outcome"
)

// FakeEngine is an in-memory port.Engine. It answers without delay and its cache is
// unbounded. Its answers are those of standin.ExpectedAnswer.
type FakeEngine struct {
	// BlockTokens is the number of tokens in a block.
	BlockTokens int
	// Stores are the store hosts that the engine can reach, by address.
	Stores map[string]*FakeStore

	faults *standin.Faults

	mu       sync.Mutex
	state    port.EngineState
	sequence uint64
	cache    map[port.BlockID]bool
	orders   map[string]port.OrderResult
	calls    []port.GenerateRequest
}

var _ port.Engine = (*FakeEngine)(nil)

// fakeBlockBytes is the size of a block that a FakeEngine exports.
const fakeBlockBytes = 64

// NewFakeEngine returns an engine that has loaded the given versions.
func NewFakeEngine(upstream ident.Upstream, blockTokens int, loaded ...port.LoadedVersion) *FakeEngine {
	return &FakeEngine{
		BlockTokens: blockTokens,
		Stores:      make(map[string]*FakeStore),
		faults:      standin.NewFaults(0),
		state:       port.EngineState{Upstream: upstream, Incarnation: 1, Loaded: loaded, ChecksFence: true},
		cache:       make(map[port.BlockID]bool),
		orders:      make(map[string]port.OrderResult),
	}
}

// Faults returns the faults to inject. Their paths are the paths of package upstreamapi.
func (e *FakeEngine) Faults() *standin.Faults { return e.faults }

// Calls returns the requests that the engine has run.
func (e *FakeEngine) Calls() []port.GenerateRequest {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.calls)
}

// Generate implements port.Engine.
func (e *FakeEngine) Generate(ctx context.Context, req port.GenerateRequest) (port.TokenStream, error) {
	const path = upstreamapi.PathCompletions
	if err := beforeCall(ctx, e.faults, path); err != nil {
		return nil, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.has(req.Model, req.Version, req.Adapter) {
		return nil, &outcome.NotRun{Reason: outcome.ReasonRefused, Detail: "model, version or adapter is not loaded"}
	}
	e.calls = append(e.calls, req)
	for _, kind := range []standin.FaultKind{standin.FaultReset, standin.FaultError} {
		if _, ok := e.faults.Take(kind, path); ok {
			return nil, faultError(kind)
		}
	}
	end := req.MaxTokens
	for _, kind := range []standin.FaultKind{standin.FaultTruncated, standin.FaultHalfWritten} {
		if _, ok := e.faults.Take(kind, path); ok {
			end = (req.ResumeAt + req.MaxTokens) / 2
		}
	}
	_, stalled := e.faults.Take(standin.FaultStalled, path)
	if stalled {
		end = (req.ResumeAt + req.MaxTokens) / 2
	}
	return &fakeStream{
		stalled: stalled,
		key:     standin.NewAnswerKey(req.Tokens, req.Seed),
		next:    req.ResumeAt,
		broken:  end,
		end:     req.MaxTokens,
		usage: port.Usage{
			PromptTokens: len(req.Tokens),
			ReusedTokens: e.cachePrompt(req),
			OutputTokens: req.MaxTokens,
			Version:      req.Version,
		},
	}, nil
}

// cachePrompt caches the prompt's blocks and returns the number of tokens that were
// already cached.
func (e *FakeEngine) cachePrompt(req port.GenerateRequest) int {
	hits, missed := 0, false
	for _, block := range req.Blocks {
		missed = missed || !e.cache[block]
		if !missed {
			hits++
		}
		e.put(block)
	}
	return hits * e.BlockTokens
}

func (e *FakeEngine) put(block port.BlockID) {
	if !e.cache[block] {
		e.cache[block] = true
		e.sequence++
	}
}

func (e *FakeEngine) has(model ident.Model, version ident.Version, adapter ident.Adapter) bool {
	return slices.ContainsFunc(e.state.Loaded, func(v port.LoadedVersion) bool {
		return v.Model == model && v.Version == version && (adapter == "" || slices.Contains(v.Adapters, adapter))
	})
}

// fakeStream is an in-memory answer. It breaks off at token broken if that is before
// token end.
type fakeStream struct {
	key               standin.AnswerKey
	next, broken, end int
	usage             port.Usage
	// stalled makes the stream stop sending at broken until the caller's context is done,
	// instead of breaking off.
	stalled bool
	ended   bool
}

// Next implements port.TokenStream.
func (s *fakeStream) Next(ctx context.Context) (port.TokenEvent, error) {
	switch {
	case s.ended:
		return port.TokenEvent{}, &outcome.Unknown{Reason: outcome.ReasonStreamBroken, Detail: "stream is over"}
	case ctx.Err() != nil:
		s.ended = true
		return port.TokenEvent{}, timedOut()
	case s.next == s.end:
		s.ended = true
		return port.TokenEvent{Index: s.next, Done: true, FinishReason: "length", Usage: s.usage}, nil
	case s.next >= s.broken && s.stalled:
		s.ended = true
		<-ctx.Done()
		return port.TokenEvent{}, timedOut()
	case s.next >= s.broken:
		s.ended = true
		return port.TokenEvent{}, &outcome.Unknown{Reason: outcome.ReasonStreamBroken, Detail: "broken by a fault"}
	}
	event := port.TokenEvent{Index: s.next, Text: s.key.Token(s.next)}
	s.next++
	return event, nil
}

// Close implements port.TokenStream.
func (s *fakeStream) Close() error {
	s.ended = true
	return nil
}

// Import implements port.Engine.
func (e *FakeEngine) Import(ctx context.Context, req port.ImportRequest) (port.ImportResult, error) {
	const path = upstreamapi.PathImport
	if err := beforeCall(ctx, e.faults, path); err != nil {
		return port.ImportResult{}, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	result := port.ImportResult{Present: []port.BlockID{}, Missing: []port.BlockID{}}
	for _, source := range req.Sources {
		store := e.Stores[source.Address]
		if store == nil || !store.matches(source) {
			result.Missing = append(result.Missing, source.Block)
			continue
		}
		e.put(source.Block)
		result.Present = append(result.Present, source.Block)
		result.Bytes += source.Bytes
	}
	return result, afterCall(e.faults, path)
}

// Export implements port.Engine.
func (e *FakeEngine) Export(ctx context.Context, req port.ExportRequest) (port.ExportResult, error) {
	const path = upstreamapi.PathExport
	if err := beforeCall(ctx, e.faults, path); err != nil {
		return port.ExportResult{}, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	result := port.ExportResult{Written: []port.ExportedBlock{}, Missing: []port.BlockID{}}
	for _, target := range req.Targets {
		store := e.Stores[target.Address]
		if !e.cache[target.Block] || store == nil || !store.write(target) {
			result.Missing = append(result.Missing, target.Block)
			continue
		}
		result.Written = append(result.Written, port.ExportedBlock{
			Block:    target.Block,
			Bytes:    fakeBlockBytes,
			Checksum: fakeChecksum(target.Block),
		})
	}
	return result, afterCall(e.faults, path)
}

// Order implements port.Engine.
func (e *FakeEngine) Order(ctx context.Context, order port.Order) (port.OrderResult, error) {
	const path = upstreamapi.PathOrders
	if err := beforeCall(ctx, e.faults, path); err != nil {
		return port.OrderResult{}, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	result, repeated := e.orders[order.ID]
	switch {
	case repeated:
	case order.Fence < e.state.HighestFence:
		result = port.OrderResult{HighestFence: e.state.HighestFence}
	default:
		e.state.HighestFence = order.Fence
		result = port.OrderResult{Accepted: true, HighestFence: order.Fence}
		e.orders[order.ID] = result
		e.execute(order)
	}
	return result, afterCall(e.faults, path)
}

func (e *FakeEngine) execute(order port.Order) {
	switch order.Kind {
	case port.OrderLoadVersion:
		if !e.has(order.Model, order.Version, "") {
			e.state.Loaded = append(e.state.Loaded, port.LoadedVersion{Model: order.Model, Version: order.Version})
		}
	case port.OrderUnloadVersion:
		e.state.Loaded = slices.DeleteFunc(e.state.Loaded, func(v port.LoadedVersion) bool {
			return v.Model == order.Model && v.Version == order.Version
		})
	case port.OrderLoadAdapter:
		for i, v := range e.state.Loaded {
			if v.Model == order.Model && v.Version == order.Version {
				e.state.Loaded[i].Adapters = append(e.state.Loaded[i].Adapters, order.Adapter)
			}
		}
	case port.OrderSetRole:
		e.state.Role = order.Role
	}
}

// State implements port.Engine.
func (e *FakeEngine) State(ctx context.Context) (port.EngineState, error) {
	const path = upstreamapi.PathState
	if err := beforeCall(ctx, e.faults, path); err != nil {
		return port.EngineState{}, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	state := e.state
	state.Loaded = slices.Clone(e.state.Loaded)
	return state, afterCall(e.faults, path)
}

// Blocks implements port.Engine.
func (e *FakeEngine) Blocks(ctx context.Context) (port.BlockSnapshot, error) {
	const path = upstreamapi.PathBlocks
	if err := beforeCall(ctx, e.faults, path); err != nil {
		return port.BlockSnapshot{}, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	snapshot := port.BlockSnapshot{Incarnation: e.state.Incarnation, Sequence: e.sequence}
	for block := range e.cache {
		snapshot.Blocks = append(snapshot.Blocks, port.SlotState{Block: block, Phase: port.SlotCommitted, Bytes: fakeBlockBytes})
	}
	return snapshot, afterCall(e.faults, path)
}
