package porttest

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/adapter/engine"
	"github.com/lovagereach/lovagereach/internal/adapter/service"
	"github.com/lovagereach/lovagereach/internal/adapter/store"
	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/internal/standin"
	"github.com/lovagereach/lovagereach/outcome"
)

const (
	testModel       ident.Model   = "appraiser"
	testVersion     ident.Version = "v1"
	testBlockTokens               = 4
	testBlockBytes                = 256
	// callTimeout ends calls that fail to return by themselves.
	callTimeout = 30 * time.Second
)

var testLoaded = port.LoadedVersion{Model: testModel, Version: testVersion, Adapters: []ident.Adapter{"lots"}}

// listen serves handler on loopback and returns its address.
func listen(t *testing.T, handler http.Handler) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: callTimeout}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(listener) // returns after Close
	}()
	t.Cleanup(func() {
		server.Close()
		<-done
	})
	return listener.Addr().String()
}

// pair is an engine and a store host that can reach each other.
type pair struct {
	engine       port.Engine
	store        port.Store
	storeAddress string
	engineFaults *standin.Faults
	storeFaults  *standin.Faults
	blockBytes   int64
	// secondEngine returns another engine that can reach the same store host.
	secondEngine func(t *testing.T) port.Engine
}

// pairs has a constructor for each implementation.
var pairs = map[string]func(t *testing.T) pair{
	"http adapter on stand-in": func(t *testing.T) pair {
		standinEngine := newStandinEngine()
		standinStore := standin.NewStore(standin.StoreOptions{Upstream: "store-1", MemoryBytes: 8 * testBlockBytes, DiskBytes: 8 * testBlockBytes})
		storeAddress := listen(t, standinStore.Handler())
		return pair{
			engine:       engine.New(listen(t, standinEngine.Handler()), engine.Options{}),
			store:        store.New(storeAddress, nil),
			storeAddress: storeAddress,
			engineFaults: standinEngine.Faults(),
			storeFaults:  standinStore.Faults(),
			blockBytes:   testBlockBytes,
			secondEngine: func(t *testing.T) port.Engine {
				return engine.New(listen(t, newStandinEngine().Handler()), engine.Options{})
			},
		}
	},
	"in-memory fake": func(*testing.T) pair {
		fakeEngine := NewFakeEngine("engine-1", testBlockTokens, testLoaded)
		fakeStore := NewFakeStore("store-1", 8*fakeBlockBytes)
		fakeEngine.Stores["store"] = fakeStore
		return pair{
			engine:       fakeEngine,
			store:        fakeStore,
			storeAddress: "store",
			engineFaults: fakeEngine.Faults(),
			storeFaults:  fakeStore.Faults(),
			blockBytes:   fakeBlockBytes,
			secondEngine: func(*testing.T) port.Engine {
				second := NewFakeEngine("engine-2", testBlockTokens, testLoaded)
				second.Stores["store"] = fakeStore
				return second
			},
		}
	},
}

func newStandinEngine() *standin.Engine {
	return standin.NewEngine(standin.EngineOptions{
		Upstream:    "engine-1",
		Models:      []port.LoadedVersion{testLoaded},
		BlockTokens: testBlockTokens,
		BlockBytes:  testBlockBytes,
		ChecksFence: true,
	})
}

// replica is one implementation of port.Service.
type replica struct {
	service port.Service
	faults  *standin.Faults
	runs    func(key string) int
}

var replicas = map[string]func(t *testing.T) replica{
	"http adapter on stand-in": func(t *testing.T) replica {
		s := standin.NewService(standin.ServiceOptions{Upstream: "clock-1", Service: "clock"})
		return replica{service: service.New(listen(t, s.Handler()), nil), faults: s.Faults(), runs: s.Runs}
	},
	"in-memory fake": func(*testing.T) replica {
		s := NewFakeService()
		return replica{service: s, faults: s.Faults(), runs: s.Runs}
	},
}

func addFault(t *testing.T, faults *standin.Faults, fault standin.Fault) {
	t.Helper()
	if err := faults.Add(fault); err != nil {
		t.Fatal(err)
	}
}

func wantKind(t *testing.T, err error, want outcome.Kind) {
	t.Helper()
	if got := outcome.KindOf(err); got != want {
		t.Errorf("outcome %v (%v), want %v", got, err, want)
	}
}

// callContext returns the context of a call with the given fault. A call that would
// never return is cancelled once the fault has been injected, so that the request has
// certainly been sent however slow the machine is; any other call returns by itself.
func callContext(t *testing.T, faults *standin.Faults, fault standin.FaultKind) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
	t.Cleanup(cancel)
	if fault != standin.FaultHung && fault != standin.FaultLate && fault != standin.FaultStalled {
		return ctx
	}
	go func() {
		for faults.Injected()[fault] == 0 && ctx.Err() == nil {
			time.Sleep(time.Millisecond)
		}
		cancel()
	}()
	return ctx
}

// plainContext returns the context of a call without a fault.
func plainContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
	t.Cleanup(cancel)
	return ctx
}

// faultCase is a fault with the outcomes that the caller of a stream and the caller of
// a short call must get.
type faultCase struct {
	fault  standin.FaultKind
	stream outcome.Kind
	short  outcome.Kind
}

// faultCases are the faults of streams and short calls. A stream is not affected by events
// of other requests or by repeated events, since each of its events has an identity.
var faultCases = []faultCase{
	{standin.FaultLate, outcome.KindUnknown, outcome.KindUnknown},
	{standin.FaultCrossed, outcome.KindDone, outcome.KindUnknown},
	{standin.FaultTruncated, outcome.KindUnknown, outcome.KindUnknown},
	{standin.FaultDuplicated, outcome.KindDone, outcome.KindDone},
	{standin.FaultRefused, outcome.KindNotRun, outcome.KindNotRun},
	{standin.FaultUnavailable, outcome.KindUnknown, outcome.KindUnknown},
	{standin.FaultError, outcome.KindFailed, outcome.KindFailed},
	{standin.FaultHung, outcome.KindUnknown, outcome.KindUnknown},
	{standin.FaultHalfWritten, outcome.KindUnknown, outcome.KindUnknown},
	{standin.FaultReset, outcome.KindUnknown, outcome.KindUnknown},
}
