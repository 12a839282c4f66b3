package cacheindex

import (
	"maps"
	"math"
	"slices"
)

const (
	// changeLogLength bounds the records kept for readers that lag. At 400 records a second
	// it covers 20 s.
	changeLogLength = 8192
	// PageRecords bounds the records of one update, except that one inventory is always
	// sent completely. A record takes about 15 bytes on the wire, so that a page takes 25
	// ms on a link of 10 Mbit/s.
	PageRecords = 2000
	// snapshotMaxLag is the number of records after which the snapshot of an inventory is
	// rebuilt for readers that lack it. Until then they get the existing snapshot and the
	// records that follow it. Building a snapshot for each of hundreds of readers would
	// take all of a host's CPU time.
	snapshotMaxLag = 1000
	// incompleteBatch is the compaction point of a source whose latest dropped record is in
	// the middle of a batch.
	incompleteBatch = math.MaxUint64
)

// Record is one change of an inventory. Records applied in order, even more than once, lead
// to the state of the writer.
type Record struct {
	// Address is the address of the store or runner.
	Address string
	// Cleared indicates that the inventory is empty and belongs to another incarnation,
	// Incarnation.
	Cleared     bool
	Incarnation uint64
	// Change is the change of a part. It applies if Change.Key is set.
	Change Change
	// Next is the position in the source's event stream up to which the index is current
	// after this record. It is zero on all records of a batch but the last.
	Next uint64
}

// Position is a position in the change log of one term. Hosts that forward records keep the
// positions that the writer assigned.
type Position struct {
	Term uint64 `cbor:"1,keyasint"`
	Next uint64 `cbor:"2,keyasint"`
}

// Progress is the position in a source's event stream up to which a reader is current.
// Unlike a Position, it means the same to every writer.
type Progress struct {
	Address     string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	Next        uint64 `cbor:"3,keyasint"`
}

// Query requests what a reader lacks: the records after At or, if ByProgress, those beyond
// Progress.
type Query struct {
	At         Position   `cbor:"1,keyasint"`
	ByProgress bool       `cbor:"2,keyasint,omitempty"`
	Progress   []Progress `cbor:"3,keyasint,omitempty"`
}

// Update is the answer to a Query.
type Update struct {
	// At is the reader's position after Batches.
	At      Position `cbor:"1,keyasint"`
	Batches []Batch  `cbor:"2,keyasint,omitempty"`
	// Unknown indicates that the position in the query is not known here. The next query
	// must set ByProgress.
	Unknown bool `cbor:"3,keyasint,omitempty"`
	// More indicates that the reader lacks more than Batches, so that its index does not
	// match any state of the leader's.
	More bool `cbor:"4,keyasint,omitempty"`
}

// Index holds the inventories of all sources, and the change log from which readers update
// theirs. The leader's index is written from the sources' events, every other index from
// another one. It is not safe for concurrent use.
type Index struct {
	inventories map[string]*sourceState
	position    Position
	// complete indicates that the index equals the leader's index at some point in time.
	complete bool
	// dirty indicates that records were applied since the index was last complete.
	dirty bool

	// changeLog holds the latest records, up to position.Next. Positions below logStart are
	// not valid in this term.
	changeLog []Record
	logStart  uint64
	// compactionPoints holds, for each source, the position in its event stream up to which
	// records were dropped from the change log.
	compactionPoints map[string]uint64
	// logLimit bounds the change log, and pageLimit one update.
	logLimit, pageLimit int
	// recordCount is the number of records applied to the index.
	recordCount uint64
}

// sourceState is the state of one source in an Index.
type sourceState struct {
	inventory *Inventory
	// next is the position in the source's event stream up to which the index is current.
	next uint64
	// recordedNext is the position in the source's event stream that its latest record
	// reached, and changedAt the value of Index.recordCount at that record.
	recordedNext, changedAt uint64
	// snapshot is the content of the inventory when the index had applied snapshotAt
	// records, and snapshotNext the position in the source's event stream at that time.
	snapshot                 []Batch
	snapshotAt, snapshotNext uint64
}

// NewIndex returns an empty index. With keepLog it keeps a change log for readers.
func NewIndex(keepLog bool) *Index {
	x := &Index{inventories: make(map[string]*sourceState), compactionPoints: make(map[string]uint64), pageLimit: PageRecords}
	if keepLog {
		x.logLimit = changeLogLength
	}
	return x
}

// StartTerm starts a term in which this index is the leader's.
func (x *Index) StartTerm(term uint64) {
	x.position.Term, x.logStart = term, x.position.Next
	x.complete, x.dirty = true, false
}

// Inventory returns the inventory of a source, an empty one if the source is not known.
func (x *Index) Inventory(address string) *Inventory {
	if src := x.inventories[address]; src != nil {
		return src.inventory
	}
	return NewInventory()
}

// ReadableTokens returns the tokens of a part that is complete and readable at a source, or
// 0 if there is none.
func (x *Index) ReadableTokens(address string, key Key) int {
	if src := x.inventories[address]; src != nil {
		return src.inventory.ReadableTokens(key)
	}
	return 0
}

// Retired reports whether a part is about to be freed at a source.
func (x *Index) Retired(address string, key Key) bool {
	src := x.inventories[address]
	return src != nil && src.inventory.Retired(key)
}

// Next returns the position in a source's event stream up to which the index is current,
// and whether the source is followed.
func (x *Index) Next(address string) (uint64, bool) {
	src := x.inventories[address]
	if src == nil || src.inventory.Incarnation() == 0 {
		return 0, false
	}
	return src.next, true
}

// Addresses returns the addresses of the sources in order.
func (x *Index) Addresses() []string { return slices.Sorted(maps.Keys(x.inventories)) }

// Write applies a batch of records of a source.
func (x *Index) Write(records ...Record) {
	for _, record := range records {
		x.apply(record)
		x.logRecord(record)
	}
	x.compactLog()
}

// Advance records that the index is current up to next in a source's event stream, and that
// the events since the last record change nothing.
func (x *Index) Advance(address string, next uint64) {
	if src := x.inventories[address]; src != nil {
		src.next = next
	}
}

// Forget removes a source.
func (x *Index) Forget(address string) {
	if x.inventories[address] != nil {
		x.Write(Record{Address: address, Cleared: true})
	}
}

func (x *Index) apply(record Record) {
	if record.Cleared && record.Incarnation == 0 {
		delete(x.inventories, record.Address)
		return
	}
	src := x.inventories[record.Address]
	if src == nil {
		src = &sourceState{inventory: NewInventory()}
		x.inventories[record.Address] = src
	}
	if record.Cleared {
		src.inventory.Clear(record.Incarnation)
		src.next, src.recordedNext = 0, 0
	}
	if record.Change.Key != (Key{}) {
		src.inventory.Apply(record.Change)
	}
	if record.Next != 0 {
		src.next, src.recordedNext = record.Next, record.Next
	}
}

func (x *Index) logRecord(record Record) {
	x.position.Next++
	x.recordCount++
	if src := x.inventories[record.Address]; src != nil {
		src.changedAt = x.recordCount
	}
	if x.logLimit == 0 {
		return
	}
	x.changeLog = append(x.changeLog, record)
	if record.Next != 0 && x.compactionPoints[record.Address] == incompleteBatch {
		x.compactionPoints[record.Address] = record.Next
	}
}

// compactLog drops the oldest records. A reader whose progress is behind a source's
// compaction point gets the complete inventory.
func (x *Index) compactLog() {
	if len(x.changeLog) <= 2*x.logLimit {
		return
	}
	cut := len(x.changeLog) - x.logLimit
	for i := range x.changeLog {
		record := &x.changeLog[i]
		point := x.compactionPoints[record.Address]
		switch {
		case record.Cleared:
			// The change log holds all records of this incarnation from here on.
			point = 0
			if i < cut && record.Next == 0 {
				point = incompleteBatch
			}
		case i < cut && record.Next == 0:
			point = incompleteBatch
		case i < cut || point == incompleteBatch && record.Next != 0:
			point = record.Next
		}
		x.compactionPoints[record.Address] = point
	}
	x.changeLog = slices.Clone(x.changeLog[cut:])
}

// NextQuery returns the query for what this index lacks.
func (x *Index) NextQuery() Query {
	if x.position.Term != 0 {
		return Query{At: x.position}
	}
	query := Query{ByProgress: true}
	for _, address := range x.Addresses() {
		src := x.inventories[address]
		query.Progress = append(query.Progress, Progress{Address: address, Incarnation: src.inventory.Incarnation(), Next: src.next})
	}
	return query
}

// Apply applies the answer to a query of this index and reports whether the index is now
// complete. An answer that is not valid changes nothing, and the next query is by progress.
func (x *Index) Apply(u *Update) bool {
	if !validBatches(u.Batches) {
		x.position, x.complete = Position{}, false
		return false
	}
	for _, record := range toRecords(u.Batches) {
		x.apply(record)
		x.logRecord(record)
	}
	x.compactLog()
	x.dirty = x.dirty || len(u.Batches) > 0
	if u.Unknown {
		x.position, x.complete = Position{}, false
		return false
	}
	if u.At.Term != x.position.Term || u.At.Next != x.position.Next {
		// The update is not from the change log, so that valid positions start here.
		x.position, x.logStart = u.At, u.At.Next
	}
	x.complete = !u.More
	if x.complete {
		x.dirty = false
	}
	return x.complete
}

// Inconsistent reports whether records of later states were applied to an index that was
// complete. Its content must not be used until it is complete again.
func (x *Index) Inconsistent() bool { return !x.complete && x.dirty }

// Complete reports whether the index equals the leader's index at some point in time.
func (x *Index) Complete() bool { return x.complete }

// At returns the position up to which the index is complete.
func (x *Index) At() Position { return x.position }

// Answer returns what the reader lacks.
func (x *Index) Answer(q *Query) Update {
	if !x.complete {
		return Update{At: q.At, More: true}
	}
	if q.ByProgress {
		return x.answerByProgress(q.Progress)
	}
	if q.At.Term == x.position.Term && q.At.Next > x.position.Next {
		// The reader is ahead of this index.
		return Update{At: q.At, More: true}
	}
	missing := x.position.Next - q.At.Next
	if q.At.Term != x.position.Term || q.At.Next < x.logStart || missing > uint64(len(x.changeLog)) {
		return Update{Unknown: true}
	}
	records := x.changeLog[uint64(len(x.changeLog))-missing:]
	records = records[:x.pageEnd(records)]
	end := Position{Term: x.position.Term, Next: q.At.Next + uint64(len(records))}
	return Update{At: end, Batches: toBatches(records), More: end != x.position}
}

// pageEnd returns the end of the batch with which a page is full. A reader that has only a
// part of a batch could not state its progress.
func (x *Index) pageEnd(records []Record) int {
	for end := x.pageLimit; end < len(records); end++ {
		if records[end-1].Next != 0 {
			return end
		}
	}
	return len(records)
}

// answerByProgress returns what a reader lacks beyond its progress: at least one inventory,
// and no further one once a page is full.
func (x *Index) answerByProgress(progress []Progress) Update {
	var batches []Batch
	count, stale := 0, false
	add := func(records []Record) {
		batches = append(batches, toBatches(records)...)
		count += len(records)
	}
	known := make(map[string]Progress, len(progress))
	for _, h := range progress {
		known[h.Address] = h
		if x.inventories[h.Address] == nil {
			add([]Record{{Address: h.Address, Cleared: true}})
		}
	}
	for _, address := range x.Addresses() {
		if count >= x.pageLimit {
			return Update{Batches: batches, More: true}
		}
		h, hasProgress := known[address]
		switch src := x.inventories[address]; {
		case hasProgress && h.Incarnation == src.inventory.Incarnation() && h.Next > src.next:
			return Update{Batches: batches, More: true}
		case hasProgress && h.Incarnation == src.inventory.Incarnation() && h.Next >= x.compactionPoints[address] && h.Next > 0:
			add(x.changesSince(address, h.Next))
			// Retired parts are sent in answer to each query, and so they are not counted:
			// otherwise a reader would reach the same end of a page each time, and never
			// receive the sources after it.
			batches = append(batches, toBatches(x.retired(address))...)
		default:
			x.refreshSnapshot(address, src)
			batches = append(batches, src.snapshot...)
			count += src.inventory.Len() + 1
			stale = stale || src.changedAt > src.snapshotAt
		}
	}
	if stale {
		// The reader gets the records after the snapshots when it queries with the progress
		// of these.
		return Update{Batches: batches, More: true}
	}
	return Update{At: x.position, Batches: batches}
}

// refreshSnapshot rebuilds the snapshot of an inventory unless the existing one can be
// sent: it must be of the current incarnation, and the change log must hold the records
// that follow it.
func (x *Index) refreshSnapshot(address string, src *sourceState) {
	usable := x.logLimit > 0 && len(src.snapshot) > 0 && src.snapshot[0].Incarnation == src.inventory.Incarnation() && x.recordCount-src.snapshotAt <= snapshotMaxLag
	if usable && (src.changedAt <= src.snapshotAt || src.snapshotNext > 0 && src.snapshotNext >= x.compactionPoints[address]) {
		return
	}
	src.snapshot, src.snapshotAt, src.snapshotNext = toBatches(x.allRecords(address)), x.recordCount, src.next
}

// retired returns the retired parts of a source. Retiring is not an event of the source, so
// that its event numbers do not show whether a reader knows about it.
func (x *Index) retired(address string) []Record {
	src := x.inventories[address]
	if src.inventory.retired == 0 {
		return nil
	}
	var records []Record
	for key, tokens := range src.inventory.parts {
		if tokens < 0 {
			records = append(records, Record{Address: address, Change: Change{Key: key, Tokens: tokens}})
		}
	}
	if len(records) > 0 {
		records[len(records)-1].Next = src.next
	}
	return records
}

// changesSince returns the records of a source in the change log after next. After an
// election every reader queries by progress, and most lack little. Scanning the whole
// change log for each would delay the leader beyond its heartbeats.
func (x *Index) changesSince(address string, next uint64) []Record {
	if x.inventories[address].recordedNext <= next {
		return nil
	}
	first, end, count := 0, 0, 0
	for i := len(x.changeLog) - 1; i >= 0; i-- {
		record := &x.changeLog[i]
		if record.Address != address {
			continue
		}
		if record.Next != 0 && record.Next <= next {
			break
		}
		if end == 0 && record.Next != 0 {
			end = i + 1
		}
		if end == 0 {
			continue
		}
		if record.Cleared {
			// All records of this incarnation are missing, and the complete inventory is no
			// larger than the records that led to it.
			return x.allRecords(address)
		}
		first = i
		count++
	}
	missing := make([]Record, 0, count)
	for i := first; i < end; i++ {
		if x.changeLog[i].Address == address {
			missing = append(missing, x.changeLog[i])
		}
	}
	return missing
}

// allRecords returns the complete content of an inventory, grouped by salt so that each
// salt makes one batch.
func (x *Index) allRecords(address string) []Record {
	src := x.inventories[address]
	bySalt := make(map[string][]Change)
	for key, tokens := range src.inventory.parts {
		bySalt[key.Salt] = append(bySalt[key.Salt], Change{Key: key, Tokens: tokens})
	}
	records := make([]Record, 0, 1+src.inventory.Len())
	records = append(records, Record{Address: address, Cleared: true, Incarnation: src.inventory.Incarnation()})
	for _, salt := range slices.Sorted(maps.Keys(bySalt)) {
		for _, change := range bySalt[salt] {
			records = append(records, Record{Address: address, Change: change})
		}
	}
	records[len(records)-1].Next = src.next
	return records
}
