package quorum

import (
	"errors"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/lovagereach/lovagereach/ident"
)

func TestOptionsValidate(t *testing.T) {
	cases := map[string]func(o *Options){
		"Self":        func(o *Options) { o.Self = "" },
		"Rand":        func(o *Options) { o.Rand = nil },
		"Heartbeat":   func(o *Options) { o.Heartbeat = -1 },
		"ElectionMin": func(o *Options) { o.ElectionMin = o.Heartbeat },
		"ElectionMax": func(o *Options) { o.ElectionMax = o.ElectionMin },
		"ClockDrift":  func(o *Options) { o.ClockDrift = 0.5 },
	}
	for field, corrupt := range cases {
		o := Options{Self: "h1", Rand: rand.New(rand.NewPCG(1, 1)), Heartbeat: time.Second, ElectionMin: 2 * time.Second, ElectionMax: 3 * time.Second}
		if err := o.Validate(); err != nil {
			t.Fatal(err)
		}
		corrupt(&o)
		if err := o.Validate(); err == nil || !strings.Contains(err.Error(), "Options."+field) {
			t.Errorf("invalid %s: err = %v", field, err)
		}
	}
}

// Guards against unbounded proposals, commands and reads, and against accepting
// a compaction beyond the applied index or stored entries with a gap. A
// rejected call must not append to the log.
func TestCallsAreBounded(t *testing.T) {
	s := newSim(t, 1, 3, 3, func(s *sim) {
		s.opts.MaxCommandBytes, s.opts.MaxUncommitted, s.opts.MaxReads = 100, 1000, 4
		s.opts.NoLeaseReads = true
	})
	l := s.awaitLeader()
	propose := func(bytes int) error {
		_, _, err := l.node.Propose(s.local(l), make([]byte, bytes))
		return err
	}
	s.partition([]*simHost{l}, others(s, l))
	var err error
	for range 100 {
		if err = propose(100); err != nil {
			break
		}
	}
	if last := l.node.log.last(); !errors.Is(err, ErrBusy) || last > 12 {
		t.Errorf("last index %d, err = %v; want at most 12 and ErrBusy", last, err)
	}
	if err := propose(101); !errors.Is(err, ErrTooLarge) {
		t.Errorf("command of 101 bytes: err = %v, want ErrTooLarge", err)
	}
	for id := range uint64(5) {
		err = l.node.ReadIndex(s.local(l), id)
	}
	if !errors.Is(err, ErrBusy) {
		t.Errorf("fifth read: err = %v, want ErrBusy", err)
	}
	if err := l.node.Compact(SnapshotMeta{Index: l.node.log.last(), Term: l.node.hard.Term}); err == nil {
		t.Error("Compact accepts an index beyond the applied index")
	}
	if _, err := l.node.SnapshotMeta(l.node.log.last()); err == nil {
		t.Error("SnapshotMeta accepts an index beyond the applied index")
	}
	for _, id := range []DiskID{0, 7} {
		stored := StoredState{HardState: HardState{Disk: id}, Entries: []Entry{{Index: 1 + uint64(id)}}}
		if _, err := NewNode(Options{Self: "h1", Rand: s.rand}, stored, s.now); err == nil {
			t.Errorf("NewNode accepts disk ID %d with entries from index %d on", id, stored.Entries[0].Index)
		}
	}
}

// Guards against unbounded growth of the peer records as disks are replaced.
// The records of members and, while there is capacity, of revoked disks must be
// kept.
func TestRecordsAreBounded(t *testing.T) {
	s := newSim(t, 1, 3, 3, nil)
	n := s.hosts[0].node
	n.addRecord(PeerRecord{Host: "h2", Disk: 101})
	for disk := DiskID(1000); disk < 1500; disk++ {
		n.members.Learners = []Member{{ident.Host("guest"), disk}}
		n.addRecord(PeerRecord{Host: "guest", Disk: disk, Revoked: disk == 1000})
	}
	if len(n.hard.Peers) > maxRecords || n.record(Member{"h2", 101}) == nil || !n.isRevoked(Member{"guest", 1000}) {
		t.Errorf("%d records: %v", len(n.hard.Peers), n.hard.Peers)
	}
}
