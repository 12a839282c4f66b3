package steward

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/lovagereach/lovagereach/ident"
)

// groupNet simulates the connections between the hosts of a control group in virtual time. Data
// in flight on a cut link waits, as with TCP retransmission.
type groupNet struct {
	mu        sync.Mutex
	listeners map[ident.Host]*groupListener
	// off are hosts without power; suspended ones neither receive nor send.
	off, suspended map[ident.Host]bool
	// cut are the directions in which nothing arrives.
	cut   map[[2]ident.Host]bool
	conns map[*groupConn]struct{}
	// changed is closed and replaced at each change of the fields above.
	changed chan struct{}
	stopped bool
	// delay is the transit time between two hosts, and busy the maximum addition to it.
	delay, busy time.Duration
}

func newGroupNet() *groupNet {
	return &groupNet{
		listeners: make(map[ident.Host]*groupListener), off: make(map[ident.Host]bool), suspended: make(map[ident.Host]bool),
		cut: make(map[[2]ident.Host]bool), conns: make(map[*groupConn]struct{}), changed: make(chan struct{}), delay: oneWay,
	}
}

// transit returns the transit time of a packet.
func (n *groupNet) transit() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.busy == 0 {
		return n.delay
	}
	return n.delay + rand.N(n.busy)
}

// change makes a change and wakes the waiters for a link.
func (n *groupNet) change(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f()
	close(n.changed)
	n.changed = make(chan struct{})
}

// open reports whether a packet arrives. The caller holds the lock.
func (n *groupNet) open(from, to ident.Host) bool {
	return !n.cut[[2]ident.Host{from, to}] && !n.suspended[from] && !n.suspended[to]
}

// await waits until packets arrive, and returns false once the connection has ended.
func (n *groupNet) await(c *groupConn, from, to ident.Host) bool {
	for {
		n.mu.Lock()
		ready, changed, over := n.open(from, to) && !n.off[from] && !n.off[to], n.changed, n.stopped
		n.mu.Unlock()
		if over {
			return false
		}
		if ready {
			return true
		}
		select {
		case <-changed:
		case <-c.lost:
			return false
		}
	}
}

type groupListener struct {
	net    *groupNet
	host   ident.Host
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func (n *groupNet) listen(host ident.Host) *groupListener {
	l := &groupListener{net: n, host: host, conns: make(chan net.Conn), closed: make(chan struct{})}
	n.change(func() { n.listeners[host] = l })
	return l
}

func (l *groupListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *groupListener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.net.change(func() {
			if l.net.listeners[l.host] == l {
				delete(l.net.listeners, l.host)
			}
		})
	})
	return nil
}

func (l *groupListener) Addr() net.Addr {
	return &net.TCPAddr{IP: net.ParseIP(string(l.host)), Port: 1}
}

// groupConn is one connection. Each host has one end of a pipe, and the net the others.
type groupConn struct {
	hosts [2]ident.Host
	ends  [2]net.Conn
	// lost is closed when a host loses power. silent is set once nothing arrives any more.
	lost   chan struct{}
	silent bool
	once   sync.Once
}

var errConnRefused = errors.New("connection refused")

// dialer returns the dial function of one incarnation of a host.
func (n *groupNet) dialer(from ident.Host, incarnation context.Context) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		name, _, err := net.SplitHostPort(address)
		if err != nil {
			return nil, err
		}
		to := ident.Host(name)
		for again := time.Second; ; again *= 2 {
			n.mu.Lock()
			reached := n.open(from, to) && n.open(to, from) && !n.off[to]
			listener := n.listeners[to]
			n.mu.Unlock()
			pause := again
			if reached {
				pause = 2 * n.transit()
			}
			select {
			case <-time.After(pause):
			case <-ctx.Done():
				return nil, ctx.Err()
			case <-incarnation.Done():
				return nil, incarnation.Err()
			}
			if !reached {
				continue
			}
			if listener == nil {
				return nil, errConnRefused
			}
			return n.connect(ctx, incarnation, from, to, listener)
		}
	}
}

func (n *groupNet) connect(ctx, incarnation context.Context, from, to ident.Host, l *groupListener) (net.Conn, error) {
	near, nearEnd := net.Pipe()
	far, farEnd := net.Pipe()
	c := &groupConn{hosts: [2]ident.Host{from, to}, ends: [2]net.Conn{nearEnd, farEnd}, lost: make(chan struct{})}
	select {
	case l.conns <- far:
	case <-l.closed:
		return nil, errConnRefused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	n.mu.Lock()
	refused := n.stopped || incarnation.Err() != nil || n.listeners[to] != l
	if !refused {
		n.conns[c] = struct{}{}
	}
	n.mu.Unlock()
	if refused {
		_, _ = nearEnd.Close(), farEnd.Close()
		return nil, errConnRefused
	}
	go n.forward(c, 0, 1)
	go n.forward(c, 1, 0)
	return near, nil
}

type groupChunk struct {
	due  time.Time
	data []byte
}

// forward copies what one host writes to the other.
func (n *groupNet) forward(c *groupConn, from, to int) {
	queue := make(chan groupChunk, 64)
	go func() {
		defer close(queue)
		for {
			data := make([]byte, 16<<10)
			size, err := c.ends[from].Read(data)
			if size > 0 {
				queue <- groupChunk{time.Now().Add(n.transit()), data[:size]}
			}
			if err != nil {
				return
			}
		}
	}()
	broken := false
	for chunk := range queue {
		if broken {
			continue
		}
		time.Sleep(time.Until(chunk.due))
		if !n.await(c, c.hosts[from], c.hosts[to]) {
			broken = true
			continue
		}
		n.mu.Lock()
		silent := c.silent
		n.mu.Unlock()
		if silent {
			continue
		}
		if _, err := c.ends[to].Write(chunk.data); err != nil {
			// The far side has closed; a reset comes back.
			_ = c.ends[from].Close()
			broken = true
		}
	}
	n.mu.Lock()
	silent := c.silent && !n.stopped
	n.mu.Unlock()
	if silent {
		return
	}
	if n.await(c, c.hosts[from], c.hosts[to]) || n.awaitReset(c.hosts[from], c.hosts[to]) {
		_ = c.ends[to].Close()
	}
	n.mu.Lock()
	delete(n.conns, c)
	n.mu.Unlock()
}

// awaitReset waits until a host that lost power is back and refuses unknown connections.
func (n *groupNet) awaitReset(from, to ident.Host) bool {
	for {
		n.mu.Lock()
		ready, changed, over := n.open(from, to) && n.listeners[from] != nil && !n.off[from] && !n.off[to], n.changed, n.stopped
		n.mu.Unlock()
		if over || ready {
			return true
		}
		<-changed
	}
}

// end ends a host's process: its connections are reset, or after a power loss they stay open at
// the other hosts.
func (n *groupNet) end(host ident.Host, power bool) {
	ended := n.connsOf(host)
	n.mu.Lock()
	l := n.listeners[host]
	n.mu.Unlock()
	if l != nil {
		_ = l.Close()
	}
	if power {
		n.change(func() { n.off[host] = true })
	}
	for _, c := range ended {
		if power {
			c.once.Do(func() { close(c.lost) })
		}
		for i := range c.hosts {
			if c.hosts[i] == host {
				_ = c.ends[i].Close()
			}
		}
	}
}

func (n *groupNet) connsOf(host ident.Host) (list []*groupConn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if c.hosts[0] == host || c.hosts[1] == host {
			list = append(list, c)
		}
	}
	return list
}

// reset ends the connections of a host at both ends.
func (n *groupNet) reset(host ident.Host) {
	for _, c := range n.connsOf(host) {
		_, _ = c.ends[0].Close(), c.ends[1].Close()
	}
}

// silence stops all data on existing connections; new connections work.
func (n *groupNet) silence() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		c.silent = true
	}
}

func (n *groupNet) stop() {
	n.change(func() { n.stopped = true })
	n.mu.Lock()
	conns := slices.Collect(maps.Keys(n.conns))
	n.mu.Unlock()
	for _, c := range conns {
		_, _ = c.ends[0].Close(), c.ends[1].Close()
	}
}
