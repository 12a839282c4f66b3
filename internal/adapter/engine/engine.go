// Package engine is the HTTP client of model engines. It implements port.Engine with the
// protocol of package upstreamapi.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/dghubble/sling"
	"github.com/rotisserie/eris"

	"github.com/lovagereach/lovagereach/internal/adapter/httpcall"
	"github.com/lovagereach/lovagereach/internal/adapter/httpsend"
	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/internal/upstreamapi"
	"github.com/lovagereach/lovagereach/outcome"
)

// DefaultIdleTimeout is the default of Options.IdleTimeout.
const DefaultIdleTimeout = 30 * time.Second

// Options configures the clients of all engines of a process.
type Options struct {
	// Transport is shared by all engines; if nil, New creates one for the client.
	Transport *httpsend.Transport
	// IdleTimeout is the maximum time without data from the engine, before and
	// between tokens; comments of the event stream count as data, for a while and up to
	// a size. Zero selects DefaultIdleTimeout.
	IdleTimeout time.Duration
	// Counters counts dropped events; if nil, New creates counters for the client.
	Counters *Counters
}

// Counters counts dropped events and broken streams.
type Counters struct {
	// Crossed counts events of another request or attempt.
	Crossed atomic.Uint64
	// Duplicated counts tokens that had been delivered before.
	Duplicated atomic.Uint64
	// Broken counts streams that failed before their final event and end marker,
	// other than by an error event of the engine.
	Broken atomic.Uint64
}

// Client is the client of one engine.
type Client struct {
	options Options
	caller  *httpcall.Caller
}

var _ port.Engine = (*Client)(nil)

// New returns a client of the engine at address, an IP address and port.
func New(address string, options Options) *Client {
	if options.Transport == nil {
		options.Transport = httpsend.NoRetryTransport()
	}
	if options.IdleTimeout == 0 {
		options.IdleTimeout = DefaultIdleTimeout
	}
	if options.Counters == nil {
		options.Counters = &Counters{}
	}
	return &Client{options: options, caller: httpcall.NewCaller(options.Transport, address)}
}

// Counters returns the counters of dropped events.
func (c *Client) Counters() *Counters { return c.options.Counters }

// Generate implements port.Engine. ctx applies to the complete stream.
func (c *Client) Generate(ctx context.Context, req port.GenerateRequest) (port.TokenStream, error) {
	body, err := json.Marshal(completionRequest(req))
	if err != nil {
		return nil, eris.Wrap(err, "encode completion request")
	}
	builder := sling.New().Base(c.caller.Base()).Post(upstreamapi.PathCompletions).
		Set("Content-Type", "application/json").
		Set("Accept", "text/event-stream").
		Body(bytes.NewReader(body))
	httpReq, err := builder.Request()
	if err != nil {
		return nil, eris.Wrap(err, "build completion request")
	}
	streamCtx, cancel := context.WithCancel(ctx)
	idle := time.AfterFunc(c.options.IdleTimeout, cancel)
	resp, err := c.options.Transport.Do(httpReq.WithContext(streamCtx), req.Request, req.Attempt)
	if err != nil {
		err = classifyTimeout(ctx, streamCtx, err)
		idle.Stop()
		cancel()
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		defer cancel()
		defer idle.Stop()
		defer resp.Body.Close()
		return nil, httpcall.Failure(resp, req.Request, req.Attempt)
	}
	return newStream(ctx, req, resp.Body, streamControl{cancel: cancel, idle: idle, idleTimeout: c.options.IdleTimeout}, c.options.Counters), nil
}

// classifyTimeout returns a timeout error for an attempt that the idle timer cancelled.
// The transport reports such an attempt as cancelled by the caller.
func classifyTimeout(ctx, streamCtx context.Context, err error) error {
	if ctx.Err() != nil || streamCtx.Err() == nil || outcome.KindOf(err) != outcome.KindUnknown {
		return err
	}
	return &outcome.Unknown{Reason: outcome.ReasonTimeout, Detail: "the engine stayed silent: " + err.Error()}
}

func completionRequest(req port.GenerateRequest) upstreamapi.CompletionRequest {
	return upstreamapi.CompletionRequest{
		Model:     req.Model,
		Version:   req.Version,
		Adapter:   req.Adapter,
		Prompt:    req.Tokens,
		MaxTokens: req.MaxTokens,
		Stream:    true,
		Priority:  req.Priority,
		Seed:      req.Seed,
		ResumeAt:  req.ResumeAt,
		Request:   req.Request,
		Attempt:   req.Attempt,
		CacheSalt: upstreamapi.SaltFor(req.Request, req.Blocks),
		BlockIDs:  req.Blocks,
	}
}

// Import implements port.Engine.
func (c *Client) Import(ctx context.Context, req port.ImportRequest) (port.ImportResult, error) {
	var result port.ImportResult
	err := c.caller.Post(ctx, upstreamapi.PathImport, req, upstreamapi.MaxAnswerBytes, &result)
	return result, err
}

// Export implements port.Engine.
func (c *Client) Export(ctx context.Context, req port.ExportRequest) (port.ExportResult, error) {
	var result port.ExportResult
	err := c.caller.Post(ctx, upstreamapi.PathExport, req, upstreamapi.MaxAnswerBytes, &result)
	return result, err
}

// Order implements port.Engine.
func (c *Client) Order(ctx context.Context, order port.Order) (port.OrderResult, error) {
	var result port.OrderResult
	err := c.caller.Post(ctx, upstreamapi.PathOrders, order, upstreamapi.MaxAnswerBytes, &result)
	return result, err
}

// State implements port.Engine.
func (c *Client) State(ctx context.Context) (port.EngineState, error) {
	var state port.EngineState
	err := c.caller.Get(ctx, upstreamapi.PathState, upstreamapi.MaxAnswerBytes, &state)
	return state, err
}

// Blocks implements port.Engine.
func (c *Client) Blocks(ctx context.Context) (port.BlockSnapshot, error) {
	var snapshot port.BlockSnapshot
	err := c.caller.Get(ctx, upstreamapi.PathBlocks, upstreamapi.MaxSnapshotBytes, &snapshot)
	return snapshot, err
}
