package replicate

import "time"

const (
	// burst is the time over which an entry may save up its share of the rate of copies: at the
	// usual share of a few Mbit/s it is enough for one large part.
	burst = 10 * time.Second
	// keptForReturning is the share of the saved-up rate that is kept for parts that return soon.
	keptForReturning = 0.5
)

// Budget bounds the copies that one entry makes. It is a token bucket in bytes.
type Budget struct {
	level float64
	at    time.Time
}

// Decision is whether a copy is made.
type Decision uint8

// Decisions about copies.
const (
	// Copy: it is made.
	Copy Decision = iota
	// NoBudget: it exceeds the rate of copies.
	NoBudget
	// NoRoom: no store has room to spare.
	NoRoom
)

// Take takes the bytes of a copy from an entry's share of the rate, in bytes a second. A part that
// returned soon after its last request may use all of it, any other only a part: what is asked for
// again and again costs most when it is lost.
func (b *Budget) Take(bytes int, bytesPerS float64, returned bool, now time.Time) Decision {
	most := bytesPerS * burst.Seconds()
	if b.at.IsZero() {
		b.level = most
	} else if elapsed := now.Sub(b.at); elapsed > 0 {
		b.level = min(b.level+bytesPerS*elapsed.Seconds(), most)
	}
	b.at = now
	left := b.level - float64(bytes)
	if left < 0 || !returned && left < keptForReturning*most {
		return NoBudget
	}
	b.level = left
	return Copy
}
