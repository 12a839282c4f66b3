package steward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"github.com/lovagereach/lovagereach/cacheindex"
	"github.com/lovagereach/lovagereach/catalog"
	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/internal/wait"
	"github.com/lovagereach/lovagereach/internal/wire"
)

const (
	// inForce is the time after its acknowledgement within which a configuration must be in
	// force at every connected entry.
	inForce = 2 * time.Second
	// oneSilent is that time if relays don't answer at all: once the state is overdue, no
	// second silent host is waited for.
	oneSilent = time.Second
	// oneWay is the transit time between two hosts.
	oneWay = 1400 * time.Microsecond
	// testEntries are simulated in full. otherEntries are only registered at the leader, and
	// make the fleet too large for it to answer alone.
	testEntries, otherEntries = 4, maxDirectEntries + 4
)

// virtualHost is a control host or an entry of a virtualNet.
type virtualHost struct {
	name ident.Host
	// busy is the delay before the host handles a received message, and lag its delay behind
	// the leader in applying committed commands.
	busy, lag time.Duration
	// A suspended host neither receives nor sends until resumed is closed.
	suspended bool
	resumed   chan struct{}
	// deposed is the term in which the host led without knowing yet that it no longer does, and
	// leaseEnd the end of its lease.
	deposed  uint64
	leaseEnd time.Time
	// steward is nil on entries.
	steward *Steward
	log     *virtualLog
}

// virtualNet is a control group and its entries in virtual time. Hosts answer watches with the
// product's code; only the log is simulated.
type virtualNet struct {
	t   *testing.T
	ctx context.Context

	mu    sync.Mutex
	hosts map[ident.Host]*virtualHost
	// cut are the pairs that can't reach each other.
	cut     map[[2]ident.Host]bool
	leader  ident.Host
	term    uint64
	acked   map[catalog.Version]time.Time
	newest  catalog.Version
	entries []*virtualEntry
}

// virtualEntry is one entry with the times at which versions came into force.
type virtualEntry struct {
	host      *virtualHost
	follower  *Follower
	startedAt time.Time

	mu        sync.Mutex
	version   catalog.Version
	inForceAt map[catalog.Version]time.Time
}

// virtualLog applies committed commands in order.
type virtualLog struct {
	machine *Machine
	queue   chan appended
}

type appended struct {
	at   time.Time
	data []byte
}

// virtualReplica is a host's view of the group.
type virtualReplica struct {
	net  *virtualNet
	host *virtualHost
}

func (r *virtualReplica) Propose(context.Context, []byte) ([]byte, error) {
	return nil, errors.New("not in this test")
}
func (r *virtualReplica) ReadBarrier(context.Context) error { return nil }
func (r *virtualReplica) View(func(port.StateMachine))      {}
func (r *virtualReplica) Status() port.ReplicaStatus {
	r.net.mu.Lock()
	defer r.net.mu.Unlock()
	status := port.ReplicaStatus{Self: r.host.name, Term: r.net.term, Leader: r.net.leader, IsLeader: r.net.leader == r.host.name}
	if status.IsLeader {
		status.LeaseEnd = time.Now().Add(electionMin)
	}
	if r.host.deposed != 0 {
		// It still considers itself the leader.
		status.Term, status.IsLeader, status.LeaseEnd = r.host.deposed, true, r.host.leaseEnd
	}
	if r.net.isCut(r.host.name, r.net.leader) {
		// Behind a partition no leader is known.
		status.Leader = ""
	}
	for _, h := range r.net.hosts {
		if h.steward != nil {
			status.Voters = append(status.Voters, h.name)
		}
	}
	return status
}

// virtualLink is one host's side of the network.
type virtualLink struct {
	net  *virtualNet
	from *virtualHost
}

func (l *virtualLink) Send(string, port.Method, []byte) bool { return false }

// Call delivers a watch and its answer. Messages in flight when a host is suspended or the pair
// is cut are lost.
func (l *virtualLink) Call(ctx context.Context, address string, _ port.Method, body []byte) ([]byte, error) {
	name, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	l.net.mu.Lock()
	to := l.net.hosts[ident.Host(name)]
	l.net.mu.Unlock()
	done := make(chan []byte, 1)
	go func() {
		if !l.net.forward(ctx, l.from, to) {
			return
		}
		raw, err := to.steward.handleWatch(l.net.ctx, port.Peer{Host: l.from.name, DataCentre: dataCentreOf(l.from.name)}, methodWatch, body)
		if err == nil && l.net.forward(ctx, to, l.from) {
			done <- raw
		}
	}()
	select {
	case raw := <-done:
		return raw, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// forward waits for the transit time and reports whether the message arrives.
func (n *virtualNet) forward(ctx context.Context, from, to *virtualHost) bool {
	if !n.open(from, to) {
		return false
	}
	n.mu.Lock()
	way := oneWay + to.busy
	n.mu.Unlock()
	select {
	case <-time.After(way):
	case <-n.ctx.Done():
		return false
	}
	for {
		n.mu.Lock()
		thawed := to.resumed
		frozen := to.suspended
		n.mu.Unlock()
		if !frozen {
			return n.open(from, to)
		}
		select {
		case <-thawed:
		case <-n.ctx.Done():
			return false
		}
	}
}

func (n *virtualNet) open(from, to *virtualHost) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.isCut(from.name, to.name)
}

// newVirtualNet starts control hosts c1 to c6, of which c1 leads, and entries.
func newVirtualNet(t *testing.T) *virtualNet {
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	n := &virtualNet{
		t: t, ctx: ctx, hosts: make(map[ident.Host]*virtualHost), cut: make(map[[2]ident.Host]bool),
		acked: make(map[catalog.Version]time.Time),
	}
	for i := 1; i <= 6; i++ {
		n.addControl(ident.Host(fmt.Sprint("c", i)))
	}
	for _, h := range n.controlHosts() {
		go n.apply(h)
		go h.steward.followLeader(ctx)
	}
	n.elect("c1")
	n.commit(1)
	go n.registerOthers()
	for i := range testEntries {
		n.startEntry(fmt.Sprint("e", i))
	}
	time.Sleep(time.Second)
	return n
}

// registerOthers keeps the entries registered that are not simulated.
func (n *virtualNet) registerOthers() {
	for wait.For(n.ctx, watcherTTL/4) {
		for _, h := range n.controlHosts() {
			l := h.steward.leading.Load()
			for i := range otherEntries {
				if l != nil {
					l.watchers.expect(EntryView{Host: fmt.Sprint("other", i), Ready: true}, time.Now())
				}
			}
		}
	}
}

func (n *virtualNet) controlHosts() []*virtualHost {
	n.mu.Lock()
	defer n.mu.Unlock()
	var list []*virtualHost
	for _, h := range n.hosts {
		if h.steward != nil {
			list = append(list, h)
		}
	}
	return list
}

// dataCentreOf puts the hosts c2 and c3 in the entries' data centre, and the others elsewhere.
func dataCentreOf(host ident.Host) ident.DataCentre {
	if host == "c2" || host == "c3" || strings.HasPrefix(string(host), "e") {
		return "north"
	}
	return "south"
}

func (n *virtualNet) addControl(name ident.Host) {
	h := &virtualHost{name: name, resumed: make(chan struct{})}
	machine, index := NewMachine(), newSharedIndex()
	s := &Steward{
		options: Options{Self: name, DataCentre: dataCentreOf(name), PeerPort: 1, Log: log.New(io.Discard)},
		machine: machine, index: index, relay: newRelayState(machine, index, log.New(io.Discard)),
	}
	s.counters = newControlMetrics(s)
	var replica port.Replica = &virtualReplica{net: n, host: h}
	s.opened.Store(&replica)
	s.follower = NewFollower(FollowerOptions{
		Transport: &virtualLink{net: n, from: h}, Seeds: []ident.Host{"c1", "c2", "c3"}, PeerPort: 1, Self: name,
		LeaderOnly: true, Log: log.New(io.Discard),
	})
	h.steward, h.log = s, &virtualLog{machine: machine, queue: make(chan appended, 1000)}
	n.hosts[name] = h
}

func (n *virtualNet) apply(h *virtualHost) {
	for {
		select {
		case next := <-h.log.queue:
			n.mu.Lock()
			due := next.at.Add(h.lag)
			n.mu.Unlock()
			if !wait.For(n.ctx, time.Until(due)) {
				return
			}
			h.log.machine.Apply(1, next.data)
		case <-n.ctx.Done():
			return
		}
	}
}

func (n *virtualNet) startEntry(name string) *virtualEntry {
	h := &virtualHost{name: ident.Host(name), resumed: make(chan struct{})}
	e := &virtualEntry{host: h, inForceAt: make(map[catalog.Version]time.Time), startedAt: time.Now()}
	e.follower = NewFollower(FollowerOptions{
		Transport: &virtualLink{net: n, from: h}, Seeds: []ident.Host{"c1", "c2", "c3"}, PeerPort: 1, Self: h.name,
		DataCentre: "north", Log: log.New(io.Discard),
	})
	n.mu.Lock()
	n.hosts[h.name] = h
	n.entries = append(n.entries, e)
	n.mu.Unlock()
	go e.follower.Run(n.ctx, e.nextRequest, e.apply)
	return e
}

func (e *virtualEntry) nextRequest() *WatchRequest {
	e.mu.Lock()
	defer e.mu.Unlock()
	return &WatchRequest{
		Entry: &EntryView{Host: string(e.host.name), Ready: true}, Document: e.version,
		Inventories: &cacheindex.Query{}, Term: e.follower.term,
	}
}

func (e *virtualEntry) apply(answer *WatchAnswer, _ time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if answer.Document != nil && answer.Document.Version > e.version {
		e.version = answer.Document.Version
		e.inForceAt[e.version] = time.Now()
	}
}

// commit acknowledges a configuration, if there is a leader that can.
func (n *virtualNet) commit(version catalog.Version) {
	data := wire.MustMarshal(command{Document: testDocument(version, fmt.Sprint(version))})
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.leader == "" || n.hosts[n.leader].suspended {
		return
	}
	now := time.Now()
	n.acked[version], n.newest = now, version
	for _, h := range n.hosts {
		if h.steward != nil && h.name == n.leader {
			h.log.machine.Apply(1, data)
		} else if h.steward != nil && !n.isCut(n.leader, h.name) {
			h.log.queue <- appended{at: now.Add(2 * oneWay), data: data}
		}
	}
}

// elect makes a host the leader, or none.
func (n *virtualNet) elect(name ident.Host) {
	n.mu.Lock()
	before := n.hosts[n.leader]
	n.leader = name
	if name != "" {
		n.term++
	}
	term, h := n.term, n.hosts[name]
	n.mu.Unlock()
	if before != nil {
		before.steward.leading.Store(nil)
	}
	if h != nil {
		h.steward.leading.Store(newLeadership(h.steward, term, time.Now()))
	}
}

func (n *virtualNet) slow(name ident.Host, busy time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hosts[name].busy = busy
}

func (n *virtualNet) lags(name ident.Host, lag time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hosts[name].lag = lag
}

func (n *virtualNet) suspend(name ident.Host) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hosts[name].suspended = true
}

func (n *virtualNet) resume(name ident.Host) {
	n.mu.Lock()
	defer n.mu.Unlock()
	h := n.hosts[name]
	h.suspended = false
	close(h.resumed)
	h.resumed = make(chan struct{})
}

// isCut reports whether two hosts are cut off from one another. The caller holds the lock.
func (n *virtualNet) isCut(a, b ident.Host) bool {
	return n.cut[[2]ident.Host{a, b}] || n.cut[[2]ident.Host{b, a}]
}

func (n *virtualNet) cutLink(a, b ident.Host) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[[2]ident.Host{a, b}] = true
}

// lose suspends the leader permanently, and then elects another.
func (n *virtualNet) lose(next ident.Host) {
	lost := n.leader
	n.suspend(lost)
	time.Sleep(400 * time.Millisecond)
	n.elect("")
	time.Sleep(500 * time.Millisecond)
	n.elect(next)
}

// depose cuts the leader off from the others, and elects another before the first one knows.
func (n *virtualNet) depose(next ident.Host) {
	deposed := n.hosts[n.leader]
	for _, h := range n.controlHosts() {
		if h != deposed {
			n.cutLink(deposed.name, h.name)
		}
	}
	n.mu.Lock()
	deposed.deposed, deposed.leaseEnd = n.term, time.Now().Add(electionMin)
	n.mu.Unlock()
	time.Sleep(electionMin)
	n.mu.Lock()
	n.leader = next
	n.term++
	term, h := n.term, n.hosts[next]
	n.mu.Unlock()
	h.steward.leading.Store(newLeadership(h.steward, term, time.Now()))
	time.Sleep(electionMax + leaderPoll - electionMin)
	n.mu.Lock()
	deposed.deposed = 0
	n.mu.Unlock()
	deposed.steward.leading.Store(nil)
}

// run acknowledges a configuration at each interval for the given length, and returns the
// longest time until one was in force at an entry, and that entry.
func (n *virtualNet) run(every, length time.Duration) (time.Duration, ident.Host) {
	first := n.newest + 1
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(every) {
		n.commit(n.newest + 1)
	}
	time.Sleep(inForce)
	worst, at := time.Duration(0), ident.Host("")
	for _, e := range n.entries {
		for version := first; version <= n.newest; version++ {
			if took := e.inForceAfter(version, n.acked[version], n.newest); took > worst {
				worst, at = took, e.host.name
			}
		}
	}
	return worst, at
}

// inForceAfter returns the time after its acknowledgement until a version, or a later one, was
// in force at the entry.
func (e *virtualEntry) inForceAfter(version catalog.Version, acked time.Time, newest catalog.Version) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	for ; version <= newest; version++ {
		if at, known := e.inForceAt[version]; known {
			return at.Sub(later(acked, e.startedAt))
		}
	}
	return time.Since(later(acked, e.startedAt))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
