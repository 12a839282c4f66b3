//go:build review

package main

import (
	"context"
	"net"
	"net/http"
	"sync"
)

// gate is the listener of a runner that may refuse new connections, while those that exist live on, and
// that knows for which entry each connection carries requests.
type gate struct {
	address string
	server  *http.Server

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]*machine
	// all are the open connections.
	all map[net.Conn]bool
}

type connKey struct{}

func newGate(server *http.Server, address string) *gate {
	g := &gate{address: address, server: server, conns: make(map[net.Conn]*machine), all: make(map[net.Conn]bool)}
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }
	server.ConnState = func(c net.Conn, state http.ConnState) {
		g.mu.Lock()
		defer g.mu.Unlock()
		if state == http.StateClosed {
			delete(g.all, c)
		} else {
			g.all[c] = true
		}
	}
	return g
}

// open accepts connections.
func (g *gate) open() error {
	listener, err := net.Listen("tcp", g.address)
	if err != nil {
		return err
	}
	g.mu.Lock()
	g.listener, g.address = listener, listener.Addr().String()
	g.mu.Unlock()
	go func() { _ = g.server.Serve(listener) }()
	return nil
}

// refuse refuses new connections and resets those of one entry.
func (g *gate) refuse(of *machine) {
	g.mu.Lock()
	defer g.mu.Unlock()
	_ = g.listener.Close()
	for c, m := range g.conns {
		if m == of {
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
			delete(g.conns, c)
		}
	}
}

// used records for which entry a connection carries requests.
func (g *gate) used(r *http.Request, m *machine) {
	c, _ := r.Context().Value(connKey{}).(net.Conn)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.conns[c] = m
}

// down refuses new connections and resets all.
func (g *gate) down() {
	g.mu.Lock()
	defer g.mu.Unlock()
	_ = g.listener.Close()
	for c := range g.all {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	clear(g.all)
}
