package engine

import (
	"bytes"
	"context"
	"net/http/httptest"
	"testing"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/internal/standin"
	"github.com/lovagereach/lovagereach/internal/upstreamapi"
)

func benchmarkEngine(b *testing.B) *Client {
	e := standin.NewEngine(standin.EngineOptions{Models: []port.LoadedVersion{{Model: "m", Version: "v"}}})
	server := httptest.NewServer(e.Handler())
	b.Cleanup(server.Close)
	return New(server.Listener.Addr().String(), Options{})
}

func generate(b *testing.B, client *Client, n uint64, tokens int) {
	ctx := context.Background()
	id := ident.Request{byte(n), byte(n >> 8), byte(n >> 16), byte(n >> 24)}
	stream, err := client.Generate(ctx, port.GenerateRequest{
		Request: id, Attempt: 1, Model: "m", Version: "v", Tokens: []uint32{1, 2, 3}, MaxTokens: tokens, Seed: n,
	})
	if err != nil {
		b.Fatal(err)
	}
	defer stream.Close()
	for {
		event, err := stream.Next(ctx)
		if err != nil {
			b.Fatal(err)
		}
		if event.Done {
			return
		}
	}
}

// BenchmarkDirectRequest measures a request of one token sent directly to an engine
// stand-in, without an entry in between; it includes the cost of the stand-in.
func BenchmarkDirectRequest(b *testing.B) {
	client := benchmarkEngine(b)
	b.ReportAllocs()
	n := uint64(0)
	for b.Loop() {
		n++
		generate(b, client, n, 1)
	}
}

// BenchmarkDirectToken measures one token of a long answer sent directly by an engine
// stand-in, without an entry in between; it includes the cost of the stand-in.
func BenchmarkDirectToken(b *testing.B) {
	const tokens = 1000
	client := benchmarkEngine(b)
	b.ReportAllocs()
	n := uint64(0)
	for b.Loop() {
		n++
		generate(b, client, n, tokens)
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(n*tokens), "ns/token")
}

// BenchmarkReadToken measures the adapter's cost of decoding one token from memory: in
// the exact form that upstreamapi writes, and in general JSON.
func BenchmarkReadToken(b *testing.B) {
	codec := upstreamapi.NewTokenCodec(testRequest.Request, testRequest.Attempt)
	forms := map[string]func(index int) string{
		"own form":     func(index int) string { return string(upstreamapi.AppendEvent(nil, codec.Append(nil, index, " word"))) },
		"general JSON": func(index int) string { return token(7, 2, index) },
	}
	for name, form := range forms {
		b.Run(name, func(b *testing.B) { benchmarkRead(b, form) })
	}
}

func benchmarkRead(b *testing.B, form func(index int) string) {
	const tokens = 1000
	var body bytes.Buffer
	for i := range tokens {
		body.WriteString(form(i))
	}
	body.WriteString(last(tokens) + done)
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		n++
		s, _ := testStream(context.Background(), bytes.NewReader(body.Bytes()), 0)
		s.request.MaxTokens = tokens
		for {
			event, err := s.Next(context.Background())
			if err != nil {
				b.Fatal(err)
			}
			if event.Done {
				break
			}
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(n*tokens), "ns/token")
}
