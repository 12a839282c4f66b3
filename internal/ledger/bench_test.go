package ledger

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/adapter/httpsend"
	"github.com/lovagereach/lovagereach/once"
)

// benchService starts an HTTP service on loopback that answers immediately and
// returns a function that calls it.
func benchService(b *testing.B) (send func(context.Context, Call) (once.Answer, error)) {
	listener := must(net.Listen("tcp", "127.0.0.1:0"))
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, "bid taken")
	})}
	go func() { _ = server.Serve(listener) }()
	b.Cleanup(func() { server.Close() })
	transport := httpsend.NoRetryTransport()
	target := "http://" + listener.Addr().String() + "/bid"
	return func(ctx context.Context, call Call) (once.Answer, error) {
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, target, strings.NewReader("amount=3"))
		if err != nil {
			return once.Answer{}, err
		}
		resp, err := transport.Do(req, call.Request, 1)
		if err != nil {
			return once.Answer{}, err
		}
		defer resp.Body.Close()
		body, err := io.ReadAll(resp.Body)
		return once.Answer{Status: resp.StatusCode, Body: body}, err
	}
}

// BenchmarkCallLatency compares the latency of a call with and without the
// ledger, alternately in one run with a single caller, on real sockets and
// synced files.
func BenchmarkCallLatency(b *testing.B) {
	for _, hosts := range []int{3, 5} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			c := newRealCluster(b, hosts, 1)
			entry := c.entry("e1", 1)
			send := benchService(b)
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Minute)
			defer cancel()
			var with, without []time.Duration
			for n := 0; b.Loop(); n++ {
				call := realCall(n)
				start := time.Now()
				if _, err := send(ctx, call); err != nil {
					b.Fatal(err)
				}
				direct := time.Now()
				if _, err := entry.Do(ctx, call, func(ctx context.Context) (once.Answer, error) { return send(ctx, call) }); err != nil {
					b.Fatal(err)
				}
				with = append(with, time.Since(direct))
				without = append(without, direct.Sub(start))
			}
			for name, sample := range map[string][]time.Duration{"with": with, "without": without} {
				slices.Sort(sample)
				b.ReportMetric(float64(sample[len(sample)/2].Microseconds()), name+"-p50-us")
				b.ReportMetric(float64(sample[len(sample)*95/100].Microseconds()), name+"-p95-us")
			}
		})
	}
}

// BenchmarkCalls measures the calls per second through the ledger, each with a
// claim and a record, with callers on eight entry hosts.
func BenchmarkCalls(b *testing.B) {
	for _, hosts := range []int{3, 5} {
		for _, groups := range []int{1, 4, 16} {
			b.Run(fmt.Sprintf("hosts=%d/groups=%d", hosts, groups), func(b *testing.B) {
				c := newRealCluster(b, hosts, groups)
				var entries []*Client
				for i := range 8 {
					entries = append(entries, c.entry(ident.Host(fmt.Sprint("e", i)), 1))
				}
				var next atomic.Int64
				b.SetParallelism(64)
				b.ResetTimer()
				b.RunParallel(func(pb *testing.PB) {
					for pb.Next() {
						n := int(next.Add(1))
						ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
						_, err := entries[n%len(entries)].Do(ctx, realCall(n), func(context.Context) (once.Answer, error) {
							return once.Answer{Status: 201, Body: []byte("bid taken")}, nil
						})
						cancel()
						if err != nil {
							b.Error(err)
						}
					}
				})
				b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "calls/s")
			})
		}
	}
}
