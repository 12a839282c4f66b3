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
	// testSyncTime is longer than a round trip, so that a result returned before the
	// sync would be sent before any disk holds the command.
	testSyncTime = 5 * time.Millisecond
	// testReserve is small, so that a full disk takes effect soon.
	testReserve = 64
)

// listMachine records the applied commands in order. A command's result is its
// position, counted from 1.
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

// testNet delivers messages between managers in virtual time. Addresses are host
// names.
type testNet struct {
	mu       sync.Mutex
	handlers map[ident.Host]map[port.Method]port.PeerHandler
	// partition is the number of each host's partition. Hosts in different partitions
	// can't reach each other.
	partition map[ident.Host]int
	sent      int
}

// endpoint is the network endpoint of one incarnation of a host.
type endpoint struct {
	net      *testNet
	self     ident.Host
	handlers map[port.Method]port.PeerHandler
}

func (e *endpoint) Handle(method port.Method, handler port.PeerHandler) {
	e.handlers[method] = handler
}

// handler returns the handler that receives a message, nil if the message is lost.
func (e *endpoint) handler(to string, method port.Method) port.PeerHandler {
	e.net.mu.Lock()
	defer e.net.mu.Unlock()
	host := ident.Host(to)
	current := e.net.handlers[e.self]
	running := current != nil && current[MethodMessages] == e.handlers[MethodMessages]
	if e.net.partition[e.self] != e.net.partition[host] || !running {
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

// testHost is one host with its disk, across incarnations.
type testHost struct {
	cluster  *testCluster
	name     ident.Host
	fs       *disktest.FS
	folder   *disk.Folder
	manager  *Manager
	replicas []port.Replica
	stop     context.CancelFunc
	doneCh   chan struct{}
}

// testCluster is a set of hosts with the same groups.
type testCluster struct {
	t      *testing.T
	net    *testNet
	hosts  []*testHost
	groups int
	// configure changes the options of a host before its manager is created.
	configure func(o *Options)
}

func newCluster(t *testing.T, size, groups int, configure func(o *Options)) *testCluster {
	t.Helper()
	c := &testCluster{t: t, groups: groups, configure: configure}
	c.net = &testNet{
		handlers:  make(map[ident.Host]map[port.Method]port.PeerHandler),
		partition: make(map[ident.Host]int),
	}
	for i := range size {
		host := &testHost{cluster: c, name: ident.Host(fmt.Sprintf("h%d", i)), fs: disktest.New()}
		host.fs.SlowSync(testSyncTime)
		c.hosts = append(c.hosts, host)
	}
	t.Cleanup(func() {
		for _, host := range c.hosts {
			host.shutDown()
		}
	})
	for _, host := range c.hosts[1:] {
		host.start()
	}
	c.hosts[0].prepare()
	for id := range groups {
		c.hosts[0].bootstrap(port.GroupID(id))
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
	if err := leader.manager.Join(timeoutContext(20*time.Second), id, c.names()); err != nil {
		c.t.Fatalf("join: %v", err)
	}
}

func timeoutContext(d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	context.AfterFunc(ctx, cancel)
	return ctx
}

// prepare opens the disk and creates a manager without groups.
func (h *testHost) prepare() {
	h.cluster.t.Helper()
	folder, err := disk.Open(disk.Options{FS: h.fs, Cluster: "hall", Host: h.name, ReserveBytes: testReserve})
	if err != nil {
		h.cluster.t.Fatal(err)
	}
	h.folder = folder
	network := &endpoint{net: h.cluster.net, self: h.name, handlers: make(map[port.Method]port.PeerHandler)}
	options := Options{
		Self:     h.name,
		Storage:  folder,
		Peers:    network,
		Registry: network,
		Address:  func(host ident.Host) string { return string(host) },
	}
	if h.cluster.configure != nil {
		h.cluster.configure(&options)
	}
	if h.manager, err = New(options); err != nil {
		h.cluster.t.Fatal(err)
	}
	h.replicas = make([]port.Replica, h.cluster.groups)
	// Function values can't be compared, so each incarnation gets its own handler.
	network.handlers[MethodMessages] = &incarnationHandler{network.handlers[MethodMessages]}
	h.cluster.net.mu.Lock()
	defer h.cluster.net.mu.Unlock()
	h.cluster.net.handlers[h.name] = network.handlers
}

// incarnationHandler identifies an incarnation of a host by its pointer.
type incarnationHandler struct{ port.PeerHandler }

func (h *testHost) bootstrap(id port.GroupID) {
	h.cluster.t.Helper()
	replica, err := h.manager.Bootstrap(timeoutContext(time.Second), id, &listMachine{}, h.cluster.names())
	if err != nil {
		h.cluster.t.Fatal(err)
	}
	h.replicas[id] = replica
}

func (h *testHost) run() {
	ctx, cancel := context.WithCancel(context.Background())
	h.stop = cancel
	h.doneCh = make(chan struct{})
	go func() {
		defer close(h.doneCh)
		h.manager.Run(ctx)
	}()
}

// start starts a new incarnation of a host whose groups exist or will add it.
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

// crash ends an incarnation: unsynced writes are lost except for torn bytes, and no
// message is sent any more.
func (h *testHost) crash(torn int) {
	h.cluster.net.mu.Lock()
	delete(h.cluster.net.handlers, h.name)
	h.cluster.net.mu.Unlock()
	next := h.fs.Crash(torn)
	h.shutDown()
	h.fs = next
}

func (h *testHost) shutDown() {
	if h.manager == nil {
		return
	}
	h.stop()
	<-h.doneCh
	_ = h.folder.Close()
	h.manager = nil
}

// wipe replaces the disk of a stopped host with an empty one.
func (h *testHost) wipe() {
	h.fs = disktest.New()
	h.fs.SlowSync(testSyncTime)
}

func (c *testCluster) setPartition(partition int, hosts ...*testHost) {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	for _, host := range hosts {
		c.net.partition[host.name] = partition
	}
}

// leader waits for a host, other than those in without, that leads group 0 and
// confirms it by a read barrier.
func (c *testCluster) leader(without ...*testHost) *testHost {
	c.t.Helper()
	for range 2000 {
		for _, host := range c.hosts {
			if host.manager == nil || slices.Contains(without, host) || !host.replicas[0].Status().IsLeader {
				continue
			}
			if host.replicas[0].ReadBarrier(timeoutContext(50*time.Millisecond)) == nil {
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
	if _, err := host.replicas[0].Propose(timeoutContext(2*time.Second), []byte(command)); err != nil {
		t.Fatalf("propose %s: %v", command, err)
	}
}

func commands(replica port.Replica) (list []string) {
	replica.View(func(m port.StateMachine) { list = slices.Clone(m.(*listMachine).commands) })
	return list
}

// checkEqualState fails the test unless all running hosts have applied the same
// commands, and returns these.
func (c *testCluster) checkEqualState() []string {
	c.t.Helper()
	applied, differs := c.compare()
	if differs != "" {
		c.t.Fatal(differs)
	}
	return applied
}

// compare waits 5 s and returns the commands that the leader has applied, and how a
// host differs from it, empty if none does.
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
			return want, fmt.Sprintf("host %s has applied %d commands, the leader %d: %v and %v",
				host.name, len(got), len(want), got, want)
		}
	}
	return want, ""
}

// proposeAnywhere tries hosts until one accepts the command, and returns whether it
// was acknowledged.
func (c *testCluster) proposeAnywhere(command string, timeout time.Duration) bool {
	deadline := time.Now().Add(timeout)
	for time.Now().Before(deadline) {
		for _, host := range c.hosts {
			if host.manager == nil {
				continue
			}
			_, err := host.replicas[0].Propose(timeoutContext(300*time.Millisecond), []byte(command))
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
