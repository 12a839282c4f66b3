package port

import (
	"context"
	"time"

	"github.com/lovagereach/lovagereach/ident"
)

// BlockID is the hexadecimal identity of one block of a kept prompt (see
// package prefix).
type BlockID string

// Engine is one runner: a model engine that batches requests, caches prompt
// prefixes and moves KV cache to and from store hosts. KV bytes are transferred
// directly between engine and store, never through the system's own processes.
type Engine interface {
	// Generate starts one request and returns its stream of tokens. It sends
	// the request at most once on a connection whose transport does not retry.
	Generate(ctx context.Context, req GenerateRequest) (TokenStream, error)
	// Import makes the engine fetch blocks from a store host. Blocks that
	// fail verification are reported as missing, never used.
	Import(ctx context.Context, req ImportRequest) (ImportResult, error)
	// Export makes the engine write blocks to slots reserved on a store.
	Export(ctx context.Context, req ExportRequest) (ExportResult, error)
	// Order makes the engine load a version or adapter or change its role.
	// Orders are idempotent by their ID.
	Order(ctx context.Context, order Order) (OrderResult, error)
	// State returns what the engine has loaded.
	State(ctx context.Context) (EngineState, error)
	// Blocks returns a snapshot of the blocks in the engine's cache, to close a gap
	// in its cache events.
	Blocks(ctx context.Context) (BlockSnapshot, error)
}

// GenerateRequest is one attempt at a caller's request.
type GenerateRequest struct {
	Request ident.Request
	// Attempt counts sends of the same request; the engine echoes it.
	Attempt uint32
	Model   ident.Model
	// Version is the weight version that the attempt must run under; an engine
	// that has not loaded it refuses the request.
	Version ident.Version
	Adapter ident.Adapter
	// Tokens is the complete prompt.
	Tokens []uint32
	// Blocks are the identities of the prompt's full blocks in order.
	Blocks []BlockID
	// MaxTokens is the maximum length of the answer.
	MaxTokens int
	// Priority orders the engine's queue; a lower value runs sooner.
	Priority int
	// ResumeAt is the number of answer tokens the caller already has.
	ResumeAt int
	// Seed makes sampling deterministic, so that another runner can resume the answer.
	Seed uint64
}

// TokenStream yields the tokens of one answer. It is not safe for concurrent use.
type TokenStream interface {
	// Next returns the next event. After an event with Done set or an error
	// the stream has ended.
	Next(ctx context.Context) (TokenEvent, error)
	// Close cancels the request at the engine if it is still running.
	Close() error
}

// TokenEvent is one step of an answer.
type TokenEvent struct {
	// Index is the position of the token in the answer, from zero.
	Index int
	Text  string
	// Done marks the last event, which has Usage and no text.
	Done         bool
	FinishReason string
	Usage        Usage
}

// Usage is the engine's own measurement of a completed answer.
type Usage struct {
	PromptTokens int
	// ReusedTokens is the part of the prompt served from cached blocks.
	ReusedTokens int
	OutputTokens int
	Version      ident.Version
	// Queue and Prefill are the times that the request spent queued and in prefill
	// before the first token.
	Queue   time.Duration
	Prefill time.Duration
}

// BlockSource identifies a committed copy of a block on a store host.
type BlockSource struct {
	Block BlockID `json:"block"`
	// Store is the store host's identity, Address its IP address and port.
	Store   ident.Upstream `json:"store"`
	Address string         `json:"address"`
	// Slot and Generation identify the copy; a store refuses any other generation.
	Slot       string `json:"slot"`
	Generation uint64 `json:"generation"`
	Bytes      int64  `json:"bytes"`
	// Checksum is xxhash64 over the block's bytes.
	Checksum uint64 `json:"checksum,string"`
}

// ImportRequest asks an engine to fetch blocks.
type ImportRequest struct {
	Request ident.Request `json:"request_id"`
	Model   ident.Model   `json:"model"`
	Version ident.Version `json:"weight_version"`
	Adapter ident.Adapter `json:"adapter,omitempty"`
	Sources []BlockSource `json:"sources"`
}

// ImportResult lists the requested blocks that are in the engine's cache after the
// import and those that are not.
type ImportResult struct {
	Present []BlockID `json:"present"`
	Missing []BlockID `json:"missing"`
	Bytes   int64     `json:"bytes"`
}

// ExportTarget is a reserved slot on a store host.
type ExportTarget struct {
	Block      BlockID        `json:"block"`
	Store      ident.Upstream `json:"store"`
	Address    string         `json:"address"`
	Slot       string         `json:"slot"`
	Generation uint64         `json:"generation"`
}

// ExportRequest asks an engine to write blocks from its cache to slots.
type ExportRequest struct {
	Model   ident.Model    `json:"model"`
	Version ident.Version  `json:"weight_version"`
	Adapter ident.Adapter  `json:"adapter,omitempty"`
	Targets []ExportTarget `json:"targets"`
}

// ExportedBlock is a block that the engine has written completely.
type ExportedBlock struct {
	Block    BlockID `json:"block"`
	Bytes    int64   `json:"bytes"`
	Checksum uint64  `json:"checksum,string"`
}

// ExportResult lists the blocks that were written and those that are no longer cached.
type ExportResult struct {
	Written []ExportedBlock `json:"written"`
	Missing []BlockID       `json:"missing"`
}

// OrderKind is the kind of an order.
type OrderKind string

// The kinds of order that an engine accepts.
const (
	OrderLoadVersion   OrderKind = "load-version"
	OrderUnloadVersion OrderKind = "unload-version"
	OrderLoadAdapter   OrderKind = "load-adapter"
	OrderSetRole       OrderKind = "set-role"
)

// Order is an instruction with a fencing token.
type Order struct {
	// ID identifies the order; an order with a known ID is not executed again.
	ID string `json:"id"`
	// Fence is the fencing token. It grows with each committed epoch. Some engines
	// refuse orders with an older token, others ignore it.
	Fence   uint64        `json:"fence"`
	Kind    OrderKind     `json:"kind"`
	Model   ident.Model   `json:"model"`
	Version ident.Version `json:"weight_version,omitempty"`
	Adapter ident.Adapter `json:"adapter,omitempty"`
	Role    string        `json:"role,omitempty"`
}

// OrderResult is an engine's answer to an order.
type OrderResult struct {
	// Accepted is false if the engine refused the order for an old fencing token.
	Accepted bool `json:"accepted"`
	// HighestFence is the highest fencing token that the engine has received, if it
	// keeps track of it.
	HighestFence uint64 `json:"highest_fence"`
}

// EngineState is what an engine has loaded.
type EngineState struct {
	Upstream    ident.Upstream    `json:"upstream"`
	Incarnation ident.Incarnation `json:"incarnation"`
	Loaded      []LoadedVersion   `json:"loaded"`
	Loading     []LoadedVersion   `json:"loading"`
	Role        string            `json:"role"`
	// ChecksFence is set if the engine refuses old fencing tokens.
	ChecksFence  bool   `json:"checks_fence"`
	HighestFence uint64 `json:"highest_fence"`
}

// LoadedVersion is a weight version with its adapters.
type LoadedVersion struct {
	Model    ident.Model     `json:"model"`
	Version  ident.Version   `json:"version"`
	Adapters []ident.Adapter `json:"adapters,omitempty"`
}
