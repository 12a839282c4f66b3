package quorum

import (
	"math/rand/v2"
	"slices"

	"github.com/lovagereach/lovagereach/ident"
)

// maxRecords is the maximum number of peer records kept.
const maxRecords = 2 * MaxMembers

// recordsEvery is the number of heartbeat rounds from one that includes the
// peer records to the next. The first round of a term includes them.
const recordsEvery = 20

// nextIncarnation returns the incarnation that follows old, with new random
// lower bits.
func nextIncarnation(old ident.Incarnation, random *rand.Rand) ident.Incarnation {
	return ident.Incarnation((startCount(old)+1)<<32 | uint64(random.Uint32()))
}

// startCount returns the counter of starts, the upper 32 bits of an
// incarnation.
func startCount(i ident.Incarnation) uint64 { return uint64(i) >> 32 }

// verifySender compares a message with the record of its sender's disk and
// reports whether to process it. A disk that was rolled back to an older copy
// has lost votes and acknowledgements; counting its replies could elect a
// leader that lacks committed entries. Four conditions prove a rollback: an
// incarnation that is not newer than a known one, a newer incarnation with a
// lower term, a newer incarnation whose log ends before an index that the disk
// acknowledged, and acknowledged entries that are missing within a term (see
// detectIndexRegression).
func (n *Node) verifySender(m Message) bool {
	if n.faults.trustRolledBack {
		return true
	}
	r := n.record(sender(m))
	if r == nil {
		n.addRecord(PeerRecord{Host: m.From, Disk: m.FromDisk, Incarnation: m.Incarnation, Term: m.Term})
		return true
	}
	known, received := startCount(r.Incarnation), startCount(m.Incarnation)
	last, hasLast := lastLogIndex(&m)
	switch {
	case r.Revoked:
		n.sendRevoke(m, RevokeDuplicateIncarnation)
		return false
	case hasLast && last < r.Acked && received > startCount(r.AckedBy):
		n.revokePeer(m, RevokeIndexRegressed)
		return false
	case m.Incarnation == r.Incarnation:
		r.Term = max(r.Term, m.Term)
		return true
	case received == known:
		n.revokePeer(m, RevokeDuplicateIncarnation)
		return false
	case received < known:
		n.sendRevoke(m, RevokeEarlierIncarnation)
		return false
	case m.Term < r.Term:
		n.revokePeer(m, RevokeTermRegressed)
		return false
	}
	r.Incarnation = m.Incarnation
	r.Term = m.Term
	n.markRecordsChanged()
	return true
}

// mergeRecords merges the peer records of another member, so that a rolled-back
// disk is also detected by hosts that have had no contact with its newer
// incarnation, and by the rolled-back host itself.
func (n *Node) mergeRecords(m Message) {
	if n.faults.trustRolledBack {
		return
	}
	for _, r := range m.Peers {
		member := Member{r.Host, r.Disk}
		if member == (Member{n.opts.Self, n.hard.Disk}) {
			if r.Revoked || !n.sameOrNewer(r.Incarnation) || n.lostAcked(r) {
				n.revokeSelf()
			}
			continue
		}
		n.mergeRecord(member, r)
	}
}

func (n *Node) mergeRecord(member Member, r PeerRecord) {
	known := n.record(member)
	if known == nil {
		n.addRecord(r)
		return
	}
	duplicate := startCount(known.Incarnation) == startCount(r.Incarnation) && known.Incarnation != r.Incarnation
	if (r.Revoked || duplicate) && !known.Revoked {
		n.markRevoked(known)
	}
	if startCount(r.Incarnation) > startCount(known.Incarnation) {
		known.Incarnation = r.Incarnation
		n.markRecordsChanged()
	}
	known.Term = max(known.Term, r.Term)
	if r.Acked > known.Acked {
		known.Acked = r.Acked
		known.AckedBy = r.AckedBy
	}
}

// recordsFor returns the peer records to send in a heartbeat round, nil for
// most rounds.
func (n *Node) recordsFor(round uint64) []PeerRecord {
	if round%recordsEvery != 1 && !n.lead.sendRecords {
		return nil
	}
	return n.records()
}

// records returns the peer records, including one of this node's own disk: no
// other host knows what a leader itself has synced.
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

// markRecordsChanged schedules the records to be written and, on a leader, to
// be sent in the next round. An incarnation known to a single host would be
// lost together with that host.
func (n *Node) markRecordsChanged() {
	n.dirty = true
	n.lead.sendRecords = true
}

func (n *Node) record(member Member) *PeerRecord {
	for i := range n.hard.Peers {
		if r := &n.hard.Peers[i]; r.Host == member.Host && r.Disk == member.Disk {
			return r
		}
	}
	return nil
}

func (n *Node) addRecord(r PeerRecord) {
	if _, ok := n.isMember(Member{r.Host, r.Disk}); !ok {
		return
	}
	if len(n.hard.Peers) >= maxRecords {
		n.evictRecord()
	}
	n.hard.Peers = append(n.hard.Peers, r)
	n.markRecordsChanged()
	if r.Revoked {
		n.markRevoked(n.record(Member{r.Host, r.Disk}))
	}
}

// evictRecord removes one record of a disk that is not a member, preferring one
// that is not revoked. The group has at most MaxMembers members and maxRecords
// is larger, so there always is such a record.
func (n *Node) evictRecord() {
	nonMember := func(r PeerRecord) bool {
		_, ok := n.isMember(Member{r.Host, r.Disk})
		return !ok
	}
	i := slices.IndexFunc(n.hard.Peers, func(r PeerRecord) bool { return nonMember(r) && !r.Revoked })
	if i < 0 {
		i = slices.IndexFunc(n.hard.Peers, nonMember)
	}
	n.hard.Peers = slices.Delete(n.hard.Peers, i, i+1)
}

func (n *Node) isMember(member Member) (voter, ok bool) {
	m, voter, ok := n.members.find(member.Host)
	return voter, ok && m == member
}

// handleWrongDisk records that a member's host now presents another disk.
func (n *Node) handleWrongDisk(m Message) {
	p := n.peer(m.From)
	if n.role == RoleLeader && p != nil && p.member.Disk != m.FromDisk {
		p.presentedDisk = m.FromDisk
	}
}
