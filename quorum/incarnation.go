package quorum

import (
	"math/rand/v2"
	"slices"

	"github.com/lovagereach/lovagereach/ident"
)

// maxRecords bounds the peers remembered.
const maxRecords = 2 * MaxMembers

// recordsEvery is the number of heartbeat rounds between two that carry the
// records of peers. The first round of a term carries them.
const recordsEvery = 20

// nextIncarnation returns the incarnation that follows old.
func nextIncarnation(old ident.Incarnation, random *rand.Rand) ident.Incarnation {
	return ident.Incarnation((startsOf(old)+1)<<32 | uint64(random.Uint32()))
}

// startsOf returns the counter of starts in an incarnation.
func startsOf(i ident.Incarnation) uint64 { return uint64(i) >> 32 }

// checkRecord compares a message with what is remembered of its sender's disk
// and reports whether to take it in. A disk that was rolled back to an older
// copy has forgotten votes and acknowledgements, so the group would elect a
// leader without committed entries if it took its word. Four signs prove it:
// an incarnation that is not later than a known one, a later one with a
// smaller term, a later one whose log ends before what the disk acknowledged,
// and acknowledged entries that are gone within a term (detectIndexBack).
func (n *Node) checkRecord(m Message) bool {
	if n.faults.trustBack {
		return true
	}
	r := n.record(sender(m))
	if r == nil {
		n.remember(PeerRecord{Host: m.From, Disk: m.FromDisk, Incarnation: m.Incarnation, Term: m.Term})
		return true
	}
	known, now := startsOf(r.Incarnation), startsOf(m.Incarnation)
	last, tells := lastOf(&m)
	switch {
	case r.Revoked:
		n.sendRevoke(m, RevokeDuplicateIncarnation)
		return false
	case tells && last < r.Acked && now > startsOf(r.AckedBy):
		n.revokePeer(m, RevokeIndexRegressed)
		return false
	case m.Incarnation == r.Incarnation:
		r.Term = max(r.Term, m.Term)
		return true
	case now == known:
		n.revokePeer(m, RevokeDuplicateIncarnation)
		return false
	case now < known:
		n.sendRevoke(m, RevokeEarlierIncarnation)
		return false
	case m.Term < r.Term:
		n.revokePeer(m, RevokeTermRegressed)
		return false
	}
	r.Incarnation = m.Incarnation
	r.Term = m.Term
	n.recordChanged()
	return true
}

// mergeRecords takes in what another member remembers, so that a rolled-back
// disk is recognised by hosts that never met its later incarnation, and by
// itself.
func (n *Node) mergeRecords(m Message) {
	if n.faults.trustBack {
		return
	}
	for _, l := range m.Peers {
		who := Member{l.Host, l.Disk}
		if who == (Member{n.opts.Self, n.hard.Disk}) {
			if l.Revoked || !n.laterThan(l.Incarnation) || n.belowAcked(l) {
				n.revokeSelf()
			}
			continue
		}
		n.mergeRecord(who, l)
	}
}

func (n *Node) mergeRecord(who Member, l PeerRecord) {
	mine := n.record(who)
	if mine == nil {
		n.remember(l)
		return
	}
	split := startsOf(mine.Incarnation) == startsOf(l.Incarnation) && mine.Incarnation != l.Incarnation
	if (l.Revoked || split) && !mine.Revoked {
		n.markRevoked(mine)
	}
	if startsOf(l.Incarnation) > startsOf(mine.Incarnation) {
		mine.Incarnation = l.Incarnation
		n.recordChanged()
	}
	mine.Term = max(mine.Term, l.Term)
	if l.Acked > mine.Acked {
		mine.Acked = l.Acked
		mine.AckedBy = l.AckedBy
	}
}

// recordsFor returns the records to send in a heartbeat round.
func (n *Node) recordsFor(round uint64) []PeerRecord {
	if round%recordsEvery != 1 && !n.lead.spread {
		return nil
	}
	return n.records()
}

// records returns what this host remembers of disks, its own included: what
// a leader has synced itself is known to nobody else.
func (n *Node) records() []PeerRecord {
	return append(slices.Clone(n.hard.Peers), PeerRecord{
		Host:        n.opts.Self,
		Disk:        n.hard.Disk,
		Incarnation: n.hard.Incarnation,
		Term:        n.hard.Term,
		Acked:       min(n.log.synced, n.log.commit),
		AckedBy:     n.hard.Incarnation,
	})
}

// recordChanged has the records written, and spread in a leader's next round:
// an incarnation that only one host knows is forgotten when that host is lost.
func (n *Node) recordChanged() {
	n.dirty = true
	n.lead.spread = true
}

func (n *Node) record(who Member) *PeerRecord {
	for i := range n.hard.Peers {
		if l := &n.hard.Peers[i]; l.Host == who.Host && l.Disk == who.Disk {
			return l
		}
	}
	return nil
}

func (n *Node) remember(l PeerRecord) {
	if _, ok := n.isMember(Member{l.Host, l.Disk}); !ok {
		return
	}
	if len(n.hard.Peers) >= maxRecords {
		n.forgetRecord()
	}
	n.hard.Peers = append(n.hard.Peers, l)
	n.recordChanged()
	if l.Revoked {
		n.markRevoked(n.record(Member{l.Host, l.Disk}))
	}
}

// forgetRecord makes room: a disk that is no longer a member goes, one that was
// revoked last. There are at most MaxMembers members, so room is always made.
func (n *Node) forgetRecord() {
	gone := func(l PeerRecord) bool {
		_, ok := n.isMember(Member{l.Host, l.Disk})
		return !ok
	}
	i := slices.IndexFunc(n.hard.Peers, func(l PeerRecord) bool { return gone(l) && !l.Revoked })
	if i < 0 {
		i = slices.IndexFunc(n.hard.Peers, gone)
	}
	n.hard.Peers = slices.Delete(n.hard.Peers, i, i+1)
}

func (n *Node) isMember(who Member) (voter, ok bool) {
	m, voter, ok := n.members.find(who.Host)
	return voter, ok && m == who
}

// handleWrongDisk notes that a member's host now presents another disk.
func (n *Node) handleWrongDisk(m Message) {
	p := n.peer(m.From)
	if n.role == RoleLeader && p != nil && p.member.Disk != m.FromDisk {
		p.presented = m.FromDisk
	}
}
