// Package quorum implements a replicated log: a deterministic consensus state
// machine based on Raft, with pre-vote, check-quorum, a leader lease,
// linearizable reads, chunked snapshots, learners, single-member membership
// changes and leadership transfer.
//
// A [Node] has no goroutines, clock, sockets or files. Its caller, the runtime,
// passes events to it (Tick, Step, Propose, ReadIndex, ProposeMembers,
// TransferLeader), each with the current time, and performs the effects that
// Ready returns. A Node is not safe for concurrent use.
//
// # Order of effects
//
// After every event, and after every Advance, the runtime calls Ready until the
// result is Empty, and performs each result in this order:
//
//  1. Send Ready.Immediate at once, without waiting for the disk. These
//     messages (appends, heartbeats, snapshot chunks and read replies of a
//     leader) don't depend on a sync of this host's disk.
//  2. If Ready.MustSync: write Ready.Snapshot, then Ready.HardState and
//     Ready.Entries (replacing Entries[0].Index and everything after it in the
//     stored log), then sync everything, including directory entries.
//  3. Send Ready.Messages, only after the sync has succeeded. They include
//     votes and acknowledgements. A crash would erase one that is sent before
//     the sync, and the host could then give it a second time.
//  4. Restore the state machine from Ready.Snapshot if it is set; no committed
//     entries are returned from then until Advance. Apply Ready.Committed in
//     order. This is safe before this host's own sync, because a quorum has
//     synced these entries.
//  5. Serve each of Ready.Reads once the state machine has applied Read.Index.
//  6. If Ready.Persistent, call Advance after steps 3 and 4. A leader counts
//     its own disk towards the quorum only from then on.
//
// Between a persistent Ready and its Advance the runtime may continue to pass
// events and call Ready. The results then contain only Immediate, Committed and
// Reads, which need no sync, so appends and commits proceed while the disk
// syncs. At most one persistent Ready is outstanding.
//
// If a write or a sync fails, the runtime must stop the node permanently: no
// message, reply or Advance may follow. The content of the disk is then unknown
// until the process restarts and reads it.
//
// # Voter identity
//
// A member is a host together with the [DiskID] of the disk that stores its
// state. The identity is chosen at random when an empty disk is first used and
// is confirmed by the group with a committed membership entry. Each message
// contains the identities of both the sender's and the receiver's disk. A host
// whose disk was lost restarts with a different identity, so it neither votes
// nor counts. It has to be removed and added again as a learner, and is
// promoted only after it has synced everything that was committed at the time
// of the promotion.
package quorum
