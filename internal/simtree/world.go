package simtree

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/lovagereach/lovagereach/config"
	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/wire"
	"github.com/lovagereach/lovagereach/member"
	"github.com/lovagereach/lovagereach/relay"
)

// FrameOverhead is the network overhead of a message in bytes: the WebSocket
// frame, the TLS record and the IP and TCP headers of one packet.
const FrameOverhead = 8 + 29 + 52

// rootName is the address of the leader.
const rootName ident.Host = "root"

// Options configure a World.
type Options struct {
	Seed uint64
	// Relays is the number of relays; if zero, entries attach to the leader.
	Relays  int
	Entries int
	// DataCentres is the number of data centres over which the processes are
	// spread; the leader is in the first one.
	DataCentres int
	// Delay is the minimum one-way delay between any two processes; a random
	// jitter of up to a quarter is added.
	Delay time.Duration
	// Loss is the fraction of messages lost, 0 to 1.
	Loss float64
	// Drift is the maximum relative deviation of a process's clock rate; each
	// process has a random rate within it.
	Drift float64
	// Document is the initial configuration.
	Document config.Document
}

// World is a simulated deployment. It is not safe for concurrent use.
type World struct {
	opts    Options
	random  *rand.Rand
	now     time.Duration
	queue   events
	order   uint64
	root    *root
	relays  []*node
	entries []*node
	byHost  map[ident.Host]*node
	blocked func(from, to ident.DataCentre) bool
	// reported is the highest revision that the leader has reported as in force.
	reported config.Revision
	// violation is the first violation of the in-force rule that Check found.
	violation error
	faults    Faults
}

// Faults are bugs seeded into the processes, to verify that Check detects them.
type Faults struct {
	// FullTerm makes relays grant leases that are longer than their own.
	FullTerm bool
	// AckOnReceipt makes relays acknowledge the revision that they hold instead
	// of the one that is in force below them.
	AckOnReceipt bool
	// IgnoreLease makes entries serve without a valid lease.
	IgnoreLease bool
}

var epochStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// New returns a World at virtual time zero, before any message is sent.
func New(opts Options, faults Faults) (*World, error) {
	w := &World{
		opts:    opts,
		random:  rand.New(rand.NewPCG(opts.Seed, 11)),
		byHost:  make(map[ident.Host]*node),
		blocked: func(_, _ ident.DataCentre) bool { return false },
		faults:  faults,
	}
	state := config.NewState()
	first := config.Command{RequestID: "first", Author: "simtree", Delta: config.Diff(state.Current(), &opts.Document)}
	if result := state.Apply(first); result.Verdict != config.VerdictApplied {
		return nil, fmt.Errorf("simtree: first configuration: %v", result.Problems)
	}
	if err := w.startLeader(state, 1); err != nil {
		return nil, err
	}
	if err := w.populate(); err != nil {
		return nil, err
	}
	return w, nil
}

func (w *World) populate() error {
	parents := []string{string(rootName)}
	for i := range w.opts.Relays {
		n, err := w.newRelay(i, parents)
		if err != nil {
			return err
		}
		w.relays = append(w.relays, n)
	}
	if w.opts.Relays > 0 {
		parents = nil
		for _, n := range w.relays {
			parents = append(parents, string(n.host))
		}
	}
	for i := range w.opts.Entries {
		w.entries = append(w.entries, w.newEntry(i, parents))
	}
	return nil
}

func (w *World) dataCentre(i int) ident.DataCentre {
	return ident.DataCentre(fmt.Sprintf("dc-%d", i%max(1, w.opts.DataCentres)))
}

func (w *World) rate() float64 {
	return 1 + w.opts.Drift*(2*w.random.Float64()-1)
}

// clock returns the current time on the clock of a process with this rate.
func (w *World) clock(rate float64) time.Time {
	return epochStart.Add(time.Duration(float64(w.now) * rate))
}

// Now returns the virtual time elapsed since the start.
func (w *World) Now() time.Duration { return w.now }

// event is a function scheduled at a virtual time. Events at the same time run in
// ascending order, so that runs with equal seeds are identical.
type event struct {
	at    time.Duration
	order uint64
	run   func()
}

type events []event

func (e events) Len() int      { return len(e) }
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].order < e[j].order
}
func (e *events) Push(x any) { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := len(*e) - 1
	popped := (*e)[last]
	*e = (*e)[:last]
	return popped
}

func (w *World) after(delay time.Duration, run func()) {
	w.order++
	heap.Push(&w.queue, event{at: w.now + delay, order: w.order, run: run})
}

// Run advances the virtual time by d.
func (w *World) Run(d time.Duration) {
	end := w.now + d
	for len(w.queue) > 0 && w.queue[0].at <= end {
		next := heap.Pop(&w.queue).(event)
		w.now = next.at
		next.run()
	}
	w.now = end
}

// RunUntil advances the virtual time until done returns true, by at most limit. It
// returns the time elapsed and the result of done.
func (w *World) RunUntil(limit time.Duration, done func() bool) (time.Duration, bool) {
	start := w.now
	for !done() {
		if len(w.queue) == 0 || w.queue[0].at > start+limit {
			w.now = start + limit
			return limit, done()
		}
		next := heap.Pop(&w.queue).(event)
		w.now = next.at
		next.run()
	}
	return w.now - start, true
}

// process is the network endpoint of a simulated process.
type process struct {
	host       ident.Host
	dataCentre ident.DataCentre
	alive      bool
	// incarnation changes with each restart. Messages to a previous incarnation
	// are lost, as on a closed connection.
	incarnation int
	traffic     Traffic
}

// Traffic counts the control messages that a process sent and received.
type Traffic struct {
	Messages int
	Bytes    int
}

func (t *Traffic) add(bytes int) {
	t.Messages++
	t.Bytes += bytes
}

// send schedules the delivery of a message, unless it is lost, and counts its
// encoded size.
func (w *World) send(from, to *process, message any, deliver func()) {
	size := len(wire.MustMarshal(message)) + FrameOverhead
	from.traffic.add(size)
	if w.lost(from, to) {
		return
	}
	incarnation := to.incarnation
	jitter := time.Duration(w.random.Int64N(int64(w.opts.Delay/4) + 1))
	w.after(w.opts.Delay+jitter, func() {
		if !to.alive || to.incarnation != incarnation || w.blocked(from.dataCentre, to.dataCentre) {
			return
		}
		to.traffic.add(size)
		deliver()
		w.recordInForce()
	})
}

func (w *World) lost(from, to *process) bool {
	if !from.alive || !to.alive || w.blocked(from.dataCentre, to.dataCentre) {
		return true
	}
	return w.opts.Loss > 0 && w.random.Float64() < w.opts.Loss
}

// recordInForce updates reported with the revision that the leader reports as in
// force.
func (w *World) recordInForce() {
	if !w.root.process.alive {
		return
	}
	w.reported = max(w.reported, w.root.parent.InForce(w.clock(w.root.rate)))
}

// Check returns the first violation of the in-force rule found so far: an entry
// that would accept a new request with a revision older than one reported as in
// force.
func (w *World) Check() error {
	if w.violation != nil {
		return w.violation
	}
	w.recordInForce()
	for _, n := range w.entries {
		if !w.Serving(n.host) {
			continue
		}
		if held := n.child().Revision(); held < w.reported {
			w.violation = fmt.Errorf("at %s: %s serves with revision %d while %d is in force", w.now, n.host, held, w.reported)
			return w.violation
		}
	}
	return nil
}

func claimOf(e *process, role member.Role, incarnation int) member.Member {
	return member.Member{
		Host:       e.host,
		DataCentre: e.dataCentre,
		Role:       role,
		Callers:    "10.10.10.10:7400",
		Peers:      "10.10.10.10:7401",
		Stamp:      member.Stamp{Incarnation: ident.Incarnation(incarnation), Session: 1},
		State:      member.StateAlive,
	}
}

// Serving reports whether an entry would accept a new request now.
func (w *World) Serving(host ident.Host) bool {
	n := w.byHost[host]
	if n == nil || !n.process.alive {
		return false
	}
	if w.faults.IgnoreLease {
		return !n.child().Expiry().IsZero()
	}
	return n.child().Serving(w.clock(n.rate))
}

// ServingCount returns the number of entries that would accept a new request now.
func (w *World) ServingCount() int {
	count := 0
	for _, n := range w.entries {
		if w.Serving(n.host) {
			count++
		}
	}
	return count
}

var _ relay.Members = (*member.Directory)(nil)
