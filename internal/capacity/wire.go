package capacity

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/lovagereach/lovagereach/internal/adapter/announce"
	"github.com/lovagereach/lovagereach/internal/adapter/httpcall"
	"github.com/lovagereach/lovagereach/internal/adapter/httpsend"
	"github.com/lovagereach/lovagereach/internal/port"
)

const (
	// PacketHeader is the overhead of a packet in bytes: an IPv4 header of 20
	// bytes and a TCP header of 32 bytes with timestamps. The frame of the link
	// layer is not counted.
	PacketHeader = 52
	// packetContent is the content of a packet of 1,500 bytes.
	packetContent = 1_448
	// acknowledgements is the number of packets without content per exchange on
	// a persistent connection: the answer acknowledges the request, and one
	// packet acknowledges the answer.
	acknowledgements = 1
)

// exchanges is the number of requests over which a cost is averaged. The request
// that opens the connection is not counted.
const exchanges = 16

// nullSink accepts every message. Its Assignment lists as many entries as own one
// cell.
type nullSink struct{}

func (nullSink) Announce(port.Announcement) (announce.Assignment, error) {
	return announce.Assignment{Entries: []string{"10.1.0.1:7402", "10.1.0.2:7402", "10.1.0.3:7402"}}, nil
}
func (nullSink) Load(port.LoadReport) error            { return nil }
func (nullSink) Events(port.CacheEvents) (bool, error) { return false, nil }

// countedListener counts the bytes read and written on its connections.
type countedListener struct {
	net.Listener
	read, written atomic.Int64
}

func (l *countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: conn, listener: l}, nil
}

type countedConn struct {
	net.Conn
	listener *countedListener
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.listener.read.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.listener.written.Add(int64(n))
	return n, err
}

// exchange is an announcement listener on loopback with a client.
type exchange struct {
	listener *countedListener
	server   *http.Server
	caller   *httpcall.Caller
	path     string
	message  any
}

// newExchange starts the listener and opens the connection by a first message.
func newExchange(path string, message any) (*exchange, error) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	x := &exchange{
		listener: &countedListener{Listener: inner},
		server:   announce.NewServer(nullSink{}, metrics.NewSet()),
		caller:   httpcall.NewCaller(httpsend.NoRetryTransport(), inner.Addr().String()),
		path:     path,
		message:  message,
	}
	go func() { _ = x.server.Serve(x.listener) }() // ends with close
	if err := x.post(); err != nil {
		x.close()
		return nil, err
	}
	return x, nil
}

func (x *exchange) close() { _ = x.server.Close() }

func (x *exchange) post() error {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if err := x.caller.Post(ctx, x.path, x.message, 1<<20, nil); err != nil {
		return fmt.Errorf("%s: %w", x.path, err)
	}
	return nil
}

// ExchangeBytes returns the bytes on the wire for one message to an announcement
// listener: request, answer and the headers of their packets.
func ExchangeBytes(path string, message any) (float64, error) {
	x, err := newExchange(path, message)
	if err != nil {
		return 0, err
	}
	defer x.close()
	read, written := x.listener.read.Load(), x.listener.written.Load()
	for range exchanges {
		if err := x.post(); err != nil {
			return 0, err
		}
	}
	request := float64(x.listener.read.Load()-read) / exchanges
	answer := float64(x.listener.written.Load()-written) / exchanges
	return request + answer + PacketHeader*float64(packets(request)+packets(answer)+acknowledgements), nil
}

// exchangeTime returns the time in nanoseconds of one message over loopback, for
// client and server together.
func exchangeTime(path string, message any) (float64, error) {
	x, err := newExchange(path, message)
	if err != nil {
		return 0, err
	}
	defer x.close()
	var failed error
	cost := NanosecondsPerOp(func() {
		if err := x.post(); err != nil {
			failed = err
		}
	})
	return cost, failed
}

func packets(content float64) int {
	return int(content+packetContent-1) / packetContent
}

// discard is an http.ResponseWriter that discards the answer.
type discard struct{ header http.Header }

func (d *discard) Header() http.Header         { return d.header }
func (d *discard) Write(p []byte) (int, error) { return len(p), nil }
func (d *discard) WriteHeader(int)             {}

// handlingTime returns the time in nanoseconds that the listener's handler takes
// for one message, without the network.
func handlingTime(sink announce.Sink, path string, body []byte) (float64, error) {
	handler := announce.NewHandler(sink, metrics.NewSet())
	request, err := http.NewRequest(http.MethodPost, "http://entry"+path, nil)
	if err != nil {
		return 0, err
	}
	return NanosecondsPerOp(func() {
		request.Body = readCloser{bytes.NewReader(body)}
		handler.ServeHTTP(&discard{header: make(http.Header)}, request)
	}), nil
}

type readCloser struct{ *bytes.Reader }

func (readCloser) Close() error { return nil }
