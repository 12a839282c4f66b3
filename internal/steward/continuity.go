package steward

import (
	"time"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/port"
)

// maxLeaderGap is the longest time between the last contact with a leader and the election of the next
// one for which the group counts as led all the while. An election that no lost host caused takes less.
const maxLeaderGap = 2 * time.Second

// formerLeader is the leader before the present one, as this host last heard from it.
type formerLeader struct {
	host        ident.Host
	incarnation ident.Incarnation
	// ledSince is the time since which it counted the group as led, and heardAt that of its last answer.
	ledSince, heardAt time.Time
}

// resumable reports whether a leader that was elected at a time may count on from the former one, should
// that still run.
func (f *formerLeader) resumable(elected time.Time) bool {
	return f.incarnation != 0 && elected.Sub(f.heardAt) <= maxLeaderGap
}

// former returns the leader that this host followed last.
func (b *relayState) former() formerLeader {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lastLeader
}

// recordLeader records the leader's answer. The caller holds the lock.
func (b *relayState) recordLeader(answer *WatchAnswer, now time.Time) {
	b.lastLeader = formerLeader{
		host: ident.Host(answer.Leader), incarnation: answer.Incarnation, ledSince: now.Add(-answer.Led), heardAt: now,
	}
}

// recordOwn records the end of this host's own leadership.
func (b *relayState) recordOwn(l *leadership, now time.Time) {
	options := &l.steward.options
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lastLeader = formerLeader{host: options.Self, incarnation: options.Incarnation, ledSince: l.groupLedSince(), heardAt: now}
}

// groupLedSince returns the time since which the group has been led. A leader that was replaced and still
// runs was late, and no host was lost: bounds that count while the group is led go on.
func (l *leadership) groupLedSince() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ledSince
}

// recordFormer records that a control host calls.
func (l *leadership) recordFormer(from port.Peer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if from.Host == l.former.host && from.Incarnation == l.former.incarnation && l.former.resumable(l.since) {
		l.ledSince = l.former.ledSince
	}
}
