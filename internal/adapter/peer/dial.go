package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"

	"github.com/coder/websocket"
	"github.com/rotisserie/eris"
)

// path is the URL path of the peer endpoint.
const path = "/lovagereach/peer/v1"

func (t *Transport) newClient() *http.Client {
	transport := &http.Transport{
		DialContext:         t.options.Dial,
		DisableKeepAlives:   true,
		DisableCompression:  true,
		TLSHandshakeTimeout: t.options.HelloTimeout,
	}
	if t.certs != nil {
		transport.TLSClientConfig = t.certs.clientConfig()
	}
	return &http.Client{Transport: transport}
}

// dial connects to address and performs the hello exchange.
func (t *Transport) dial(address string) (*conn, error) {
	ctx, cancel := context.WithTimeout(t.ctx, t.options.DialTimeout+t.options.HelloTimeout)
	defer cancel()
	scheme := "ws://"
	if t.certs != nil {
		scheme = "wss://"
	}
	ws, response, err := websocket.Dial(ctx, scheme+address+path, &websocket.DialOptions{HTTPClient: t.client})
	if err != nil {
		return nil, t.logRefusal(address, classifyTLS(err))
	}
	ws.SetReadLimit(maxHelloBytes)
	certificate := leaf(response.TLS)
	h := handshake{options: t.options, roster: t.roster, ws: ws, certificate: certificate}
	remote, err := h.client(ctx)
	if err != nil {
		_ = ws.CloseNow()
		return nil, t.logRefusal(address, classifyTLS(err))
	}
	c := newConn(t, ws, remote)
	if certificate != nil {
		c.expires = certificate.NotAfter
	}
	t.options.Log.Info("peer connected", "address", address, "peer", remote.Host, "role", remote.Role)
	return c, nil
}

// classifyTLS returns a RefusedError if err comes from a rejected certificate.
// A rejection by the remote side arrives as a TLS alert, which crypto/tls
// reports as a network error.
func classifyTLS(err error) error {
	var refused *RefusedError
	if errors.As(err, &refused) {
		return refused
	}
	var alert *net.OpError
	if errors.As(err, &alert) && alert.Op == "remote error" {
		return &RefusedError{Reason: RefusedCertificate, ByRemote: true, Detail: alert.Error()}
	}
	var record tls.RecordHeaderError
	if errors.As(err, &record) {
		return &RefusedError{Reason: RefusedCertificate, Detail: "the far side does not speak TLS"}
	}
	return eris.Wrap(err, "peer: dial")
}
