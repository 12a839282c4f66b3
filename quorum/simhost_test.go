package quorum

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lovagereach/lovagereach/ident"
)

type simHost struct {
	host       ident.Host
	node       *Node
	disk       StoredState
	wipedDisks []StoredState // disks replaced by wipe
	data       []byte        // snapshot data on disk
	drift      float64
	clock      time.Duration // time elapsed on the host's clock
	paused     time.Time
	// ranAt is the time at which the host last ran, zero after a start.
	ranAt       time.Time
	tickAt      time.Time
	writing     *Ready
	syncAt      time.Time
	syncDelay   time.Duration // added to the duration of each sync
	state       stateMachine
	reads       []Read // confirmed, waiting for the state machine
	results     []Read
	starts      uint64
	lastLedTerm uint64 // last term in which this host led
}

func (s *sim) boot(h *simHost) {
	opts := s.opts
	opts.Self = h.host
	opts.Rand = rand.New(rand.NewPCG(s.rand.Uint64(), s.rand.Uint64()))
	stored := h.disk
	stored.Entries = slices.Clone(h.disk.Entries)
	node, err := NewNode(opts, stored, s.local(h))
	if err != nil {
		s.t.Fatal(err)
	}
	node.faults = s.faults
	h.node, h.writing, h.reads, h.paused, h.ranAt = node, nil, nil, time.Time{}, time.Time{}
	h.starts++
	h.state = newStateMachine()
	if len(h.data) > 0 {
		h.state.restore(h.data)
	}
	h.state.applied = h.disk.Snapshot.Index
	s.drain(h)
}

// crash stops a host. If a write is in progress, any prefix of it may reach the
// disk.
func (s *sim) crash(h *simHost) {
	if h.node == nil {
		return
	}
	h.node = nil
	if rd := h.writing; rd != nil && rd.Snapshot == nil && s.rand.IntN(2) == 0 {
		prefix := Ready{HardState: rd.HardState}
		prefix.Entries = rd.Entries[:s.rand.IntN(len(rd.Entries)+1)]
		h.store(&prefix)
	}
	h.writing = nil
}

// wipe replaces the disk of a stopped host with an empty one.
func (h *simHost) wipe(disk DiskID) {
	h.wipedDisks = append(h.wipedDisks, h.disk)
	h.disk, h.data = StoredState{HardState: HardState{Disk: disk}}, nil
}

// diskCopy copies the disk and returns a function that restores the copy.
func (h *simHost) diskCopy() func() {
	disk, data := h.disk, h.data
	disk.Entries = slices.Clone(disk.Entries)
	return func() {
		h.disk, h.data = disk, data
		h.disk.Entries = slices.Clone(disk.Entries)
	}
}

func (h *simHost) store(rd *Ready) {
	if rd.Snapshot != nil {
		h.disk.Snapshot, h.disk.Entries, h.data = rd.Snapshot.Meta, nil, rd.Snapshot.Data
	}
	if rd.HardState != nil {
		h.disk.HardState = *rd.HardState
	}
	for _, e := range rd.Entries {
		for len(h.disk.Entries) > 0 && h.disk.Entries[len(h.disk.Entries)-1].Index >= e.Index {
			h.disk.Entries = h.disk.Entries[:len(h.disk.Entries)-1]
		}
		h.disk.Entries = append(h.disk.Entries, e)
	}
}

// hasHeld reports whether the disk has the entry in its log or snapshot, or had
// it when it was wiped.
func (h *simHost) hasHeld(disk DiskID, e Entry) bool {
	for _, d := range append(h.wipedDisks, h.disk) {
		if d.HardState.Disk != disk {
			continue
		}
		i := int(e.Index) - int(d.Snapshot.Index) - 1
		if i < 0 || i < len(d.Entries) && d.Entries[i].Term == e.Term {
			return true
		}
	}
	return false
}

// snapshot returns a snapshot of the host's state machine.
func (s *sim) snapshot(h *simHost) Snapshot {
	meta, err := h.node.SnapshotMeta(h.state.applied)
	if err != nil {
		s.t.Fatal(err)
	}
	return Snapshot{Meta: meta, Data: h.state.snapshot()}
}

// compact takes a synced snapshot once the log is long and compacts the log,
// keeping a few entries before the snapshot.
func (s *sim) compact(h *simHost) {
	log := &h.node.log
	if h.writing != nil || uint64(len(log.entries)) < s.compactAt || h.state.applied <= log.base.Index+s.compactAt/2 {
		return
	}
	snap := s.snapshot(h)
	h.disk.Snapshot, h.data = snap.Meta, snap.Data
	h.disk.Entries = slices.DeleteFunc(h.disk.Entries, func(e Entry) bool { return e.Index <= snap.Meta.Index })
	meta, err := h.node.SnapshotMeta(snap.Meta.Index - s.compactAt/4)
	if err == nil {
		err = h.node.Compact(meta)
	}
	if err != nil {
		s.t.Fatal(err)
	}
}
