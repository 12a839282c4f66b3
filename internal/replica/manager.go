package replica

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"

	"github.com/lovagereach/lovagereach/internal/adapter/disk"
	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/internal/wire"
	"github.com/lovagereach/lovagereach/quorum"
)

type groupID = port.GroupID

// RoleControl is the peer role of the hosts that run a Manager.
const RoleControl = "control"

// pendingPoll is the interval at which Stop checks for pending proposals.
const pendingPoll = 5 * time.Millisecond

// maxMessages is the maximum number of messages in one body.
const maxMessages = 1 << 16

// Manager runs the groups of one host.
type Manager struct {
	options Options
	stats   *stats
	workers []*worker

	mu     sync.Mutex
	groups map[groupID]*group
	// done is closed when the manager stops.
	done     chan struct{}
	stopOnce sync.Once
	stopped  bool
	// spawned tracks the goroutines started by spawn.
	spawned sync.WaitGroup
}

// New returns a manager and registers its handlers. Groups can be opened before
// Run and while it runs.
func New(options Options) (*Manager, error) {
	if err := options.Validate(); err != nil {
		return nil, err
	}
	m := &Manager{
		options: options.withDefaults(),
		stats:   newStats(),
		groups:  make(map[groupID]*group),
		done:    make(chan struct{}),
	}
	m.stats.set.NewGauge("lovagereach_replica_groups", func() float64 { return m.count(nil) })
	m.stats.set.NewGauge("lovagereach_replica_suspended_groups", func() float64 {
		return m.count((*group).isSuspended)
	})
	m.stats.set.NewGauge("lovagereach_replica_led_groups", func() float64 {
		return m.count(func(g *group) bool { return g.worker.status(g).Role == quorum.RoleLeader })
	})
	for range m.options.Workers {
		m.workers = append(m.workers, newWorker(m))
	}
	registerMessages(options.Registry, port.PeerHandlerFunc(m.handleMessages))
	options.Registry.Handle(MethodIdentify, port.PeerHandlerFunc(m.handleIdentify))
	return m, nil
}

// registerMessages registers handler to run inline if the registry supports it,
// which saves a goroutine switch per body. handleMessages is fast enough for
// that: it only decodes and queues.
func registerMessages(registry port.PeerRegistry, handler port.PeerHandler) {
	type inlineRegistry interface {
		HandleInline(method port.Method, handler port.PeerHandler)
	}
	if r, ok := registry.(inlineRegistry); ok {
		r.HandleInline(MethodMessages, handler)
		return
	}
	registry.Handle(MethodMessages, handler)
}

// Metrics returns the manager's metrics.
func (m *Manager) Metrics() *metrics.Set { return m.stats.set }

// Run runs the groups until ctx ends. The outcome of proposals pending at that
// time is reported as uncertain, as after a crash; call Stop first for a graceful
// shutdown.
func (m *Manager) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-m.done:
			cancel()
		case <-ctx.Done():
		}
	}()
	var running sync.WaitGroup
	for _, w := range m.workers {
		running.Go(func() { w.run(ctx) })
	}
	running.Wait()
	m.shutDown()
	m.spawned.Wait()
}

// Stop transfers the leadership of every group, within the deadline of ctx, and
// ends Run. The transfer saves callers an election. Close the peer transport
// after Stop, and the data folder last.
func (m *Manager) Stop(ctx context.Context) {
	var leaving sync.WaitGroup
	for _, id := range m.Groups() {
		leaving.Go(func() {
			if err := m.TransferLeader(ctx, id, ""); err != nil {
				m.options.Log.Warn("leadership transfer failed", "group", uint32(id), "cause", err)
			}
		})
	}
	leaving.Wait()
	m.waitForProposals(ctx)
	m.shutDown()
}

// waitForProposals waits until pending proposals are resolved or ctx ends: the
// new leader commits them, and this host learns of it as a follower.
func (m *Manager) waitForProposals(ctx context.Context) {
	ticker := time.NewTicker(pendingPoll)
	defer ticker.Stop()
	for m.hasPendingProposals() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (m *Manager) hasPendingProposals() bool {
	for _, id := range m.Groups() {
		if g, err := m.find(id); err == nil && g.applier.hasPendingProposals() {
			return true
		}
	}
	return false
}

func (m *Manager) shutDown() {
	m.stopOnce.Do(func() {
		m.mu.Lock()
		m.stopped = true
		m.mu.Unlock()
		close(m.done)
	})
}

// spawn runs f on a goroutine that Run waits for.
func (m *Manager) spawn(f func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.stopped {
		m.spawned.Go(f)
	}
}

// withDefaultTimeout adds CallTimeout to a context that has no deadline.
func (m *Manager) withDefaultTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, m.options.CallTimeout)
}

// Open starts a group from its stored state. If nothing is stored, the host
// generates a new disk identity and waits, without a vote, until the group adds
// it as a learner.
func (m *Manager) Open(id groupID, machine port.StateMachine) (port.Replica, error) {
	stored, data, ok, err := m.options.Storage.Load(id)
	if err != nil {
		return nil, err
	}
	if !ok {
		stored.HardState.Disk = newDiskID()
		if err := m.options.Storage.Save(disk.Update{Group: id, Hard: &stored.HardState}); err != nil {
			return nil, err
		}
	}
	return m.start(id, machine, stored, data)
}

func (m *Manager) start(id groupID, machine port.StateMachine, stored quorum.StoredState, data []byte) (port.Replica, error) {
	if err := restoreMachine(machine, data); err != nil {
		return nil, eris.Wrapf(err, "replica: restore group %d", id)
	}
	options := m.options.Quorum
	options.Self = m.options.Self
	options.Rand = newRand()
	node, err := quorum.NewNode(options, stored, m.options.Clock())
	if err != nil {
		return nil, eris.Wrapf(err, "replica: group %d", id)
	}
	g := &group{
		manager:       m,
		worker:        m.workers[int(id)%len(m.workers)],
		id:            id,
		node:          node,
		lastCommitted: stored.Snapshot.Index,
		reads:         pendingReads{started: make(map[uint64]startedReads)},
	}
	g.applier = applier{group: g, machine: machine, waiters: make(map[uint64]*proposal)}
	g.applier.applied.Store(stored.Snapshot.Index)
	if !m.register(g) {
		return nil, eris.Errorf("replica: group %d is open already", id)
	}
	g.worker.add(g)
	return g, nil
}

// register returns false if a group with the same ID is open. It must not be called
// by a worker, nor call one: workers acquire the manager's lock while holding theirs.
func (m *Manager) register(g *group) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, ok := m.groups[g.id]; ok {
		return false
	}
	m.groups[g.id] = g
	return true
}

// Groups returns the IDs of the open groups, in no particular order.
func (m *Manager) Groups() []groupID {
	m.mu.Lock()
	defer m.mu.Unlock()
	ids := make([]groupID, 0, len(m.groups))
	for id := range m.groups {
		ids = append(ids, id)
	}
	return ids
}

// count returns the number of open groups that match; nil matches all.
func (m *Manager) count(match func(*group) bool) float64 {
	counted := 0
	for _, id := range m.Groups() {
		if g, err := m.find(id); err == nil && (match == nil || match(g)) {
			counted++
		}
	}
	return float64(counted)
}

func (m *Manager) find(id groupID) (*group, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	g, ok := m.groups[id]
	if !ok {
		return nil, eris.Wrapf(ErrUnknownGroup, "group %d", id)
	}
	return g, nil
}

// checkRole returns an error unless the peer is a control host; no other process
// may take part in the groups.
func checkRole(from port.Peer) error {
	if from.Role != RoleControl {
		return eris.Errorf("replica: host %q has role %q, not %q", from.Host, from.Role, RoleControl)
	}
	return nil
}

// handleMessages queues the messages of another manager. Messages whose From is
// not the authenticated peer are dropped: otherwise one host could vote in
// another's name.
func (m *Manager) handleMessages(_ context.Context, from port.Peer, _ port.Method, body []byte) ([]byte, error) {
	if err := checkRole(from); err != nil {
		m.stats.forged.Inc()
		return nil, err
	}
	var envelopes []envelope
	if err := wire.Unmarshal(body, &envelopes); err != nil || len(envelopes) > maxMessages {
		m.stats.badMessages.Inc()
		return nil, eris.New("replica: messages do not decode")
	}
	for i := range envelopes {
		message := &envelopes[i].Message
		if message.From != from.Host || message.To != m.options.Self {
			m.stats.forged.Inc()
			continue
		}
		g, err := m.find(envelopes[i].Group)
		if err != nil {
			m.stats.inboxDrops.Inc()
			continue
		}
		if !g.worker.inbox.offer(event{group: g, message: message}) {
			m.stats.inboxDrops.Inc()
		}
	}
	return nil, nil
}

// newDiskID returns a random, non-zero identity for a disk that is used for the
// first time.
func newDiskID() quorum.DiskID {
	for {
		if id := quorum.DiskID(randomUint64()); id != 0 {
			return id
		}
	}
}

func newRand() *rand.Rand {
	return rand.New(rand.NewPCG(randomUint64(), randomUint64()))
}

func randomUint64() uint64 {
	var buffer [8]byte
	if _, err := crand.Read(buffer[:]); err != nil {
		panic(eris.Wrap(err, "replica: reading random bytes failed"))
	}
	return binary.BigEndian.Uint64(buffer[:])
}
