package control_test

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/control"
	"github.com/lovagereach/lovagereach/internal/port"
)

var discardLog = log.New(io.Discard)

// fakeGroup is an in-memory replicated log whose leader the test selects.
type fakeGroup struct {
	mu     sync.Mutex
	log    [][]byte
	hosts  []*fakeReplica
	leader int
	term   uint64
	// commitTime is the duration of a proposal.
	commitTime time.Duration
	// loseAnswers is the number of subsequent proposals that are committed without
	// an answer.
	loseAnswers int
	// answersBeforeQuorum is a seeded fault: an isolated leader answers proposals
	// that no other host has.
	answersBeforeQuorum bool
}

// fakeReplica is one host of a fakeGroup.
type fakeReplica struct {
	group   *fakeGroup
	index   int
	machine *control.Machine
	applied int
	// isolated hosts reach no other host and keep their view of the leader.
	isolated    bool
	knownLeader int
	knownTerm   uint64
}

var hostNames = []ident.Host{"control-0", "control-1", "control-2"}

func newFakeGroup() *fakeGroup {
	g := &fakeGroup{term: 1, commitTime: 2 * time.Millisecond}
	for i := range hostNames {
		g.hosts = append(g.hosts, &fakeReplica{group: g, index: i, machine: control.NewMachine()})
	}
	g.elect(0)
	return g
}

func (g *fakeGroup) elect(leader int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leader = leader
	g.term++
	g.catchUp()
}

func (g *fakeGroup) setIsolated(host int, isolated bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.hosts[host].isolated = isolated
	g.catchUp()
}

// catchUp applies the log on all hosts that are not isolated and updates their
// view of the leader.
func (g *fakeGroup) catchUp() {
	for _, host := range g.hosts {
		if host.isolated {
			continue
		}
		host.knownLeader, host.knownTerm = g.leader, g.term
		for host.applied < len(g.log) {
			host.machine.Apply(uint64(host.applied+1), g.log[host.applied])
			host.applied++
		}
	}
}

func (r *fakeReplica) Propose(ctx context.Context, command []byte) ([]byte, error) {
	if err := sleep(ctx, r.group.commitTime); err != nil {
		return nil, port.ErrUncertain
	}
	r.group.mu.Lock()
	defer r.group.mu.Unlock()
	if r.isolated && r.group.answersBeforeQuorum && r.knownLeader == r.index {
		return copyOf(r.machine).Apply(0, command), nil
	}
	if r.isolated {
		return nil, port.ErrUncertain
	}
	if r.group.leader != r.index {
		return nil, &port.NotLeaderError{Leader: hostNames[r.group.leader]}
	}
	r.group.catchUp()
	r.group.log = append(r.group.log, command)
	r.applied++
	answer := r.machine.Apply(uint64(r.applied), command)
	r.group.catchUp()
	if r.group.loseAnswers > 0 {
		r.group.loseAnswers--
		return nil, port.ErrUncertain
	}
	return answer, nil
}

func (r *fakeReplica) ReadBarrier(context.Context) error {
	r.group.mu.Lock()
	defer r.group.mu.Unlock()
	if r.isolated && r.group.answersBeforeQuorum && r.knownLeader == r.index {
		return nil
	}
	if r.isolated {
		return errors.New("no quorum")
	}
	r.group.catchUp()
	return nil
}

func (r *fakeReplica) View(f func(port.StateMachine)) {
	r.group.mu.Lock()
	defer r.group.mu.Unlock()
	f(r.machine)
}

func (r *fakeReplica) Status() port.ReplicaStatus {
	r.group.mu.Lock()
	defer r.group.mu.Unlock()
	return port.ReplicaStatus{
		Term:     r.knownTerm,
		Self:     hostNames[r.index],
		Leader:   hostNames[r.knownLeader],
		IsLeader: r.knownLeader == r.index,
		Voters:   hostNames,
	}
}

// fakeNetwork delivers peer calls between processes in memory.
type fakeNetwork struct {
	mu       sync.Mutex
	handlers map[string]map[port.Method]port.PeerHandler
	isolated map[ident.Host]bool
	oneWay   time.Duration
	bytes    int
	messages int
}

func newFakeNetwork() *fakeNetwork {
	return &fakeNetwork{
		handlers: make(map[string]map[port.Method]port.PeerHandler),
		isolated: make(map[ident.Host]bool),
		oneWay:   1500 * time.Microsecond,
	}
}

func (n *fakeNetwork) setIsolated(host ident.Host, isolated bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isolated[host] = isolated
}

// traffic returns the messages and body bytes since the last call.
func (n *fakeNetwork) traffic() (messages, bytes int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	messages, bytes = n.messages, n.bytes
	n.messages, n.bytes = 0, 0
	return messages, bytes
}

// fakeRegistry registers the handlers of one address.
type fakeRegistry struct {
	network *fakeNetwork
	address string
}

func (r fakeRegistry) Handle(method port.Method, handler port.PeerHandler) {
	r.network.mu.Lock()
	defer r.network.mu.Unlock()
	if r.network.handlers[r.address] == nil {
		r.network.handlers[r.address] = make(map[port.Method]port.PeerHandler)
	}
	r.network.handlers[r.address][method] = handler
}

// fakePeer is the peer client of one process. Addresses are host names.
type fakePeer struct {
	network *fakeNetwork
	self    port.Peer
}

// transmit delivers body one way. A message from or to an isolated host is lost.
func (p *fakePeer) transmit(ctx context.Context, to string, body []byte) error {
	if err := sleep(ctx, p.network.oneWay); err != nil {
		return err
	}
	p.network.mu.Lock()
	lost := p.network.isolated[p.self.Host] || p.network.isolated[ident.Host(to)]
	p.network.messages++
	p.network.bytes += len(body)
	p.network.mu.Unlock()
	if lost {
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}

func (p *fakePeer) Call(ctx context.Context, address string, method port.Method, body []byte) ([]byte, error) {
	if err := p.transmit(ctx, address, body); err != nil {
		return nil, err
	}
	p.network.mu.Lock()
	handler := p.network.handlers[address][method]
	p.network.mu.Unlock()
	if handler == nil {
		return nil, port.ErrPeerNotSent
	}
	answer, err := handler.HandlePeer(ctx, p.self, method, body)
	if err != nil {
		return nil, &port.RemoteError{Message: err.Error()}
	}
	if err := p.transmit(ctx, address, answer); err != nil {
		return nil, err
	}
	return answer, nil
}

func (p *fakePeer) Send(string, port.Method, []byte) bool { return false }

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// copyOf returns a copy of a machine.
func copyOf(machine *control.Machine) *control.Machine {
	data, err := machine.Snapshot()
	if err != nil {
		panic(err)
	}
	copied := control.NewMachine()
	if err := copied.Restore(data); err != nil {
		panic(err)
	}
	return copied
}
