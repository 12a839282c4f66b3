package ledger

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/adapter/disk"
	"github.com/lovagereach/lovagereach/internal/adapter/peer"
	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/internal/replica"
	"github.com/lovagereach/lovagereach/internal/wait"
	"github.com/lovagereach/lovagereach/once"
)

// realCluster is a set of control hosts in one process with the real replica,
// disk and peer transport over loopback.
type realCluster struct {
	tb          testing.TB
	dir         string
	groups      int
	addresses   map[ident.Host]string
	names       []ident.Host
	hosts       map[ident.Host]*realHost
	incarnation ident.Incarnation
}

type realHost struct {
	transport *peer.Transport
	manager   *replica.Manager
	dir       *disk.Folder
	server    *Server
	hosted    map[port.GroupID]Group
	stop      context.CancelFunc
	running   sync.WaitGroup
}

const realTimeout = 60 * time.Second

var realKey = []byte("a key for tests")

func newRealCluster(tb testing.TB, hosts, groups int) *realCluster {
	tb.Helper()
	c := &realCluster{
		tb: tb, dir: tb.TempDir(), groups: groups, incarnation: 1,
		addresses: make(map[ident.Host]string), hosts: make(map[ident.Host]*realHost),
	}
	// The hosts reuse their ports after a restart. On 127.0.0.1 a test of another
	// package may have taken such a port meanwhile; a random loopback address avoids
	// this.
	loopback := fmt.Sprintf("127.%d.%d.%d:0", 64+rand.IntN(64), rand.IntN(256), 1+rand.IntN(254))
	for i := range hosts {
		listener := must(net.Listen("tcp", loopback))
		c.names = append(c.names, hostName(i))
		c.addresses[hostName(i)] = listener.Addr().String()
		listener.Close()
	}
	// The first host forms the groups and needs the others to be reachable.
	for _, name := range c.names[1:] {
		c.start(name, false)
	}
	c.start(c.names[0], true)
	ctx, cancel := context.WithTimeout(context.Background(), realTimeout)
	defer cancel()
	for id := range c.hosts[c.names[0]].hosted {
		// A newly formed group has no leader yet.
		for c.hosts[c.names[0]].hosted[id].Replica.ReadBarrier(ctx) != nil && wait.For(ctx, minBackoff) {
		}
		c.check(c.hosts[c.names[0]].manager.Join(ctx, id, c.names))
	}
	tb.Cleanup(func() {
		for _, name := range c.names {
			c.stop(name)
		}
	})
	return c
}

func must[T any](value T, err error) T {
	if err != nil {
		panic(err)
	}
	return value
}

func (c *realCluster) check(err error) {
	c.tb.Helper()
	if err != nil {
		c.tb.Fatal(err)
	}
}

// start starts a control host with the data of its directory.
func (c *realCluster) start(name ident.Host, form bool) {
	c.tb.Helper()
	c.incarnation++
	h := &realHost{hosted: make(map[port.GroupID]Group)}
	fs := must(disk.NewFS(filepath.Join(c.dir, string(name))))
	h.dir = must(disk.Open(disk.Options{FS: fs, Cluster: "test", Host: name}))
	self := port.Peer{Host: name, DataCentre: "hall", Incarnation: c.incarnation, Role: roleControl}
	h.transport = must(peer.New(peer.Options{Cluster: "test", Self: self, Key: realKey}))
	h.manager = must(replica.New(replica.Options{
		Self: name, Storage: h.dir, Peers: h.transport, Registry: h.transport,
		Address: func(other ident.Host) string { return c.addresses[other] },
	}))
	h.server = NewServer(h.hosted, time.Now)
	h.server.Register(h.transport)
	var ctx context.Context
	ctx, h.stop = context.WithCancel(context.Background())
	h.running.Go(func() { h.manager.Run(ctx) })
	listener := must(net.Listen("tcp", c.addresses[name]))
	open := func() {
		for shard := range c.groups {
			id, machine := GroupOf(uint32(shard)), NewMachine()
			opened := c.open(h, id, machine, form)
			h.hosted[id] = Group{Replica: opened, Machine: machine}
		}
	}
	if form {
		h.running.Go(func() { _ = h.transport.Serve(listener) })
		open()
	} else {
		open()
		h.running.Go(func() { _ = h.transport.Serve(listener) })
	}
	c.hosts[name] = h
}

func (c *realCluster) open(h *realHost, id port.GroupID, machine *Machine, form bool) port.Replica {
	c.tb.Helper()
	if !form {
		return must(h.manager.Open(id, machine))
	}
	ctx, cancel := context.WithTimeout(context.Background(), realTimeout)
	defer cancel()
	return must(h.manager.Bootstrap(ctx, id, machine, c.names))
}

// stop stops a control host without notifying the others, as a crash does.
func (c *realCluster) stop(name ident.Host) {
	h := c.hosts[name]
	if h == nil {
		return
	}
	delete(c.hosts, name)
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	_ = h.transport.Close(ended)
	h.stop()
	h.running.Wait()
	_ = h.dir.Close()
}

// replaceDisk deletes a control host's data and lets the host rejoin its groups.
func (c *realCluster) replaceDisk(name ident.Host) {
	c.tb.Helper()
	c.stop(name)
	c.check(os.RemoveAll(filepath.Join(c.dir, string(name))))
	c.start(name, false)
	ctx, cancel := context.WithTimeout(context.Background(), realTimeout)
	defer cancel()
	for id := range c.hosts[name].hosted {
		for !c.join(ctx, id) {
			if !wait.For(ctx, maxBackoff) {
				c.tb.Fatalf("group %d did not readmit %s", id, name)
			}
		}
	}
}

// join makes all hosts voters of a group through its leader. It returns false if
// the group has no leader.
func (c *realCluster) join(ctx context.Context, id port.GroupID) bool {
	for _, h := range c.hosts {
		if h.hosted[id].Replica.Status().IsLeader {
			return h.manager.Join(ctx, id, c.names) == nil
		}
	}
	return false
}

// entry returns a client with its own connection.
func (c *realCluster) entry(name ident.Host, incarnation ident.Incarnation) *Client {
	c.tb.Helper()
	self := port.Peer{Host: name, DataCentre: "hall", Incarnation: incarnation, Role: "entry"}
	transport := must(peer.New(peer.Options{Cluster: "test", Self: self, Key: realKey}))
	client := must(NewClient(transport, Options{
		Self:    func() once.Owner { return once.Owner{Host: name, Incarnation: incarnation} },
		Control: c.addresses,
		Shards:  func() once.Shards { return once.Shards{uint32(c.groups)} },
		Now:     time.Now,
	}))
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { client.Run(ctx); close(ended) }()
	c.tb.Cleanup(func() {
		cancel()
		<-ended
		closed, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = transport.Close(closed)
	})
	return client
}

func realCall(n int) Call {
	key := once.Key{Team: "florists", Service: "clock-app", Text: fmt.Sprintf("%d.%d", time.Now().UnixMilli(), n)}
	return Call{Key: key, Digest: once.DigestCall("POST", "/bid", nil), Request: requestOf(uint64(n))}
}

// Each bid is sent through two entry hosts concurrently while control hosts are
// killed and restarted one after the other, over real sockets and synced files.
// Then one host loses its disk and rejoins, another one crashes immediately
// afterwards, and all bids are sent again. No bid may run twice, and all callers
// of a bid must get the same result.
func TestRealClusterSurvivesRestarts(t *testing.T) {
	c := newRealCluster(t, 3, 2)
	entries := []*Client{c.entry("e1", 1), c.entry("e2", 1)}
	service := newFakeService()
	const bids = 150
	bodies := make([][2]string, bids)
	var calls []Call
	var callers sync.WaitGroup
	for n := range bids {
		call := realCall(n)
		calls = append(calls, call)
		for side, entry := range entries {
			callers.Go(func() {
				time.Sleep(time.Duration(n) * 20 * time.Millisecond)
				ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
				defer cancel()
				done, err := entry.Do(ctx, call, func(context.Context) (once.Answer, error) {
					return service.run(call.Key.Text, call.Request), nil
				})
				if err != nil {
					bodies[n][side] = err.Error()
					return
				}
				bodies[n][side] = string(done.Answer.Body)
			})
		}
	}
	for _, name := range c.names {
		time.Sleep(300 * time.Millisecond)
		c.stop(name)
		time.Sleep(300 * time.Millisecond)
		c.start(name, false)
	}
	callers.Wait()
	answered := 0
	for n, pair := range bodies {
		if pair[0] == pair[1] {
			answered++
			continue
		}
		t.Errorf("bid %d: %q and %q", n, pair[0], pair[1])
	}
	for key, runs := range service.byKey {
		if runs != 1 {
			t.Errorf("%s ran %d times", key, runs)
		}
	}
	t.Logf("%d of %d bids with equal answers, %d ran", answered, bids, len(service.byKey))
	if len(service.byKey) < bids*9/10 {
		t.Errorf("only %d of %d bids ran, too few for the test to be meaningful", len(service.byKey), bids)
	}
	c.replaceDisk(c.names[2])
	c.stop(c.names[0])
	resend(t, c.entry("e3", 1), calls, bodies)
}

// resend sends resolved bids again; each must get its recorded answer.
func resend(t *testing.T, entry *Client, calls []Call, bodies [][2]string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), realTimeout)
	defer cancel()
	for n, call := range calls {
		done, err := entry.Do(ctx, call, func(context.Context) (once.Answer, error) {
			t.Errorf("bid %d was sent again", n)
			return once.Answer{}, nil
		})
		if got := string(done.Answer.Body); err == nil && got != bodies[n][0] {
			t.Errorf("bid %d: %q, first %q", n, got, bodies[n][0])
		}
		if err != nil && err.Error() != bodies[n][0] {
			t.Errorf("bid %d: %v, first %q", n, err, bodies[n][0])
		}
	}
}
