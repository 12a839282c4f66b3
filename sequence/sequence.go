// Package sequence checks that the numbered items of an answer are those of one run: each comes once,
// in order and without a gap, and none after the end.
//
// A Checker is a state machine without I/O. What follows from an item that is not the one due is the
// caller's decision.
package sequence

import "fmt"

// Position is where an item stands in its answer.
type Position uint8

const (
	// Due is the item that follows the one before.
	Due Position = iota
	// Repeated is an item with the number of one before.
	Repeated
	// Gap is an item before which others are missing.
	Gap
	// AfterEnd is an item that comes after the end.
	AfterEnd
)

// String returns the position's name.
func (p Position) String() string {
	return [...]string{"due", "repeated", "gap", "after-end"}[p]
}

// Checker checks the items of one answer. The zero value expects item 0 first.
type Checker struct {
	due   uint64
	open  bool
	ended bool
}

// StartingAt returns a checker of an answer whose first item has a number.
func StartingAt(first uint64) Checker { return Checker{due: first} }

// StartingAnywhere returns a checker of an answer whose first item may have any number.
func StartingAnywhere() Checker { return Checker{open: true} }

// Observe returns the position of the next item. Only an item that is due is counted.
func (c *Checker) Observe(number uint64) Position {
	switch {
	case c.ended:
		return AfterEnd
	case c.open:
		c.open, c.due = false, number
	case number < c.due:
		return Repeated
	case number > c.due:
		return Gap
	}
	c.due++
	return Due
}

// Due returns the number of the item that is due; it is unknown before the first one of an answer that
// may start anywhere.
func (c *Checker) Due() (number uint64, known bool) { return c.due, !c.open }

// End records the end of the answer, at which its sender states the number of the item that would
// follow. It returns an error if that is not the one that is due.
func (c *Checker) End(next uint64) error {
	if next != c.due || c.open {
		return fmt.Errorf("the answer ends before item %d, where %d is due", next, c.due)
	}
	c.ended = true
	return nil
}
