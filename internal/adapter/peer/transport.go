package peer

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"

	"github.com/lovagereach/lovagereach/internal/port"
)

// Transport manages all peer connections of a process. It implements
// port.PeerClient and port.PeerRegistry.
type Transport struct {
	options        Options
	stats          *stats
	roster         *roster
	refusalLimiter refusalLog
	certs          *certificates
	client         *http.Client
	handlers       map[port.Method]port.PeerHandler
	// inline is the set of methods whose one-way handlers run on the reader's
	// goroutine.
	inline map[port.Method]bool

	ctx    context.Context
	cancel context.CancelCauseFunc

	mu     sync.Mutex
	links  map[string]*link
	conns  map[*conn]struct{}
	server *http.Server
	// active is the number of outgoing calls and running handlers. After closing
	// is set, it only increases for calls made by handlers; idle is closed when it
	// reaches zero, and active is then -1.
	active  int
	closing bool
	idle    chan struct{}
}

var (
	_ port.PeerClient   = (*Transport)(nil)
	_ port.PeerRegistry = (*Transport)(nil)
)

// New returns a transport that dials on demand. It accepts connections once Serve
// is called.
func New(options Options) (*Transport, error) {
	if err := options.Validate(); err != nil {
		return nil, err
	}
	t := &Transport{
		options:  options.withDefaults(),
		stats:    newStats(),
		handlers: make(map[port.Method]port.PeerHandler),
		inline:   make(map[port.Method]bool),
		links:    make(map[string]*link),
		conns:    make(map[*conn]struct{}),
		idle:     make(chan struct{}),
	}
	t.roster = newRoster(t.stats)
	if options.TLS != nil {
		var err error
		if t.certs, err = newCertificates(*options.TLS, t.stats); err != nil {
			return nil, err
		}
	}
	t.client = t.newClient()
	t.ctx, t.cancel = context.WithCancelCause(context.Background())
	return t, nil
}

// Metrics returns the transport's metrics.
func (t *Transport) Metrics() *metrics.Set { return t.stats.set }

// Handle implements port.PeerRegistry. It must not be called after the first
// connection is established.
func (t *Transport) Handle(method port.Method, handler port.PeerHandler) {
	if _, taken := t.handlers[method]; taken {
		panic(eris.Errorf("peer: method %q has two handlers", method))
	}
	if len(method) == 0 || len(method) > maxMethod {
		panic(eris.Errorf("peer: method %q must have 1 to %d bytes", method, maxMethod))
	}
	t.handlers[method] = handler
}

// HandleInline is like Handle for a method whose one-way handler only decodes and
// queues. The handler is called on the connection's reader goroutine, which saves
// a goroutine switch; a handler that blocks would delay all messages of the peer.
func (t *Transport) HandleInline(method port.Method, handler port.PeerHandler) {
	t.Handle(method, handler)
	t.inline[method] = true
}

// Call implements port.PeerClient. While a link backs off, Call fails immediately,
// so that the caller can try another host. While the transport closes, running
// handlers may still make calls over established connections.
func (t *Transport) Call(ctx context.Context, address string, method port.Method, body []byte) ([]byte, error) {
	if !t.beginWork(FromContext(ctx) != nil) {
		return nil, notSent(errClosing)
	}
	defer t.endWork()
	c, err := t.connect(ctx, address)
	if err != nil {
		return nil, notSent(err)
	}
	return c.call(ctx, method, body)
}

// Send implements port.PeerClient.
func (t *Transport) Send(address string, method port.Method, body []byte) bool {
	l, err := t.link(address)
	if err != nil {
		t.stats.sendDrops.Inc()
		return false
	}
	return l.send(method, body)
}

// Session returns the connection to address and dials it if needed.
func (t *Transport) Session(ctx context.Context, address string) (Session, error) {
	c, err := t.connect(ctx, address)
	if err != nil {
		return nil, notSent(err)
	}
	return c, nil
}

func (t *Transport) connect(ctx context.Context, address string) (*conn, error) {
	l, err := t.link(address)
	if err != nil {
		return nil, err
	}
	return l.connect(ctx)
}

func (t *Transport) link(address string) (*link, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if l, ok := t.links[address]; ok {
		return l, nil
	}
	if t.closing {
		return nil, errClosing
	}
	if len(t.links) >= t.options.MaxLinks && !t.evictLink() {
		return nil, errTooMany
	}
	l := &link{transport: t, address: address}
	t.links[address] = l
	return l, nil
}

// evictLink removes one idle link and reports whether there was one.
func (t *Transport) evictLink() bool {
	now := time.Now()
	for address, l := range t.links {
		if l.idle(now) {
			delete(t.links, address)
			return true
		}
	}
	return false
}

// beginWork counts a call or handler as active. Once the transport is closing, it
// returns false unless the work is part of a handler, which Close waits for anyway.
func (t *Transport) beginWork(inHandler bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closing && !inHandler || t.active < 0 {
		return false
	}
	t.active++
	return true
}

func (t *Transport) endWork() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.active--
	t.closeIfIdle()
}

// closeIfIdle closes idle if the transport is closing and no work is active. t.mu
// must be held.
func (t *Transport) closeIfIdle() {
	if t.closing && t.active == 0 {
		close(t.idle)
		t.active = -1
	}
}

func (t *Transport) draining() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.closing
}

// runConn registers c, runs it until it ends and returns the cause.
func (t *Transport) runConn(c *conn) error {
	if !t.roster.attach(c) {
		c.fail(&RefusedError{Reason: RefusedIncarnation, Detail: "a later life has connected"})
	}
	t.mu.Lock()
	t.conns[c] = struct{}{}
	t.mu.Unlock()
	cause := c.run()
	t.mu.Lock()
	delete(t.conns, c)
	t.mu.Unlock()
	t.roster.detach(c)
	t.options.Log.Info("peer connection ended", "peer", c.remote.Host, "role", c.remote.Role, "cause", cause)
	return cause
}
