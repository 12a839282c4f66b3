package entryhost

import (
	"context"
	"sync"
	"time"

	"github.com/lovagereach/lovagereach/internal/adapter/engine"
	"github.com/lovagereach/lovagereach/internal/adapter/httpsend"
	"github.com/lovagereach/lovagereach/internal/adapter/service"
	"github.com/lovagereach/lovagereach/internal/adapter/store"
	"github.com/lovagereach/lovagereach/internal/crash"
	"github.com/lovagereach/lovagereach/internal/port"
)

// maxClients bounds the clients per kind of upstream. Addresses come from
// announcements, so a misbehaving upstream could otherwise fill the maps. When
// the bound is reached, all clients of the kind are dropped, which only costs
// their re-creation.
const maxClients = 4096

// upstreamClients creates and caches the clients of upstreams by address. It
// implements entry.Upstreams.
type upstreamClients struct {
	transport *httpsend.Transport
	options   engine.Options

	mu       sync.Mutex
	engines  map[string]port.Engine
	stores   map[string]port.Store
	services map[string]port.Service
}

func newUpstreamClients(tokenGap time.Duration) *upstreamClients {
	transport := httpsend.NoRetryTransport()
	return &upstreamClients{
		transport: transport,
		options:   engine.Options{Transport: transport, IdleTimeout: tokenGap, Counters: &engine.Counters{}},
		engines:   make(map[string]port.Engine),
		stores:    make(map[string]port.Store),
		services:  make(map[string]port.Service),
	}
}

// Engine implements entry.Upstreams.
func (u *upstreamClients) Engine(address string) port.Engine {
	return cachedClient(u, u.engines, address, func() port.Engine { return engine.New(address, u.options) })
}

// Store implements entry.Upstreams.
func (u *upstreamClients) Store(address string) port.Store {
	return cachedClient(u, u.stores, address, func() port.Store { return store.New(address, u.transport) })
}

// Service implements entry.Upstreams.
func (u *upstreamClients) Service(address string) port.Service {
	return cachedClient(u, u.services, address, func() port.Service { return service.New(address, u.transport) })
}

// CheckProcess implements entry.Upstreams.
func (u *upstreamClients) CheckProcess(ctx context.Context, address string) crash.State {
	return httpsend.CheckProcess(ctx, address)
}

func cachedClient[C any](u *upstreamClients, clients map[string]C, address string, make func() C) C {
	u.mu.Lock()
	defer u.mu.Unlock()
	if client, ok := clients[address]; ok {
		return client
	}
	if len(clients) >= maxClients {
		clear(clients)
	}
	client := make()
	clients[address] = client
	return client
}
