package ledger

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/once"
)

// A fakeCluster is three control hosts with one ledger group for each shard.
// Committing is instant; who leads, who is cut off and what is lost is the
// test's choice.
type fakeCluster struct {
	mu      sync.Mutex
	leader  int
	cut     map[int]bool
	servers []*Server
	groups  map[port.GroupID]*fakeGroup
	// splitBrain lets a host that was deposed while cut off go on committing
	// to its own copy: a seeded fault of the replica.
	splitBrain bool
}

type fakeGroup struct {
	cluster  *fakeCluster
	log      [][]byte
	machines []*Machine
	applied  []int
}

const fakeHosts = 3

func hostName(i int) ident.Host { return ident.Host(fmt.Sprintf("c%d", i)) }

func newFakeCluster(shards int) *fakeCluster {
	c := &fakeCluster{cut: make(map[int]bool), groups: make(map[port.GroupID]*fakeGroup)}
	for i := range fakeHosts {
		held := make(map[port.GroupID]Group)
		for shard := range shards {
			id := GroupOf(uint32(shard))
			g := c.groups[id]
			if g == nil {
				g = &fakeGroup{cluster: c, applied: make([]int, fakeHosts)}
				c.groups[id] = g
			}
			g.machines = append(g.machines, NewMachine())
			held[id] = Group{Replica: &fakeReplica{group: g, host: i}, Machine: g.machines[i]}
		}
		c.servers = append(c.servers, NewServer(held, time.Now))
	}
	return c
}

// depose cuts the leader off or crashes it and lets the next host lead. A
// crashed host comes back with its log, so both look alike from outside.
func (c *fakeCluster) depose() {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.cut)
	c.cut[c.leader] = true
	c.leader = (c.leader + 1) % fakeHosts
}

func (c *fakeCluster) heal() {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.cut)
}

type fakeReplica struct {
	group *fakeGroup
	host  int
}

func (r *fakeReplica) Propose(_ context.Context, command []byte) ([]byte, error) {
	c := r.group.cluster
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cut[r.host] {
		if c.splitBrain {
			return r.group.machines[r.host].Apply(0, command), nil
		}
		return nil, port.ErrUncertain
	}
	if r.host != c.leader {
		return nil, &port.NotLeaderError{Leader: hostName(c.leader)}
	}
	r.group.log = append(r.group.log, command)
	var result []byte
	for host := range fakeHosts {
		if last := r.group.catchUp(host); host == r.host {
			result = last
		}
	}
	return result, nil
}

func (g *fakeGroup) catchUp(host int) (last []byte) {
	for !g.cluster.cut[host] && g.applied[host] < len(g.log) {
		last = g.machines[host].Apply(0, g.log[g.applied[host]])
		g.applied[host]++
	}
	return last
}

func (r *fakeReplica) ReadBarrier(context.Context) error {
	c := r.group.cluster
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cut[r.host] || r.host != c.leader {
		return &port.NotLeaderError{Leader: hostName(c.leader)}
	}
	r.group.catchUp(r.host)
	return nil
}

func (r *fakeReplica) View(f func(port.StateMachine)) { f(r.group.machines[r.host]) }

func (r *fakeReplica) Status() port.ReplicaStatus {
	c := r.group.cluster
	c.mu.Lock()
	defer c.mu.Unlock()
	return port.ReplicaStatus{Leader: hostName(c.leader), IsLeader: c.leader == r.host && !c.cut[r.host]}
}

// fate is what happens to one message.
type fate int

const (
	delivered fate = iota
	lostBefore
	lostAfter
	// lateCopy: delivered, its answer lost, and delivered once more later.
	lateCopy
	// swallowed: the far side says nothing, and the connection stays.
	swallowed
)

// lateBy is how long a late copy takes.
const lateBy = 5 * time.Second

// fakeNet is one entry host's connections to the control hosts.
type fakeNet struct {
	cluster *fakeCluster
	self    port.Peer
	// fate decides on each message; nil delivers all.
	fate func(method port.Method) fate
	// around is told when a handler begins and ends, if it is set.
	around func(change int)
	// dead ends the entry host: nothing leaves it any more.
	dead context.Context
}

func (n *fakeNet) Send(string, port.Method, []byte) bool { return false }

func (n *fakeNet) Call(ctx context.Context, address string, method port.Method, body []byte) ([]byte, error) {
	if n.dead.Err() != nil {
		return nil, port.ErrPeerNotSent
	}
	var host int
	if _, err := fmt.Sscanf(address, "c%d", &host); err != nil {
		return nil, port.ErrPeerNotSent
	}
	// What a Client says by itself when it starts is no part of the trials.
	what := delivered
	if method != MethodLost && n.fate != nil {
		what = n.fate(method)
	}
	if n.dead.Err() != nil || what == lostBefore {
		return nil, port.ErrPeerLost
	}
	if what == swallowed {
		<-ctx.Done()
		return nil, port.ErrPeerLost
	}
	if method != MethodLost && n.around != nil {
		n.around(1)
		defer n.around(-1)
	}
	answer, err := n.cluster.servers[host].HandlePeer(ctx, n.self, method, body)
	if what == lateCopy {
		go func() {
			time.Sleep(lateBy)
			n.cluster.servers[host].HandlePeer(context.Background(), n.self, method, body)
		}()
	}
	if n.dead.Err() != nil || what != delivered {
		return nil, port.ErrPeerLost
	}
	return answer, err
}

// fakeEntry is one incarnation of an entry host.
type fakeEntry struct {
	*Client
	net  *fakeNet
	kill context.CancelFunc
}

func newFakeEntry(cluster *fakeCluster, name ident.Host, incarnation ident.Incarnation, shards uint32) *fakeEntry {
	dead, kill := context.WithCancel(context.Background())
	net := &fakeNet{cluster: cluster, self: port.Peer{Host: name, Role: "entry"}, dead: dead}
	control := make(map[ident.Host]string)
	for i := range fakeHosts {
		control[hostName(i)] = string(hostName(i))
	}
	client, err := NewClient(net, Options{
		Self:    func() once.Owner { return once.Owner{Host: name, Incarnation: incarnation} },
		Control: control,
		Shards:  func() once.Shards { return once.Shards{shards} },
		Now:     time.Now,
	})
	if err != nil {
		panic(err)
	}
	go client.Run(dead)
	return &fakeEntry{Client: client, net: net, kill: kill}
}

// fakeService counts its runs by key and by request.
type fakeService struct {
	mu       sync.Mutex
	byKey    map[string]int
	requests map[ident.Request]bool
}

func newFakeService() *fakeService {
	return &fakeService{byKey: make(map[string]int), requests: make(map[ident.Request]bool)}
}

func (s *fakeService) run(key string, request ident.Request) once.Answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byKey[key]++
	s.requests[request] = true
	body := fmt.Sprintf("%s run %d for %s", key, s.byKey[key], request)
	return once.Answer{Status: 201, Body: []byte(body)}
}

func (s *fakeService) ran(request ident.Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests[request]
}

func requestOf(n uint64) ident.Request {
	var id ident.Request
	r := rand.New(rand.NewPCG(n, 1))
	for i := range id {
		id[i] = byte(r.UintN(256))
	}
	return id
}
