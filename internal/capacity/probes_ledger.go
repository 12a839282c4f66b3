package capacity

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/lovagereach/lovagereach/audit"
	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/simtree"
	"github.com/lovagereach/lovagereach/internal/wire"
	"github.com/lovagereach/lovagereach/once"
	"github.com/lovagereach/lovagereach/outcome"
	"github.com/lovagereach/lovagereach/quorum"
)

var (
	keySizes   = []int{1_000, 10_000, 100_000}
	groupSizes = []int{1, 4, 16}
	openSizes  = []int{100, 1_000, 10_000}
)

// groupVoters is the number of members of one group.
const groupVoters = 3

// LedgerProbes returns the probes of the groups that store outcomes, and of the
// audit.
func LedgerProbes() []Probe {
	return []Probe{{
		Role: "ledger group member", Name: "outcomes held", SizeName: "keys", Unit: UnitBytes,
		Sizes: keySizes, Target: 100_000, Measure: ledgerBytes,
	}, {
		Role: "ledger group member", Name: "time to claim and record one key", SizeName: "keys", Unit: UnitNanoseconds,
		Sizes: keySizes, Target: 100_000, Measure: ledgerTime,
	}, {
		Role: "ledger group member", Name: "heartbeats of a host that leads all its groups, one frame each", SizeName: "groups", Unit: UnitBytesPerSec,
		Sizes: groupSizes, Target: 1, Measure: func(n int) (float64, error) { return heartbeatBytes(n, false) },
	}, {
		Role: "ledger group member", Name: "the same, messages to one host in one frame", SizeName: "groups", Unit: UnitBytesPerSec,
		Sizes: groupSizes, Target: 1, Measure: func(n int) (float64, error) { return heartbeatBytes(n, true) },
	}, {
		Role: "ledger group member", Name: "time of one heartbeat of all members", SizeName: "groups", Unit: UnitNanoseconds,
		Sizes: groupSizes, Target: 1, Measure: heartbeatTime,
	}, {
		Role: "entry", Name: "time to open and close an audited request", SizeName: "open requests", Unit: UnitNanoseconds,
		Sizes: openSizes, Target: 1_000, Measure: auditTime,
	}, {
		Role: "entry", Name: "open audited requests held", SizeName: "open requests", Unit: UnitBytes,
		Sizes: openSizes, Target: 1_000, Measure: auditBytes,
	}}
}

func claimOf(n int, nowMillis int64) (once.Claim, once.Record) {
	claim := once.Claim{
		Key:        once.Key{Team: ident.Team(fmt.Sprint("team-", n%50)), Service: "payments", Text: fmt.Sprintf("%d.%d", nowMillis, n)},
		Digest:     once.DigestCall("POST", "/bid", []byte("amount=3")),
		Owner:      once.Owner{Host: "entry-00001", Incarnation: 1},
		ID:         once.ClaimID{1},
		HoldMillis: time.Minute.Milliseconds(),
	}
	answer := once.Answer{Kind: outcome.KindDone, Status: 201, Body: []byte("a short body")}
	return claim, once.Record{Key: claim.Key, ID: claim.ID, Answer: answer}
}

func recordOne(l *once.Ledger, n int, nowMillis int64) {
	claim, record := claimOf(n, nowMillis)
	l.Execute(once.Command{NowMillis: nowMillis, Claim: &claim})
	l.Execute(once.Command{NowMillis: nowMillis, Record: &record})
}

func ledgerOf(keys int) (*once.Ledger, error) {
	l := once.New()
	for n := range keys {
		recordOne(l, n, probeStart.UnixMilli())
	}
	claim, _ := claimOf(keys-1, probeStart.UnixMilli())
	if got := l.Lookup(claim.Key); got.Status != once.StatusAnswered {
		return nil, fmt.Errorf("key %d of %d has status %v", keys-1, keys, got.Status)
	}
	return l, nil
}

func ledgerBytes(keys int) (float64, error) {
	var failed error
	bytes := HeapBytes(func() any {
		l, err := ledgerOf(keys)
		failed = err
		return l
	})
	return bytes, failed
}

// ledgerTime advances the time so that as many keys expire as are added.
func ledgerTime(keys int) (float64, error) {
	l, err := ledgerOf(keys)
	if err != nil {
		return 0, err
	}
	step := max(1, once.DefaultOptions().RetentionMillis/int64(keys))
	now, n := probeStart.UnixMilli(), keys
	return NanosecondsPerOp(func() {
		now += step
		n++
		recordOne(l, n, now)
	}), nil
}

// group is a quorum group whose messages are delivered immediately, without disks
// and network.
type group struct {
	members map[ident.Host]*quorum.Node
	leader  *quorum.Node
	now     time.Time
	bytes   int
}

func newGroup(number int) (*group, error) {
	g := &group{members: make(map[ident.Host]*quorum.Node), now: probeStart}
	var membership quorum.Membership
	for i := range groupVoters {
		host := ident.Host(fmt.Sprintf("entry-%05d", i))
		membership.Voters = append(membership.Voters, quorum.Member{Host: host, Disk: quorum.DiskID(number*groupVoters + i + 1)})
	}
	for i, m := range membership.Voters {
		opts := quorum.Options{Self: m.Host, Rand: rand.New(rand.NewPCG(uint64(number), uint64(i)))}
		node, err := quorum.NewNode(opts, quorum.Bootstrap(membership, m.Host), g.now)
		if err != nil {
			return nil, err
		}
		g.members[m.Host] = node
	}
	g.leader = g.members[membership.Voters[0].Host]
	g.exchangeMessages()
	g.now = g.now.Add(quorum.DefaultElectionMax)
	g.leader.Tick(g.now)
	g.exchangeMessages()
	if g.leader.Status().Role != quorum.RoleLeader {
		return nil, fmt.Errorf("group %d has no leader", number)
	}
	return g, nil
}

func (g *group) exchangeMessages() {
	for busy := true; busy; {
		busy = false
		for _, n := range g.members {
			rd := n.Ready()
			if rd.Empty() {
				continue
			}
			busy = true
			g.deliver(rd.Immediate)
			g.deliver(rd.Messages)
			if rd.Persistent() {
				n.Advance(g.now)
			}
		}
	}
}

func (g *group) deliver(messages []quorum.Message) {
	for _, m := range messages {
		g.bytes += len(wire.MustMarshal(m)) + simtree.FrameOverhead
		g.members[m.To].Step(g.now, m)
	}
}

func (g *group) heartbeat() {
	g.now = g.now.Add(quorum.DefaultHeartbeat)
	g.leader.Tick(g.now)
	g.exchangeMessages()
}

func groupsOf(count int) ([]*group, error) {
	var groups []*group
	for i := range count {
		g, err := newGroup(i)
		if err != nil {
			return nil, err
		}
		groups = append(groups, g)
	}
	return groups, nil
}

// heartbeatBytes returns the bytes per second that the leaders' host sends and
// receives. If bundled, the messages of all groups to and from one host share a
// frame and packet.
func heartbeatBytes(count int, bundled bool) (float64, error) {
	groups, err := groupsOf(count)
	if err != nil {
		return 0, err
	}
	const beats = 100
	sum := 0
	for _, g := range groups {
		g.bytes = 0
		for range beats {
			g.heartbeat()
		}
		sum += g.bytes
	}
	if bundled {
		// Each heartbeat has one frame to and one from every other voter.
		frames := beats * 2 * (groupVoters - 1)
		sum -= simtree.FrameOverhead * frames * (count - 1)
	}
	return float64(sum) / (beats * quorum.DefaultHeartbeat.Seconds()), nil
}

func heartbeatTime(count int) (float64, error) {
	groups, err := groupsOf(count)
	if err != nil {
		return 0, err
	}
	return NanosecondsPerOp(func() {
		for _, g := range groups {
			g.heartbeat()
		}
	}), nil
}

func opening(n int) audit.Opening {
	return audit.Opening{
		Request: requestID(n), Team: "team-000001", Class: "questions", Entry: "entry-00001",
		Accepted: probeStart, Deadline: probeStart.Add(time.Minute), Mode: audit.ModeFull,
	}
}

func auditOf(open int) (*audit.Table, error) {
	table := audit.NewTable(audit.DefaultOptions())
	for n := range open {
		if err := table.Open(opening(n + 1)); err != nil {
			return nil, err
		}
	}
	return table, nil
}

func auditTime(open int) (float64, error) {
	table, err := auditOf(open)
	if err != nil {
		return 0, err
	}
	next := 1 << 30
	var failed error
	cost := NanosecondsPerOp(func() {
		next++
		if err := table.Open(opening(next)); err != nil {
			failed = err
		}
		table.Close(requestID(next), audit.Closing{
			Kind: outcome.KindDone, Upstream: "runner-00001", Version: "v1", Decided: probeStart,
		})
	})
	return cost, failed
}

func auditBytes(open int) (float64, error) {
	var failed error
	bytes := HeapBytes(func() any {
		table, err := auditOf(open)
		failed = err
		return table
	})
	return bytes, failed
}
