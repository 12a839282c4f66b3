package porttest

import (
	"context"
	"strings"
	"testing"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/internal/standin"
	"github.com/lovagereach/lovagereach/internal/upstreamapi"
	"github.com/lovagereach/lovagereach/outcome"
)

// prompt returns a request of nine tokens: two full blocks and one more token.
func prompt(id byte) port.GenerateRequest {
	return port.GenerateRequest{
		Request:   ident.Request{id},
		Attempt:   1,
		Model:     testModel,
		Version:   testVersion,
		Tokens:    []uint32{1, 2, 3, 4, 5, 6, 7, 8, 9},
		Blocks:    []port.BlockID{"b1", "b2"},
		MaxTokens: 6,
		Seed:      uint64(id),
	}
}

// collect reads an answer until it is complete or fails.
func collect(ctx context.Context, e port.Engine, req port.GenerateRequest) (string, port.Usage, error) {
	stream, err := e.Generate(ctx, req)
	if err != nil {
		return "", port.Usage{}, err
	}
	defer stream.Close()
	var text strings.Builder
	for {
		event, err := stream.Next(ctx)
		if err != nil {
			return text.String(), port.Usage{}, err
		}
		if event.Done {
			return text.String(), event.Usage, nil
		}
		text.WriteString(event.Text)
	}
}

// An engine answers late, with events of another request, partially, twice, not at
// all or breaks off inside an event. The caller must get the complete answer to its
// own request or an error of the right kind. The next request must succeed, although
// the connection may still contain data of the failed one.
func TestGenerateFaults(t *testing.T) {
	stalled := faultCase{standin.FaultStalled, outcome.KindUnknown, outcome.KindDone}
	for name, open := range pairs {
		for _, c := range append(faultCases, stalled) {
			t.Run(name+"/"+string(c.fault), func(t *testing.T) {
				p := open(t)
				addFault(t, p.engineFaults, standin.Fault{Kind: c.fault, Count: 1, DelayMillis: 60_000})
				first, second := prompt(1), prompt(2)
				text, _, err := collect(callContext(t, p.engineFaults, c.fault), p.engine, first)
				wantKind(t, err, c.stream)
				complete := standin.ExpectedAnswer(first.Tokens, first.Seed, first.MaxTokens)
				if err == nil && text != complete {
					t.Errorf("answer %q, want %q", text, complete)
				}
				if !strings.HasPrefix(complete, text) {
					t.Errorf("answer %q is not a prefix of %q", text, complete)
				}
				text, _, err = collect(plainContext(t), p.engine, second)
				wantKind(t, err, outcome.KindDone)
				if want := standin.ExpectedAnswer(second.Tokens, second.Seed, second.MaxTokens); text != want {
					t.Errorf("next answer %q, want %q", text, want)
				}
			})
		}
	}
}

// A stream breaks after some tokens. The caller resumes at the token reached
// and must get the same answer as without the break.
func TestGenerateResumes(t *testing.T) {
	for name, open := range pairs {
		t.Run(name, func(t *testing.T) {
			p := open(t)
			ctx := plainContext(t)
			addFault(t, p.engineFaults, standin.Fault{Kind: standin.FaultHalfWritten, Count: 1})
			req := prompt(1)
			begin, _, err := collect(ctx, p.engine, req)
			wantKind(t, err, outcome.KindUnknown)
			req.Attempt, req.ResumeAt = 2, strings.Count(begin, " ")
			if req.ResumeAt == 0 {
				t.Fatal("no token before the break, so nothing is resumed")
			}
			end, usage, err := collect(ctx, p.engine, req)
			wantKind(t, err, outcome.KindDone)
			if want := standin.ExpectedAnswer(req.Tokens, req.Seed, req.MaxTokens); begin+end != want {
				t.Errorf("answer %q, want %q", begin+end, want)
			}
			if usage.OutputTokens != req.MaxTokens || usage.ReusedTokens != 2*testBlockTokens {
				t.Errorf("usage %+v", usage)
			}
		})
	}
}

func TestGenerateRefusesUnloadedVersions(t *testing.T) {
	cases := map[string]func(*port.GenerateRequest){
		"model":   func(r *port.GenerateRequest) { r.Model = "other" },
		"version": func(r *port.GenerateRequest) { r.Version = "v2" },
		"adapter": func(r *port.GenerateRequest) { r.Adapter = "other" },
	}
	for name, open := range pairs {
		for field, change := range cases {
			t.Run(name+"/"+field, func(t *testing.T) {
				req := prompt(1)
				change(&req)
				_, _, err := collect(plainContext(t), open(t).engine, req)
				wantKind(t, err, outcome.KindNotRun)
			})
		}
	}
}

// Two control hosts send orders, the one with the older fencing token late. An engine
// that checks fencing tokens must refuse the late order. An order that is resent because
// its answer was lost must get the same answer and not be executed twice.
func TestOrders(t *testing.T) {
	for name, open := range pairs {
		t.Run(name, func(t *testing.T) {
			p := open(t)
			ctx := plainContext(t)
			load := port.Order{ID: "o1", Fence: 5, Kind: port.OrderLoadVersion, Model: testModel, Version: "v2"}
			addFault(t, p.engineFaults, standin.Fault{Kind: standin.FaultReset, Path: upstreamapi.PathOrders, Count: 1})
			_, err := p.engine.Order(ctx, load)
			wantKind(t, err, outcome.KindUnknown)
			result, err := p.engine.Order(ctx, load)
			if err != nil || !result.Accepted || result.HighestFence != 5 {
				t.Errorf("repeated order: %+v, %v", result, err)
			}
			old := port.Order{ID: "o2", Fence: 4, Kind: port.OrderUnloadVersion, Model: testModel, Version: testVersion}
			result, err = p.engine.Order(ctx, old)
			if err != nil || result.Accepted || result.HighestFence != 5 {
				t.Errorf("old order: %+v, %v", result, err)
			}
			state, err := p.engine.State(ctx)
			if err != nil || state.HighestFence != 5 || len(state.Loaded)+len(state.Loading) != 2 {
				t.Errorf("state %+v, %v", state, err)
			}
		})
	}
}
