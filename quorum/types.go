package quorum

import (
	"github.com/lovagereach/lovagereach/ident"
)

// DiskID identifies the disk that keeps one host's state for one group. It is
// drawn at random when the disk is first used. Zero is no identity.
type DiskID uint64

// Member is a host with the identity of its disk.
type Member struct {
	Host ident.Host `cbor:"1,keyasint"`
	Disk DiskID     `cbor:"2,keyasint"`
}

// Membership lists who takes part in a group. A host stands in one of the
// lists only. Both lists are sorted by host.
type Membership struct {
	// Voters elect the leader and count towards the quorum.
	Voters []Member `cbor:"1,keyasint"`
	// Learners receive the log but neither vote nor count.
	Learners []Member `cbor:"2,keyasint,omitempty"`
}

// EntryKind tells what an entry is for.
type EntryKind uint8

// The kinds of entries.
const (
	// EntryCommand carries a command of the state machine.
	EntryCommand EntryKind = iota
	// EntryNoop starts a leader's term. The state machine does not see it.
	EntryNoop
	// EntryMembers replaces the membership as soon as it is appended.
	EntryMembers
)

// Entry is one position of the replicated log.
type Entry struct {
	Term    uint64      `cbor:"1,keyasint"`
	Index   uint64      `cbor:"2,keyasint"`
	Kind    EntryKind   `cbor:"3,keyasint,omitempty"`
	Data    []byte      `cbor:"4,keyasint,omitempty"`
	Members *Membership `cbor:"5,keyasint,omitempty"`
}

// PeerRecord is what this host remembers of a peer's disk: its latest
// incarnation and what it can't have forgotten. It is synced before the host
// answers a new incarnation, so that an earlier one, which only a rolled-back
// disk can bring back, is recognised.
type PeerRecord struct {
	Host        ident.Host        `cbor:"1,keyasint"`
	Disk        DiskID            `cbor:"2,keyasint"`
	Incarnation ident.Incarnation `cbor:"3,keyasint"`
	// Revoked is set once this disk was seen to have gone back in time.
	Revoked bool `cbor:"4,keyasint,omitempty"`
	// Term is the highest term that the disk was heard with, and Acked the
	// highest committed index that it acknowledged as synced, up to the
	// incarnation AckedBy. They are written along with other changes only and
	// may lag.
	Term    uint64            `cbor:"5,keyasint,omitempty"`
	Acked   uint64            `cbor:"6,keyasint,omitempty"`
	AckedBy ident.Incarnation `cbor:"7,keyasint,omitempty"`
}

// HardState is the small state that must be synced before the messages of the
// same Ready are sent.
type HardState struct {
	Term uint64 `cbor:"1,keyasint"`
	// Vote is who got this disk's vote in Term.
	Vote Member `cbor:"2,keyasint"`
	// Disk is the identity of this disk.
	Disk DiskID `cbor:"3,keyasint"`
	// Incarnation holds a counter of starts in its upper 32 bits, raised and
	// synced at every start before the first message, and 32 random bits that
	// tell apart two starts with the same counter.
	Incarnation ident.Incarnation `cbor:"4,keyasint"`
	// Revoked is set once the group has told this host that its disk went
	// back in time. The disk never votes, acknowledges or leads again.
	Revoked bool `cbor:"5,keyasint,omitempty"`
	// Peers is what is remembered of the peers' disks.
	Peers []PeerRecord `cbor:"6,keyasint,omitempty"`
}

// SnapshotMeta describes a snapshot: the state after applying Index.
type SnapshotMeta struct {
	Index   uint64     `cbor:"1,keyasint"`
	Term    uint64     `cbor:"2,keyasint"`
	Members Membership `cbor:"3,keyasint"`
}

// Snapshot is the whole state of the state machine after SnapshotMeta.Index.
// Data is empty for the snapshot that Form makes.
type Snapshot struct {
	Meta SnapshotMeta `cbor:"1,keyasint"`
	Data []byte       `cbor:"2,keyasint,omitempty"`
}

// StoredState is what a host reads back from its disk at a start.
type StoredState struct {
	HardState HardState
	// Snapshot is the latest synced snapshot's description; its data goes to
	// the state machine.
	Snapshot SnapshotMeta
	// Entries follow the snapshot without a gap; entries at or before
	// Snapshot.Index are ignored.
	Entries []Entry
}

// MessageType names a kind of message.
type MessageType uint8

// The message types. The comments name the fields each one uses besides the
// header (Type, From, To, FromDisk, ToDisk, Incarnation, Term).
const (
	// MsgPreVote asks whether a vote would be granted in Term+1, without
	// raising any term: Round, Index and LogTerm of the last entry.
	MsgPreVote MessageType = iota + 1
	// MsgPreVoteReply answers it: Round, Reject, Last.
	MsgPreVoteReply
	// MsgVote asks for a vote in Term: Index, LogTerm, Force.
	MsgVote
	// MsgVoteReply answers it: Reject, Last.
	MsgVoteReply
	// MsgAppend carries entries or, without entries, a heartbeat or a probe:
	// Round, Index and LogTerm of the entry before Entries, Commit, Entries.
	MsgAppend
	// MsgAppendReply acknowledges synced entries up to Index or, with Reject,
	// names the entry Refused and the point (Index, LogTerm) to probe next:
	// Round, Last.
	MsgAppendReply
	// MsgSnapshot carries one chunk of a snapshot: Round, Chunk.
	MsgSnapshot
	// MsgSnapshotReply tells the next offset wanted: Round, Index (of the
	// snapshot), Offset.
	MsgSnapshotReply
	// MsgReadIndex asks the leader for a read index: Read, Round (the asker's
	// incarnation, so that an answer to an earlier one is recognised).
	MsgReadIndex
	// MsgReadIndexReply answers it: Read, Round, Index, Reject.
	MsgReadIndexReply
	// MsgTimeoutNow asks the receiver to campaign at once.
	MsgTimeoutNow
	// MsgWrongDisk answers a message whose ToDisk is not the receiver's: the
	// receiver's disk was replaced, FromDisk is its identity now.
	MsgWrongDisk
	// MsgRevoke tells a host that its disk went back in time. Index is the
	// RevokeReason. For RevokeEarlierIncarnation, Round is the latest
	// incarnation of that disk known to the sender: the receiver is revoked
	// unless its own is later, for the message that gave rise to this one may
	// have been late.
	MsgRevoke
)

// RevokeReason tells how a rolled-back disk was recognised.
type RevokeReason uint64

// The reasons to revoke a disk.
const (
	// RevokeEarlierIncarnation: a later incarnation of the disk is known, which
	// may only mean that the message was late.
	RevokeEarlierIncarnation RevokeReason = iota + 1
	// RevokeSplitIncarnation: two incarnations share one counter, so one of
	// them began from an older copy of the disk.
	RevokeDuplicateIncarnation
	// RevokeTermBack: a later incarnation with a smaller term.
	RevokeTermRegressed
	// RevokeIndexBack: entries that were acknowledged as synced are gone.
	RevokeIndexRegressed
)

// Chunk is a part of a snapshot.
type Chunk struct {
	Meta SnapshotMeta `cbor:"1,keyasint"`
	// Size is the length of the whole data and Sum its CRC-32C.
	Size   uint64 `cbor:"2,keyasint,omitempty"`
	Sum    uint32 `cbor:"3,keyasint,omitempty"`
	Offset uint64 `cbor:"4,keyasint,omitempty"`
	Data   []byte `cbor:"5,keyasint,omitempty"`
}

// Message is what nodes of one group exchange. Messages may be lost, repeated
// and reordered. The runtime adds the group and carries it as CBOR.
type Message struct {
	Type MessageType `cbor:"1,keyasint"`
	From ident.Host  `cbor:"2,keyasint"`
	To   ident.Host  `cbor:"3,keyasint"`
	// FromDisk and ToDisk are the identities of the sender's disk and of the
	// disk that the sender means to reach.
	FromDisk DiskID `cbor:"4,keyasint"`
	ToDisk   DiskID `cbor:"5,keyasint"`
	// Incarnation is the sender's incarnation.
	Incarnation ident.Incarnation `cbor:"6,keyasint"`
	// Term is the sender's own, synced term.
	Term uint64 `cbor:"7,keyasint"`
	// Round identifies a heartbeat round of a leader or a pre-vote campaign;
	// the answer repeats it.
	Round   uint64  `cbor:"8,keyasint,omitempty"`
	Index   uint64  `cbor:"9,keyasint,omitempty"`
	LogTerm uint64  `cbor:"10,keyasint,omitempty"`
	Commit  uint64  `cbor:"11,keyasint,omitempty"`
	Entries []Entry `cbor:"12,keyasint,omitempty"`
	Reject  bool    `cbor:"13,keyasint,omitempty"`
	// Last is the last synced index of the sender's log.
	Last uint64 `cbor:"14,keyasint,omitempty"`
	// Force marks a vote that the leader itself has asked for, so that
	// voters need not wait out its lease.
	Force  bool   `cbor:"15,keyasint,omitempty"`
	ReadID uint64 `cbor:"16,keyasint,omitempty"`
	Offset uint64 `cbor:"17,keyasint,omitempty"`
	Chunk  *Chunk `cbor:"18,keyasint,omitempty"`
	// Refused is the index before the entries of a refused append.
	Refused uint64 `cbor:"19,keyasint,omitempty"`
	// Peers is what the sender remembers of disks; MsgAppend and its answer
	// carry it now and then.
	Peers []PeerRecord `cbor:"20,keyasint,omitempty"`
}

// Read is the result of one ReadIndex call.
type Read struct {
	// ID is the caller's.
	ID uint64
	// Index is the index that the state machine must have applied.
	Index uint64
	// Err is set when the read can't be served: *NotLeaderError.
	Err error
}

// Ready holds the effects to carry out. See the package comment for the order.
type Ready struct {
	// Immediate messages may be sent before anything is synced.
	Immediate []Message
	// HardState is set when it changed.
	HardState *HardState
	// Snapshot is set when a snapshot from the leader is to be installed. It
	// replaces the whole stored log.
	Snapshot *Snapshot
	// Entries are to be stored, replacing everything from Entries[0].Index.
	Entries []Entry
	// Messages must wait for the sync of all the above.
	Messages []Message
	// Committed entries are to be applied, in order, each once in the incarnation
	// of a Node. Only those of EntryCommand concern the state machine.
	Committed []Entry
	// Reads are the answers to ReadIndex.
	Reads []Read
	// SnapshotWanted asks the runtime to call OfferSnapshot with a recent
	// snapshot: a follower needs entries that are compacted away.
	SnapshotWanted bool
}

// MustSync reports whether there is something to write and sync.
func (r *Ready) MustSync() bool {
	return r.HardState != nil || r.Snapshot != nil || len(r.Entries) > 0
}

// Persistent reports whether the runtime must call Advance once it has synced
// the state and sent Messages.
func (r *Ready) Persistent() bool {
	return r.MustSync() || len(r.Messages) > 0
}

// Empty reports whether there is nothing to do.
func (r *Ready) Empty() bool {
	return !r.Persistent() && len(r.Immediate) == 0 && len(r.Committed) == 0 &&
		len(r.Reads) == 0 && !r.SnapshotWanted
}
