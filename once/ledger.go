package once

import (
	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/wire"
	"github.com/lovagereach/lovagereach/outcome"
)

// phase is the state of a key's record.
type phase uint8

const (
	phaseClaimed  phase = iota + 1 // granted; its owner may send the call
	phaseReleased                  // released before the first byte of the call
	phaseAnswered                  // an outcome, possibly unknown, is recorded
)

// record is the ledger's state of one key.
type record struct {
	phase  phase
	digest Digest
	claim  ClaimID
	owner  Owner
	team   ident.Team
	// holdEnd is the time at which a claim without an outcome becomes unknown,
	// in ledger milliseconds.
	holdEnd int64
	// retainFrom is the time at which the retention starts, in ledger
	// milliseconds.
	retainFrom int64
	// dated is set if the key's text encodes a date.
	dated   bool
	request ident.Request
	reason  outcome.Reason
	// answer is the encoded Answer. The encoded form is one allocation instead
	// of many and is copied into snapshots as it is.
	answer []byte
	// ownerLost is set if the answer is unknown only because the owner was lost
	// or recorded no outcome in time. Such an owner may still record one.
	ownerLost bool
	// abandoned holds the latest released claims, see Ledger.abandon.
	abandoned []ClaimID
	bytes     int64
}

// maxAbandoned bounds the number of abandoned claims kept for one key.
const maxAbandoned = 64

// recordBytes is the memory accounted to a claim without an answer: the record,
// its map entry and its entries in the two queues. BenchmarkMemoryPerClaim
// measures it.
const recordBytes = 512

// Ledger is the replicated state machine. It is not safe for concurrent use.
type Ledger struct {
	options Options
	now     int64
	applied uint64
	records map[KeyID]*record
	bytes   int64
	teams   map[ident.Team]int64
	// incarnations holds the latest known incarnation of each entry host.
	incarnations map[ident.Host]ident.Incarnation
	// byOwner holds the keys in flight of each entry host.
	byOwner map[ident.Host]map[KeyID]struct{}
	// holds and expiries are the queues of the ends of holds and of retentions.
	// They may hold entries that no longer match their record.
	holds    deadlines
	expiries deadlines
	// expired holds the expired undated keys.
	expired filter
	// lastReshard is the latest Reshard applied, zero if there was none.
	lastReshard Reshard
	// minCutoff is the expiry cutoff at the latest change of the options. The
	// cutoff never falls below it, even if the retention is raised, because the
	// records of older keys are already dropped.
	minCutoff int64
	onResolve func(KeyID)
}

// New returns an empty ledger with the default options.
func New() *Ledger {
	l := &Ledger{options: DefaultOptions()}
	l.reset()
	return l
}

func (l *Ledger) reset() {
	l.records = make(map[KeyID]*record)
	l.teams = make(map[ident.Team]int64)
	l.incarnations = make(map[ident.Host]ident.Incarnation)
	l.byOwner = make(map[ident.Host]map[KeyID]struct{})
	l.holds, l.expiries = nil, nil
	l.bytes = 0
	l.expired = filter{}
	l.lastReshard = Reshard{}
	l.minCutoff = 0
}

// OnResolve sets a function that Apply calls with each key whose claim is no
// longer in flight. The function must not call the ledger.
func (l *Ledger) OnResolve(f func(KeyID)) { l.onResolve = f }

func (l *Ledger) notifyResolved(id KeyID) {
	if l.onResolve != nil {
		l.onResolve(id)
	}
}

// Apply executes one committed command and returns the encoded Result. A
// command whose index was applied before has no effect; index 0 is never
// treated as a duplicate.
func (l *Ledger) Apply(index uint64, command []byte) []byte {
	if index != 0 && index <= l.applied {
		return Result{Status: StatusBad, Detail: "command was applied before"}.Encode()
	}
	l.applied = max(l.applied, index)
	var c Command
	if err := wire.Unmarshal(command, &c); err != nil {
		return Result{Status: StatusBad, Detail: "command can't be read"}.Encode()
	}
	return l.Execute(c).Encode()
}

// Execute executes one decoded command.
func (l *Ledger) Execute(c Command) Result {
	l.now = max(l.now, c.NowMillis)
	l.expireHolds()
	l.expireRecords()
	switch {
	case c.Claim != nil:
		return l.claim(*c.Claim)
	case c.Release != nil:
		return l.release(*c.Release)
	case c.Record != nil:
		return l.record(*c.Record)
	case c.LostOwner != nil:
		l.markIncarnationsLost(c.LostOwner.Host, c.LostOwner.Incarnation)
		return Result{Status: StatusOK}
	case c.Configure != nil:
		return l.configure(*c.Configure)
	case c.Reshard != nil:
		return l.applyReshard(*c.Reshard)
	default:
		return Result{Status: StatusOK}
	}
}

func (l *Ledger) configure(options Options) Result {
	if err := options.Validate(); err != nil {
		return Result{Status: StatusBad, Detail: err.Error()}
	}
	l.minCutoff = l.expiryCutoff()
	l.options = options
	// Rebuild the queue, so that it doesn't depend on when the options changed:
	// a replica that restores a snapshot builds it from the records too.
	l.expiries = nil
	for id, rec := range l.records {
		l.expiries.add(l.expiresAt(rec), id)
	}
	return Result{Status: StatusOK}
}

// applyReshard applies a Reshard that raises the number of shards. A delayed
// copy of an older one has no effect.
func (l *Ledger) applyReshard(s Reshard) Result {
	if s.Self >= s.Shards {
		return Result{Status: StatusBad, Detail: "a shard's number must be below the number of shards"}
	}
	if s.Shards > l.lastReshard.Shards {
		l.lastReshard = s
	}
	return Result{Status: StatusOK}
}

// moved reports whether a key without a record here now maps to another shard.
func (l *Ledger) moved(id KeyID) bool {
	return l.lastReshard.Shards > 0 && id.Shard(l.lastReshard.Shards) != l.lastReshard.Self
}

// Lookup returns the state of a key without changing it.
func (l *Ledger) Lookup(key Key) Result {
	id := key.ID()
	rec, ok := l.records[id]
	if !ok {
		if status, detail := l.checkNewKey(key, id); status != StatusInvalid {
			return Result{Status: status, Detail: detail}
		}
		if l.moved(id) {
			return Result{Status: StatusMoved}
		}
		return Result{Status: StatusMissing, Detail: "no claim under this key"}
	}
	return rec.result()
}

// Peek answers a claim without a command if the answer is final, or if another
// claim holds the key at nowMillis. It returns false if the claim must be
// committed to be answered.
func (l *Ledger) Peek(c Claim, nowMillis int64) (Result, bool) {
	rec, ok := l.records[c.Key.ID()]
	switch {
	case !ok || l.expiresAt(rec) <= nowMillis:
		return Result{}, false
	case rec.digest != c.Digest:
		return Result{Status: StatusConflict}, true
	case rec.phase == phaseClaimed:
		return rec.result(), rec.claim != c.ID && rec.holdEnd > nowMillis && !rec.isAbandoned(c.ID)
	case rec.phase == phaseAnswered:
		return rec.result(), !rec.ownerLost
	default:
		return Result{}, false
	}
}

func (r *record) result() Result {
	switch r.phase {
	case phaseClaimed:
		return Result{Status: StatusInFlight, Owner: r.owner}
	case phaseReleased:
		return Result{Status: StatusReleased, Reason: r.reason}
	default:
		return Result{Status: StatusAnswered, Answer: r.decodeAnswer()}
	}
}

func (r *record) decodeAnswer() *Answer {
	var answer Answer
	if err := wire.Unmarshal(r.answer, &answer); err != nil {
		// This happens only after a corrupt snapshot. The caller gets the
		// outcome unknown.
		return &Answer{Kind: outcome.KindUnknown, Reason: outcome.ReasonLedgerDown, Detail: "the recorded outcome can't be read"}
	}
	return &answer
}

// Stats holds the sizes of a ledger for metrics and dumps.
type Stats struct {
	Keys     int   `cbor:"1,keyasint"`
	InFlight int   `cbor:"2,keyasint"`
	Bytes    int64 `cbor:"3,keyasint"`
	// Expired is the number of undated keys remembered as expired.
	Expired   int64 `cbor:"4,keyasint"`
	NowMillis int64 `cbor:"5,keyasint"`
}

// Stats returns the ledger's current sizes.
func (l *Ledger) Stats() Stats {
	stats := Stats{Keys: len(l.records), Bytes: l.bytes, Expired: l.expired.count(), NowMillis: l.now}
	for _, keys := range l.byOwner {
		stats.InFlight += len(keys)
	}
	return stats
}
