// Package store is the HTTP client of store hosts. It implements port.Store with the
// protocol of package upstreamapi.
package store

import (
	"context"

	"github.com/rotisserie/eris"

	"github.com/lovagereach/lovagereach/internal/adapter/httpcall"
	"github.com/lovagereach/lovagereach/internal/adapter/httpsend"
	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/internal/upstreamapi"
	"github.com/lovagereach/lovagereach/outcome"
)

// Client is the client of one store host.
type Client struct {
	caller *httpcall.Caller
}

var _ port.Store = (*Client)(nil)

// New returns a client of the store host at address, an IP address and port. If transport
// is nil, New creates one for the client.
func New(address string, transport *httpsend.Transport) *Client {
	if transport == nil {
		transport = httpsend.NoRetryTransport()
	}
	return &Client{caller: httpcall.NewCaller(transport, address)}
}

// Reserve implements port.Store.
func (c *Client) Reserve(ctx context.Context, req port.ReserveRequest) (port.Reservation, error) {
	body := upstreamapi.ReserveBody{
		Block:          req.Block,
		Team:           req.Team,
		Bytes:          req.Bytes,
		Tier:           req.Tier,
		LifetimeMillis: req.Lifetime.Milliseconds(),
	}
	var answer port.Reservation
	if err := c.caller.Post(ctx, upstreamapi.PathReserve, body, upstreamapi.MaxAnswerBytes, &answer); err != nil {
		return port.Reservation{}, err
	}
	if (answer.Granted || !answer.Full) && answer.State.Block != req.Block {
		return port.Reservation{}, wrongBlock(answer.State.Block, req.Block)
	}
	return answer, nil
}

// Commit implements port.Store.
func (c *Client) Commit(ctx context.Context, req port.CommitRequest) (port.SlotState, error) {
	var state port.SlotState
	if err := c.caller.Post(ctx, upstreamapi.PathCommit, req, upstreamapi.MaxAnswerBytes, &state); err != nil {
		return port.SlotState{}, err
	}
	if state.Block != req.Block {
		return port.SlotState{}, wrongBlock(state.Block, req.Block)
	}
	return state, nil
}

// Stat implements port.Store.
func (c *Client) Stat(ctx context.Context, blocks []port.BlockID) ([]port.SlotState, error) {
	var answer upstreamapi.StatAnswer
	body := upstreamapi.StatBody{Blocks: blocks}
	if err := c.caller.Post(ctx, upstreamapi.PathStat, body, upstreamapi.MaxSnapshotBytes, &answer); err != nil {
		return nil, err
	}
	if len(answer.States) != len(blocks) {
		return nil, badAnswer("store answered another number of blocks")
	}
	for i, state := range answer.States {
		if state.Block != blocks[i] {
			return nil, wrongBlock(state.Block, blocks[i])
		}
	}
	return answer.States, nil
}

// Free implements port.Store.
func (c *Client) Free(ctx context.Context, block port.BlockID, generation uint64) error {
	body := upstreamapi.FreeBody{Block: block, Generation: generation}
	return c.caller.Post(ctx, upstreamapi.PathFree, body, upstreamapi.MaxAnswerBytes, nil)
}

// Status implements port.Store.
func (c *Client) Status(ctx context.Context) (port.StoreStatus, error) {
	var status port.StoreStatus
	err := c.caller.Get(ctx, upstreamapi.PathStatus, upstreamapi.MaxAnswerBytes, &status)
	return status, err
}

// Blocks implements port.Store.
func (c *Client) Blocks(ctx context.Context) (port.BlockSnapshot, error) {
	var snapshot port.BlockSnapshot
	err := c.caller.Get(ctx, upstreamapi.PathBlocks, upstreamapi.MaxSnapshotBytes, &snapshot)
	return snapshot, err
}

func wrongBlock(got, want port.BlockID) error {
	return eris.Wrapf(badAnswer("store answered for another block"), "got %q, asked for %q", got, want)
}

func badAnswer(detail string) error {
	return &outcome.Unknown{Reason: outcome.ReasonBadAnswer, Detail: detail}
}
