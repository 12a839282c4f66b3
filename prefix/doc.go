// Package prefix computes the identities of the blocks of kept prompts and tracks
// which upstreams hold them.
//
// Chain computes the block identities of a prompt: a keyed hash chain over team,
// model, weight version, adapter and all preceding tokens, so that a block of
// another team or version has another identity and cannot be requested by mistake.
//
// Directory tracks, for one cell, which upstream holds which block. Its input are
// cache events, which are hints: they may be late, repeated or lost. Sequence
// numbers reveal a gap, a snapshot closes it, and the reused-token count of each
// answer updates the accuracy of a holder.
//
// The package starts no goroutine and reads no clock. A Directory is not safe for
// concurrent use.
package prefix
