// Package disk stores the durable state of replicated groups in a data folder:
// their logs, hard state and snapshots.
//
// All groups share one write-ahead log, so that one sync makes the pending
// updates of many groups durable. The log is a segment that begins with a
// checkpoint of all groups, followed by frames; a frame holds all updates
// written between two syncs. A new segment begins with a new checkpoint and
// replaces the old segment.
//
// A frame is written only after the previous frame has been synced, so only the
// last frame can be torn by a crash. A torn frame was never acknowledged and is
// dropped when the folder is opened. Damage anywhere else makes Open fail with
// the file and the offset.
//
// The first failed write or sync disables the folder until a restart: the state
// of the file in the page cache is then unknown, and a later sync that succeeds
// would not show that the data of the failed one is on disk.
package disk
