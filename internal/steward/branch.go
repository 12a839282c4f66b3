package steward

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/warmup"
)

const (
	// entriesAlone is up to how many entries the leader answers by itself. An
	// answer takes the leader's host about 0.1 ms of its quarter of a core, and
	// an entry asks up to 25 times a second.
	entriesAlone = 16
	// relayWait is the longest that a watch of another control host is kept
	// open. It is shorter than the entries' own watches, so that passing loads
	// on through one more host does not make them much older.
	relayWait = 40 * time.Millisecond
	// branchFresh is how old the leader's latest answer may be for this host to
	// answer watches. Several answers may fail meanwhile; a watcher that finds a
	// host cut off turns to another well within the time that it may rely on
	// what it knew.
	branchFresh = 500 * time.Millisecond
)

// branch is what a control host that does not lead knows from the leader's
// answers. It answers the watches of entries with it, so that the leader's work
// grows with the number of control hosts, not with that of entries.
//
// An answer tells how old what it says is at most, and entries count from there.
type branch struct {
	machine  *Machine
	watchers *watchers
	book     *sharedBook
	// clock is that of the times kept here, nil for time.Now: what was told before a
	// suspension of the machine is old after it.
	clock func() time.Time

	// hearing are the upstreams heard here.
	hearing hearing

	mu sync.Mutex
	// told is the leader's latest answer, which was asked for at asked, and came at
	// came by the steady clock.
	told  WatchAnswer
	asked time.Time
	came  time.Time
	// states are which stores may be used, as of shelvesAsked, when the
	// shelves were last complete.
	states       []StoreState
	shelvesAsked time.Time
	// grants are what entries may send to cold upstreams, of revision grantsAt, and
	// grantsAsked is when the leader was asked that confirmed them.
	grants      []warmup.Grant
	grantsAt    uint64
	grantsAsked time.Time
	// below is the list of number belowAt of the entries that ask here, as of belowSince.
	below      []EntryView
	belowAt    uint64
	belowSince time.Time
	// callers are the entries that asked here, and when they did last.
	callers map[string]time.Time
	// lacked is what the leader's state held at least, where this host's was
	// found behind.
	lacked revisions
}

func newBranch(machine *Machine, book *sharedBook, log *log.Logger) *branch {
	// The number begins anew with each process, and the leader may know the one before.
	return &branch{belowAt: rand.Uint64() >> 1, machine: machine, book: book, watchers: newWatchers(log)}
}

// now implements bulletin.
func (b *branch) now() time.Time { return readClock(b.clock) }

// timeAt implements bulletin.
func (b *branch) timeAt(lease time.Time) time.Time { return lease }

// at is what the branch's clock shows at a time of the steady clock, or later.
func (b *branch) at(steady time.Time) time.Time { return b.now().Add(time.Until(steady)) }

// request returns what this host asks the leader for. While the leader answers
// the entries by itself, or this host's own log is behind, it asks for the list
// of entries only.
func (b *branch) request(now time.Time) *WatchRequest {
	b.mu.Lock()
	defer b.mu.Unlock()
	held := b.machine.held()
	request := &WatchRequest{
		Term: b.told.Term, Document: held.document, Weights: held.weights, Roster: held.roster,
		Quarantine: held.quarantine, Evacuation: held.evacuation, Grants: b.grantsAt, LastContacts: b.hearing.list(time.Now()),
		SilentAt: b.told.SilentAt,
	}
	if !b.told.Relaying || !held.cover(b.lacked) {
		return request
	}
	request.Relay = true
	b.listBelow(request, now)
	request.Loads = b.watchers.loads()
	request.Inventories = b.book.ask()
	return request
}

// listBelow tells the entries that ask here. The list goes to the leader 25 times a second,
// and it is mostly as it was. The caller holds the lock.
func (b *branch) listBelow(request *WatchRequest, now time.Time) {
	views := b.watchers.entries(now)
	if !slices.EqualFunc(b.below, views, sameToLeader) || now.Sub(b.belowSince) >= ratesEvery {
		b.below, b.belowSince = views, now
		b.belowAt++
	}
	request.RelayedRevision = b.belowAt
	if b.told.RelayedRevision != b.belowAt {
		request.RelayedEntries = b.below
	}
}

// sameToLeader reports whether two views of an entry differ in its requests only.
func sameToLeader(a, b EntryView) bool {
	return sameState(a, b) && a.Evacuation == b.Evacuation && a.Document == b.Document
}

// take takes in an answer of the leader to a question that was sent answer.Age after
// shelvesAsked.
func (b *branch) take(answer *WatchAnswer, shelvesAsked, came time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	asked := shelvesAsked.Add(answer.InventoryAge)
	if answer.Inventories != nil && b.book.take(answer.Inventories) {
		b.states, b.shelvesAsked = answer.StoreStates, shelvesAsked
	}
	b.takeGrants(answer, asked)
	steady := time.Now()
	b.hearing.told(steady.Add(-came.Sub(asked)), steady)
	b.lacked = answer.revisions()
	before := b.told
	b.told, b.asked, b.came = *answer, asked.Add(-answer.StateAge), steady
	if answer.EntriesUnchanged {
		b.told.Entries = before.Entries
	}
	if answer.SilentAt == before.SilentAt && answer.Term == before.Term {
		b.told.Silent = before.Silent
	}
	b.told.Inventories, b.told.Document, b.told.Weights, b.told.Roster = nil, nil, nil, nil
	b.told.Quarantine, b.told.Evacuation, b.told.Grants = nil, nil, nil
}

// takeGrants takes in the grants, which count from when the leader was asked. Those of
// another leader are numbered anew. The caller holds the lock.
func (b *branch) takeGrants(answer *WatchAnswer, asked time.Time) {
	if answer.Term != b.told.Term {
		b.grants, b.grantsAt = nil, 0
	}
	if answer.GrantsAt == 0 {
		return
	}
	if answer.GrantsAt != b.grantsAt {
		b.grants, b.grantsAt = answer.Grants, answer.GrantsAt
	}
	b.grantsAsked = asked
}

// follow implements bulletin.
func (b *branch) follow(from port.Peer, request *WatchRequest, now time.Time) {
	b.watchers.follow(from, request, now)
}

// touch implements bulletin.
func (b *branch) touch(from port.Peer, now time.Time) { b.watchers.touch(from, now) }

// serves reports whether this host may answer a watch: it must have heard from
// the leader lately, and know no less than the watcher.
func (b *branch) serves(request *WatchRequest, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.told.Relaying && now.Sub(b.asked) <= branchFresh &&
		request.Term <= b.told.Term && b.machine.held().cover(b.lacked)
}

// fresh reports whether this host has heard from the leader lately and knows all that
// it knew.
func (b *branch) fresh(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return now.Sub(b.asked) <= branchFresh && b.machine.held().cover(b.lacked)
}

// relays lists the hosts that answer watches, as the leader told.
func (b *branch) relays() []RelayView {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.told.Relays
}

// asOf implements bulletin. Where this host serves, its log has come as far as
// the leader's had when it was asked.
func (b *branch) asOf(time.Time) time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.asked
}

// busy implements bulletin.
func (b *branch) busy() int { return b.watchers.busy() }

// term implements bulletin.
func (b *branch) term() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.told.Term
}

// fill implements bulletin.
func (b *branch) fill(request *WatchRequest, answer *WatchAnswer) bool {
	if request.Inventories == nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	var found bool
	answer.Inventories, found = b.book.answer(request.Inventories)
	answer.StoreStates = b.states
	// Told with the shelves, under one lock: taken later it could be that of the
	// next word, and make this one look younger than it is.
	answer.InventoryAge = b.now().Sub(b.shelvesAsked)
	return found
}

// complete implements bulletin.
func (b *branch) complete(from port.Peer, answer *WatchAnswer, now time.Time) {
	b.mu.Lock()
	told, came := b.told, b.came
	b.mu.Unlock()
	answer.Term = told.Term
	answer.Leader = told.Leader
	answer.Relaying, answer.Relays = told.Relaying, told.Relays
	answer.EntryCount, answer.Counting, answer.ActiveEntries = told.EntryCount, told.Counting, told.ActiveEntries
	answer.Silent, answer.SilentAt, answer.Loading, answer.MinVersions = told.Silent, told.SilentAt, told.Loading, told.MinVersions
	if told.Clock > 0 {
		// Were a suspension counted here, fetches could be permitted for longer by a
		// word on the shelves that was looked up before it.
		answer.Clock = told.Clock + time.Since(came).Milliseconds()
	}
	answer.Loads = b.watchers.loadsBut(from.Host, told.Loads, now)
}

// tellGrants implements bulletin: it tells nothing that the leader confirmed too long
// ago.
func (b *branch) tellGrants(from port.Peer, _ *WatchRequest, answer *WatchAnswer, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	age := now.Sub(b.grantsAsked)
	if b.grantsAt == 0 || age >= warmup.Validity {
		return
	}
	answer.Grants, answer.GrantsAt, answer.GrantsAge = warmup.GrantsFor(b.grants, string(from.Host)), b.grantsAt, age
}

const (
	// listStale is how old the leader's list of entries may be to be passed on as it is.
	// Entries that have ended since are named to callers beside those that run.
	listStale = 3 * time.Second
	// maxCallers bounds the entries that are remembered to have asked here.
	maxCallers = 4096
)

// entries is the leader's list of entries. While the leader is silent for long, it is
// those of them that have asked here since, or all if none has: entries without a leader
// ask the control hosts in turn.
func (b *branch) entries(now time.Time) []EntryView {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Sub(b.asked) <= listStale {
		return b.told.Entries
	}
	var asking []EntryView
	for _, view := range b.told.Entries {
		if at, asked := b.callers[view.Host]; asked && now.Sub(at) <= listStale {
			asking = append(asking, view)
		}
	}
	if len(asking) == 0 {
		return b.told.Entries
	}
	return asking
}

// noteCaller notes that an entry asked here, whoever answers it.
func (b *branch) noteCaller(host string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.callers == nil || len(b.callers) >= maxCallers {
		b.callers = make(map[string]time.Time)
	}
	b.callers[host] = now
}

// hasHeard reports whether the leader has ever been asked with success.
func (b *branch) hasHeard() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.asked.IsZero()
}

// heardAge is the time since the leader was asked with success, 0 if never.
func (b *branch) heardAge(now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.asked.IsZero() {
		return 0
	}
	return now.Sub(b.asked)
}
