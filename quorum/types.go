package quorum

import (
	"github.com/lovagereach/lovagereach/ident"
)

// DiskID is the identity of the disk that stores one host's state for one
// group. It is chosen at random when the disk is first used. Zero means no
// identity.
type DiskID uint64

// Member is a host together with the identity of its disk.
type Member struct {
	Host ident.Host `cbor:"1,keyasint"`
	Disk DiskID     `cbor:"2,keyasint"`
}

// Membership is the set of members of a group. A host is in at most one of the
// two lists. Both are sorted by host.
type Membership struct {
	// Voters elect the leader and count towards the quorum.
	Voters []Member `cbor:"1,keyasint"`
	// Learners receive the log but neither vote nor count towards the quorum.
	Learners []Member `cbor:"2,keyasint,omitempty"`
}

// EntryKind is the kind of a log entry.
type EntryKind uint8

// The kinds of entries.
const (
	// EntryCommand contains a command for the state machine.
	EntryCommand EntryKind = iota
	// EntryNoop is the first entry of a leader's term. It is not for the state
	// machine.
	EntryNoop
	// EntryMembers replaces the membership. It is in force as soon as it is
	// appended.
	EntryMembers
)

// Entry is an entry of the replicated log.
type Entry struct {
	Term    uint64      `cbor:"1,keyasint"`
	Index   uint64      `cbor:"2,keyasint"`
	Kind    EntryKind   `cbor:"3,keyasint,omitempty"`
	Data    []byte      `cbor:"4,keyasint,omitempty"`
	Members *Membership `cbor:"5,keyasint,omitempty"`
}

// PeerRecord is a host's persistent record of a peer's disk: its latest
// incarnation and the state that it can't have lost. It is synced before the
// host replies to a new incarnation. An earlier incarnation, which only a
// rolled-back disk can present again, is therefore detected.
type PeerRecord struct {
	Host        ident.Host        `cbor:"1,keyasint"`
	Disk        DiskID            `cbor:"2,keyasint"`
	Incarnation ident.Incarnation `cbor:"3,keyasint"`
	// Revoked is set once this disk was found to have been rolled back.
	Revoked bool `cbor:"4,keyasint,omitempty"`
	// Term is the highest term received from the disk. Acked is the highest
	// committed index that the disk acknowledged as synced, up to the
	// incarnation AckedBy. Changes of these three fields alone don't cause a
	// write, so the stored values may lag.
	Term    uint64            `cbor:"5,keyasint,omitempty"`
	Acked   uint64            `cbor:"6,keyasint,omitempty"`
	AckedBy ident.Incarnation `cbor:"7,keyasint,omitempty"`
}

// HardState is the state, besides log and snapshot, that must be synced before
// the messages of the same Ready are sent.
type HardState struct {
	Term uint64 `cbor:"1,keyasint"`
	// Vote is the member that this disk voted for in Term, empty if none.
	Vote Member `cbor:"2,keyasint"`
	// Disk is the identity of this disk.
	Disk DiskID `cbor:"3,keyasint"`
	// Incarnation has a counter of starts in its upper 32 bits, which is
	// incremented and synced at every start before the first message is sent.
	// The lower 32 bits are random, to distinguish two starts with the same
	// counter.
	Incarnation ident.Incarnation `cbor:"4,keyasint"`
	// Revoked is set once another member has reported that this host's disk was
	// rolled back. The disk never votes, acknowledges or leads again.
	Revoked bool `cbor:"5,keyasint,omitempty"`
	// Peers is the list of records of the peers' disks.
	Peers []PeerRecord `cbor:"6,keyasint,omitempty"`
}

// SnapshotMeta describes a snapshot of the state after applying the entry at
// Index.
type SnapshotMeta struct {
	Index   uint64     `cbor:"1,keyasint"`
	Term    uint64     `cbor:"2,keyasint"`
	Members Membership `cbor:"3,keyasint"`
}

// Snapshot is the complete state of the state machine after applying
// Meta.Index. Data is empty for the snapshot that Bootstrap creates.
type Snapshot struct {
	Meta SnapshotMeta `cbor:"1,keyasint"`
	Data []byte       `cbor:"2,keyasint,omitempty"`
}

// StoredState is the state that a host reads from its disk on start.
type StoredState struct {
	HardState HardState
	// Snapshot describes the latest synced snapshot. Its data is restored into
	// the state machine by the runtime.
	Snapshot SnapshotMeta
	// Entries are the log entries after the snapshot, without a gap. Entries at
	// or before Snapshot.Index are ignored.
	Entries []Entry
}

// MessageType is the type of a message.
type MessageType uint8

// The message types. Each comment lists the fields used in addition to the
// header (Type, From, To, FromDisk, ToDisk, Incarnation, Term).
const (
	// MsgPreVote asks whether a vote would be granted in Term+1, without
	// raising any term: Round, and Index and LogTerm of the last entry.
	MsgPreVote MessageType = iota + 1
	// MsgPreVoteReply is the reply to MsgPreVote: Round, Reject, Last.
	MsgPreVoteReply
	// MsgVote requests a vote in Term: Index, LogTerm, Force.
	MsgVote
	// MsgVoteReply is the reply to MsgVote: Reject, Last.
	MsgVoteReply
	// MsgAppend contains entries or, without entries, is a heartbeat or a
	// probe: Round, Index and LogTerm of the entry before Entries, Commit,
	// Entries, Peers.
	MsgAppend
	// MsgAppendReply acknowledges synced entries up to Index or, with Reject,
	// contains the rejected index in Refused and the next index to probe in
	// Index and LogTerm: Round, Last, Peers.
	MsgAppendReply
	// MsgSnapshot contains one chunk of a snapshot: Round, Chunk.
	MsgSnapshot
	// MsgSnapshotReply requests the next offset: Round, Index (of the
	// snapshot), Offset.
	MsgSnapshotReply
	// MsgReadIndex requests a read index from the leader: ReadID, Round (the
	// requester's incarnation, so that a reply to an earlier one is
	// recognised).
	MsgReadIndex
	// MsgReadIndexReply is the reply to MsgReadIndex: ReadID, Round, Index,
	// Reject.
	MsgReadIndexReply
	// MsgTimeoutNow instructs the receiver to start an election immediately.
	MsgTimeoutNow
	// MsgWrongDisk is the reply to a message whose ToDisk is not the receiver's
	// disk. That disk was replaced; FromDisk is its current identity.
	MsgWrongDisk
	// MsgRevoke notifies a host that its disk was rolled back. Index is the
	// RevokeReason. For RevokeEarlierIncarnation, Round is the latest
	// incarnation of that disk known to the sender: the receiver is not revoked
	// if its own incarnation is the same or newer, because the message that
	// triggered the notification may have been delayed.
	MsgRevoke
)

// RevokeReason is the reason for which a disk is considered rolled back.
type RevokeReason uint64

// The reasons to revoke a disk.
const (
	// RevokeEarlierIncarnation: a newer incarnation of the disk is known. The
	// message may merely have been delayed.
	RevokeEarlierIncarnation RevokeReason = iota + 1
	// RevokeDuplicateIncarnation: two incarnations have the same counter, so
	// one of them started from an older copy of the disk. Also sent in reply to
	// a disk that is already revoked.
	RevokeDuplicateIncarnation
	// RevokeTermRegressed: a newer incarnation has a lower term.
	RevokeTermRegressed
	// RevokeIndexRegressed: entries acknowledged as synced are missing.
	RevokeIndexRegressed
)

// Chunk is a piece of a snapshot.
type Chunk struct {
	Meta SnapshotMeta `cbor:"1,keyasint"`
	// Size is the length of the complete data and Sum its CRC-32C.
	Size   uint64 `cbor:"2,keyasint,omitempty"`
	Sum    uint32 `cbor:"3,keyasint,omitempty"`
	Offset uint64 `cbor:"4,keyasint,omitempty"`
	Data   []byte `cbor:"5,keyasint,omitempty"`
}

// Message is a message between two nodes of a group. Messages may be lost,
// duplicated and reordered. The runtime adds the group and encodes the message
// as CBOR.
type Message struct {
	Type MessageType `cbor:"1,keyasint"`
	From ident.Host  `cbor:"2,keyasint"`
	To   ident.Host  `cbor:"3,keyasint"`
	// FromDisk is the identity of the sender's disk, and ToDisk the identity of
	// the disk that the message is addressed to.
	FromDisk DiskID `cbor:"4,keyasint"`
	ToDisk   DiskID `cbor:"5,keyasint"`
	// Incarnation is the sender's incarnation.
	Incarnation ident.Incarnation `cbor:"6,keyasint"`
	// Term is the sender's current term, which is synced before the message is
	// sent.
	Term uint64 `cbor:"7,keyasint"`
	// Round identifies a leader's heartbeat round or a pre-vote. Replies repeat
	// it.
	Round   uint64  `cbor:"8,keyasint,omitempty"`
	Index   uint64  `cbor:"9,keyasint,omitempty"`
	LogTerm uint64  `cbor:"10,keyasint,omitempty"`
	Commit  uint64  `cbor:"11,keyasint,omitempty"`
	Entries []Entry `cbor:"12,keyasint,omitempty"`
	Reject  bool    `cbor:"13,keyasint,omitempty"`
	// Last is the last index of the sender's log, synced before the message is
	// sent.
	Last uint64 `cbor:"14,keyasint,omitempty"`
	// Force marks a vote request made at the leader's request, which voters
	// grant without waiting for the end of its lease.
	Force  bool   `cbor:"15,keyasint,omitempty"`
	ReadID uint64 `cbor:"16,keyasint,omitempty"`
	Offset uint64 `cbor:"17,keyasint,omitempty"`
	Chunk  *Chunk `cbor:"18,keyasint,omitempty"`
	// Refused is the index before the entries of a rejected append.
	Refused uint64 `cbor:"19,keyasint,omitempty"`
	// Peers is the list of disk records known to the sender. Some MsgAppend
	// messages and their replies contain it.
	Peers []PeerRecord `cbor:"20,keyasint,omitempty"`
}

// Read is the result of one ReadIndex call.
type Read struct {
	// ID is the id passed to ReadIndex.
	ID uint64
	// Index is the index that the state machine must have applied before the
	// read is served.
	Index uint64
	// Err is a *NotLeaderError if the read can't be served.
	Err error
}

// Ready contains the effects to perform. See the package comment for their
// order.
type Ready struct {
	// Immediate messages may be sent before anything is synced.
	Immediate []Message
	// HardState is the state to store, nil if unchanged.
	HardState *HardState
	// Snapshot is a snapshot from the leader to install, or nil. It replaces
	// the whole stored log.
	Snapshot *Snapshot
	// Entries are to be stored, replacing every entry from Entries[0].Index on.
	Entries []Entry
	// Messages must be sent only after all of the above is synced.
	Messages []Message
	// Committed entries are to be applied in order. Each is returned once by a
	// Node. Only those of kind EntryCommand are for the state machine.
	Committed []Entry
	// Reads are the results of ReadIndex calls.
	Reads []Read
	// SnapshotWanted is set when the runtime has to call OfferSnapshot with a
	// recent snapshot, because a follower needs entries that have been
	// compacted.
	SnapshotWanted bool
}

// MustSync reports whether there is state to write and sync.
func (r *Ready) MustSync() bool {
	return r.HardState != nil || r.Snapshot != nil || len(r.Entries) > 0
}

// Persistent reports whether the runtime must call Advance once it has synced
// the state and sent Messages.
func (r *Ready) Persistent() bool {
	return r.MustSync() || len(r.Messages) > 0
}

// Empty reports whether there are no effects to perform.
func (r *Ready) Empty() bool {
	return !r.Persistent() && len(r.Immediate) == 0 && len(r.Committed) == 0 &&
		len(r.Reads) == 0 && !r.SnapshotWanted
}
