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

// Transport is one process's end of all its peer connections. It implements
// port.PeerClient and port.PeerRegistry.
type Transport struct {
	options  Options
	stats    *stats
	roster   *roster
	refused  refusalLog
	certs    *certificates
	client   *http.Client
	handlers map[port.Method]port.PeerHandler
	// inline marks methods whose one-way handlers run on the reader.
	inline map[port.Method]bool

	ctx    context.Context
	cancel context.CancelCauseFunc

	mu     sync.Mutex
	links  map[string]*link
	conns  map[*conn]struct{}
	server *http.Server
	// active counts calls of ours and handlers of others under way; closing
	// lets it only fall, and idle is closed when it reaches zero after that.
	active  int
	closing bool
	idle    chan struct{}
}

var (
	_ port.PeerClient   = (*Transport)(nil)
	_ port.PeerRegistry = (*Transport)(nil)
)

// New returns a transport that dials on demand. Serve makes it accept.
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

// Metrics returns the set of the transport's counters.
func (t *Transport) Metrics() *metrics.Set { return t.stats.set }

// Handle implements port.PeerRegistry. It must not be called after the first
// connection.
func (t *Transport) Handle(method port.Method, handler port.PeerHandler) {
	if _, taken := t.handlers[method]; taken {
		panic(eris.Errorf("peer: method %q has two handlers", method))
	}
	if len(method) == 0 || len(method) > maxMethod {
		panic(eris.Errorf("peer: method %q must have 1 to %d bytes", method, maxMethod))
	}
	t.handlers[method] = handler
}

// HandleInline is Handle for a method whose one-way handler only decodes and
// queues. It is called on the connection's reader, which saves a change of
// goroutine; a handler that blocks would hold up all that the peer sends.
func (t *Transport) HandleInline(method port.Method, handler port.PeerHandler) {
	t.Handle(method, handler)
	t.inline[method] = true
}

// Call implements port.PeerClient. While a link backs off it fails at once, so
// that the caller can try another host. While the transport closes, handlers
// under way may still call over connections that stand.
func (t *Transport) Call(ctx context.Context, address string, method port.Method, body []byte) ([]byte, error) {
	if !t.begin(FromContext(ctx) != nil) {
		return nil, notSent(errClosing)
	}
	defer t.end()
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

// Session returns the kept connection to address, dialling it if needed.
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

// begin counts work under way; once the transport is closing it fails unless
// the work is part of a handler, which Close waits for anyway.
func (t *Transport) begin(inHandler bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closing && !inHandler || t.active < 0 {
		return false
	}
	t.active++
	return true
}

func (t *Transport) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.active--
	t.settleIdle()
}

func (t *Transport) settleIdle() {
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

// runConn registers c, runs it and returns why it ended.
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
