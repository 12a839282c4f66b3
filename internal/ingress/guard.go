// Package ingress bounds what a process holds for the clients of its HTTP listeners. It counts the
// connections, and the heads and bodies of requests, before they are held, and closes a connection or
// refuses a request that would go beyond the bounds. Package intake decides.
package ingress

import (
	"context"
	"errors"
	"math"
	"net"
	"net/http"
	"runtime/debug"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sync/semaphore"

	"github.com/lovagereach/lovagereach/intake"
)

const (
	// MemoryWait is how long a request waits for memory that others hold. Callers give up if their request
	// is not read within a second.
	MemoryWait = 500 * time.Millisecond
	// slowAfter is how long a client may hold shared memory with an incomplete request while others need
	// that memory.
	slowAfter = time.Second
	// runtimeShare is the share of a process's memory that is set as the soft limit of the runtime.
	runtimeShare = 0.7
)

// Shares of a process's descriptors for the connections of its listeners. The rest is for connections
// that the process opens itself, and for files.
const (
	ShareCallers   = 0.4
	SharePeers     = 0.3
	ShareOperators = 0.4
	ShareDirectory = 0.1
	ShareProbes    = 0.05
)

// ErrMemory reports that the requests of other clients take all the memory that there is for requests.
var ErrMemory = errors.New("the requests of other clients take all the memory that there is for them")

// Guard bounds what a process holds for the clients of all its listeners.
type Guard struct {
	resources intake.Resources
	limit     int64
	shared    *semaphore.Weighted

	mu        sync.Mutex
	listeners []*listener

	set                       *metrics.Set
	evicted, refused, tooLong *metrics.Counter
}

// New returns the guard of a process. What is unknown of its resources is taken from the limits of the
// runtime and of the system.
func New(resources intake.Resources) *Guard {
	resources.Descriptors = descriptorsOf(resources.Descriptors)
	if resources.Memory <= 0 {
		resources.Memory = ownMemory()
	}
	g := &Guard{resources: resources, limit: resources.Shared(), set: metrics.NewSet()}
	g.shared = semaphore.NewWeighted(g.limit)
	g.evicted = g.set.NewCounter("lovagereach_ingress_connections_closed_total")
	g.refused = g.set.NewCounter("lovagereach_ingress_requests_refused_total")
	g.tooLong = g.set.NewCounter("lovagereach_ingress_heads_too_long_total")
	g.set.NewGauge("lovagereach_ingress_connections", func() float64 { return float64(g.open()) })
	return g
}

// ownMemory returns the memory of this process in bytes, by the soft limit of the runtime or the size of the
// machine, 0 if unknown.
func ownMemory() int64 {
	if limit := debug.SetMemoryLimit(-1); limit < math.MaxInt64 {
		return int64(float64(limit) / runtimeShare)
	}
	var machine syscall.Sysinfo_t
	if syscall.Sysinfo(&machine) != nil {
		return 0
	}
	return int64(machine.Totalram) * int64(machine.Unit)
}

// SetRuntimeLimit sets the soft memory limit of the runtime for a process with some bytes of memory.
func SetRuntimeLimit(memory int64) { debug.SetMemoryLimit(int64(runtimeShare * float64(memory))) }

// descriptorsOf returns the smaller of a configured limit on open files, 0 for none, and the process's own.
func descriptorsOf(configured int) int {
	var own syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &own) != nil || own.Cur > math.MaxInt32 {
		return configured
	}
	if configured <= 0 {
		return int(own.Cur)
	}
	return min(configured, int(own.Cur))
}

// Metrics returns the guard's metrics.
func (g *Guard) Metrics() *metrics.Set { return g.set }

func (g *Guard) open() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	total := 0
	for _, l := range g.listeners {
		total += l.len()
	}
	return total
}

// HeadLimits bound the heads of requests; a zero field leaves the server's own limit.
type HeadLimits struct {
	// Bytes is the maximum size of a head.
	Bytes int
	// Timeout is the time for a head from its first byte on, and Idle how long a connection may be open
	// without a request.
	Timeout, Idle time.Duration
}

// Protect returns the listener from which a server has to accept its connections, a share of the process's
// descriptors at most. limits returns the limits in force, and may be nil. It wraps the server's handler and
// hooks. The heads on encrypted connections, of a server with a TLS configuration, are counted once they
// have been read. A nil guard bounds nothing.
func (g *Guard) Protect(server *http.Server, inner net.Listener, share float64, limits func() HeadLimits) net.Listener {
	if g == nil {
		return inner
	}
	if limits == nil {
		limits = func() HeadLimits { return HeadLimits{} }
	}
	l := &listener{Listener: inner, guard: g, limits: limits, table: intake.NewConnections[*Conn](g.resources.Connections(share))}
	l.scansHeads = server.TLSConfig == nil
	g.mu.Lock()
	g.listeners = append(g.listeners, l)
	g.mu.Unlock()
	stateHook, contextHook, handler := server.ConnState, server.ConnContext, server.Handler
	server.ConnState = func(c net.Conn, state http.ConnState) {
		if guarded := connOf(c); guarded != nil {
			guarded.enter(state)
		}
		if stateHook != nil {
			stateHook(c, state)
		}
	}
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if contextHook != nil {
			ctx = contextHook(ctx, c)
		}
		return context.WithValue(ctx, connKey{}, connOf(c))
	}
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { serve(handler, w, r) })
	return l
}

// remove forgets a listener that was closed.
func (g *Guard) remove(closed *listener) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.listeners = slices.DeleteFunc(g.listeners, func(l *listener) bool { return l == closed })
}

// acquire takes shared memory. If there is none, it closes a connection whose client has been slow with a
// request that holds some, and waits for a moment.
func (g *Guard) acquire(ctx context.Context, bytes int64) error {
	if g.shared.TryAcquire(bytes) {
		return nil
	}
	g.closeSlowest()
	ctx, cancel := context.WithTimeout(ctx, MemoryWait)
	defer cancel()
	if g.shared.Acquire(ctx, bytes) != nil {
		return ErrMemory
	}
	return nil
}

func (g *Guard) closeSlowest() {
	g.mu.Lock()
	listeners := slices.Clone(g.listeners)
	g.mu.Unlock()
	for _, l := range listeners {
		if l.closeSlowest(time.Now()) {
			return
		}
	}
}
