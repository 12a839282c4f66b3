package quorum

import (
	"fmt"
	"hash/crc32"
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// resendAfter is the number of heartbeat intervals after which unacknowledged
// chunks are sent again.
const resendAfter = 4

// resendDuplicateAcks is the number of duplicate acknowledgements of an offset
// after which the chunks from that offset on are sent again without waiting for
// resendAfter.
const resendDuplicateAcks = 2

// incomingSnapshot is a snapshot being received.
type incomingSnapshot struct {
	head Chunk // Offset and Data are not used
	data []byte
}

func (a *incomingSnapshot) includes(c *Chunk) bool {
	return a.head.Meta.Index == c.Meta.Index && a.head.Meta.Term == c.Meta.Term &&
		a.head.Size == c.Size && a.head.Sum == c.Sum
}

// SnapshotMeta returns the description of a snapshot of the state after
// applying index, which must be in the log and applied.
func (n *Node) SnapshotMeta(index uint64) (SnapshotMeta, error) {
	term, ok := n.log.term(index)
	if !ok || index > n.log.applied {
		return SnapshotMeta{}, fmt.Errorf("quorum: no snapshot at %d: the log holds %d to %d, applied %d",
			index, n.log.base.Index, n.log.last(), n.log.applied)
	}
	return SnapshotMeta{Index: index, Term: term, Members: n.log.membersAt(index)}, nil
}

// Compact drops the log entries up to and including meta.Index. meta must come
// from SnapshotMeta. The runtime must hold a synced snapshot at or after meta,
// taken once this host had synced the entries that it covers: otherwise entries
// of an older term could still follow it on disk. Retaining some entries before
// the snapshot lets slow followers catch up without one.
func (n *Node) Compact(meta SnapshotMeta) error {
	if offer := n.lead.offer; offer != nil && meta.Index > offer.Meta.Index {
		// The entries after a snapshot in transfer are needed right after it.
		meta = offer.Meta
	}
	if meta.Index <= n.log.base.Index {
		return nil
	}
	if meta.Index > n.log.applied || !n.log.matches(meta.Index, meta.Term) {
		return fmt.Errorf("quorum: can't compact to %d in term %d: applied %d", meta.Index, meta.Term, n.log.applied)
	}
	n.log.compact(meta)
	return nil
}

// OfferSnapshot supplies the snapshot requested by Ready.SnapshotWanted. The
// node retains its data until no follower needs it.
func (n *Node) OfferSnapshot(s Snapshot) {
	usable := s.Meta.Index >= n.log.base.Index && s.Meta.Index <= n.log.commit
	if n.role != RoleLeader || !usable {
		return
	}
	n.lead.offer = &s
	n.lead.offerChecksum = crc32.Checksum(s.Data, castagnoli)
	for _, p := range n.lead.peers {
		p.restartChunks()
	}
}

// releaseOffer releases the snapshot if no follower needs it any more.
func (n *Node) releaseOffer() {
	for _, p := range n.lead.peers {
		if p.state == stateSnapshot {
			return
		}
	}
	n.lead.offer = nil
}

// abortInactiveSnapshots stops sending snapshots to inactive followers, so that
// they don't block compaction.
func (n *Node) abortInactiveSnapshots() {
	for _, p := range n.lead.peers {
		if p.state == stateSnapshot && !n.active(p) {
			p.becomeProbe()
			p.probing = true
		}
	}
	n.releaseOffer()
}

func (n *Node) sendChunks(p *progress) {
	offer := n.lead.offer
	if offer == nil || offer.Meta.Index < n.log.base.Index {
		n.requestSnapshot()
		return
	}
	if !p.lastChunkAt.IsZero() && n.now.Sub(p.lastChunkAt) > resendAfter*n.opts.Heartbeat {
		p.ackedOffset = p.requestedOffset
		p.sentOffset = p.requestedOffset
		p.duplicateAcks = 0
		p.lastChunkAt = n.now
		n.counters.Resent++
		n.sendChunk(p)
		return
	}
	size := uint64(len(offer.Data))
	for p.lastChunkAt.IsZero() || p.sentOffset < size && p.sentOffset-p.ackedOffset < uint64(n.opts.MaxInflightBytes) {
		p.lastChunkAt = n.now
		n.sendChunk(p)
	}
}

func (n *Node) sendChunk(p *progress) {
	offer := n.lead.offer
	size := uint64(len(offer.Data))
	end := min(p.sentOffset+uint64(n.opts.SnapshotChunk), size)
	chunk := &Chunk{
		Meta:   offer.Meta,
		Size:   size,
		Sum:    n.lead.offerChecksum,
		Offset: p.sentOffset,
		Data:   offer.Data[p.sentOffset:end:end],
	}
	p.sentOffset = end
	n.counters.Chunks++
	n.sendImmediate(Message{Type: MsgSnapshot, Round: n.lead.rounds.current, Chunk: chunk}, p.member)
}

// requestSnapshot requests a snapshot from the runtime, at most once per
// ElectionMax.
func (n *Node) requestSnapshot() {
	if n.now.Before(n.lead.snapshotRetryAt) {
		return
	}
	n.lead.snapshotRetryAt = n.now.Add(n.opts.ElectionMax)
	n.lead.snapshotWanted = true
}

func (n *Node) handleChunk(m Message) {
	c := m.Chunk
	if c.Size > uint64(n.opts.MaxSnapshotBytes) {
		n.malformed(m.fieldError("Chunk", "belongs to a snapshot above Options.MaxSnapshotBytes"))
		return
	}
	if !n.recordLeaderContact(m) {
		return
	}
	if c.Meta.Index <= n.log.commit || n.log.matches(c.Meta.Index, c.Meta.Term) {
		n.followCommit(c.Meta.Index)
		n.acknowledge(m, n.log.commit)
		return
	}
	a := &n.incoming
	if !a.includes(c) {
		*a = incomingSnapshot{head: *c}
	}
	if c.Offset == uint64(len(a.data)) {
		a.data = append(a.data, c.Data...)
	}
	if uint64(len(a.data)) == c.Size {
		n.finishSnapshot(m)
		return
	}
	n.requestOffset(m, uint64(len(a.data)))
}

func (n *Node) finishSnapshot(m Message) {
	data := n.incoming.data
	n.incoming = incomingSnapshot{}
	if crc32.Checksum(data, castagnoli) != m.Chunk.Sum {
		n.malformed(m.fieldError("Chunk", "completes a snapshot with another checksum"))
		n.requestOffset(m, 0)
		return
	}
	meta := m.Chunk.Meta
	n.log.reset(meta)
	n.members = meta.Members
	n.counters.Installs++
	n.pendingSnapshot = &Snapshot{Meta: meta, Data: data}
	n.acknowledge(m, meta.Index)
}

// acknowledge reports to the leader that this disk holds all entries up to
// index.
func (n *Node) acknowledge(m Message, index uint64) {
	n.sendAfterSync(Message{
		Type:  MsgAppendReply,
		Round: m.Round,
		Index: index,
		Last:  n.log.last(),
	}, sender(m))
}

func (n *Node) requestOffset(m Message, offset uint64) {
	n.sendAfterSync(Message{
		Type:   MsgSnapshotReply,
		Round:  m.Round,
		Index:  m.Chunk.Meta.Index,
		Offset: offset,
	}, sender(m))
}

func (n *Node) handleChunkReply(m Message) {
	p := n.peerOf(m)
	if p == nil || !p.eligible() || m.Round > n.lead.rounds.current {
		return
	}
	p.lastActive = n.now
	n.ackRound(p, m.Round)
	offer := n.lead.offer
	if p.state != stateSnapshot || offer == nil || m.Index != offer.Meta.Index || m.Offset > uint64(len(offer.Data)) {
		return
	}
	p.requestedOffset = m.Offset
	switch {
	case m.Offset > p.ackedOffset:
		p.ackedOffset = m.Offset
		p.sentOffset = max(p.sentOffset, p.ackedOffset)
		p.lastChunkAt = n.now
		p.duplicateAcks = 0
	case m.Offset == p.ackedOffset && p.sentOffset > p.ackedOffset:
		// A chunk was lost or reordered; the follower drops the later ones.
		p.duplicateAcks++
		if p.duplicateAcks == resendDuplicateAcks {
			p.sentOffset = p.ackedOffset
			n.counters.Resent++
		}
	}
}
