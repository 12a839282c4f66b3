package quorum

// entryLog holds in memory the log entries after a base, and the indices up to
// which they are emitted for writing, synced, committed and applied. Ready and
// messages share slices of entries, so entries are never modified in place:
// truncate limits the slice's capacity, which makes a later append copy it.
type entryLog struct {
	// base is the compaction point: entries at or before base.Index have been
	// dropped.
	base    SnapshotMeta
	entries []Entry
	bytes   int

	// emitted is the last index returned by Ready for writing, and synced the
	// last index known to be on disk.
	emitted, synced uint64
	// syncing is the last index of the write in progress.
	syncing uint64

	commit, applied uint64

	// members holds the membership entries after base, oldest first.
	members []indexedMembership
}

type indexedMembership struct {
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
	l.emitted = l.last()
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

// term returns the term of the entry at index; ok is false if the index is
// beyond the end of the log or before base.
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

// upToDate reports whether a log that ends with (index, term) is at least as up
// to date as this one.
func (l *entryLog) upToDate(index, term uint64) bool {
	if term != l.lastTerm() {
		return term > l.lastTerm()
	}
	return index >= l.last()
}

// from returns the entries from index through through, limited to maxBytes but
// at least one.
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

// unwritten returns the entries that have not yet been emitted for writing.
func (l *entryLog) unwritten() []Entry {
	start := l.emitted - l.base.Index
	return l.entries[start:len(l.entries):len(l.entries)]
}

func (l *entryLog) append(e Entry) {
	l.entries = append(l.entries, e)
	l.bytes += entryBytes(&e)
	if e.Kind == EntryMembers && e.Members != nil {
		l.members = append(l.members, indexedMembership{e.Index, *e.Members})
	}
}

// truncatePanic is the panic value used when a node would have to drop an entry
// that it knows to be committed. Continuing would lose acknowledged data.
const truncatePanic = "quorum: a committed entry would be dropped"

// truncate drops the entries from index on.
func (l *entryLog) truncate(index uint64) {
	if index <= l.commit {
		panic(truncatePanic)
	}
	keep := index - l.base.Index - 1
	for i := keep; i < uint64(len(l.entries)); i++ {
		l.bytes -= entryBytes(&l.entries[i])
	}
	l.entries = l.entries[:keep:keep]
	l.emitted = min(l.emitted, index-1)
	l.synced = min(l.synced, index-1)
	// A write in progress may still put the dropped entries on disk. The next
	// write replaces them; until then they must not count as synced.
	l.syncing = min(l.syncing, index-1)
	for len(l.members) > 0 && l.members[len(l.members)-1].index >= index {
		l.members = l.members[:len(l.members)-1]
	}
}

// compact drops the entries up to and including meta.Index.
func (l *entryLog) compact(meta SnapshotMeta) {
	drop := meta.Index - l.base.Index
	for i := range drop {
		l.bytes -= entryBytes(&l.entries[i])
	}
	l.entries = append([]Entry(nil), l.entries[drop:]...)
	l.base = meta
	l.emitted = max(l.emitted, meta.Index)
	l.synced = max(l.synced, meta.Index)
	l.compactMembers(meta.Index)
}

// reset replaces the whole log with a snapshot.
func (l *entryLog) reset(meta SnapshotMeta) {
	*l = entryLog{base: meta, commit: meta.Index, applied: meta.Index}
	l.emitted = meta.Index
}

func (l *entryLog) compactMembers(through uint64) {
	keep := 0
	for keep < len(l.members) && l.members[keep].index <= through {
		keep++
	}
	l.members = append([]indexedMembership(nil), l.members[keep:]...)
}

// membersAt returns the membership in force once the entry at index is
// appended.
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
// term, and its actual term. It is the highest index at which the two logs can
// still match.
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

// entryOverhead is the approximate cost of an entry in memory and on the wire,
// in bytes, excluding its data.
const entryOverhead = 32

func entryBytes(e *Entry) int { return entryOverhead + len(e.Data) }
