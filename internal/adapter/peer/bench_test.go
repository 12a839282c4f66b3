package peer

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"testing"
	"time"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/port"
)

// benchPair returns a client and the address of a server on loopback.
func benchPair(b *testing.B, handler port.PeerHandlerFunc) (*Transport, string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server, err := New(Options{Cluster: testCluster, Self: self("b", 1), Key: testKey})
	if err != nil {
		b.Fatal(err)
	}
	server.Handle(methodEcho, handler)
	go func() { _ = server.Serve(listener) }()
	client, err := New(Options{Cluster: testCluster, Self: self("a", 1), Key: testKey})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		_ = client.Close(within(time.Second))
		_ = server.Close(within(time.Second))
	})
	return client, listener.Addr().String()
}

func BenchmarkCall(b *testing.B) {
	for _, size := range []struct {
		name  string
		bytes int
	}{{"64B", 64}, {"4KiB", 4 << 10}, {"256KiB", 256 << 10}} {
		b.Run(size.name, func(b *testing.B) {
			client, address := benchPair(b, echo)
			body := make([]byte, size.bytes)
			b.SetBytes(int64(size.bytes))
			b.ReportAllocs()
			for b.Loop() {
				if _, err := client.Call(context.Background(), address, methodEcho, body); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkIdleConnections measures the memory of an idle connection, both ends
// together, after a call and a one-way message.
func BenchmarkIdleConnections(b *testing.B) {
	_, address := benchPair(b, echo)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	b.ResetTimer()
	for i := range b.N {
		client, err := New(Options{Cluster: testCluster, Self: self(ident.Host(fmt.Sprint("c", i)), 1), Key: testKey})
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(func() { _ = client.Close(within(time.Second)) })
		client.Send(address, methodEcho, nil)
		if _, err := client.Call(context.Background(), address, methodEcho, nil); err != nil {
			b.Fatal(err)
		}
	}
	b.StopTimer()
	runtime.GC()
	runtime.ReadMemStats(&after)
	used := after.HeapAlloc + after.StackInuse - before.HeapAlloc - before.StackInuse
	b.ReportMetric(float64(used)/float64(b.N)/1024, "KiB/connection")
}

func BenchmarkCallParallel(b *testing.B) {
	client, address := benchPair(b, echo)
	body := make([]byte, 64)
	b.ReportAllocs()
	b.SetParallelism(8)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if _, err := client.Call(context.Background(), address, methodEcho, body); err != nil {
				b.Error(err)
				return
			}
		}
	})
}
