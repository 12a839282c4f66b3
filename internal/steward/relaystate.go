package steward

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/ratelimit"
	"github.com/lovagereach/lovagereach/roster"
	"github.com/lovagereach/lovagereach/warmup"
)

const (
	// maxDirectEntries is the number of entries up to which the leader answers them itself. An
	// answer takes about 0.1 ms of the leader's quarter of a core, and an entry sends up to 25
	// requests a second.
	maxDirectEntries = 16
	// relayWait is the longest time that a watch of another control host is kept open. It is
	// shorter than the wait for entries' own watches, so that loads forwarded through one more
	// host are not much older.
	relayWait = 40 * time.Millisecond
	// relayFreshness is the maximum age of the leader's latest answer for this host to answer
	// watches. It leaves time for several failed answers; a watcher that finds a host cut off
	// turns to another well before its own state expires.
	relayFreshness = 500 * time.Millisecond
)

// relayState is the state that a control host that doesn't lead has from the leader's answers.
// The host answers entries' watches with it, so that the leader's work grows with the number of
// control hosts, not with the number of entries.
//
// Each answer carries the maximum age of its content, and entries measure age from there.
type relayState struct {
	machine  *Machine
	watchers *watchers
	index    *sharedIndex
	// clock is the clock for the times stored here, nil for time.Now. It counts suspensions of
	// the machine, so that state received before a suspension is old after it.
	clock func() time.Time

	// contacts are the upstreams that announced themselves to this host.
	contacts contactTracker

	mu sync.Mutex
	// latest is the leader's latest answer. knownAt is the time as of which its content was
	// current, and receivedAt the time at which it arrived, by the monotonic clock.
	latest     WatchAnswer
	knownAt    time.Time
	receivedAt time.Time
	// lastLeader is the leader that this host followed last, or this host itself.
	lastLeader formerLeader
	// storeStates are the states of the stores as of inventoriesAt, the time at which the
	// inventories were last complete.
	storeStates   []StoreState
	inventoriesAt time.Time
	// grants and shares are the rates at which entries may send to cold and to limited
	// upstreams, of revision grantsRevision. grantsConfirmedAt is the time of the latest request to the leader that
	// confirmed them.
	grants            []warmup.Grant
	shares            []ratelimit.Share
	grantsRevision    uint64
	grantsConfirmedAt time.Time
	// limits are the limits that upstreams named, by the leader's list of revision
	// limitsRevision and by the reports of entries.
	limits         *ratelimit.Observations
	limitsRevision uint64
	// relayedEntries is the list of entries that watch this host, of revision relayedRevision,
	// as of relayedSince.
	relayedEntries  []EntryView
	relayedRevision uint64
	relayedSince    time.Time
	// callers holds, by entry, the time of its last request to this host.
	callers map[string]time.Time
	// required holds the minimum revisions of the leader's state. This host serves only once
	// its own state has reached them.
	required revisions
}

func newRelayState(machine *Machine, index *sharedIndex, log *log.Logger) *relayState {
	// The revision starts at a random number: the leader may still hold the list of the
	// previous incarnation.
	b := &relayState{relayedRevision: rand.Uint64() >> 1, machine: machine, index: index, watchers: newWatchers(log), limits: ratelimit.NewObservations()}
	b.watchers.newest = machine.documentVersion
	return b
}

// now implements watchSource.
func (b *relayState) now() time.Time { return readClock(b.clock) }

// timeAt implements watchSource.
func (b *relayState) timeAt(lease time.Time) time.Time { return lease }

// clockAt returns the reading of the relay's clock at a time of the monotonic clock, or a later
// one.
func (b *relayState) clockAt(steady time.Time) time.Time { return b.now().Add(time.Until(steady)) }

// request returns this host's next request to the leader. While the leader answers the entries
// itself, or this host's own log is behind, the request is for the list of entries only.
func (b *relayState) request(now time.Time) *WatchRequest {
	b.mu.Lock()
	defer b.mu.Unlock()
	revisions := b.machine.currentRevisions()
	request := &WatchRequest{
		Term: b.latest.Term, Document: revisions.document, Weights: revisions.weights, Roster: revisions.roster,
		Quarantine: revisions.quarantine, Evacuation: revisions.evacuation, Grants: b.grantsRevision, LastContacts: b.contacts.list(time.Now()),
		SilentRevision: b.latest.SilentRevision, LimitsRevision: b.limitsRevision, Limits: b.limits.Unlisted(now),
	}
	if !b.latest.Relaying || !revisions.covers(b.required) {
		return request
	}
	request.Relay = true
	b.addRelayedEntries(request, now)
	request.Loads = b.watchers.loads()
	request.Inventories = b.index.query()
	return request
}

// addRelayedEntries adds the list of entries that watch this host. The request goes to the
// leader 25 times a second and the list rarely changes, so an unchanged list is left out. The
// caller holds the lock.
func (b *relayState) addRelayedEntries(request *WatchRequest, now time.Time) {
	views := b.watchers.entries(now)
	if !slices.EqualFunc(b.relayedEntries, views, differOnlyInRate) || now.Sub(b.relayedSince) >= ratesEvery {
		b.relayedEntries, b.relayedSince = views, now
		b.relayedRevision++
	}
	request.RelayedRevision = b.relayedRevision
	if b.latest.RelayedRevision != b.relayedRevision {
		request.RelayedEntries = b.relayedEntries
	}
}

// differOnlyInRate reports whether two views of an entry are equal except for the request
// rates.
func differOnlyInRate(a, b EntryView) bool {
	return sameState(a, b) && a.Evacuation == b.Evacuation && a.Document == b.Document
}

// apply applies an answer of the leader. inventoriesAt is answer.InventoryAge before the
// request was sent.
func (b *relayState) apply(answer *WatchAnswer, inventoriesAt, receivedAt time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	requestedAt := inventoriesAt.Add(answer.InventoryAge)
	if answer.Inventories != nil && b.index.apply(answer.Inventories) {
		b.storeStates, b.inventoriesAt = answer.StoreStates, inventoriesAt
	}
	b.applyGrants(answer, requestedAt)
	b.applyLimits(answer, requestedAt)
	steady := time.Now()
	b.contacts.acknowledge(steady.Add(-receivedAt.Sub(requestedAt)), steady)
	b.required = answer.revisions()
	before := b.latest
	b.latest, b.knownAt, b.receivedAt = *answer, requestedAt.Add(-answer.StateAge), steady
	b.recordLeader(answer, steady)
	if answer.EntriesUnchanged {
		b.latest.Entries = before.Entries
	}
	if answer.SilentRevision == before.SilentRevision && answer.Term == before.Term {
		b.latest.Silent = before.Silent
	}
	b.latest.Inventories, b.latest.Document, b.latest.Weights, b.latest.Roster = nil, nil, nil, nil
	b.latest.Quarantine, b.latest.Evacuation, b.latest.Grants, b.latest.Shares, b.latest.Limits = nil, nil, nil, nil, nil
}

// applyGrants applies the grants, which are valid from the time of the request to the leader.
// The revisions of another leader start from the beginning. The caller holds the lock.
func (b *relayState) applyGrants(answer *WatchAnswer, requestedAt time.Time) {
	if answer.Term != b.latest.Term {
		b.grants, b.shares, b.grantsRevision = nil, nil, 0
	}
	if answer.GrantsRevision == 0 {
		return
	}
	if answer.GrantsRevision != b.grantsRevision {
		b.grants, b.shares, b.grantsRevision = answer.Grants, answer.Shares, answer.GrantsRevision
	}
	b.grantsConfirmedAt = requestedAt
}

// applyLimits applies the leader's list of limits. The caller holds the lock.
func (b *relayState) applyLimits(answer *WatchAnswer, requestedAt time.Time) {
	if answer.LimitsRevision == 0 {
		return
	}
	now := b.now()
	if answer.LimitsRevision == b.limitsRevision && answer.Term == b.latest.Term && answer.Limits == nil {
		b.limits.ConfirmList(now)
		return
	}
	b.limits.SetList(answer.Limits, requestedAt, now)
	b.limitsRevision = answer.LimitsRevision
}

// addLimits implements watchSource.
func (b *relayState) addLimits(request *WatchRequest, answer *WatchAnswer, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	addLimits(b.limits, b.limitsRevision, b.latest.Term, request, answer, now)
}

// recordWatcher implements watchSource.
func (b *relayState) recordWatcher(from port.Peer, request *WatchRequest, now time.Time) {
	b.mu.Lock()
	for _, o := range request.Limits {
		b.limits.Record(o.Upstream, o.StartedMs, o.Limit, now.Add(-o.Age), now)
	}
	b.mu.Unlock()
	b.watchers.record(from, request, now)
}

// refresh implements watchSource.
func (b *relayState) refresh(from port.Peer, now time.Time) { b.watchers.refresh(from, now) }

// serves reports whether this host may answer a watch: it has a recent answer of the leader,
// and its state is at least as new as the watcher's.
func (b *relayState) serves(request *WatchRequest, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.latest.Relaying && now.Sub(b.knownAt) <= relayFreshness &&
		request.Term <= b.latest.Term && b.machine.currentRevisions().covers(b.required)
}

// fresh reports whether this host has a recent answer of the leader and its own state has
// reached the leader's.
func (b *relayState) fresh(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return now.Sub(b.knownAt) <= relayFreshness && b.machine.currentRevisions().covers(b.required)
}

// relays lists the hosts that answer watches, as of the leader's latest answer.
func (b *relayState) relays() []RelayView {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.latest.Relays
}

// minimumVersions lists the minimum versions that the leader told this host.
func (b *relayState) minimumVersions() []roster.Loaded {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.latest.MinVersions
}

// asOf implements watchSource. While this host serves, its log has reached the position that
// the leader's had at the request.
func (b *relayState) asOf(time.Time) time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.knownAt
}

// activeWatchers implements watchSource.
func (b *relayState) activeWatchers() int { return b.watchers.activeWatchers() }

// term implements watchSource.
func (b *relayState) term() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.latest.Term
}

// fill implements watchSource.
func (b *relayState) fill(request *WatchRequest, answer *WatchAnswer) bool {
	if request.Inventories == nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	var found bool
	answer.Inventories, found = b.index.answer(request.Inventories)
	answer.StoreStates = b.storeStates
	// The age is computed under the same lock as the inventories: read later, it could be that
	// of the next answer, and make this one look younger than it is.
	answer.InventoryAge = b.now().Sub(b.inventoriesAt)
	return found
}

// addCommon implements watchSource.
func (b *relayState) addCommon(from port.Peer, answer *WatchAnswer, now time.Time) {
	b.mu.Lock()
	latest, receivedAt := b.latest, b.receivedAt
	b.mu.Unlock()
	answer.Term = latest.Term
	answer.Leader = latest.Leader
	answer.Relaying, answer.Relays = latest.Relaying, latest.Relays
	answer.EntryCount, answer.Counting, answer.ActiveEntries = latest.EntryCount, latest.Counting, latest.ActiveEntries
	answer.Silent, answer.SilentRevision, answer.Loading = latest.Silent, latest.SilentRevision, latest.Loading
	b.machine.addMinimums(answer, latest.MinVersions, time.Now())
	if latest.Clock > 0 {
		// This elapsed time must not count suspensions: an inventory answer from before a
		// suspension could otherwise permit fetches for longer.
		answer.Clock = latest.Clock + time.Since(receivedAt).Milliseconds()
	}
	answer.Loads = b.watchers.loadsExcept(from.Host, latest.Loads, now)
}

// addGrants implements watchSource. Grants that the leader confirmed too long ago are left out.
func (b *relayState) addGrants(from port.Peer, _ *WatchRequest, answer *WatchAnswer, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	age := now.Sub(b.grantsConfirmedAt)
	if b.grantsRevision == 0 || age >= warmup.Validity {
		return
	}
	answer.Grants, answer.GrantsRevision, answer.GrantsAge = warmup.GrantsFor(b.grants, string(from.Host)), b.grantsRevision, age
	answer.Shares = ratelimit.SharesFor(b.shares, string(from.Host))
}

const (
	// entryListMaxAge is the maximum age of the leader's list of entries for it to be returned
	// unfiltered. An older list may name entries that have ended beside those that run.
	entryListMaxAge = 3 * time.Second
	// maxCallers bounds the number of entries in callers.
	maxCallers = 4096
)

// entries returns the leader's list of entries. When the leader's latest answer is older than
// entryListMaxAge, the list is reduced to the entries that have contacted this host within that
// time, or is returned whole if none has: entries without a leader query the control hosts in
// turn.
func (b *relayState) entries(now time.Time) []EntryView {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Sub(b.knownAt) <= entryListMaxAge {
		return b.latest.Entries
	}
	var calling []EntryView
	for _, view := range b.latest.Entries {
		if at, called := b.callers[view.Host]; called && now.Sub(at) <= entryListMaxAge {
			calling = append(calling, view)
		}
	}
	if len(calling) == 0 {
		return b.latest.Entries
	}
	return calling
}

// recordCaller records a request of an entry, whichever host answers it.
func (b *relayState) recordCaller(host string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.callers == nil || len(b.callers) >= maxCallers {
		b.callers = make(map[string]time.Time)
	}
	b.callers[host] = now
}

// hasLeaderContact reports whether a request to the leader has ever succeeded.
func (b *relayState) hasLeaderContact() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.knownAt.IsZero()
}

// awaitsLog reports whether this host will answer watches as soon as its own log has reached the
// position that the leader's had: after a restart, it learns with the next heartbeat how much of it
// is committed.
func (b *relayState) awaitsLog() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.latest.Relaying && !b.machine.currentRevisions().covers(b.required)
}

// leaderContactAge returns the time since the latest successful request to the leader, 0 if
// there was none.
func (b *relayState) leaderContactAge(now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.knownAt.IsZero() {
		return 0
	}
	return now.Sub(b.knownAt)
}
