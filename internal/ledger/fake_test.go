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

// fakeCluster is three control hosts with one ledger group per shard. Commits
// take no time. The test controls which host leads, which hosts are isolated and
// which messages are lost.
type fakeCluster struct {
	mu       sync.Mutex
	leader   int
	isolated map[int]bool
	servers  []*Server
	groups   map[port.GroupID]*fakeGroup
	// splitBrain is a seeded fault of the replica: an isolated former leader
	// continues to commit to its own copy.
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
	c := &fakeCluster{isolated: make(map[int]bool), groups: make(map[port.GroupID]*fakeGroup)}
	for i := range fakeHosts {
		hosted := make(map[port.GroupID]Group)
		for shard := range shards {
			id := GroupOf(uint32(shard))
			g := c.groups[id]
			if g == nil {
				g = &fakeGroup{cluster: c, applied: make([]int, fakeHosts)}
				c.groups[id] = g
			}
			g.machines = append(g.machines, NewMachine())
			hosted[id] = Group{Replica: &fakeReplica{group: g, host: i}, Machine: g.machines[i]}
		}
		c.servers = append(c.servers, NewServer(hosted, time.Now))
	}
	return c
}

// depose isolates or crashes the leader and makes the next host the leader. A
// crashed host restarts with its log, so other hosts can't distinguish the two.
func (c *fakeCluster) depose() {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.isolated)
	c.isolated[c.leader] = true
	c.leader = (c.leader + 1) % fakeHosts
}

func (c *fakeCluster) heal() {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.isolated)
}

type fakeReplica struct {
	group *fakeGroup
	host  int
}

func (r *fakeReplica) Propose(_ context.Context, command []byte) ([]byte, error) {
	c := r.group.cluster
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isolated[r.host] {
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
	for !g.cluster.isolated[host] && g.applied[host] < len(g.log) {
		last = g.machines[host].Apply(0, g.log[g.applied[host]])
		g.applied[host]++
	}
	return last
}

func (r *fakeReplica) ReadBarrier(context.Context) error {
	c := r.group.cluster
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isolated[r.host] || r.host != c.leader {
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
	return port.ReplicaStatus{Leader: hostName(c.leader), IsLeader: c.leader == r.host && !c.isolated[r.host]}
}

// delivery is the treatment of one message by a fakeNet.
type delivery int

const (
	delivered delivery = iota
	lostBefore
	lostAfter
	// lateCopy means delivered with its answer lost, and delivered once more
	// after copyDelay.
	lateCopy
	// unanswered means that no answer arrives and the connection stays open.
	unanswered
)

// copyDelay is the delay of a late copy.
const copyDelay = 5 * time.Second

// fakeNet implements one entry host's connections to the control hosts.
type fakeNet struct {
	cluster *fakeCluster
	self    port.Peer
	// delivery selects the treatment of each message. If nil, all messages are
	// delivered.
	delivery func(method port.Method) delivery
	// onHandler, if not nil, is called with 1 when a handler starts and with -1
	// when it returns.
	onHandler func(change int)
	// stopped is done when the entry host has crashed. It sends nothing
	// afterwards.
	stopped context.Context
}

func (n *fakeNet) Send(string, port.Method, []byte) bool { return false }

func (n *fakeNet) Call(ctx context.Context, address string, method port.Method, body []byte) ([]byte, error) {
	if n.stopped.Err() != nil {
		return nil, port.ErrPeerNotSent
	}
	var host int
	if _, err := fmt.Sscanf(address, "c%d", &host); err != nil {
		return nil, port.ErrPeerNotSent
	}
	// No faults are injected into the messages that a Client sends on its own
	// when it starts.
	mode := delivered
	if method != MethodLost && n.delivery != nil {
		mode = n.delivery(method)
	}
	if n.stopped.Err() != nil || mode == lostBefore {
		return nil, port.ErrPeerLost
	}
	if mode == unanswered {
		<-ctx.Done()
		return nil, port.ErrPeerLost
	}
	if method != MethodLost && n.onHandler != nil {
		n.onHandler(1)
		defer n.onHandler(-1)
	}
	answer, err := n.cluster.servers[host].HandlePeer(ctx, n.self, method, body)
	if mode == lateCopy {
		go func() {
			time.Sleep(copyDelay)
			n.cluster.servers[host].HandlePeer(context.Background(), n.self, method, body)
		}()
	}
	if n.stopped.Err() != nil || mode != delivered {
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
	stopped, kill := context.WithCancel(context.Background())
	net := &fakeNet{cluster: cluster, self: port.Peer{Host: name, Role: "entry"}, stopped: stopped}
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
	go client.Run(stopped)
	return &fakeEntry{Client: client, net: net, kill: kill}
}

// fakeService records its runs by key and by request.
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
