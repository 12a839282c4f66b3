package peer

import (
	"context"
	"errors"
	"net"
	"net/http"

	"github.com/coder/websocket"
	"github.com/rotisserie/eris"
	"golang.org/x/net/netutil"

	"github.com/lovagereach/lovagereach/internal/ingress"
)

const maxHeaderBytes = 8 << 10

// Serve accepts connections on listener until Close is called, and then returns
// nil; it also returns nil if Close was called before. Serve takes ownership of
// listener.
func (t *Transport) Serve(listener net.Listener) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+path, t.accept)
	server := &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: t.options.HelloTimeout,
		IdleTimeout:       t.options.HelloTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          t.options.Log.StandardLog(),
	}
	t.mu.Lock()
	if t.closing {
		// A process that is stopped during startup shuts down without an error.
		t.mu.Unlock()
		return listener.Close()
	}
	t.server = server
	t.mu.Unlock()
	if t.certs != nil {
		server.TLSConfig = t.certs.serverConfig()
	}
	limited := netutil.LimitListener(t.options.Guard.Protect(server, listener, ingress.SharePeers, nil), t.options.MaxConns)
	var err error
	if t.certs != nil {
		err = server.ServeTLS(limited, "", "")
	} else {
		err = server.Serve(limited)
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return eris.Wrap(err, "peer: serve")
}

func (t *Transport) accept(w http.ResponseWriter, r *http.Request) {
	ws, err := websocket.Accept(w, r, nil)
	if err != nil {
		return
	}
	defer func() { _ = ws.CloseNow() }()
	ws.SetReadLimit(maxHelloBytes)
	ctx, cancel := context.WithTimeout(t.ctx, t.options.HelloTimeout)
	defer cancel()
	certificate := leaf(r.TLS)
	h := handshake{options: t.options, roster: t.roster, ws: ws, certificate: certificate}
	if t.draining() {
		_ = h.refuse(ctx, h.refused(RefusedDraining, "the process is shutting down"))
		return
	}
	remote, err := h.server(ctx)
	if err != nil {
		_ = t.logRefusal(r.RemoteAddr, err)
		return
	}
	ingress.KeepOpen(r.Context())
	c := newConn(t, ws, remote)
	if certificate != nil {
		c.expires = certificate.NotAfter
	}
	t.options.Log.Info("peer accepted", "address", r.RemoteAddr, "peer", remote.Host, "role", remote.Role)
	_ = t.runConn(c)
}
