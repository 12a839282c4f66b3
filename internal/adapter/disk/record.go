package disk

import (
	"fmt"

	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/quorum"
)

// snapshotRef refers to a synced snapshot file.
type snapshotRef struct {
	Meta quorum.SnapshotMeta `cbor:"1,keyasint"`
	// File is empty for a snapshot without data.
	File string `cbor:"2,keyasint,omitempty"`
}

// record is a change of one group's state; a frame is a list of records.
type record struct {
	Group port.GroupID `cbor:"1,keyasint"`
	// Reset discards the state before the record. It marks the first record of a
	// group in a checkpoint.
	Reset bool              `cbor:"2,keyasint,omitempty"`
	Hard  *quorum.HardState `cbor:"3,keyasint,omitempty"`
	// Snapshot replaces the log up to its index, or all of it with Replace.
	Snapshot *snapshotRef `cbor:"4,keyasint,omitempty"`
	Replace  bool         `cbor:"5,keyasint,omitempty"`
	// Entries replace all entries from the index of the first one on.
	Entries []quorum.Entry `cbor:"6,keyasint,omitempty"`
	// End marks the end of the checkpoint at the start of a segment. A segment
	// without it has lost synced data.
	End bool `cbor:"7,keyasint,omitempty"`
}

// groupState is the stored state of one group. The entries share their data with the
// caller's entries.
type groupState struct {
	hard     quorum.HardState
	snapshot snapshotRef
	entries  []quorum.Entry
}

// lastIndex returns the index of the last entry, or that of the snapshot.
func (s *groupState) lastIndex() uint64 {
	return s.snapshot.Meta.Index + uint64(len(s.entries))
}

// check returns an ErrUpdate if r is inconsistent with s.
func (s *groupState) check(r *record) error {
	index := s.snapshot.Meta.Index
	last := s.lastIndex()
	if r.Reset {
		index, last = 0, 0
	}
	if r.Snapshot != nil {
		if r.Snapshot.Meta.Index < index {
			return fmt.Errorf("%w: snapshot %d is older than snapshot %d", ErrUpdate, r.Snapshot.Meta.Index, index)
		}
		index = r.Snapshot.Meta.Index
		last = max(last, index)
		if r.Replace || r.Reset {
			last = index
		}
	}
	if len(r.Entries) == 0 {
		return nil
	}
	first := r.Entries[0].Index
	if first <= index || first > last+1 {
		return fmt.Errorf("%w: entry %d after snapshot %d and last entry %d", ErrUpdate, first, index, last)
	}
	for i := range r.Entries {
		if r.Entries[i].Index != first+uint64(i) {
			return fmt.Errorf("%w: entry %d in place of entry %d", ErrUpdate, r.Entries[i].Index, first+uint64(i))
		}
	}
	return nil
}

// apply applies r, which must have passed check.
func (s *groupState) apply(r *record) {
	if r.Reset {
		*s = groupState{}
	}
	if r.Hard != nil {
		s.hard = *r.Hard
	}
	if r.Snapshot != nil {
		s.installSnapshot(r)
	}
	if len(r.Entries) == 0 {
		return
	}
	keep := r.Entries[0].Index - s.snapshot.Meta.Index - 1
	s.entries = append(s.entries[:keep], r.Entries...)
}

// installSnapshot replaces the snapshot and drops the entries that it covers.
func (s *groupState) installSnapshot(r *record) {
	dropped := r.Snapshot.Meta.Index - s.snapshot.Meta.Index
	if r.Replace || dropped >= uint64(len(s.entries)) {
		s.entries = nil
	} else {
		// Copy, so that the garbage collector can free the dropped entries.
		s.entries = append([]quorum.Entry(nil), s.entries[dropped:]...)
	}
	s.snapshot = *r.Snapshot
}

// checkpoint returns records that hold all of s, each of about limit bytes.
func (s *groupState) checkpoint(group port.GroupID, limit int) []record {
	records := []record{{Group: group, Reset: true, Hard: &s.hard, Snapshot: &s.snapshot}}
	start, size := 0, 0
	for i := range s.entries {
		size += entrySize(&s.entries[i])
		if size >= limit {
			records = append(records, record{Group: group, Entries: s.entries[start : i+1]})
			start, size = i+1, 0
		}
	}
	if start < len(s.entries) {
		records = append(records, record{Group: group, Entries: s.entries[start:]})
	}
	return records
}

// entryOverhead is the approximate size of an entry on disk without its data.
const entryOverhead = 32

func entrySize(e *quorum.Entry) int { return entryOverhead + len(e.Data) }

// size returns the approximate size on disk in bytes.
func (r *record) size() int {
	size := 2 * entryOverhead
	for i := range r.Entries {
		size += entrySize(&r.Entries[i])
	}
	return size
}
