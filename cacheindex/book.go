package cacheindex

import (
	"maps"
	"math"
	"slices"
)

const (
	// journalLength bounds the records kept for readers that lag. At 400 records
	// a second it covers 20 s.
	journalLength = 8192
	// PageRecords bounds the records of one update but for one shelf that is
	// told whole. A record takes about 15 bytes on the wire, so that a page
	// takes a link of 10 Mbit/s 25 ms.
	PageRecords = 2000
	// listingKept is how many records may come before a listing of a shelf is made
	// anew for those who lack it: they are told the listing and what came after it.
	// Made for each of hundreds of readers, listings take a host all of its time.
	listingKept = 1000
	// unfinished is the floor of a source whose latest dropped batch has not
	// ended yet.
	unfinished = math.MaxUint64
)

// Record is one step in the life of a shelf. Applied in order, and more than
// once if need be, records lead to what the writer holds.
type Record struct {
	// Address is that of the store or runner.
	Address string
	// Cleared tells that the shelf is empty and in another life, Life.
	Cleared     bool
	Incarnation uint64
	// Change is what changed, if Change.Key is set.
	Change Change
	// Next is how far the source's own events are followed with this record;
	// zero on all records of a batch but the last.
	Next uint64
}

// Position is a place in the journal of one term. Those who pass records on
// keep the places that the writer gave them.
type Position struct {
	Term uint64 `cbor:"1,keyasint"`
	Next uint64 `cbor:"2,keyasint"`
}

// Progress is how far a reader has followed one source. It says the same to every
// writer, unlike a position.
type Progress struct {
	Address     string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	Next        uint64 `cbor:"3,keyasint"`
}

// Query asks for what a reader lacks: after At or, if Listed, beyond Held.
type Query struct {
	At       Position   `cbor:"1,keyasint"`
	Listed   bool       `cbor:"2,keyasint,omitempty"`
	Progress []Progress `cbor:"3,keyasint,omitempty"`
}

// Update answers a Question.
type Update struct {
	// At is the reader's position after Sheets.
	At      Position `cbor:"1,keyasint"`
	Batches []Batch  `cbor:"2,keyasint,omitempty"`
	// Unknown tells that the position asked for means nothing here; the next
	// question must be Listed.
	Unknown bool `cbor:"3,keyasint,omitempty"`
	// More tells that the reader lacks more than Sheets, so that what it holds
	// stands for no moment.
	More bool `cbor:"4,keyasint,omitempty"`
}

// Index holds the shelves of all sources, and the journal by which readers keep
// theirs alike. The leader's book is written by the sources' events, and every
// other from another book. It is not safe for concurrent use.
type Index struct {
	shelves map[string]*page
	at      Position
	// complete tells that the book stands for a moment of the leader's.
	complete bool
	// touched tells that records came since the book was last complete.
	touched bool

	// journal holds the latest records up to place at.Next. Places below
	// aligned mean nothing in this term.
	journal []Record
	aligned uint64
	// floors are how far each source's events are covered by records that the
	// journal holds no more.
	floors map[string]uint64
	// kept bounds the journal, and paged one update.
	kept, paged int
	// logged counts the records that the book has taken in.
	logged uint64
}

type page struct {
	shelf *Inventory
	next  uint64
	// logged is how far the source's events are followed with its latest record, and
	// changed the count of all records at that one.
	logged, changed uint64
	// listing is everything that the shelf held when the book had taken in listed
	// records, and listingNext how far the source's events were followed then.
	listing             []Batch
	listed, listingNext uint64
}

// NewIndex returns an empty book. One that is read by others keeps a journal.
func NewIndex(keepsJournal bool) *Index {
	b := &Index{shelves: make(map[string]*page), floors: make(map[string]uint64), paged: PageRecords}
	if keepsJournal {
		b.kept = journalLength
	}
	return b
}

// StartTerm begins a term in which this book is the one that others follow.
func (b *Index) StartTerm(term uint64) {
	b.at.Term, b.aligned = term, b.at.Next
	b.complete, b.touched = true, false
}

// Inventory returns the shelf of a source, an empty one if it is not known.
func (b *Index) Inventory(address string) *Inventory {
	if p := b.shelves[address]; p != nil {
		return p.shelf
	}
	return NewInventory()
}

// ReadableTokens returns the tokens of a part that a source holds whole, 0 when it does
// not.
func (b *Index) ReadableTokens(address string, key Key) int {
	if p := b.shelves[address]; p != nil {
		return p.shelf.ReadableTokens(key)
	}
	return 0
}

// Retired reports whether a part is about to be freed at a source.
func (b *Index) Retired(address string, key Key) bool {
	p := b.shelves[address]
	return p != nil && p.shelf.Retired(key)
}

// Next returns how far a source's events are followed, and whether they are.
func (b *Index) Next(address string) (uint64, bool) {
	p := b.shelves[address]
	if p == nil || p.shelf.Incarnation() == 0 {
		return 0, false
	}
	return p.next, true
}

// Addresses lists the sources in order.
func (b *Index) Addresses() []string { return slices.Sorted(maps.Keys(b.shelves)) }

// Write takes in a batch of records of a source.
func (b *Index) Write(records ...Record) {
	for _, record := range records {
		b.apply(record)
		b.log(record)
	}
	b.trim()
}

// Advance notes that a source's events are followed up to next, and that those
// since the last record change nothing.
func (b *Index) Advance(address string, next uint64) {
	if p := b.shelves[address]; p != nil {
		p.next = next
	}
}

// Forget drops a source.
func (b *Index) Forget(address string) {
	if b.shelves[address] != nil {
		b.Write(Record{Address: address, Cleared: true})
	}
}

func (b *Index) apply(record Record) {
	if record.Cleared && record.Incarnation == 0 {
		delete(b.shelves, record.Address)
		return
	}
	p := b.shelves[record.Address]
	if p == nil {
		p = &page{shelf: NewInventory()}
		b.shelves[record.Address] = p
	}
	if record.Cleared {
		p.shelf.Clear(record.Incarnation)
		p.next, p.logged = 0, 0
	}
	if record.Change.Key != (Key{}) {
		p.shelf.Apply(record.Change)
	}
	if record.Next != 0 {
		p.next, p.logged = record.Next, record.Next
	}
}

func (b *Index) log(record Record) {
	b.at.Next++
	b.logged++
	if p := b.shelves[record.Address]; p != nil {
		p.changed = b.logged
	}
	if b.kept == 0 {
		return
	}
	b.journal = append(b.journal, record)
	if record.Next != 0 && b.floors[record.Address] == unfinished {
		b.floors[record.Address] = record.Next
	}
}

// trim drops the oldest records. What they covered of each source counts as its
// floor: a reader that holds less is told the shelf whole.
func (b *Index) trim() {
	if len(b.journal) <= 2*b.kept {
		return
	}
	cut := len(b.journal) - b.kept
	for i := range b.journal {
		record := &b.journal[i]
		floor := b.floors[record.Address]
		switch {
		case record.Cleared:
			// The journal holds all of this life from here on.
			floor = 0
			if i < cut && record.Next == 0 {
				floor = unfinished
			}
		case i < cut && record.Next == 0:
			floor = unfinished
		case i < cut || floor == unfinished && record.Next != 0:
			floor = record.Next
		}
		b.floors[record.Address] = floor
	}
	b.journal = slices.Clone(b.journal[cut:])
}

// Ask returns the question for what this book lacks.
func (b *Index) Ask() Query {
	if b.at.Term != 0 {
		return Query{At: b.at}
	}
	question := Query{Listed: true}
	for _, address := range b.Addresses() {
		p := b.shelves[address]
		question.Progress = append(question.Progress, Progress{Address: address, Incarnation: p.shelf.Incarnation(), Next: p.next})
	}
	return question
}

// Apply takes in the answer to a question of this book and reports whether the
// book now stands for a moment of the leader's.
func (b *Index) Apply(u *Update) bool {
	for _, record := range unfold(u.Batches) {
		b.apply(record)
		b.log(record)
	}
	b.trim()
	b.touched = b.touched || len(u.Batches) > 0
	if u.Unknown {
		b.at, b.complete = Position{}, false
		return false
	}
	if u.At.Term != b.at.Term || u.At.Next != b.at.Next {
		// Told whole, not from the journal: its places begin here.
		b.at, b.aligned = u.At, u.At.Next
	}
	b.complete = !u.More
	if b.complete {
		b.touched = false
	}
	return b.complete
}

// Inconsistent reports whether records of later moments were added to a book that
// stood for one: nothing in it may be relied on until it is complete again.
func (b *Index) Inconsistent() bool { return !b.complete && b.touched }

// Complete reports whether the book stands for a moment of the leader's.
func (b *Index) Complete() bool { return b.complete }

// At returns the position up to which the book is complete.
func (b *Index) At() Position { return b.at }

// Answer returns what the asker lacks.
func (b *Index) Answer(q *Query) Update {
	if !b.complete {
		return Update{At: q.At, More: true}
	}
	if q.Listed {
		return b.beyond(q.Progress)
	}
	if q.At.Term == b.at.Term && q.At.Next > b.at.Next {
		// The asker has followed further than this book.
		return Update{At: q.At, More: true}
	}
	lacks := b.at.Next - q.At.Next
	if q.At.Term != b.at.Term || q.At.Next < b.aligned || lacks > uint64(len(b.journal)) {
		return Update{Unknown: true}
	}
	records := b.journal[uint64(len(b.journal))-lacks:]
	records = records[:b.pageEnd(records)]
	end := Position{Term: b.at.Term, Next: q.At.Next + uint64(len(records))}
	return Update{At: end, Batches: fold(records), More: end != b.at}
}

// pageEnd is the end of the batch with which a page is full. A reader that has
// a part of a batch could not say how far it holds the source.
func (b *Index) pageEnd(records []Record) int {
	for end := b.paged; end < len(records); end++ {
		if records[end-1].Next != 0 {
			return end
		}
	}
	return len(records)
}

// beyond returns what is missing beyond what a reader holds, a shelf at least
// and no further one after a page.
func (b *Index) beyond(held []Progress) Update {
	var sheets []Batch
	told, behind := 0, false
	tell := func(records []Record) {
		sheets = append(sheets, fold(records)...)
		told += len(records)
	}
	known := make(map[string]Progress, len(held))
	for _, h := range held {
		known[h.Address] = h
		if b.shelves[h.Address] == nil {
			tell([]Record{{Address: h.Address, Cleared: true}})
		}
	}
	for _, address := range b.Addresses() {
		if told >= b.paged {
			return Update{Batches: sheets, More: true}
		}
		h, holds := known[address]
		switch p := b.shelves[address]; {
		case holds && h.Incarnation == p.shelf.Incarnation() && h.Next > p.next:
			return Update{Batches: sheets, More: true}
		case holds && h.Incarnation == p.shelf.Incarnation() && h.Next >= b.floors[address] && h.Next > 0:
			tell(b.since(address, h.Next))
			// Told at each question, and so not counted: a reader would come to the
			// same end of a page each time, and never be told of the sources after it.
			sheets = append(sheets, fold(b.retired(address))...)
		default:
			b.list(address, p)
			sheets = append(sheets, p.listing...)
			told += p.shelf.Len() + 1
			behind = behind || p.changed > p.listed
		}
	}
	if behind {
		// What came after the listings is told when the reader asks with them.
		return Update{Batches: sheets, More: true}
	}
	return Update{At: b.at, Batches: sheets}
}

// list makes the listing of a shelf anew unless the one at hand can be told: it is of
// the present life, and the journal holds what came after it.
func (b *Index) list(address string, p *page) {
	young := b.kept > 0 && len(p.listing) > 0 && p.listing[0].Incarnation == p.shelf.Incarnation() && b.logged-p.listed <= listingKept
	if young && (p.changed <= p.listed || p.listingNext > 0 && p.listingNext >= b.floors[address]) {
		return
	}
	p.listing, p.listed, p.listingNext = fold(b.whole(address)), b.logged, p.next
}

// retired lists the retired parts of a source. Retiring is no event of the
// source, so that its numbers don't tell whether a reader knows of it.
func (b *Index) retired(address string) []Record {
	p := b.shelves[address]
	if p.shelf.retired == 0 {
		return nil
	}
	var records []Record
	for key, tokens := range p.shelf.parts {
		if tokens < 0 {
			records = append(records, Record{Address: address, Change: Change{Key: key, Tokens: tokens}})
		}
	}
	if len(records) > 0 {
		records[len(records)-1].Next = p.next
	}
	return records
}

// since lists the journal's records of a source beyond next. After an election
// every reader asks by source and most lack little; a look through the whole
// journal for each would keep the leader busy beyond its heartbeats.
func (b *Index) since(address string, next uint64) []Record {
	if b.shelves[address].logged <= next {
		return nil
	}
	first, end, count := 0, 0, 0
	for i := len(b.journal) - 1; i >= 0; i-- {
		record := &b.journal[i]
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
			// All of this life is missing, and what stands now is no more than
			// what came and went.
			return b.whole(address)
		}
		first = i
		count++
	}
	missing := make([]Record, 0, count)
	for i := first; i < end; i++ {
		if b.journal[i].Address == address {
			missing = append(missing, b.journal[i])
		}
	}
	return missing
}

// whole lists everything that a shelf holds, by salt: those of one salt make one
// sheet.
func (b *Index) whole(address string) []Record {
	p := b.shelves[address]
	bySalt := make(map[string][]Change)
	for key, tokens := range p.shelf.parts {
		bySalt[key.Salt] = append(bySalt[key.Salt], Change{Key: key, Tokens: tokens})
	}
	records := make([]Record, 0, 1+p.shelf.Len())
	records = append(records, Record{Address: address, Cleared: true, Incarnation: p.shelf.Incarnation()})
	for _, salt := range slices.Sorted(maps.Keys(bySalt)) {
		for _, change := range bySalt[salt] {
			records = append(records, Record{Address: address, Change: change})
		}
	}
	records[len(records)-1].Next = p.next
	return records
}
