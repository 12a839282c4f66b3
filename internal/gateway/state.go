package gateway

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lovagereach/lovagereach/cacheindex"
	"github.com/lovagereach/lovagereach/catalog"
	"github.com/lovagereach/lovagereach/estimate"
	"github.com/lovagereach/lovagereach/evacuation"
	"github.com/lovagereach/lovagereach/internal/crash"
	"github.com/lovagereach/lovagereach/internal/steward"
	"github.com/lovagereach/lovagereach/pace"
	"github.com/lovagereach/lovagereach/quarantine"
	"github.com/lovagereach/lovagereach/ratelimit"
	"github.com/lovagereach/lovagereach/reach"
	"github.com/lovagereach/lovagereach/replicate"
	"github.com/lovagereach/lovagereach/resumption"
	"github.com/lovagereach/lovagereach/rollout"
	"github.com/lovagereach/lovagereach/roster"
	"github.com/lovagereach/lovagereach/staleload"
	"github.com/lovagereach/lovagereach/warmup"
)

// upstreamState is this entry's view of one upstream.
type upstreamState struct {
	record roster.Upstream
	// silent indicates that the control hosts have no recent contact with it.
	silent bool
	// own is the work under way from this entry, others that from the other entries as of
	// loadsAt of the state.
	own, others steward.Load
	health      health
	framing     framing
	// loading indicates that the runner is ordered to load weights.
	loading bool
	// fullUntil is the time until which the upstream gets a penalty after it refused a request
	// as full.
	fullUntil time.Time
	// cacheStaleUntil is the time until which the inventory of its cache counts as that of a
	// previous incarnation, unless the control hosts clear it before.
	cacheStaleUntil time.Time
	// versionUnknownUntil is the time until which the upstream gets a penalty after it refused
	// two versions.
	versionUnknownUntil time.Time
	// coldUntil is the time until which the upstream sustains only a few requests. If the
	// upstream was lost, nextProbe is the time of the next request that may be tried, and
	// answeredAt the time of its first answer since.
	coldUntil, nextProbe, answeredAt time.Time
	sentCount                        sentCount
	// pausedUntil is the time until which the upstream gets no requests because it has refused
	// one and can't refuse many.
	pausedUntil time.Time
	// connectionsUsedUntil is the time until which it gets no request because one found this
	// entry's share of its connections in use.
	connectionsUsedUntil time.Time
	// pace is what it stated about the time that work takes, and what was measured.
	pace pace.Upstream
	// leaving indicates that the upstream has stated in an answer that it leaves.
	leaving bool
	// backOffFrom and backOffUntil are the time in which the upstream wants no requests from this
	// entry.
	backOffFrom, backOffUntil time.Time
	// queued is the number of waiting requests that the upstream reported at queuedAt.
	queued   int
	queuedAt time.Time
	// loadAt is the time at which the upstream last reported its load with an answer.
	loadAt time.Time
	// draw is this entry's latest draw for its free capacity.
	draw draw
	// disconnectedAt is the time at which a connection to the upstream was last lost or
	// refused, and disconnectedFrom that of the first one since the upstream was proven to be
	// the same process: it may have been restarted, with another software version.
	disconnectedFrom, disconnectedAt time.Time
	// version holds weight versions confirmed by the runner itself, by model; they count if
	// newer than the roster's.
	version map[string]uint64
}

// incarnation identifies the incarnation that observations of the upstream apply to.
func (u *upstreamState) incarnation() incarnation {
	return incarnation{id: u.record.ID, startedMs: u.record.StartedMs}
}

func (u *upstreamState) versionOf(model string) uint64 {
	return max(u.record.VersionOf(model), u.version[model])
}

// learn records a version that the runner has accepted.
func (u *upstreamState) learn(model string, version uint64) {
	if u.version == nil {
		u.version = make(map[string]uint64)
	}
	u.version[model] = version
}

// state is all that decisions about requests depend on. Its lock is held for microseconds and
// never during I/O.
type state struct {
	mu    sync.Mutex
	index *catalog.Index
	// started is closed at the first configuration, at startedAt. inventoriesReady is closed
	// once the inventories are complete and a store is open, or inventoryWait after startedAt.
	started, inventoriesReady chan struct{}
	startedAt                 time.Time

	weights         map[string]uint64
	weightsRevision uint64
	// targets holds the times since when this entry's control hosts have each target version; after
	// versionTime no prompt may begin on an older one.
	targets     *rollout.TargetVersions
	versionTime time.Duration
	unbegun     unbegunPrompts
	// weightsView is the latest list of the target versions that was received.
	weightsView steward.WeightsView
	// minVersions is the oldest version of each model on which a prompt may start. ownMinimumAt is the
	// newest version of each model that this entry raises itself if the leader's word is late, and
	// ownMinimums the number of those that it raised.
	minVersions    map[string]uint64
	ownMinimumAt   map[string]uint64
	ownMinimums    int
	rosterRevision uint64
	// rosterListed holds the upstreams received so far of a complete roster in several pages,
	// nil if none is being received.
	rosterListed map[string]bool
	upstreams    map[string]*upstreamState
	// serving lists the upstreams in state serving by service.
	serving map[string][]*upstreamState
	stores  map[string]*storeState
	// caches holds the inventories. They were last complete at some time after inventoriesAt.
	caches        *cacheindex.Index
	inventoriesAt time.Time
	term          uint64
	// loadedByOthers holds the upstreams that have work of other entries under way or are
	// ordered to load weights.
	loadedByOthers map[*upstreamState]struct{}
	// activeUpstreams holds the upstreams with work of this entry under way, by ID.
	activeUpstreams map[string]*upstreamState
	// silentRevision is the revision of the list of silent upstreams.
	silentRevision uint64
	// loadsAt is the time as of which the loads of the other entries are known.
	loadsAt time.Time
	// reportInterval is the interval between the reports of this entry, and so about that of the
	// others.
	reportInterval staleload.Interval
	// clock is the upstreams' clock in milliseconds at clockAt, 0 if unknown.
	clock   int64
	clockAt time.Time
	// activeEntries is the number of entries that take requests, 0 if unknown.
	entries, activeEntries int
	recent                 *recentParts
	// lost holds the sends that broke off lately.
	lost quarantine.LostAttempts
	// crashChecks holds the checks of the upstreams at which they broke off.
	crashChecks map[quarantine.Incarnation]*crash.Check
	// claims are the crashes that are not proved.
	claims quarantine.Claims
	// verdicts holds the requests that crash upstreams.
	verdicts verdicts
	// evacuation lists the data centres whose upstreams get no new work.
	evacuation evacuation.View
	// allowance is what this entry may send to cold upstreams.
	allowance *warmup.Allowance
	// limits is what this entry may send to upstreams that name a limit. limitsRevision is the
	// revision of the control hosts' list of limits.
	limits         *ratelimit.Allowance
	limitsRevision uint64
	// reach is what this entry knows of its paths to upstreams. unreached is the share of the
	// upstreams that it doesn't reach, in steps of unreachedStep percent.
	reach     *reach.Tracker
	unreached int
	// peers are the entries that requests may be forwarded to, by the latest answer of the
	// control hosts, and peerLoads the state of those that were used.
	peers []steward.PeerView
	// directory is Options.Directory, and addresses are the listeners to tell callers, of revision
	// addressesRevision, as of addressesAt.
	directory         bool
	addresses         []string
	addressesRevision uint64
	addressesAt       time.Time
	peerLoads         map[string]*peerLoad
	// served holds the requests that were served lately: they are not considered the cause of
	// a crash.
	served quarantine.Served
	// unserved finds parts of prompts that are served no more.
	unserved quarantine.UnservedParts
	// waiting holds the requests that wait for capacity, in the order of dispatch.
	waiting []*waiter
	// shares holds them instead if teams have shares, else it is nil.
	shares     *shareQueues
	wakeup     wakeup
	waitLimits waitLimits
	budgets    *budgets
	// learned holds the estimates of each service's engines and prompts; startPerMs is their
	// initial prefill rate in tokens per millisecond.
	learned    map[string]*learned
	startPerMs float64
	// hints corrects the hints for the length of outputs, by team.
	hints    map[string]*estimate.OutputHints
	exchange exchange
	// usualWaits are the longest time limits of requests, by route.
	usualWaits map[string]*estimate.Longest
	// announceWithin is the time within which an upstream's next announcement is known to this
	// entry.
	announceWithin time.Duration
	// restartKnownWithin is the time within which this entry learns that an upstream has been
	// restarted, or that the control hosts have no contact with it.
	restartKnownWithin time.Duration
	// versions tracks the software versions of the upstreams, by clockNow, which counts
	// suspensions of the machine. The roster is complete as of rosterAsOf.
	versions   *resumption.Versions
	rosterAsOf time.Time
	clockNow   func() time.Time
	// shareParts is LoadOptions.ShareParts; reads are the parts that runners are reading.
	shareParts bool
	// runnerLinks is LoadOptions.RunnerLinks.
	runnerLinks bool
	reads       replicate.Reads
	copies      copies
	// callerLimits are those of the configuration in force, nil without one. They are read without the lock.
	callerLimits atomic.Pointer[catalog.Limits]
	// origins holds what began the streams of this entry that are not complete.
	origins *resumption.Records
}

// storeState is this entry's view of a store or of a runner's cache.
type storeState struct {
	open bool
	// own and others are the tokens queued by prompts under way, of this entry and of the
	// other entries.
	own, others int
	// queue are the transfers of this entry's prompts that have not ended.
	queue    replicate.Queue
	slowdown slowdown
	pending  *pendingSaves
}

func newState(host string, startPerMs float64) *state {
	return &state{
		learned:    make(map[string]*learned),
		startPerMs: startPerMs,
		usualWaits: make(map[string]*estimate.Longest),
		hints:      make(map[string]*estimate.OutputHints),

		started:          make(chan struct{}),
		inventoriesReady: make(chan struct{}),
		weights:          make(map[string]uint64),
		targets:          rollout.NewTargetVersions(),
		unbegun:          make(unbegunPrompts),
		minVersions:      make(map[string]uint64),
		ownMinimumAt:     make(map[string]uint64),
		upstreams:        make(map[string]*upstreamState),
		loadedByOthers:   make(map[*upstreamState]struct{}),
		activeUpstreams:  make(map[string]*upstreamState),
		serving:          make(map[string][]*upstreamState),
		stores:           make(map[string]*storeState),
		caches:           cacheindex.NewIndex(false),
		recent:           newRecentParts(),
		budgets:          newBudgets(),
		allowance:        warmup.NewAllowance(time.Now()),
		limits:           ratelimit.NewAllowance(host),
		reach:            reach.NewTracker(),
		crashChecks:      make(map[quarantine.Incarnation]*crash.Check),
		peerLoads:        make(map[string]*peerLoad),

		announceWithin:     steward.DefaultAnnounceEvery + announceDelay,
		restartKnownWithin: restartIntervals*steward.DefaultAnnounceEvery + announceDelay,
		versions:           resumption.NewVersions(time.Now()),
		clockNow:           time.Now,
		origins:            resumption.NewRecords(),

		waitLimits: waitLimits{first: maxWaitingFirst, retried: maxWaitingRetried},
	}
}

// inventoryRefreshAge is the age of the inventories from which on the watch request is to be
// answered immediately, without waiting for changes. An entry that starts together with its
// control hosts sends the first request to a host that is not up yet, and gets a late answer
// that is too old to rely on. Until the next answer, shared parts that are in stores are
// recomputed.
const inventoryRefreshAge = steward.InventoryMaxAge / 2

// request returns the next watch request with the revisions that this entry has.
func (s *state) request(view steward.EntryView) *steward.WatchRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	request := &steward.WatchRequest{
		Entry: &view, Weights: s.weightsRevision, Roster: s.rosterRevision, Term: s.term,
		Quarantine: s.verdicts.revision, Evacuation: s.evacuation.Revision, ReadingRoster: s.rosterListed != nil, SilentRevision: s.silentRevision,
		Limits: s.limits.Unlisted(time.Now()), LimitsRevision: s.limitsRevision,
		Learned: s.reportLearned(time.Now()), LearnedRevision: s.exchange.revision,
		Directory: s.directory, AddressesRevision: s.addressesRevision,
	}
	if time.Since(s.inventoriesAt) > inventoryRefreshAge {
		// A control host answers immediately if the term differs from its own.
		request.Term = 0
	}
	query := s.caches.NextQuery()
	request.Inventories = &query
	if s.index != nil {
		request.Document = s.index.Version()
	}
	for address, store := range s.stores {
		if queued := store.ownQueued(s, now); queued > 0 {
			request.Loads = append(request.Loads, steward.Load{Upstream: address, Unread: queued})
		}
	}
	request.Loads = s.appendReads(request.Loads, now)
	for id, u := range s.activeUpstreams {
		if s.upstreams[id] == u {
			load := u.own
			load.Upstream = id
			request.Loads = append(request.Loads, load)
		}
	}
	return request
}

// isStore reports whether an address is that of a store and not of a runner.
func (s *state) isStore(address string) bool {
	return slices.ContainsFunc(s.index.Stores(), func(service *catalog.Service) bool { return service.Store.Address == address })
}

func (s *state) store(address string) *storeState {
	store := s.stores[address]
	if store == nil {
		store = &storeState{pending: newPendingSaves()}
		s.stores[address] = store
	}
	return store
}

// inventoriesValid reports whether the inventories of the stores may be used. They may not
// while they are newer than the known states of the stores: a part may be half written in the
// next incarnation of a store.
func (s *state) inventoriesValid(now time.Time) bool {
	return !s.caches.Inconsistent() && now.Sub(s.inventoriesAt) < steward.InventoryMaxAge
}

// upstreamsClock is the earliest possible reading of the upstreams' clock in milliseconds.
func (s *state) upstreamsClock(now time.Time) int64 {
	if s.clock == 0 {
		return 0
	}
	return s.clock + now.Sub(s.clockAt).Milliseconds()
}
