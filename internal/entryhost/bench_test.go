package entryhost

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"

	"github.com/lovagereach/lovagereach/config"
	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/adapter/callers"
	"github.com/lovagereach/lovagereach/internal/entry"
	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/internal/standin"
	"github.com/lovagereach/lovagereach/internal/upstreamapi"
)

const benchToken = "bench-token"

// benchControl has a configuration and a lease that doesn't expire.
type benchControl struct{ snapshot *config.Snapshot }

func (c benchControl) Snapshot() *config.Snapshot { return c.snapshot }
func (c benchControl) Serving(time.Time) bool     { return true }
func (c benchControl) Entries() []entry.Peer      { return nil }
func (c benchControl) Leave()                     {}

// benchLedger is not used by the benchmarks; its calls fail.
type benchLedger struct{}

func (benchLedger) Do(context.Context, entry.OnceCall, entry.SendOnce) (entry.OnceDone, error) {
	return entry.OnceDone{}, io.EOF
}

func benchConfig(b testing.TB) *config.Snapshot {
	b.Helper()
	snapshot, err := config.NewSnapshot(1, config.Document{
		Classes: []config.Class{{Name: "c", Kind: config.KindModel, Repeatable: true,
			FirstToken: config.Target{Within: config.Duration(time.Second)}, Deadline: config.Duration(time.Hour)}},
		Teams:  []config.Team{{Name: "t", Tokens: []config.TokenDigest{config.DigestToken(benchToken)}, Classes: []ident.Class{"c"}}},
		Models: []config.Model{{Name: "m", Versions: []config.TargetVersion{{Version: "v"}}}},
	})
	if err != nil {
		b.Fatal(err)
	}
	return snapshot
}

// benchEntry serves callers on listener with the engine at address as its
// upstream.
func benchEntry(b testing.TB, listener net.Listener, address string) {
	b.Helper()
	set := metrics.NewSet()
	e, err := entry.New(entry.Options{
		Host: "e", DataCentre: "d", Callers: "127.0.0.1:1", Announce: "127.0.0.1:2",
		Control: benchControl{benchConfig(b)}, Ledger: benchLedger{}, Upstreams: newUpstreamClients(time.Hour),
		Log: log.New(io.Discard), Metrics: set, Random: rand.New(rand.NewPCG(1, 2)),
	})
	if err != nil {
		b.Fatal(err)
	}
	handler, err := callers.New(e, callers.Options{MaxOpenPerTeam: 1 << 14, MaxOpen: 1 << 14, WriteTimeout: time.Hour}, set)
	if err != nil {
		b.Fatal(err)
	}
	announcement := port.Announcement{
		Upstream: "r", Incarnation: 1, Kind: port.KindEngine, Address: address, DataCentre: "d",
		Models: []port.LoadedVersion{{Model: "m", Version: "v"}}, LeaseMillis: time.Minute.Milliseconds(), Slots: 1 << 14,
	}
	announce := func() {
		if _, err := e.Announce(announcement); err != nil {
			b.Error(err)
		}
	}
	announce()
	ticker := time.NewTicker(time.Second)
	done := make(chan struct{})
	go func() {
		for {
			select {
			case <-ticker.C:
				announce()
			case <-done:
				return
			}
		}
	}()
	server := handler.Server()
	go func() { _ = server.Serve(listener) }()
	b.Cleanup(func() {
		ticker.Stop()
		close(done)
		_ = server.Close()
	})
}

// benchEngine serves a stand-in engine and returns its address.
func benchEngine(b testing.TB) string {
	b.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	fake := standin.NewEngine(standin.EngineOptions{
		Upstream: "r", DataCentre: "d", Models: []port.LoadedVersion{{Model: "m", Version: "v"}}, Slots: 1 << 14,
	})
	server := &http.Server{Handler: fake.Handler()}
	go func() { _ = server.Serve(listener) }()
	b.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

func benchListener(b testing.TB) net.Listener {
	b.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	return listener
}

func benchPrompt(tokens int) []uint32 {
	prompt := make([]uint32, tokens)
	for i := range prompt {
		prompt[i] = uint32(i)
	}
	return prompt
}

// streamThroughEntry streams one answer through the entry and returns its
// length in bytes.
func streamThroughEntry(b testing.TB, client *http.Client, address string, body []byte) int64 {
	request, err := http.NewRequest(http.MethodPost, "http://"+address+callers.PathCompletions, bytes.NewReader(body))
	if err != nil {
		b.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+benchToken)
	response, err := client.Do(request)
	if err != nil {
		b.Fatal(err)
	}
	defer response.Body.Close()
	size, err := io.Copy(io.Discard, response.Body)
	if err != nil || response.StatusCode != http.StatusOK {
		b.Fatalf("status %d, %v", response.StatusCode, err)
	}
	return size
}

// streamDirect streams one answer directly from the engine as raw bytes.
func streamDirect(b testing.TB, client *http.Client, address string, body []byte) {
	request, err := http.NewRequest(http.MethodPost, "http://"+address+upstreamapi.PathCompletions, bytes.NewReader(body))
	if err != nil {
		b.Fatal(err)
	}
	response, err := client.Do(request)
	if err != nil {
		b.Fatal(err)
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil || response.StatusCode != http.StatusOK {
		b.Fatalf("status %d, %v", response.StatusCode, err)
	}
}

// requestBodies returns the request bodies of the same prompt for the entry and
// for the engine.
func requestBodies(b testing.TB, prompt []uint32, tokens int) (viaEntry, viaEngine []byte) {
	b.Helper()
	viaEntry, err := json.Marshal(map[string]any{"model": "m", "prompt": prompt, "max_tokens": tokens, "stream": true})
	if err != nil {
		b.Fatal(err)
	}
	viaEngine, err = json.Marshal(upstreamapi.CompletionRequest{
		Model: "m", Version: "v", Prompt: prompt, MaxTokens: tokens, Stream: true, Request: ident.Request{1}, Attempt: 1, CacheSalt: "s",
	})
	if err != nil {
		b.Fatal(err)
	}
	return viaEntry, viaEngine
}

func median(times []time.Duration) time.Duration {
	slices.Sort(times)
	return times[len(times)/2]
}

// BenchmarkAddedTime reports the time that an entry adds to a short answer.
// Requests directly to the engine and through the entry alternate within one
// run.
func BenchmarkAddedTime(b *testing.B) {
	for _, tokens := range []int{100, 4000} {
		b.Run(fmt.Sprintf("prompt=%d", tokens), func(b *testing.B) {
			address := benchEngine(b)
			listener := benchListener(b)
			benchEntry(b, listener, address)
			viaEntry, viaEngine := requestBodies(b, benchPrompt(tokens), 1)
			client := &http.Client{Transport: &http.Transport{}}
			var straight, through []time.Duration
			for b.Loop() {
				started := time.Now()
				streamDirect(b, client, address, viaEngine)
				between := time.Now()
				streamThroughEntry(b, client, listener.Addr().String(), viaEntry)
				straight = append(straight, between.Sub(started))
				through = append(through, time.Since(between))
			}
			b.ReportMetric(float64(median(straight).Microseconds()), "direct-p50-µs")
			b.ReportMetric(float64(median(through).Microseconds()), "entry-p50-µs")
			b.ReportMetric(float64((median(through) - median(straight)).Microseconds()), "added-p50-µs")
		})
	}
}

// processorTime returns the CPU time used by the whole process.
func processorTime(b testing.TB) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkRelayedToken reports the CPU time and the allocations that the entry
// adds per token: the cost of a long answer through the entry minus that of one
// directly from the engine.
func BenchmarkRelayedToken(b *testing.B) {
	const tokens = 20_000
	address := benchEngine(b)
	listener := benchListener(b)
	benchEntry(b, listener, address)
	viaEntry, viaEngine := requestBodies(b, benchPrompt(10), tokens)
	client := &http.Client{Transport: &http.Transport{}}
	var straight, through time.Duration
	var straightAllocs, throughAllocs uint64
	for b.Loop() {
		cost, allocs := measureCost(b, func() { streamDirect(b, client, address, viaEngine) })
		straight, straightAllocs = straight+cost, straightAllocs+allocs
		cost, allocs = measureCost(b, func() { streamThroughEntry(b, client, listener.Addr().String(), viaEntry) })
		through, throughAllocs = through+cost, throughAllocs+allocs
	}
	relayed := float64(tokens) * float64(b.N)
	b.ReportMetric(float64(straight.Microseconds())/relayed, "direct-cpu-µs/token")
	b.ReportMetric(float64((through-straight).Microseconds())/relayed, "added-cpu-µs/token")
	b.ReportMetric((float64(throughAllocs)-float64(straightAllocs))/relayed, "added-allocs/token")
}

func measureCost(b testing.TB, run func()) (time.Duration, uint64) {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	started := processorTime(b)
	run()
	cost := processorTime(b) - started
	runtime.ReadMemStats(&after)
	return cost, after.Mallocs - before.Mallocs
}
