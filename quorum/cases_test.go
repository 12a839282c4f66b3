package quorum

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/wire"
	"pgregory.net/rapid"
)

// Guards against a long time without a leader after a crash, behind a partition
// or during a leadership transfer. The time from the loss until another leader
// has committed the first entry of its term must stay below 1 s with the
// default settings. Virtual time: links of 1.5 to 2 ms one way, 1 ms per sync,
// ticks of 10 ms.
func TestTimeWithoutLeader(t *testing.T) {
	cases := map[string]func(s *sim, l *simHost){
		"crash":     func(s *sim, l *simHost) { s.crash(l) },
		"partition": func(s *sim, l *simHost) { s.partition([]*simHost{l}, others(s, l)) },
		"transfer":  func(s *sim, l *simHost) { _ = l.node.TransferLeader(s.local(l), "") },
	}
	for name, fault := range cases {
		for _, members := range []int{3, 5} {
			t.Run(fmt.Sprintf("%s of %d", name, members), func(t *testing.T) {
				t.Parallel()
				var waits []time.Duration
				for seed := range uint64(max(100, *longRuns)) {
					s := newSim(t, seed, members, members, nil)
					l := s.awaitLeader()
					s.run(time.Second + time.Duration(seed)*time.Millisecond)
					term := l.node.hard.Term
					lostAt := s.now
					fault(s, l)
					found := s.runUntil(5*time.Second, func() bool {
						next := s.leader()
						return next != nil && next.node.hard.Term > term && next.node.log.commit >= next.node.lead.noopIndex
					})
					if !found {
						t.Fatal("no leader within 5 s")
					}
					waits = append(waits, s.now.Sub(lostAt))
					s.requireInvariants()
				}
				slices.Sort(waits)
				t.Logf("%s: p50 %v, p99 %v, maximum %v in %d runs", t.Name(), waits[len(waits)/2], waits[len(waits)*99/100], waits[len(waits)-1], len(waits))
				if longest := waits[len(waits)-1]; longest >= time.Second {
					t.Errorf("%v without a leader, want less than 1 s", longest)
				}
			})
		}
	}
}

func others(s *sim, h *simHost) []*simHost {
	return slices.DeleteFunc(slices.Clone(s.hosts), func(x *simHost) bool { return x == h })
}

// Guards against serialising concurrent writers. A single writer waits for a
// link, a sync and a link; 64 concurrent writers must share syncs and appends,
// or the group's rate would be that of one writer. Virtual time.
func TestWritersShareSyncs(t *testing.T) {
	rate := func(writers int) float64 {
		s := newSim(t, 1, 3, 3, func(s *sim) { s.jitter = 0 })
		l := s.awaitLeader()
		waiting, done := map[uint64]bool{}, 0
		start := s.now
		s.runUntil(time.Second, func() bool {
			for index := range waiting {
				if _, ok := s.committed[index]; ok {
					delete(waiting, index)
					done++
				}
			}
			for len(waiting) < writers {
				index, _, err := l.node.Propose(s.local(l), wire.MustMarshal(command{Old: -1}))
				if err != nil {
					t.Fatal(err)
				}
				waiting[index] = true
			}
			s.drain(l)
			return false
		})
		s.requireInvariants()
		return float64(done) / s.now.Sub(start).Seconds()
	}
	one, many := rate(1), rate(64)
	t.Logf("1 writer: %.0f commits/s, 64 writers: %.0f commits/s", one, many)
	if one < 150 || many < 50*one {
		t.Errorf("1 writer: %.0f commits/s, 64 writers: %.0f commits/s", one, many)
	}
}

// Guards against unbounded memory use while a follower's disk hangs. The
// messages waiting for the sync must stay bounded, the rest of the group must
// continue, and the follower must catch up once the disk recovers.
func TestHangingDisk(t *testing.T) {
	s := newSim(t, 2, 3, 3, nil)
	h := s.follower()
	h.syncDelay = time.Minute
	for i := range 20 {
		s.write(0, i)
		for id := range uint64(500) {
			_ = h.node.ReadIndex(s.local(h), uint64(i)*1000+id)
		}
	}
	if waiting := len(h.node.messages); waiting > maxPendingMessages || h.node.counters.Dropped == 0 {
		t.Errorf("%d pending messages, %d dropped", waiting, h.node.counters.Dropped)
	}
	h.syncDelay, h.syncAt = 0, s.now
	if !s.runUntil(2*time.Second, func() bool { return h.state.applied == s.lastCommitted }) {
		t.Errorf("applied up to %d, want %d", h.state.applied, s.lastCommitted)
	}
	s.requireInvariants()
}

// A leader transfers leadership. Proposals during the transfer must be
// rejected, no accepted one may be lost, and the old leader must not serve
// reads under its lease, because the transfer bypasses the lease.
func TestLeadershipTransfer(t *testing.T) {
	s := newSim(t, 1, 3, 3, func(s *sim) { s.syncTime = 5 * time.Millisecond })
	l := s.awaitLeader()
	to := others(s, l)[1]
	last, _, _ := l.node.Propose(s.local(l), wire.MustMarshal(command{Old: -1, New: 1}))
	if err := l.node.TransferLeader(s.local(l), to.host); err != nil {
		t.Fatal(err)
	}
	if _, _, err := l.node.Propose(s.local(l), nil); !errors.Is(err, ErrTransferring) {
		t.Errorf("proposal during the transfer: err = %v, want ErrTransferring", err)
	}
	s.runUntil(time.Second, func() bool {
		if l.node.lead.timeoutNowSent && l.node.hasLease() {
			t.Fatal("lease is valid after MsgTimeoutNow was sent")
		}
		return s.leader() == to
	})
	s.run(100 * time.Millisecond)
	if s.leader() != to || s.lastCommitted < last || to.state.Registers[0] != 1 {
		t.Errorf("leader %v, committed up to %d, register 0 is %d", s.leader().host, s.lastCommitted, to.state.Registers[0])
	}
	var notLeader *NotLeaderError
	if _, _, err := l.node.Propose(s.local(l), nil); !errors.As(err, &notLeader) || notLeader.Leader != to.host {
		t.Errorf("proposal at the old leader: err = %v, want NotLeaderError with the new leader", err)
	}
	s.requireInvariants()
}

// A follower is down while the leader compacts entries that it needs. It must
// catch up with a chunked snapshot over a network that loses and duplicates
// messages, while writes continue, and then follow the log again.
func TestSnapshotDuringLag(t *testing.T) {
	s := newSim(t, 3, 3, 3, func(s *sim) {
		s.compactAt, s.opts.SnapshotChunk, s.opts.MaxInflightBytes = 32, 4, 16
		s.drop, s.dup = 0.05, 0.05
	})
	lagging := s.follower()
	s.crash(lagging)
	for i := range 100 {
		s.write(i, i)
	}
	s.boot(lagging)
	for i := range 40 {
		s.write(i, i+1000)
	}
	caughtUp := func() bool { return lagging.state.applied == s.lastCommitted }
	if !s.runUntil(10*time.Second, caughtUp) || s.counts[MsgSnapshot] < 10 {
		t.Errorf("applied up to %d, want %d, after %d chunks", lagging.state.applied, s.lastCommitted, s.counts[MsgSnapshot])
	}
	if got := lagging.state.Registers[5]; got != 1005 {
		t.Errorf("register 5 is %d, want 1005", got)
	}
	s.requireInvariants()
}

// All hosts restart after many writes, once with entries that no snapshot
// covers and once with a snapshot. No entry may be lost, and the group must
// serve again within one second of the new leader's election.
func TestRestartWithManyEntries(t *testing.T) {
	for _, compactAt := range []uint64{1 << 40, 1000} {
		s := newSim(t, 4, 3, 3, func(s *sim) { s.compactAt = compactAt })
		l := s.awaitLeader()
		const writes = 10_000
		for i := range writes {
			data := wire.MustMarshal(command{Key: i % 10, Old: -1, New: i})
			if _, _, err := l.node.Propose(s.local(l), data); err != nil {
				t.Fatal(err)
			}
			if i%100 == 0 {
				s.run(simStep)
			}
		}
		if !s.runUntil(10*time.Second, func() bool { return s.lastCommitted >= writes }) {
			t.Fatalf("committed up to %d within 10 s", s.lastCommitted)
		}
		for _, h := range s.hosts {
			s.restart(h)
		}
		start := s.now
		l = s.awaitLeader()
		if !s.runUntil(time.Second, func() bool { return l.state.Registers[9] == writes-1 }) {
			t.Errorf("register 9 is %d 1 s after the election", l.state.Registers[9])
		}
		t.Logf("compaction at %d entries: serving %v after the restart, %d entries replayed", compactAt, s.now.Sub(start), len(l.disk.Entries))
		s.requireInvariants()
	}
}

// Random bytes and damaged messages must not make the decoder or the node
// panic, and a node that accepts such a message must still return a valid
// Ready.
func FuzzMessage(f *testing.F) {
	members := Membership{Voters: []Member{{"h1", 100}, {"h2", 101}}}
	f.Add(wire.MustMarshal(Message{Type: MsgAppend, From: "h2", FromDisk: 101, To: "h1", ToDisk: 100, Term: 2, Index: 1, LogTerm: 1,
		Entries: []Entry{{Term: 2, Index: 2, Kind: EntryMembers, Members: &members}}}))
	f.Add(wire.MustMarshal(Message{Type: MsgSnapshot, From: "h2", FromDisk: 101, To: "h1", ToDisk: 100, Term: 2,
		Chunk: &Chunk{Meta: SnapshotMeta{Index: 9, Term: 2, Members: members}, Size: 1, Data: []byte{1}}}))
	f.Fuzz(func(t *testing.T, data []byte) {
		var m Message
		if wire.Unmarshal(data, &m) == nil {
			stepAll(t, members, m)
		}
	})
}

// Validate must reject a damaged message and name the invalid field.
func TestValidate(t *testing.T) {
	cases := map[string]func(m *Message){
		"Type":     func(m *Message) { m.Type = 99 },
		"From":     func(m *Message) { m.From = "" },
		"To":       func(m *Message) { m.To = ident.Host(make([]byte, 300)) },
		"FromDisk": func(m *Message) { m.FromDisk = 0 },
		"ToDisk":   func(m *Message) { m.ToDisk = 0 },
		"LogTerm":  func(m *Message) { m.LogTerm = m.Term + 1 },
		"Peers":    func(m *Message) { m.Peers = make([]PeerRecord, maxRecords+2) },
		"Entries":  func(m *Message) { m.Entries[1].Index++ },
		"Chunk":    func(m *Message) { m.Type, m.Entries = MsgSnapshot, nil },
	}
	for field, corrupt := range cases {
		m := appendMessage(2, 1)
		if err := m.Validate(); err != nil {
			t.Fatal(err)
		}
		corrupt(&m)
		var invalid *MessageError
		if err := m.Validate(); !errors.As(err, &invalid) || invalid.Field != field {
			t.Errorf("invalid %s: err = %v", field, err)
		}
	}
}

// Well-formed messages with arbitrary field values, in any order, must not make
// the node panic or return entries beyond its commit index.
func TestArbitraryMessageFields(t *testing.T) {
	members := Membership{Voters: []Member{{"h1", 100}, {"h2", 101}}}
	small := rapid.Uint64Range(0, 6)
	rapid.Check(t, func(t *rapid.T) {
		var list []Message
		for range rapid.IntRange(1, 12).Draw(t, "messages") {
			m := Message{
				Type: MessageType(rapid.IntRange(0, 15).Draw(t, "type")), From: "h2", FromDisk: 101, To: "h1", ToDisk: 100,
				Term: small.Draw(t, "term"), Index: small.Draw(t, "index"), LogTerm: small.Draw(t, "log term"),
				Commit: small.Draw(t, "commit"), Round: small.Draw(t, "round"), Reject: rapid.Bool().Draw(t, "reject"), Last: small.Draw(t, "last"),
			}
			for i := range rapid.IntRange(0, 3).Draw(t, "entries") {
				m.Entries = append(m.Entries, Entry{Term: m.LogTerm, Index: m.Index + uint64(i) + 1})
			}
			if m.Type == MsgSnapshot {
				m.Chunk = &Chunk{Meta: SnapshotMeta{Index: m.Index, Term: m.LogTerm, Members: members}, Size: small.Draw(t, "size"), Offset: m.Commit}
			}
			list = append(list, m)
		}
		stepAll(t, members, list...)
	})
}

func stepAll(t rapid.TB, members Membership, list ...Message) {
	s := newSim(nil, 1, 1, 0, nil)
	s.hosts[0].disk = Bootstrap(members, "h1")
	s.boot(s.hosts[0])
	n := s.hosts[0].node
	for _, m := range list {
		func() {
			// A leader that makes a node drop a committed entry violates the
			// protocol; the node must panic rather than continue.
			defer func() {
				if r := recover(); r != nil && r != truncatePanic {
					panic(r)
				}
			}()
			n.Step(s.now, m)
		}()
		for rd := n.Ready(); !rd.Empty(); rd = n.Ready() {
			for _, e := range rd.Committed {
				if e.Index > n.log.commit {
					t.Fatalf("entry %d is beyond the commit index %d", e.Index, n.log.commit)
				}
			}
			if rd.Persistent() {
				n.Advance(s.now)
			}
		}
	}
}
