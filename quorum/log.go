package quorum

// entryLog holds the entries after a base, in memory, and how far they are
// handed out for writing, synced, committed and applied.
//
// Slices of it are handed out in Ready and in messages, so entries are never
// changed in place: cutting the tail caps the slice, and a later append then
// copies.
type entryLog struct {
	// base is where the log begins: entries at or before base.Index are gone.
	base    SnapshotMeta
	entries []Entry
	bytes   int

	// handed is the last index given to the runtime for writing, and synced
	// the last one that is on disk.
	handed, synced uint64
	// syncing is the last index of the write under way.
	syncing uint64

	commit, applied uint64

	// members lists the membership entries after base, oldest first.
	members []memberPoint
}

type memberPoint struct {
	index   uint64
	members Membership
}

func newEntryLog(stored StoredState) entryLog {
	l := entryLog{base: stored.Snapshot}
	l.entries = make([]Entry, 0, len(stored.Entries))
	l.commit = l.base.Index
	l.applied = l.base.Index
	for _, e := range stored.Entries {
		if e.Index > l.base.Index {
			l.append(e)
		}
	}
	l.handed = l.last()
	l.synced = l.last()
	return l
}

func (l *entryLog) last() uint64 { return l.base.Index + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	if len(l.entries) == 0 {
		return l.base.Term
	}
	return l.entries[len(l.entries)-1].Term
}

// term returns the term of the entry at index; ok is false when the log does
// not reach it or no longer holds it.
func (l *entryLog) term(index uint64) (term uint64, ok bool) {
	switch {
	case index == l.base.Index:
		return l.base.Term, true
	case index < l.base.Index || index > l.last():
		return 0, false
	}
	return l.entries[index-l.base.Index-1].Term, true
}

func (l *entryLog) matches(index, term uint64) bool {
	t, ok := l.term(index)
	return ok && t == term
}

// upToDate reports whether a log that ends with (index, term) holds at least
// what this one does.
func (l *entryLog) upToDate(index, term uint64) bool {
	if term != l.lastTerm() {
		return term > l.lastTerm()
	}
	return index >= l.last()
}

// from returns entries from index on, up to maxBytes of data but at least one.
func (l *entryLog) from(index, through uint64, maxBytes int) []Entry {
	if index <= l.base.Index || index > through {
		return nil
	}
	window := l.entries[index-l.base.Index-1 : through-l.base.Index]
	size := 0
	for i := range window {
		size += entryBytes(&window[i])
		if size > maxBytes && i > 0 {
			return window[:i:i]
		}
	}
	return window[:len(window):len(window)]
}

// unwritten returns the entries not yet handed out for writing.
func (l *entryLog) unwritten() []Entry {
	start := l.handed - l.base.Index
	return l.entries[start:len(l.entries):len(l.entries)]
}

func (l *entryLog) append(e Entry) {
	l.entries = append(l.entries, e)
	l.bytes += entryBytes(&e)
	if e.Kind == EntryMembers && e.Members != nil {
		l.members = append(l.members, memberPoint{e.Index, *e.Members})
	}
}

// dropsCommitted is the panic of a node that is told to drop an entry which it
// knows to be committed: going on would lose what was acknowledged.
const dropsCommitted = "quorum: a committed entry would be dropped"

// truncate drops the entries from index on.
func (l *entryLog) truncate(index uint64) {
	if index <= l.commit {
		panic(dropsCommitted)
	}
	keep := index - l.base.Index - 1
	for i := keep; i < uint64(len(l.entries)); i++ {
		l.bytes -= entryBytes(&l.entries[i])
	}
	l.entries = l.entries[:keep:keep]
	l.handed = min(l.handed, index-1)
	l.synced = min(l.synced, index-1)
	// A write under way may still put the dropped entries on disk, but the
	// next write replaces them; they must not count as synced meanwhile.
	l.syncing = min(l.syncing, index-1)
	for len(l.members) > 0 && l.members[len(l.members)-1].index >= index {
		l.members = l.members[:len(l.members)-1]
	}
}

// compact drops the entries up to meta.Index.
func (l *entryLog) compact(meta SnapshotMeta) {
	drop := meta.Index - l.base.Index
	for i := range drop {
		l.bytes -= entryBytes(&l.entries[i])
	}
	l.entries = append([]Entry(nil), l.entries[drop:]...)
	l.base = meta
	l.handed = max(l.handed, meta.Index)
	l.synced = max(l.synced, meta.Index)
	l.dropMembers(meta.Index)
}

// reset replaces the whole log by a snapshot.
func (l *entryLog) reset(meta SnapshotMeta) {
	*l = entryLog{base: meta, commit: meta.Index, applied: meta.Index}
	l.handed = meta.Index
}

func (l *entryLog) dropMembers(through uint64) {
	keep := 0
	for keep < len(l.members) && l.members[keep].index <= through {
		keep++
	}
	l.members = append([]memberPoint(nil), l.members[keep:]...)
}

// membersAt returns the membership in force once index is appended.
func (l *entryLog) membersAt(index uint64) Membership {
	for i := len(l.members) - 1; i >= 0; i-- {
		if l.members[i].index <= index {
			return l.members[i].members
		}
	}
	return l.base.Members
}

// membersPending reports whether a membership entry is not yet committed.
func (l *entryLog) membersPending() bool {
	return len(l.members) > 0 && l.members[len(l.members)-1].index > l.commit
}

// probePoint returns the last index at or before limit whose term is at most
// term: the furthest point at which two logs can still agree.
func (l *entryLog) probePoint(limit, term uint64) (index, atTerm uint64) {
	index = min(limit, l.last())
	for index > l.base.Index {
		if t, _ := l.term(index); t <= term {
			break
		}
		index--
	}
	t, ok := l.term(index)
	if !ok {
		return 0, 0
	}
	return index, t
}

// entryOverhead is what an entry costs in memory and on the wire besides its
// data, in bytes, roughly.
const entryOverhead = 32

func entryBytes(e *Entry) int { return entryOverhead + len(e.Data) }
