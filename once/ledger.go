package once

import (
	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/wire"
	"github.com/lovagereach/lovagereach/outcome"
)

// phase is the state of a key between its claim and its expiry.
type phase uint8

const (
	phaseClaimed  phase = iota + 1 // an owner may send
	phaseReleased                  // given back before the first byte
	phaseAnswered                  // an outcome is recorded, or unknown
)

// record is what the ledger keeps of one key.
type record struct {
	phase  phase
	digest Digest
	claim  ClaimID
	owner  Owner
	team   ident.Team
	// holdEnd is when a claim without an outcome becomes unknown, and from the
	// time from which the retention counts, both in ledger milliseconds.
	holdEnd int64
	from    int64
	dated   bool
	request ident.Request
	reason  outcome.Reason
	// answer is the encoded Answer: one piece of memory instead of many, ready
	// for snapshots. lost tells that it says unknown only because nobody heard
	// from the owner in time; such an owner may still say what happened.
	answer []byte
	lost   bool
	// dead holds the latest claims that were given up, see giveUp.
	dead  []ClaimID
	bytes int64
}

// maxDead bounds the claims of one key that are remembered as given up.
const maxDead = 64

// recordBytes is what a claim without an answer costs in memory: the record,
// its map entry and its places in the two queues (measured by
// BenchmarkMemoryPerClaim).
const recordBytes = 512

// Ledger is the state machine. It is not safe for concurrent use.
type Ledger struct {
	options Options
	now     int64
	applied uint64
	records map[KeyID]*record
	bytes   int64
	teams   map[ident.Team]int64
	// incarnations are the latest known of each entry host.
	incarnations map[ident.Host]ident.Incarnation
	byOwner      map[ident.Host]map[KeyID]struct{}
	holds        deadlines
	forgets      deadlines
	expired      filter
	seal         Reshard
	// floor is the date up to which dated keys have been refused as too old.
	// It never falls, also when the retention is raised: the records of keys
	// older than it are gone.
	floor    int64
	onSettle func(KeyID)
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
	l.holds, l.forgets = nil, nil
	l.bytes = 0
	l.expired = filter{}
	l.seal = Reshard{}
	l.floor = 0
}

// OnResolve sets a function that Apply calls with each key whose claim stops
// being in flight. It must not call the ledger.
func (l *Ledger) OnResolve(f func(KeyID)) { l.onSettle = f }

func (l *Ledger) settled(id KeyID) {
	if l.onSettle != nil {
		l.onSettle(id)
	}
}

// Apply executes one committed command and returns an encoded Result. A
// command at an index that was applied before changes nothing.
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

// Execute runs one decoded command.
func (l *Ledger) Execute(c Command) Result {
	l.now = max(l.now, c.NowMillis)
	l.endHolds()
	l.forget()
	switch {
	case c.Claim != nil:
		return l.claim(*c.Claim)
	case c.Release != nil:
		return l.release(*c.Release)
	case c.Record != nil:
		return l.record(*c.Record)
	case c.LostOwner != nil:
		l.loseIncarnations(c.LostOwner.Host, c.LostOwner.Incarnation)
		return Result{Status: StatusOK}
	case c.Configure != nil:
		return l.configure(*c.Configure)
	case c.Reshard != nil:
		return l.sealShards(*c.Reshard)
	default:
		return Result{Status: StatusOK}
	}
}

func (l *Ledger) configure(options Options) Result {
	if err := options.Validate(); err != nil {
		return Result{Status: StatusBad, Detail: err.Error()}
	}
	l.floor = l.oldest()
	l.options = options
	// The queue must not depend on when the options changed: a host that
	// restores a snapshot builds it anew.
	l.forgets = nil
	for id, rec := range l.records {
		l.forgets.add(l.forgetAt(rec), id)
	}
	return Result{Status: StatusOK}
}

// sealShards takes a seal if it spreads the keys wider than the one before; a
// late copy of an older one changes nothing.
func (l *Ledger) sealShards(s Reshard) Result {
	if s.Self >= s.Shards {
		return Result{Status: StatusBad, Detail: "a shard's number must be below the number of shards"}
	}
	if s.Shards > l.seal.Shards {
		l.seal = s
	}
	return Result{Status: StatusOK}
}

// moved tells whether a key that is not known here belongs to a newer shard.
func (l *Ledger) moved(id KeyID) bool {
	return l.seal.Shards > 0 && id.Shard(l.seal.Shards) != l.seal.Self
}

// Lookup answers what is known of a key without changing anything.
func (l *Ledger) Lookup(key Key) Result {
	id := key.ID()
	rec, ok := l.records[id]
	if !ok {
		if status, detail := l.tooOld(key, id); status != StatusInvalid {
			return Result{Status: status, Detail: detail}
		}
		if l.moved(id) {
			return Result{Status: StatusMoved}
		}
		return Result{Status: StatusMissing, Detail: "no claim under this key"}
	}
	return rec.result()
}

// Peek answers a claim without a command where the ledger's answer can't change
// any more, or where another claim holds the key at nowMillis. It reports false
// when the claim must be committed to be answered.
func (l *Ledger) Peek(c Claim, nowMillis int64) (Result, bool) {
	rec, ok := l.records[c.Key.ID()]
	switch {
	case !ok || l.forgetAt(rec) <= nowMillis:
		return Result{}, false
	case rec.digest != c.Digest:
		return Result{Status: StatusConflict}, true
	case rec.phase == phaseClaimed:
		return rec.result(), rec.claim != c.ID && rec.holdEnd > nowMillis && !rec.isDead(c.ID)
	case rec.phase == phaseAnswered:
		return rec.result(), !rec.lost
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
		return Result{Status: StatusAnswered, Answer: r.decoded()}
	}
}

func (r *record) decoded() *Answer {
	var answer Answer
	if err := wire.Unmarshal(r.answer, &answer); err != nil {
		// Only a damaged snapshot leads here; the caller is told unknown.
		return &Answer{Kind: outcome.KindUnknown, Reason: outcome.ReasonLedgerDown, Detail: "the recorded outcome can't be read"}
	}
	return &answer
}

// Stats describes a ledger for metrics and dumps.
type Stats struct {
	Keys     int   `cbor:"1,keyasint"`
	InFlight int   `cbor:"2,keyasint"`
	Bytes    int64 `cbor:"3,keyasint"`
	// Expired counts the undated keys remembered as expired.
	Expired   int64 `cbor:"4,keyasint"`
	NowMillis int64 `cbor:"5,keyasint"`
}

// Stats returns the ledger's sizes.
func (l *Ledger) Stats() Stats {
	stats := Stats{Keys: len(l.records), Bytes: l.bytes, Expired: l.expired.count(), NowMillis: l.now}
	for _, keys := range l.byOwner {
		stats.InFlight += len(keys)
	}
	return stats
}
