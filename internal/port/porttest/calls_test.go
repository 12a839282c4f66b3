package porttest

import (
	"context"
	"testing"
	"time"

	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/internal/standin"
	"github.com/lovagereach/lovagereach/internal/upstreamapi"
	"github.com/lovagereach/lovagereach/outcome"
)

// shortCall is a call with a short answer.
type shortCall struct {
	name   string
	path   string
	faults func(pair) *standin.Faults
	do     func(context.Context, pair) error
}

func onEngine(p pair) *standin.Faults { return p.engineFaults }
func onStore(p pair) *standin.Faults  { return p.storeFaults }

var shortCalls = []shortCall{
	{"import", upstreamapi.PathImport, onEngine, func(ctx context.Context, p pair) error {
		_, err := p.engine.Import(ctx, port.ImportRequest{Model: testModel, Version: testVersion})
		return err
	}},
	{"export", upstreamapi.PathExport, onEngine, func(ctx context.Context, p pair) error {
		_, err := p.engine.Export(ctx, port.ExportRequest{Model: testModel, Version: testVersion})
		return err
	}},
	{"order", upstreamapi.PathOrders, onEngine, func(ctx context.Context, p pair) error {
		_, err := p.engine.Order(ctx, port.Order{ID: "o", Kind: port.OrderSetRole, Role: "prefill"})
		return err
	}},
	{"state", upstreamapi.PathState, onEngine, func(ctx context.Context, p pair) error {
		_, err := p.engine.State(ctx)
		return err
	}},
	{"engine blocks", upstreamapi.PathBlocks, onEngine, func(ctx context.Context, p pair) error {
		_, err := p.engine.Blocks(ctx)
		return err
	}},
	{"reserve", upstreamapi.PathReserve, onStore, func(ctx context.Context, p pair) error {
		_, err := p.store.Reserve(ctx, port.ReserveRequest{Block: "b", Bytes: p.blockBytes, Tier: port.TierMemory, Lifetime: time.Minute})
		return err
	}},
	{"stat", upstreamapi.PathStat, onStore, func(ctx context.Context, p pair) error {
		_, err := p.store.Stat(ctx, []port.BlockID{"b"})
		return err
	}},
	{"free", upstreamapi.PathFree, onStore, func(ctx context.Context, p pair) error {
		return p.store.Free(ctx, "b", 0)
	}},
	{"status", upstreamapi.PathStatus, onStore, func(ctx context.Context, p pair) error {
		_, err := p.store.Status(ctx)
		return err
	}},
	{"store blocks", upstreamapi.PathBlocks, onStore, func(ctx context.Context, p pair) error {
		_, err := p.store.Blocks(ctx)
		return err
	}},
}

// The answer to a short call is late, belongs to another call, is truncated,
// duplicated, a refusal or missing. The error must state whether the call may have
// run, and the next call must get its own answer.
func TestShortCallFaults(t *testing.T) {
	for name, open := range pairs {
		for _, call := range shortCalls {
			t.Run(name+"/"+call.name, func(t *testing.T) {
				t.Parallel()
				for _, c := range faultCases {
					p := open(t)
					addFault(t, call.faults(p), standin.Fault{Kind: c.fault, Path: call.path, Count: 1, DelayMillis: 60_000})
					err := call.do(callContext(t, call.faults(p), c.fault), p)
					if got := outcome.KindOf(err); got != c.short {
						t.Errorf("%s: outcome %v (%v), want %v", c.fault, got, err, c.short)
					}
					err = call.do(plainContext(t), p)
					if c.fault == standin.FaultDuplicated && outcome.KindOf(err) == outcome.KindUnknown {
						// The duplicate answer was read as the answer to this call,
						// recognised by its identity and dropped with the connection.
						err = call.do(plainContext(t), p)
					}
					if err != nil {
						t.Errorf("%s: next call: %v", c.fault, err)
					}
				}
			})
		}
	}
}
