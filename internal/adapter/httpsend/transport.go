package httpsend

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/lovagereach/lovagereach/internal/longanswer"
)

// Limits of connections to upstreams.
const (
	dialTimeout        = 2 * time.Second
	keepAlive          = 15 * time.Second
	idleTimeout        = 60 * time.Second
	maxIdlePerUpstream = 64
	maxIdle            = 4096
	maxHeaderBytes     = 64 << 10
)

// ErrSecondSend reports that http.Transport tried to send a request again.
var ErrSecondSend = errors.New("httpsend: the HTTP client tried to send the request a second time")

// Transport is an http.RoundTripper that writes each request to at most one
// connection.
type Transport struct {
	// Answers reads the answers that are needed whole.
	Answers *longanswer.Reader
	base    *http.Transport
}

// NoRetryTransport returns a Transport that uses HTTP/1.1 only, ignores proxy settings
// and reuses connections.
func NoRetryTransport() *Transport {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlive}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: conn}, nil
	}
	// HTTP/2 is disabled because it has retry rules of its own.
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &Transport{Answers: longanswer.NewReader(1), base: &http.Transport{
		DialContext:            dial,
		MaxIdleConns:           maxIdle,
		MaxIdleConnsPerHost:    maxIdlePerUpstream,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		DisableCompression:     true,
		Protocols:              protocols,
	}}
}

// RoundTrip implements http.RoundTripper.
//
// http.Transport retries a request after the failure of a reused connection if the
// request has no body, if its body was not read yet, or if GetBody returns a new one.
// RoundTrip passes every request with a body that can't be read again after Close, and
// without GetBody, so none of the three applies. A request without a body gets an empty
// one for this purpose; a POST is then sent with chunked encoding.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	single := req.Clone(req.Context())
	single.GetBody = nil
	body := &singleBody{inner: req.Body}
	if body.inner == nil {
		body.inner = http.NoBody
	}
	single.Body = body
	return t.base.RoundTrip(single)
}

// CloseIdleConnections closes the idle connections.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// singleBody is a request body that can't be read after it was closed.
type singleBody struct {
	inner  io.ReadCloser
	closed atomic.Bool
}

// Read implements io.Reader.
func (b *singleBody) Read(p []byte) (int, error) {
	if b.closed.Load() {
		return 0, ErrSecondSend
	}
	return b.inner.Read(p)
}

// Close implements io.Closer.
func (b *singleBody) Close() error {
	b.closed.Store(true)
	return b.inner.Close()
}
