package keep

import (
	"time"

	"github.com/lovagereach/lovagereach/prefix"
)

// keptCopy is the copy of one block on a store host, in any phase.
type keptCopy struct {
	id        CopyID
	block     prefix.BlockID
	phase     Phase
	store     *storeHost
	team      *teamState
	copy      prefix.Copy
	plannedAt time.Time // when the write was planned
	// deadline is the end of the current step of a write, or the time before
	// which a free is not attempted again.
	deadline time.Time
	tries    int // number of requests to the store to free the slot
	pins     int
	// pinnedUntil is the time at which the last pin expires, even if its reader
	// never unpins.
	pinnedUntil time.Time
	// priorPinsUntil is the time at which the pins on an earlier record of the
	// same slot expire.
	priorPinsUntil time.Time
	committedAt    time.Time // when the copy was committed
	// tierIndex and teamIndex are the positions in the store's tier list and in
	// the team's.
	tierIndex, teamIndex int
}

// readable reports whether readers may use the copy. It is the only place that
// decides this: a copy that is being written would expose an incomplete block,
// and one that is being freed a slot that another block may reuse.
func (c *keptCopy) readable() bool {
	return c.phase == Committed
}

// inWrite reports whether the copy is being written.
func (c *keptCopy) inWrite() bool {
	return c.phase >= Reserving && c.phase <= Verifying
}

// pinned reports whether a reader may still be reading the copy.
func (c *keptCopy) pinned(now time.Time) bool {
	return now.Before(c.priorPinsUntil) || c.pins > 0 && now.Before(c.pinnedUntil)
}

// bytes returns the capacity that the copy uses, also while it is being
// written.
func (c *keptCopy) bytes() int64 { return c.copy.Bytes }

// copyList is an unordered list of copies with constant-time removal.
type copyList struct {
	copies []*keptCopy
	bytes  int64
}

func (l *copyList) add(c *keptCopy) int {
	l.copies = append(l.copies, c)
	l.bytes += c.bytes()
	return len(l.copies) - 1
}

// remove removes the copy at a position and returns the copy that was moved
// there.
func (l *copyList) remove(position int) *keptCopy {
	l.bytes -= l.copies[position].bytes()
	last := len(l.copies) - 1
	moved := l.copies[last]
	l.copies[position] = moved
	l.copies[last] = nil
	l.copies = l.copies[:last]
	return moved
}
