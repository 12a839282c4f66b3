package replica

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/adapter/disk"
	"github.com/lovagereach/lovagereach/internal/adapter/disk/disktest"
	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/internal/wire"
)

const (
	testLatency = 1500 * time.Microsecond
	// testSyncTime is longer than a round trip, so that an answer before the
	// sync would leave before any disk holds the command.
	testSyncTime = 5 * time.Millisecond
	// testReserve is small, so that a full disk shows soon.
	testReserve = 64
)

// listMachine keeps its commands in order. A command's result is its place.
type listMachine struct{ commands []string }

func (l *listMachine) Apply(_ uint64, command []byte) []byte {
	l.commands = append(l.commands, string(command))
	return []byte(fmt.Sprint(len(l.commands)))
}

func (l *listMachine) Snapshot() ([]byte, error) { return wire.Marshal(l.commands) }

func (l *listMachine) Restore(data []byte) error {
	l.commands = nil
	return wire.Unmarshal(data, &l.commands)
}

// testNet carries messages between managers in virtual time. Addresses are
// host names.
type testNet struct {
	mu       sync.Mutex
	handlers map[ident.Host]map[port.Method]port.PeerHandler
	// side parts the network: hosts on different sides don't reach each other.
	side map[ident.Host]int
	sent int
}

// endpoint is one life of a host on the network.
type endpoint struct {
	net      *testNet
	self     ident.Host
	handlers map[port.Method]port.PeerHandler
}

func (e *endpoint) Handle(method port.Method, handler port.PeerHandler) {
	e.handlers[method] = handler
}

// handler returns where a message ends up, nil when it is lost.
func (e *endpoint) handler(to string, method port.Method) port.PeerHandler {
	e.net.mu.Lock()
	defer e.net.mu.Unlock()
	host := ident.Host(to)
	current := e.net.handlers[e.self]
	alive := current != nil && current[MethodMessages] == e.handlers[MethodMessages]
	if e.net.side[e.self] != e.net.side[host] || !alive {
		return nil
	}
	return e.net.handlers[host][method]
}

func (e *endpoint) Send(address string, method port.Method, body []byte) bool {
	e.net.mu.Lock()
	e.net.sent++
	e.net.mu.Unlock()
	time.AfterFunc(testLatency, func() {
		if handler := e.handler(address, method); handler != nil {
			_, _ = handler.HandlePeer(context.Background(), port.Peer{Host: e.self, Role: RoleControl}, method, body)
		}
	})
	return true
}

func (e *endpoint) Call(ctx context.Context, address string, method port.Method, body []byte) ([]byte, error) {
	time.Sleep(testLatency)
	handler := e.handler(address, method)
	if handler == nil {
		return nil, port.ErrPeerNotSent
	}
	defer time.Sleep(testLatency)
	return handler.HandlePeer(ctx, port.Peer{Host: e.self, Role: RoleControl}, method, body)
}

// testHost is one host with its disk, across lives.
type testHost struct {
	cluster  *testCluster
	name     ident.Host
	fs       *disktest.FS
	folder   *disk.Folder
	manager  *Manager
	replicas []port.Replica
	stop     context.CancelFunc
	ended    chan struct{}
}

// testCluster is some hosts with the same groups.
type testCluster struct {
	t      *testing.T
	net    *testNet
	hosts  []*testHost
	groups int
	change func(o *Options)
}

func newCluster(t *testing.T, size, groups int, change func(o *Options)) *testCluster {
	t.Helper()
	c := &testCluster{t: t, groups: groups, change: change}
	c.net = &testNet{
		handlers: make(map[ident.Host]map[port.Method]port.PeerHandler),
		side:     make(map[ident.Host]int),
	}
	for i := range size {
		host := &testHost{cluster: c, name: ident.Host(fmt.Sprintf("h%d", i)), fs: disktest.New()}
		host.fs.SlowSync(testSyncTime)
		c.hosts = append(c.hosts, host)
	}
	t.Cleanup(func() {
		for _, host := range c.hosts {
			host.end()
		}
	})
	for _, host := range c.hosts[1:] {
		host.start()
	}
	c.hosts[0].prepare()
	for id := range groups {
		c.hosts[0].form(port.GroupID(id))
	}
	c.hosts[0].run()
	for id := range groups {
		c.join(c.hosts[0], port.GroupID(id))
	}
	return c
}

func (c *testCluster) names() []ident.Host {
	var names []ident.Host
	for _, host := range c.hosts {
		names = append(names, host.name)
	}
	return names
}

func (c *testCluster) join(leader *testHost, id port.GroupID) {
	c.t.Helper()
	if err := leader.manager.Join(limit(20*time.Second), id, c.names()); err != nil {
		c.t.Fatalf("join: %v", err)
	}
}

func limit(d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	context.AfterFunc(ctx, cancel)
	return ctx
}

// prepare opens the disk and makes a manager without groups.
func (h *testHost) prepare() {
	h.cluster.t.Helper()
	folder, err := disk.Open(disk.Options{FS: h.fs, Cluster: "hall", Host: h.name, ReserveBytes: testReserve})
	if err != nil {
		h.cluster.t.Fatal(err)
	}
	h.folder = folder
	end := &endpoint{net: h.cluster.net, self: h.name, handlers: make(map[port.Method]port.PeerHandler)}
	options := Options{
		Self:     h.name,
		Storage:  folder,
		Peers:    end,
		Registry: end,
		Address:  func(host ident.Host) string { return string(host) },
	}
	if h.cluster.change != nil {
		h.cluster.change(&options)
	}
	if h.manager, err = New(options); err != nil {
		h.cluster.t.Fatal(err)
	}
	h.replicas = make([]port.Replica, h.cluster.groups)
	// Function values can't be compared, so each life gets a handler of its own.
	end.handlers[MethodMessages] = &lifeHandler{end.handlers[MethodMessages]}
	h.cluster.net.mu.Lock()
	defer h.cluster.net.mu.Unlock()
	h.cluster.net.handlers[h.name] = end.handlers
}

type lifeHandler struct{ port.PeerHandler }

func (h *testHost) form(id port.GroupID) {
	h.cluster.t.Helper()
	replica, err := h.manager.Bootstrap(limit(time.Second), id, &listMachine{}, h.cluster.names())
	if err != nil {
		h.cluster.t.Fatal(err)
	}
	h.replicas[id] = replica
}

func (h *testHost) run() {
	ctx, cancel := context.WithCancel(context.Background())
	h.stop = cancel
	h.ended = make(chan struct{})
	go func() {
		defer close(h.ended)
		h.manager.Run(ctx)
	}()
}

// start begins a life of a host whose groups exist or will be joined.
func (h *testHost) start() {
	h.cluster.t.Helper()
	h.prepare()
	for id := range h.cluster.groups {
		replica, err := h.manager.Open(port.GroupID(id), &listMachine{})
		if err != nil {
			h.cluster.t.Fatal(err)
		}
		h.replicas[id] = replica
	}
	h.run()
}

// crash ends a life: unsynced writes are lost but for torn bytes, nothing is
// sent any more.
func (h *testHost) crash(torn int) {
	h.cluster.net.mu.Lock()
	delete(h.cluster.net.handlers, h.name)
	h.cluster.net.mu.Unlock()
	next := h.fs.Crash(torn)
	h.end()
	h.fs = next
}

func (h *testHost) end() {
	if h.manager == nil {
		return
	}
	h.stop()
	<-h.ended
	_ = h.folder.Close()
	h.manager = nil
}

// wipe replaces the disk of a host that is down.
func (h *testHost) wipe() {
	h.fs = disktest.New()
	h.fs.SlowSync(testSyncTime)
}

func (c *testCluster) setSide(side int, hosts ...*testHost) {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	for _, host := range hosts {
		c.net.side[host.name] = side
	}
}

// leader waits for a host, not among without, that leads group 0 and can
// prove it.
func (c *testCluster) leader(without ...*testHost) *testHost {
	c.t.Helper()
	for range 2000 {
		for _, host := range c.hosts {
			if host.manager == nil || slices.Contains(without, host) || !host.replicas[0].Status().IsLeader {
				continue
			}
			if host.replicas[0].ReadBarrier(limit(50*time.Millisecond)) == nil {
				return host
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
	c.t.Fatal("no leader within 10 s")
	return nil
}

func propose(t *testing.T, host *testHost, command string) {
	t.Helper()
	if _, err := host.replicas[0].Propose(limit(2*time.Second), []byte(command)); err != nil {
		t.Fatalf("propose %s: %v", command, err)
	}
}

func commands(replica port.Replica) (list []string) {
	replica.View(func(m port.StateMachine) { list = slices.Clone(m.(*listMachine).commands) })
	return list
}

// settle waits until all running hosts have applied the same.
func (c *testCluster) settle() []string {
	c.t.Helper()
	applied, differs := c.compare()
	if differs != "" {
		c.t.Fatal(differs)
	}
	return applied
}

// compare returns what the leader has applied once all has settled, and how a
// host differs from it, empty when none does.
func (c *testCluster) compare() (applied []string, differs string) {
	c.t.Helper()
	leader := c.leader()
	propose(c.t, leader, "last")
	time.Sleep(5 * time.Second)
	want := commands(leader.replicas[0])
	for _, host := range c.hosts {
		if host.manager == nil || host.replicas[0].Status().Suspended != "" {
			continue
		}
		if got := commands(host.replicas[0]); !slices.Equal(got, want) {
			return want, fmt.Sprintf("host %s applied %d commands, the leader %d: %v and %v",
				host.name, len(got), len(want), got, want)
		}
	}
	return want, ""
}

// proposeAnywhere tries hosts until one takes the command, and returns whether
// it was acknowledged.
func (c *testCluster) proposeAnywhere(command string, patience time.Duration) bool {
	deadline := time.Now().Add(patience)
	for time.Now().Before(deadline) {
		for _, host := range c.hosts {
			if host.manager == nil {
				continue
			}
			_, err := host.replicas[0].Propose(limit(300*time.Millisecond), []byte(command))
			if err == nil {
				return true
			}
			if errors.Is(err, port.ErrUncertain) {
				return false
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	return false
}
