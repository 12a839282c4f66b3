package gateway

import (
	"slices"
	"sync"
	"time"

	"github.com/lovagereach/lovagereach/cacheindex"
	"github.com/lovagereach/lovagereach/catalog"
	"github.com/lovagereach/lovagereach/estimate"
	"github.com/lovagereach/lovagereach/evacuation"
	"github.com/lovagereach/lovagereach/internal/steward"
	"github.com/lovagereach/lovagereach/quarantine"
	"github.com/lovagereach/lovagereach/roster"
	"github.com/lovagereach/lovagereach/warmup"
)

// upstreamState is what this entry knows of one upstream.
type upstreamState struct {
	record roster.Upstream
	// silent tells that the control hosts have not heard it lately.
	silent bool
	// own and others are the work under way, of this entry and, as of the state's
	// loadsAt, of the others.
	own, others steward.Load
	trust       trust
	// loading tells that the runner is being ordered to load weights.
	loading bool
	// fullUntil is how long the upstream is avoided after it said it is full.
	fullUntil time.Time
	// unlisted is until when what the book holds of its cache counts as of a
	// former life, if the hosts don't clear it before.
	unlisted time.Time
	// doubtUntil is how long the upstream is avoided after it refused two versions.
	doubtUntil time.Time
	// coldUntil is until when the upstream bears only a few requests, and probeAt, where
	// it was lost, when one more may be tried. It has answered since at backAt.
	coldUntil, probeAt, backAt time.Time
	// version is a weight version learnt from the runner itself, when newer
	// than the roster's.
	version map[string]uint64
}

// life names what is believed of the upstream: another life knows nothing of it.
func (u *upstreamState) life() life { return life{id: u.record.ID, born: u.record.StartedMs} }

func (u *upstreamState) versionOf(model string) uint64 {
	return max(u.record.VersionOf(model), u.version[model])
}

// learn notes a version that the runner has by its own word.
func (u *upstreamState) learn(model string, version uint64) {
	if u.version == nil {
		u.version = make(map[string]uint64)
	}
	u.version[model] = version
}

// state is everything that requests are decided by. Its lock is held for
// microseconds and never during I/O.
type state struct {
	mu    sync.Mutex
	index *catalog.Index
	// started is closed at the first configuration, at startedAt, and stocked once
	// the shelves have been complete and a store open, or long enough after it.
	started, stocked chan struct{}
	startedAt        time.Time

	weights  map[string]uint64
	weightsR uint64
	// floor is the oldest version of each model on which a prompt may begin.
	floor   map[string]uint64
	rosterR uint64
	// listing names the upstreams told so far of a roster that begins anew, nil once all
	// of it has been told.
	listing map[string]bool
	members map[string]*upstreamState
	// serving lists the upstreams that take work by service.
	serving map[string][]*upstreamState
	stores  map[string]*storeState
	// book holds the shelves. It stood for a moment after shelvesAt, when it was
	// last complete.
	book      *cacheindex.Index
	shelvesAt time.Time
	term      uint64
	// laden are the upstreams with work of others under way, or ordered to load weights.
	laden map[*upstreamState]struct{}
	// engaged are those with work of this entry under way, by name.
	engaged map[string]*upstreamState
	// silentAt is the revision of the silent upstreams that this entry was told.
	silentAt uint64
	// loadsAt is the time as of which the others' loads were told.
	loadsAt time.Time
	// clock is the upstreams' clock at clockAt, 0 when unknown.
	clock   int64
	clockAt time.Time
	// takers is how many of the entries take requests, 0 while that is not told.
	entries, takers int
	recent          *recentParts
	// lost are the sends that broke off lately.
	lost quarantine.Lost
	// verdicts are on requests that end upstreams, and served those that did not.
	verdicts verdicts
	// evacuation lists the data centres whose upstreams get no new work.
	evacuation evacuation.View
	// allowance is what this entry may send to cold upstreams.
	allowance *warmup.Allowance
	served    quarantine.Served
	// waiting are the requests that wait for room, in the order of their turns.
	waiting  []*waiter
	patience patience
	budgets  *budgets
	// learned is what was observed of each service's engines and prompts; startPerMs
	// is the reading pace in tokens a millisecond that they begin with.
	learned    map[string]*learned
	startPerMs float64
	// times are the longest times that requests come with, by route.
	times map[string]*estimate.Longest
	// wordWithin is within what time an upstream's next announcement is known here.
	wordWithin time.Duration
}

// storeState is what this entry knows of a store, or of a runner's cache.
type storeState struct {
	open bool
	// own and others are the tokens that prompts under way wait for, of this
	// entry and of the others.
	own, others int
	pace        pace
	// pending are saves on their way, with the time at which they are given up.
	pending map[cacheindex.Key]pendingSave
}

type pendingSave struct {
	tokens int
	until  time.Time
}

func newState(startPerMs float64) *state {
	return &state{
		learned:    make(map[string]*learned),
		startPerMs: startPerMs,
		times:      make(map[string]*estimate.Longest),

		started:   make(chan struct{}),
		stocked:   make(chan struct{}),
		weights:   make(map[string]uint64),
		floor:     make(map[string]uint64),
		members:   make(map[string]*upstreamState),
		laden:     make(map[*upstreamState]struct{}),
		engaged:   make(map[string]*upstreamState),
		serving:   make(map[string][]*upstreamState),
		stores:    make(map[string]*storeState),
		book:      cacheindex.NewIndex(false),
		recent:    newRecentParts(),
		budgets:   newBudgets(),
		allowance: warmup.NewAllowance(time.Now()),

		wordWithin: steward.DefaultAnnounceEvery + wordLate,

		patience: patience{heavy: waitingMost, returned: returnedMost},
	}
}

// shelvesUrgent is how old the word on the stores may be before it is asked for at
// once, without waiting for news. An entry that starts beside its control hosts asks
// one that is not up yet, and is answered late by an answer too old to rely on. Until
// the next one comes, shared parts that stand in stores are read again.
const shelvesUrgent = steward.InventoryMaxAge / 2

// request returns what this entry holds, for the next watch.
func (s *state) request(view steward.EntryView) *steward.WatchRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	request := &steward.WatchRequest{
		Entry: &view, Weights: s.weightsR, Roster: s.rosterR, Term: s.term,
		Quarantine: s.verdicts.revision, Evacuation: s.evacuation.Revision, Listing: s.listing != nil, SilentAt: s.silentAt,
	}
	if time.Since(s.shelvesAt) > shelvesUrgent {
		// A host that does not know the term as its own answers at once.
		request.Term = 0
	}
	question := s.book.Ask()
	request.Inventories = &question
	if s.index != nil {
		request.Document = s.index.Version()
	}
	for address, store := range s.stores {
		if store.own > 0 {
			request.Loads = append(request.Loads, steward.Load{Upstream: address, Unread: store.own})
		}
	}
	for id, u := range s.engaged {
		if s.members[id] == u {
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
		store = &storeState{pending: make(map[cacheindex.Key]pendingSave)}
		s.stores[address] = store
	}
	return store
}

// shelvesTrusted reports whether what is known of the stores may be used. It may
// not while newer parts stand beside an older word on which stores are open: a
// part may be half written in the next life of a store.
func (s *state) shelvesTrusted(now time.Time) bool {
	return !s.book.Inconsistent() && now.Sub(s.shelvesAt) < steward.InventoryMaxAge
}

// upstreamsClock is the earliest that the upstreams' clock can show.
func (s *state) upstreamsClock(now time.Time) int64 {
	if s.clock == 0 {
		return 0
	}
	return s.clock + now.Sub(s.clockAt).Milliseconds()
}
