package quorum

import "time"

// progressState is the mode in which a leader sends to one follower.
type progressState uint8

const (
	// stateProbe: the index at which the logs match is unknown; one append is
	// sent at a time.
	stateProbe progressState = iota
	// stateReplicate: appends are sent without waiting for acknowledgements.
	stateReplicate
	// stateSnapshot: the next entries needed have been compacted.
	stateSnapshot
)

func (s progressState) String() string {
	return [...]string{"probe", "replicate", "snapshot"}[s]
}

// progress is the leader's view of one other member.
type progress struct {
	member Member
	voter  bool
	state  progressState

	// match is the last index known to be synced on the member and identical to
	// the leader's log. matchRound is the current round at the time match last
	// increased: a reply to a later round was certainly sent after that.
	match, matchRound uint64
	// next is the index of the next entry to send.
	next uint64
	// probing is set in stateProbe while an append is unacknowledged.
	probing bool
	window  inflights

	// ackedRound is the latest heartbeat round that the member acknowledged.
	ackedRound uint64
	lastActive time.Time

	// presentedDisk is the identity of a replacement disk, zero if the disk was
	// not replaced. revoked is set if the disk was rolled back. In either case
	// the member does not count towards a quorum.
	presentedDisk DiskID
	revoked       bool

	// Byte offsets into the snapshot: sent, acknowledged and last requested by
	// the follower. requestedOffset is smaller than ackedOffset if the follower
	// has restarted its reception.
	sentOffset, ackedOffset, requestedOffset uint64
	lastChunkAt                              time.Time
	// duplicateAcks is the number of repeated replies with ackedOffset.
	duplicateAcks int
}

// eligible reports whether the member's replies may count towards a quorum.
func (p *progress) eligible() bool { return !p.revoked && p.presentedDisk == 0 }

func (p *progress) becomeProbe() {
	p.state = stateProbe
	p.probing = false
	p.window.reset()
	p.next = p.match + 1
}

func (p *progress) becomeReplicate() {
	p.state = stateReplicate
	p.window.reset()
	p.next = p.match + 1
}

func (p *progress) becomeSnapshot() {
	p.state = stateSnapshot
	p.window.reset()
	p.restartChunks()
}

func (p *progress) restartChunks() {
	p.sentOffset = 0
	p.ackedOffset = 0
	p.requestedOffset = 0
	p.duplicateAcks = 0
	p.lastChunkAt = time.Time{}
}

// inflights is the window of unacknowledged appends to one follower.
type inflights struct {
	sent  []inflight
	bytes int
}

type inflight struct {
	last  uint64
	bytes int
}

func (w *inflights) reset() {
	w.sent = w.sent[:0]
	w.bytes = 0
}

func (w *inflights) add(last uint64, bytes int) {
	w.sent = append(w.sent, inflight{last, bytes})
	w.bytes += bytes
}

// free removes the appends acknowledged by index.
func (w *inflights) free(index uint64) {
	done := 0
	for done < len(w.sent) && w.sent[done].last <= index {
		w.bytes -= w.sent[done].bytes
		done++
	}
	w.sent = append(w.sent[:0], w.sent[done:]...)
}

func (w *inflights) full(o *Options) bool {
	return len(w.sent) >= o.MaxInflightAppends || w.bytes >= o.MaxInflightBytes
}
