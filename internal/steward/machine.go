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
	"github.com/lovagereach/lovagereach/resumption"
	"github.com/lovagereach/lovagereach/rollout"
	"github.com/lovagereach/lovagereach/roster"
)

// command is one entry of the log. Exactly one field is set, but for Naming.
type command struct {
	Document         *catalog.Document `cbor:"1,keyasint,omitempty"`
	Weights          *roster.Loaded    `cbor:"2,keyasint,omitempty"`
	Upstream         *roster.Upstream  `cbor:"3,keyasint,omitempty"`
	StoreIncarnation *storeIncarnation `cbor:"4,keyasint,omitempty"`
	Report           *Report           `cbor:"5,keyasint,omitempty"`
	// Forget lists upstream incarnations whose crashes no longer count.
	Forget   []quarantine.Incarnation `cbor:"6,keyasint,omitempty"`
	Evacuate *evacuation.Order        `cbor:"7,keyasint,omitempty"`
	// Upstreams is a batch of announcements.
	Upstreams []roster.Upstream `cbor:"8,keyasint,omitempty"`
	// Trial lists the quarantined parts of a request that is sent as a trial.
	Trial []quarantine.Fingerprint `cbor:"9,keyasint,omitempty"`
	// Learned is what entries have learned together.
	Learned []byte `cbor:"10,keyasint,omitempty"`
	// Naming comes with Weights.
	Naming *Naming `cbor:"11,keyasint,omitempty"`
	// Minimum is a minimum version that a leader raised.
	Minimum *minimumVersion `cbor:"12,keyasint,omitempty"`
}

// Naming tells when a target version was named, and to which control host. The time is that of the
// host's wall clock: it is for operators, and nothing is decided by it.
type Naming struct {
	Host string `cbor:"1,keyasint"`
	AtMs int64  `cbor:"2,keyasint"`
}

// storeIncarnation is the incarnation in which a store was last opened to entries. A new leader
// that finds the store in the same incarnation need not keep it closed.
type storeIncarnation struct {
	Address     string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
}

// verdict is the result of applying a command.
type verdict struct {
	Document catalog.Verdict `cbor:"1,keyasint,omitempty"`
	// Malformed is set if the command couldn't be decoded.
	Malformed bool `cbor:"2,keyasint,omitempty"`
}

// Machine is the replicated state. It implements port.StateMachine and is safe
// for concurrent use.
type Machine struct {
	mu       sync.Mutex
	document *catalog.Document
	// entryDocument is the document in the form sent to entries, nil until it is first needed.
	entryDocument *catalog.Document
	// weights is the newest target version of each model.
	weights         map[string]uint64
	weightsRevision uint64
	// namings holds when and where the newest target versions were named, where that is known.
	namings map[string]Naming
	// minimums holds the minimum version of each model.
	minimums map[string]minimumVersion
	// targets holds the time at which this host learnt of each target version. It is not
	// replicated: hosts have no common monotonic clock, and a restarted host counts each
	// version from its own start, except for those that are minimum versions.
	targets           *rollout.TargetVersions
	roster            *roster.Roster
	storeIncarnations map[string]uint64
	// quarantine tracks the requests that crash upstreams. crashesSeen holds the time at which
	// this host learnt of each crash, trialTimes those of the quarantined parts; like targets,
	// they are local to the host.
	quarantine  *quarantine.Tracker
	crashesSeen quarantine.CrashTimes
	trialTimes  quarantine.TrialTimes
	// firstCrashes holds the first crash that counts against each part that entries are told of.
	firstCrashes map[quarantine.Fingerprint]quarantine.Incarnation
	evacuation   *evacuation.Registry
	// software tracks the software versions of the upstreams, by the times at which this host
	// learnt of them.
	software *resumption.Versions
	// learned is what entries have learned together, of revision learnedRevision.
	learned         []byte
	learnedRevision uint64
	pages           rosterPages
	// changed is closed and replaced at each change, and orderChanged at each change that
	// operators ordered or that affects the quarantine.
	changed, orderChanged chan struct{}
}

// NewMachine returns the state before the first command.
func NewMachine() *Machine {
	return &Machine{
		weights: make(map[string]uint64), namings: make(map[string]Naming), minimums: make(map[string]minimumVersion),
		targets: rollout.NewTargetVersions(), storeIncarnations: make(map[string]uint64),
		software: resumption.NewVersions(time.Time{}),
		roster:   roster.New(), quarantine: quarantine.NewTracker(),
		evacuation: evacuation.NewRegistry(), changed: make(chan struct{}), orderChanged: make(chan struct{}),
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
		m.applyWeights(*c.Weights, c.Naming)
	case c.Minimum != nil:
		m.applyMinimum(*c.Minimum, time.Now())
	case c.Upstream != nil:
		m.applyUpstreams([]roster.Upstream{*c.Upstream})
	case len(c.Upstreams) > 0:
		m.applyUpstreams(c.Upstreams)
	case c.StoreIncarnation != nil:
		m.storeIncarnations[c.StoreIncarnation.Address] = c.StoreIncarnation.Incarnation
	case c.Report != nil:
		m.applyReport(c.Report)
	case len(c.Forget) > 0:
		m.applyForget(c.Forget)
	case len(c.Trial) > 0:
		m.applyTrial(c.Trial)
	case len(c.Learned) > 0:
		m.applyLearned(c.Learned)
	case c.Evacuate != nil:
		m.applyEvacuation(*c.Evacuate)
	}
	return wire.MustMarshal(v)
}

func (m *Machine) applyDocument(d *catalog.Document) catalog.Verdict {
	v := catalog.Compare(m.document, d)
	if v == catalog.Accepted {
		d.Succeed(m.document)
		m.document = d
		m.software.SetCallersWait(d.LongestResumable())
		m.notifyOrder()
	}
	return v
}

// applyUpstreams applies announcements. The caller holds the lock.
func (m *Machine) applyUpstreams(announcements []roster.Upstream) {
	changed := false
	now := time.Now()
	for _, u := range announcements {
		before, _ := m.roster.Get(u.ID)
		if !m.roster.Announce(u) {
			continue
		}
		changed = true
		after, _ := m.roster.Get(u.ID)
		m.trackSoftware(before, after, now)
	}
	if changed {
		m.notify()
	}
}

func (m *Machine) applyWeights(w roster.Loaded, named *Naming) {
	if w.Version <= m.weights[w.Model] {
		return
	}
	m.weights[w.Model] = w.Version
	delete(m.namings, w.Model)
	if named != nil {
		m.namings[w.Model] = *named
	}
	m.targets.Record(w.Model, w.Version, time.Now())
	m.weightsRevision++
	m.notifyOrder()
}

// notify wakes the waiters for a change. The caller holds the lock.
func (m *Machine) notify() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// notifyOrder wakes the waiters for any change, and those for a change of orders. The caller
// holds the lock.
func (m *Machine) notifyOrder() {
	close(m.orderChanged)
	m.orderChanged = make(chan struct{})
	m.notify()
}

type savedMachine struct {
	Document          *catalog.Document `cbor:"1,keyasint,omitempty"`
	Weights           []roster.Loaded   `cbor:"2,keyasint"`
	WeightsRevision   uint64            `cbor:"3,keyasint"`
	Roster            roster.Saved      `cbor:"4,keyasint"`
	StoreIncarnations map[string]uint64 `cbor:"5,keyasint"`
	Quarantine        quarantine.State  `cbor:"6,keyasint"`
	Evacuation        evacuation.View   `cbor:"7,keyasint"`
	Learned           []byte            `cbor:"8,keyasint,omitempty"`
	LearnedRevision   uint64            `cbor:"9,keyasint,omitempty"`
	Namings           map[string]Naming `cbor:"10,keyasint,omitempty"`
	Minimums          []minimumVersion  `cbor:"11,keyasint,omitempty"`
}

// Snapshot implements port.StateMachine.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	saved := savedMachine{
		Document:          m.document,
		Weights:           m.newestWeightsLocked(),
		WeightsRevision:   m.weightsRevision,
		Roster:            m.roster.Save(),
		StoreIncarnations: m.storeIncarnations,
		Quarantine:        m.quarantine.Save(),
		Evacuation:        m.evacuation.View(),
		Learned:           m.learned,
		LearnedRevision:   m.learnedRevision,
		Namings:           m.namings,
		Minimums:          m.minimumsLocked(),
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
	m.document, m.entryDocument = saved.Document, nil
	if m.document != nil {
		m.document.Restore()
	}
	// A snapshot of an earlier release has none, and they never decrease.
	for _, minimum := range saved.Minimums {
		m.applyMinimum(minimum, time.Now())
	}
	m.weights = make(map[string]uint64, len(saved.Weights))
	for _, w := range saved.Weights {
		m.weights[w.Model] = w.Version
		m.targets.Record(w.Model, w.Version, time.Now())
	}
	m.weightsRevision = saved.WeightsRevision
	if m.namings = saved.Namings; m.namings == nil {
		m.namings = make(map[string]Naming)
	}
	m.roster.Restore(saved.Roster)
	m.restoreSoftware(saved.Roster.Upstreams, time.Now())
	m.pages = rosterPages{}
	m.storeIncarnations = saved.StoreIncarnations
	if m.storeIncarnations == nil {
		m.storeIncarnations = make(map[string]uint64)
	}
	m.quarantine.Restore(saved.Quarantine)
	m.evacuation.Restore(saved.Evacuation)
	m.learned, m.learnedRevision = saved.Learned, saved.LearnedRevision
	m.syncQuarantineTimes(time.Now())
	m.notifyOrder()
	return nil
}

// newestWeightsLocked lists the newest target versions by model. The caller holds the lock.
func (m *Machine) newestWeightsLocked() []roster.Loaded {
	var list []roster.Loaded
	for _, model := range slices.Sorted(maps.Keys(m.weights)) {
		list = append(list, roster.Loaded{Model: model, Version: m.weights[model]})
	}
	return list
}

// weightsViewLocked returns the newest target versions with their ages. The caller holds the lock.
func (m *Machine) weightsViewLocked(now time.Time) *WeightsView {
	v := &WeightsView{Revision: m.weightsRevision, Newest: m.newestWeightsLocked()}
	for _, w := range v.Newest {
		age := time.Duration(0)
		if since, known := m.targets.FirstLacked(w.Model, w.Version-1); known {
			age = now.Sub(since)
		}
		v.Ages = append(v.Ages, age)
		v.Namings = append(v.Namings, m.namings[w.Model])
	}
	return v
}

// weightsView returns the newest target versions with their ages.
func (m *Machine) weightsView(now time.Time) *WeightsView {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.weightsViewLocked(now)
}

// newestWeights lists the newest target versions by model.
func (m *Machine) newestWeights() []roster.Loaded {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.newestWeightsLocked()
}

// Document returns the current configuration, nil before the first. It must not be changed.
func (m *Machine) Document() *catalog.Document {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.document
}

// targetVersions returns the times at which this host learnt of each target version.
func (m *Machine) targetVersions() *rollout.TargetVersions {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.targets.Clone()
}

func (m *Machine) upstream(id string) (roster.Upstream, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.roster.Get(id)
}

// incarnationOf returns the incarnation in which a store was last open, 0 for none.
func (m *Machine) incarnationOf(store string) uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.storeIncarnations[store]
}

func (m *Machine) live() []roster.Upstream {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.roster.Live()
}

// liveIDs returns the IDs of the upstreams that are not gone, in no order.
func (m *Machine) liveIDs() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.roster.LiveIDs()
}

// changes returns a channel that is closed at the next change.
func (m *Machine) changes() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

// orderChanges returns a channel that is closed at the next change of orders.
func (m *Machine) orderChanges() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.orderChanged
}

// fill adds to an answer what the caller of a watch lacks, and reports whether there is any.
func (m *Machine) fill(request *WatchRequest, answer *WatchAnswer) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	found := false
	if m.document != nil && m.document.Version > request.Document {
		answer.Document = m.documentFor(request)
		found = true
	}
	if m.weightsRevision > request.Weights {
		answer.Weights = m.weightsViewLocked(time.Now())
		found = true
	}
	if m.roster.Revision() > request.Roster {
		answer.Roster = m.rosterAfter(request, time.Now())
		found = true
	}
	if m.quarantine.Revision() > request.Quarantine {
		answer.Quarantine = m.quarantineView(time.Now())
		found = true
	}
	if m.evacuation.Revision() > request.Evacuation {
		view := m.evacuation.View()
		answer.Evacuation = &view
		found = true
	}
	return found
}

// documentVersion returns the version of the current configuration, 0 before the first.
func (m *Machine) documentVersion() catalog.Version {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.document == nil {
		return 0
	}
	return m.document.Version
}

// documentFor returns the configuration in the form for the caller of a watch: a control host
// has it from the log and receives its version only. The caller holds the lock.
func (m *Machine) documentFor(request *WatchRequest) *catalog.Document {
	if request.Entry == nil {
		return &catalog.Document{Version: m.document.Version}
	}
	if m.entryDocument == nil || m.entryDocument.Version != m.document.Version {
		m.entryDocument = m.document.ForEntries()
	}
	return m.entryDocument
}

// revisions are the revisions of the parts of a state.
type revisions struct {
	document   catalog.Version
	weights    uint64
	roster     uint64
	quarantine uint64
	evacuation uint64
}

// covers reports whether r is at least as new as other in every part.
func (r revisions) covers(other revisions) bool {
	return r.document >= other.document && r.weights >= other.weights && r.roster >= other.roster &&
		r.quarantine >= other.quarantine && r.evacuation >= other.evacuation
}

// currentRevisions returns the revisions of the current state.
func (m *Machine) currentRevisions() revisions {
	m.mu.Lock()
	defer m.mu.Unlock()
	held := revisions{weights: m.weightsRevision, roster: m.roster.Revision(),
		quarantine: m.quarantine.Revision(), evacuation: m.evacuation.Revision()}
	if m.document != nil {
		held.document = m.document.Version
	}
	return held
}
