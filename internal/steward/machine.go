package steward

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/lovagereach/lovagereach/catalog"
	"github.com/lovagereach/lovagereach/evacuation"
	"github.com/lovagereach/lovagereach/internal/wire"
	"github.com/lovagereach/lovagereach/quarantine"
	"github.com/lovagereach/lovagereach/rollout"
	"github.com/lovagereach/lovagereach/roster"
)

// command is one entry of the log. One field is set.
type command struct {
	Document *catalog.Document `cbor:"1,keyasint,omitempty"`
	Weights  *roster.Loaded    `cbor:"2,keyasint,omitempty"`
	Upstream *roster.Upstream  `cbor:"3,keyasint,omitempty"`
	Life     *storeLife        `cbor:"4,keyasint,omitempty"`
	Report   *Report           `cbor:"5,keyasint,omitempty"`
	// Forget are upstreams whose ends no longer count.
	Forget   []quarantine.Incarnation `cbor:"6,keyasint,omitempty"`
	Evacuate *evacuation.Order        `cbor:"7,keyasint,omitempty"`
	// Upstreams are announcements that were gathered.
	Upstreams []roster.Upstream `cbor:"8,keyasint,omitempty"`
}

// storeLife is the life in which a store was last opened to entries. A new
// leader that finds the store in the same life need not keep it closed.
type storeLife struct {
	Address string `cbor:"1,keyasint"`
	Life    uint64 `cbor:"2,keyasint"`
}

// verdict is the state machine's answer to a command.
type verdict struct {
	Document catalog.Verdict `cbor:"1,keyasint,omitempty"`
	// Malformed tells that the command could not be read.
	Malformed bool `cbor:"2,keyasint,omitempty"`
}

// Machine is the replicated state. It implements port.StateMachine and is safe
// for concurrent use.
type Machine struct {
	mu       sync.Mutex
	document *catalog.Document
	// told is the document as entries are told it, nil before the first is.
	told *catalog.Document
	// weights is the newest version named for each model.
	weights         map[string]uint64
	weightsRevision uint64
	// namings are when this host learnt of each version. They are not replicated:
	// hosts have no common steady clock, and a host that starts again knows of
	// each since its start.
	namings *rollout.TargetVersions
	roster  *roster.Roster
	lives   map[string]uint64
	// quarantine holds the requests that end upstreams, and seen when this host learnt
	// of each end: like namings, each host's own.
	quarantine *quarantine.Tracker
	seen       quarantine.Seen
	evacuation *evacuation.Registry
	pages      rosterPages
	// changed is closed and replaced at each change, and ordered at those of what
	// operators want.
	changed, ordered chan struct{}
}

// NewMachine returns the state before the first command.
func NewMachine() *Machine {
	return &Machine{
		weights: make(map[string]uint64), namings: rollout.NewTargetVersions(), lives: make(map[string]uint64),
		roster: roster.New(), quarantine: quarantine.NewTracker(),
		evacuation: evacuation.NewRegistry(), changed: make(chan struct{}), ordered: make(chan struct{}),
	}
}

// Apply implements port.StateMachine.
func (m *Machine) Apply(_ uint64, data []byte) []byte {
	var c command
	if err := wire.Unmarshal(data, &c); err != nil {
		return wire.MustMarshal(verdict{Malformed: true})
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	var v verdict
	switch {
	case c.Document != nil:
		v.Document = m.applyDocument(c.Document)
	case c.Weights != nil:
		m.applyWeights(*c.Weights)
	case c.Upstream != nil:
		m.applyUpstreams([]roster.Upstream{*c.Upstream})
	case len(c.Upstreams) > 0:
		m.applyUpstreams(c.Upstreams)
	case c.Life != nil:
		m.lives[c.Life.Address] = c.Life.Life
	case c.Report != nil:
		m.applyReport(c.Report)
	case len(c.Forget) > 0:
		m.applyForget(c.Forget)
	case c.Evacuate != nil:
		m.applyEvacuation(*c.Evacuate)
	}
	return wire.MustMarshal(v)
}

func (m *Machine) applyDocument(d *catalog.Document) catalog.Verdict {
	v := catalog.Compare(m.document, d)
	if v == catalog.Accepted {
		m.document = d
		m.notifyOrder()
	}
	return v
}

// applyUpstreams takes announcements in. The caller holds the lock.
func (m *Machine) applyUpstreams(words []roster.Upstream) {
	changed := false
	for _, u := range words {
		changed = m.roster.Announce(u) || changed
	}
	if changed {
		m.notify()
	}
}

func (m *Machine) applyWeights(w roster.Loaded) {
	if w.Version <= m.weights[w.Model] {
		return
	}
	m.weights[w.Model] = w.Version
	m.namings.Record(w.Model, w.Version, time.Now())
	m.weightsRevision++
	m.notifyOrder()
}

// notify wakes those who wait for a change. The caller holds the lock.
func (m *Machine) notify() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// notifyOrder wakes those who wait for a change, or for one of what operators want. The
// caller holds the lock.
func (m *Machine) notifyOrder() {
	close(m.ordered)
	m.ordered = make(chan struct{})
	m.notify()
}

type savedMachine struct {
	Document        *catalog.Document `cbor:"1,keyasint,omitempty"`
	Weights         []roster.Loaded   `cbor:"2,keyasint"`
	WeightsRevision uint64            `cbor:"3,keyasint"`
	Roster          roster.Saved      `cbor:"4,keyasint"`
	Lives           map[string]uint64 `cbor:"5,keyasint"`
	Quarantine      quarantine.Saved  `cbor:"6,keyasint"`
	Evacuation      evacuation.View   `cbor:"7,keyasint"`
}

// Snapshot implements port.StateMachine.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	saved := savedMachine{
		Document:        m.document,
		Weights:         m.namedWeights(),
		WeightsRevision: m.weightsRevision,
		Roster:          m.roster.Save(),
		Lives:           m.lives,
		Quarantine:      m.quarantine.Save(),
		Evacuation:      m.evacuation.View(),
	}
	data, err := wire.Marshal(saved)
	return data, eris.Wrap(err, "steward: encode snapshot")
}

// Restore implements port.StateMachine.
func (m *Machine) Restore(data []byte) error {
	var saved savedMachine
	if err := wire.Unmarshal(data, &saved); err != nil {
		return eris.Wrap(err, "steward: decode snapshot")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.document, m.told = saved.Document, nil
	m.weights = make(map[string]uint64, len(saved.Weights))
	for _, w := range saved.Weights {
		m.weights[w.Model] = w.Version
		m.namings.Record(w.Model, w.Version, time.Now())
	}
	m.weightsRevision = saved.WeightsRevision
	m.roster.Restore(saved.Roster)
	m.pages = rosterPages{}
	m.lives = saved.Lives
	if m.lives == nil {
		m.lives = make(map[string]uint64)
	}
	m.quarantine.Restore(saved.Quarantine)
	m.evacuation.Restore(saved.Evacuation)
	m.seen.Follow(m.quarantine.Incarnations(), time.Now())
	m.notifyOrder()
	return nil
}

// namedWeights lists the newest versions by model. The caller holds the lock.
func (m *Machine) namedWeights() []roster.Loaded {
	var list []roster.Loaded
	for _, model := range slices.Sorted(maps.Keys(m.weights)) {
		list = append(list, roster.Loaded{Model: model, Version: m.weights[model]})
	}
	return list
}

// newestWeights lists the newest versions by model.
func (m *Machine) newestWeights() []roster.Loaded {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.namedWeights()
}

// Document returns the configuration held, nil before the first. It must not
// be changed.
func (m *Machine) Document() *catalog.Document {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.document
}

// namedAt returns when each version was named, as far as this host knows.
func (m *Machine) namedAt() *rollout.TargetVersions {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.namings.Clone()
}

func (m *Machine) upstream(id string) (roster.Upstream, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.roster.Get(id)
}

// lifeOf returns the life in which a store was last open, 0 for none.
func (m *Machine) lifeOf(store string) uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lives[store]
}

func (m *Machine) live() []roster.Upstream {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.roster.Live()
}

// liveIDs names the upstreams that are not gone, in no order.
func (m *Machine) liveIDs() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.roster.LiveIDs()
}

// news returns a channel that is closed at the next change.
func (m *Machine) news() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

// orders returns a channel that is closed at the next change of what operators want.
func (m *Machine) orders() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ordered
}

// fill puts into an answer what the caller of a watch lacks, and reports
// whether that is anything.
func (m *Machine) fill(request *WatchRequest, answer *WatchAnswer) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	found := false
	if m.document != nil && m.document.Version > request.Document {
		answer.Document = m.documentFor(request)
		found = true
	}
	if m.weightsRevision > request.Weights {
		answer.Weights = &WeightsView{Revision: m.weightsRevision, Newest: m.namedWeights()}
		found = true
	}
	if m.roster.Revision() > request.Roster {
		answer.Roster = m.rosterAfter(request, time.Now())
		found = true
	}
	if m.quarantine.Revision() > request.Quarantine {
		answer.Quarantine = &QuarantineView{Revision: m.quarantine.Revision(), Quarantined: m.quarantine.Quarantined(), Suspects: m.quarantine.Suspects()}
		found = true
	}
	if m.evacuation.Revision() > request.Evacuation {
		view := m.evacuation.View()
		answer.Evacuation = &view
		found = true
	}
	return found
}

// documentFor is the configuration as the caller of a watch is told it: a control host has
// it from the log, and only its version is told there. The caller holds the lock.
func (m *Machine) documentFor(request *WatchRequest) *catalog.Document {
	if request.Entry == nil {
		return &catalog.Document{Version: m.document.Version}
	}
	if m.told == nil || m.told.Version != m.document.Version {
		m.told = m.document.ForEntries()
	}
	return m.told
}

// revisions tell how far a state has come.
type revisions struct {
	document   catalog.Version
	weights    uint64
	roster     uint64
	quarantine uint64
	evacuation uint64
}

// cover reports whether nothing of other is missing.
func (r revisions) cover(other revisions) bool {
	return r.document >= other.document && r.weights >= other.weights && r.roster >= other.roster &&
		r.quarantine >= other.quarantine && r.evacuation >= other.evacuation
}

// held returns how far the state has come.
func (m *Machine) held() revisions {
	m.mu.Lock()
	defer m.mu.Unlock()
	held := revisions{weights: m.weightsRevision, roster: m.roster.Revision(),
		quarantine: m.quarantine.Revision(), evacuation: m.evacuation.Revision()}
	if m.document != nil {
		held.document = m.document.Version
	}
	return held
}
