package quorum

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/wire"
)

// benchGroup delivers messages between nodes immediately. Disks and links have
// no cost, so only the state machine is measured.
type benchGroup struct {
	nodes []*Node
	now   time.Time
	bytes int
	count int
}

func newBenchGroup(tb testing.TB, size int) *benchGroup {
	g := &benchGroup{now: time.Unix(1000, 0)}
	var members Membership
	for i := range size {
		members.Voters = append(members.Voters, Member{ident.Host(fmt.Sprintf("hall-north-%d", i+1)), DiskID(rand.NewPCG(1, uint64(i)).Uint64())})
	}
	for i, m := range members.Voters {
		opts := Options{Self: m.Host, Rand: rand.New(rand.NewPCG(2, uint64(i)))}
		n, err := NewNode(opts, Bootstrap(members, m.Host), g.now)
		if err != nil {
			tb.Fatal(err)
		}
		g.nodes = append(g.nodes, n)
	}
	g.pump(nil)
	g.now = g.now.Add(DefaultElectionMax)
	g.nodes[0].Tick(g.now)
	g.pump(nil)
	if g.nodes[0].role != RoleLeader {
		tb.Fatal("the first host is not the leader")
	}
	return g
}

// pump performs effects until there are none left. If size is not nil, it
// counts messages and bytes.
func (g *benchGroup) pump(size func(Message) int) {
	for busy := true; busy; {
		busy = false
		for _, n := range g.nodes {
			rd := n.Ready()
			if rd.Empty() {
				continue
			}
			busy = true
			g.deliver(rd.Immediate, size)
			g.deliver(rd.Messages, size)
			if rd.Persistent() {
				n.Advance(g.now)
			}
		}
	}
}

func (g *benchGroup) deliver(list []Message, size func(Message) int) {
	for _, m := range list {
		if size != nil {
			g.bytes += size(m)
			g.count++
		}
		for _, n := range g.nodes {
			if n.opts.Self == m.To {
				n.Step(g.now, m)
			}
		}
	}
}

func (g *benchGroup) commit(tb testing.TB, batch int, data []byte, size func(Message) int) {
	for range batch {
		if _, _, err := g.nodes[0].Propose(g.now, data); err != nil {
			tb.Fatal(err)
		}
	}
	g.pump(size)
	leader := g.nodes[0]
	if leader.log.commit != leader.log.last() {
		tb.Fatalf("committed up to %d, want %d", leader.log.commit, leader.log.last())
	}
	if len(leader.log.entries) > 10_000 {
		for _, n := range g.nodes {
			meta, err := n.SnapshotMeta(n.log.applied - 10)
			if err == nil {
				err = n.Compact(meta)
			}
			if err != nil {
				tb.Fatal(err)
			}
		}
	}
}

func (g *benchGroup) heartbeat(size func(Message) int) {
	g.now = g.now.Add(DefaultHeartbeat)
	g.nodes[0].Tick(g.now)
	g.pump(size)
}

func encodedSize(m Message) int { return len(wire.MustMarshal(m)) }

func BenchmarkCommit(b *testing.B) {
	for _, members := range []int{1, 3, 5} {
		for _, batch := range []int{1, 16, 64} {
			b.Run(fmt.Sprintf("members=%d/batch=%d", members, batch), func(b *testing.B) {
				g := newBenchGroup(b, members)
				data := make([]byte, 128)
				b.ReportAllocs()
				for b.Loop() {
					g.commit(b, batch, data, nil)
				}
				b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*batch), "ns/entry")
			})
		}
	}
}

func BenchmarkHeartbeat(b *testing.B) {
	for _, members := range []int{3, 5, 7} {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			g := newBenchGroup(b, members)
			b.ReportAllocs()
			for b.Loop() {
				g.heartbeat(nil)
			}
			g.heartbeat(encodedSize)
			b.ReportMetric(float64(g.bytes)/float64(g.count), "B/message")
		})
	}
}

func BenchmarkLeaseRead(b *testing.B) {
	g := newBenchGroup(b, 3)
	g.heartbeat(nil)
	b.ReportAllocs()
	for id := uint64(1); b.Loop(); id++ {
		if err := g.nodes[0].ReadIndex(g.now, id); err != nil {
			b.Fatal(err)
		}
		if rd := g.nodes[0].Ready(); len(rd.Reads) != 1 {
			b.Fatal("read is not served under the lease")
		}
	}
}

func BenchmarkRestart(b *testing.B) {
	for _, entries := range []int{100, 1_000, 10_000} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			stored := Bootstrap(Membership{Voters: []Member{{"h1", 100}}}, "h1")
			for i := range entries {
				stored.Entries = append(stored.Entries, Entry{Term: 1, Index: bootstrapIndex + 1 + uint64(i), Data: make([]byte, 128)})
			}
			opts := Options{Self: "h1", Rand: rand.New(rand.NewPCG(1, 1))}
			b.ReportAllocs()
			for b.Loop() {
				if _, err := NewNode(opts, stored, time.Unix(0, 0)); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func BenchmarkDecodeAppend(b *testing.B) {
	for _, entries := range []int{0, 1, 64} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			data := wire.MustMarshal(appendMessage(entries, 128))
			b.SetBytes(int64(len(data)))
			b.ReportAllocs()
			for b.Loop() {
				var m Message
				if err := wire.Unmarshal(data, &m); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func appendMessage(entries, bytes int) Message {
	m := Message{
		Type: MsgAppend, From: "hall-north-1", To: "hall-north-2", FromDisk: 1 << 60, ToDisk: 1 << 61,
		Incarnation: 1 << 40, Term: 100, Round: 1 << 20, Index: 1 << 20, LogTerm: 100, Commit: 1 << 20,
	}
	for i := range entries {
		m.Entries = append(m.Entries, Entry{Term: 100, Index: m.Index + uint64(i) + 1, Data: make([]byte, bytes)})
	}
	return m
}

// Guards against a rise in the cost of the group. The limits are counts that
// don't depend on the machine: bytes on the wire, messages and allocations.
func TestCostBounds(t *testing.T) {
	g := newBenchGroup(t, 3)
	data := make([]byte, 128)
	g.commit(t, 64, data, nil)
	g.commit(t, 64, data, encodedSize)
	perEntry := float64(g.bytes) / 64
	messages := g.count
	g.bytes, g.count = 0, 0
	g.heartbeat(encodedSize)
	costs := []struct {
		name         string
		value, limit float64
	}{
		{"bytes per heartbeat or reply", float64(g.bytes) / float64(g.count), 90},
		{"messages per heartbeat round", float64(g.count), 4},
		{"bytes per 128-byte entry in a batch of 64, to both followers", perEntry, 300},
		{"messages per batch of 64", float64(messages), 4},
		{"bytes per entry in addition to its data", float64(encodedSize(appendMessage(64, 128))-encodedSize(appendMessage(0, 0)))/64 - 128, 16},
		{"allocations per heartbeat round", testing.AllocsPerRun(100, func() { g.heartbeat(nil) }), 8},
		{"allocations per batch of 64", testing.AllocsPerRun(100, func() { g.commit(t, 64, data, nil) }), 8},
	}
	for _, c := range costs {
		t.Logf("%s: %.1f", c.name, c.value)
		if c.value > c.limit {
			t.Errorf("%s: %.1f, limit %.1f", c.name, c.value, c.limit)
		}
	}
}
