package quorum

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/lovagereach/lovagereach/ident"
)

// simStep is the resolution of virtual time, and simTick the interval between
// ticks of a host.
const (
	simStep = 500 * time.Microsecond
	simTick = 10 * time.Millisecond
)

// sim runs a group in virtual time over an in-memory network and in-memory
// disks, which lose unsynced data on a crash.
type sim struct {
	t     testing.TB
	rand  *rand.Rand
	start time.Time
	now   time.Time
	hosts []*simHost
	queue []delivery

	// Network settings.
	delay, jitter time.Duration
	drop, dup     float64
	blocked       map[[2]ident.Host]bool
	counts        map[MessageType]int

	syncTime time.Duration
	faults   faults
	// powerLoss lets random runs lose the power of all hosts now and then.
	powerLoss bool
	opts      Options
	// syncOrder enables checkSyncOrder. Tests of seeded bugs disable it to
	// verify that the effects of a bug are detected on their own.
	syncOrder bool
	// expectRollbacks is set if disks are rolled back, so that revocations are
	// expected.
	expectRollbacks bool
	// compactAt is the log length at which hosts take a snapshot.
	compactAt uint64

	leaders   map[uint64]Member
	votes     map[voteKey]ident.Host
	committed map[uint64]Entry
	// committedTerm is the term of the node that first applied an entry, by
	// index.
	committedTerm map[uint64]uint64
	lastCommitted uint64
	members       Membership // the latest committed membership
	failures      []string
	wipes         int
	clients       *clients
}

// newSim returns a group of hosts h1 to hN, the first of which are its voters.
func newSim(t testing.TB, seed uint64, hosts, voters int, configure func(*sim)) *sim {
	s := &sim{
		t: t, rand: rand.New(rand.NewPCG(seed, 1)), start: time.Unix(1000, 0), now: time.Unix(1000, 0),
		delay: 1500 * time.Microsecond, jitter: 500 * time.Microsecond, syncTime: time.Millisecond,
		blocked: map[[2]ident.Host]bool{}, counts: map[MessageType]int{},
		leaders: map[uint64]Member{}, votes: map[voteKey]ident.Host{}, committed: map[uint64]Entry{}, committedTerm: map[uint64]uint64{}, syncOrder: true, compactAt: 1 << 40,
	}
	if configure != nil {
		configure(s)
	}
	var members Membership
	for i := range hosts {
		name := ident.Host(fmt.Sprintf("h%d", i+1))
		s.hosts = append(s.hosts, &simHost{host: name, disk: StoredState{HardState: HardState{Disk: DiskID(100 + i)}}})
		if i < voters {
			members.Voters = append(members.Voters, Member{name, DiskID(100 + i)})
		}
	}
	for i, h := range s.hosts {
		if i < voters {
			h.disk = Bootstrap(members, h.host)
		}
		s.boot(h)
	}
	return s
}

// local returns the time on the host's own clock.
func (s *sim) local(h *simHost) time.Time { return s.start.Add(h.clock) }

func (s *sim) running(h *simHost) bool { return h.node != nil && !s.now.Before(h.paused) }

func (s *sim) host(name ident.Host) *simHost {
	i := slices.IndexFunc(s.hosts, func(h *simHost) bool { return h.host == name })
	return s.hosts[i]
}

func (s *sim) run(d time.Duration) {
	s.runUntil(d, func() bool { return false })
}

// runUntil runs until done returns true or d has passed, and returns the last
// result of done.
func (s *sim) runUntil(d time.Duration, done func() bool) bool {
	for end := s.now.Add(d); s.now.Before(end); {
		if done() {
			return true
		}
		s.step()
	}
	return done()
}

func (s *sim) step() {
	s.now = s.now.Add(simStep)
	for _, h := range s.hosts {
		h.clock += time.Duration(float64(simStep) * (1 + h.drift))
	}
	for len(s.queue) > 0 && !s.queue[0].at.After(s.now) {
		m := s.queue[0].m
		s.queue = s.queue[1:]
		s.deliver(m)
	}
	for _, h := range s.hosts {
		if !s.running(h) {
			continue
		}
		if h.writing != nil && !s.now.Before(h.syncAt) {
			s.synced(h)
			s.drain(h)
		}
		if !s.now.Before(h.tickAt) {
			h.tickAt = s.now.Add(simTick)
			s.deferTimeouts(h)
			h.node.Tick(s.local(h))
			s.drain(h)
		}
	}
	if s.clients != nil {
		s.clients.step()
	}
	if s.now.Sub(s.start)%simTick == 0 {
		s.checkLogs(32)
	}
}

// deferTimeouts is called before each step of a host's node, as a runtime does.
func (s *sim) deferTimeouts(h *simHost) {
	if late := s.now.Sub(h.ranAt) - h.node.opts.Heartbeat; !h.ranAt.IsZero() && late > 0 {
		h.node.DeferTimeouts(late)
	}
	h.ranAt = s.now
}

// drain performs the host's effects in the order given in the package comment.
func (s *sim) drain(h *simHost) {
	for {
		rd := h.node.Ready()
		if rd.Empty() {
			break
		}
		s.send(h, rd.Immediate)
		h.reads = append(h.reads, rd.Reads...)
		for _, e := range rd.Committed {
			s.checkCommit(h, e)
			h.state.apply(s, h, e)
		}
		if rd.SnapshotWanted {
			h.node.OfferSnapshot(s.snapshot(h))
		}
		switch {
		case rd.MustSync():
			h.writing = &rd
			h.syncAt = s.now.Add(s.syncTime + h.syncDelay)
		case rd.Persistent():
			s.send(h, rd.Messages)
			h.node.Advance(s.local(h))
		}
	}
	s.checkLeader(h)
	s.answerReads(h)
	s.compact(h)
}

func (s *sim) synced(h *simHost) {
	rd := h.writing
	h.writing = nil
	h.store(rd)
	s.send(h, rd.Messages)
	if rd.Snapshot != nil {
		h.state = newStateMachine()
		h.state.restore(rd.Snapshot.Data)
		h.state.applied = rd.Snapshot.Meta.Index
	}
	h.node.Advance(s.local(h))
}

func (s *sim) answerReads(h *simHost) {
	h.reads = slices.DeleteFunc(h.reads, func(r Read) bool {
		if r.Err == nil && r.Index > h.state.applied {
			return false
		}
		if s.clients != nil {
			s.clients.readDone(h, r)
		} else {
			h.results = append(h.results, r)
		}
		return true
	})
}

// leader returns the running leader with the highest term, or nil.
func (s *sim) leader() *simHost {
	var best *simHost
	for _, h := range s.hosts {
		if !s.running(h) || h.node.role != RoleLeader {
			continue
		}
		if best == nil || h.node.hard.Term > best.node.hard.Term {
			best = h
		}
	}
	return best
}

// awaitLeader runs until a leader has committed the first entry of its term.
func (s *sim) awaitLeader() *simHost {
	s.t.Helper()
	ready := func() bool {
		h := s.leader()
		return h != nil && h.node.log.commit >= h.node.lead.noopIndex && h.node.lead.noopIndex > 0
	}
	if !s.runUntil(5*time.Second, ready) {
		s.t.Fatal("no leader within 5 s")
	}
	return s.leader()
}
