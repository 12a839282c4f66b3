package relay

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/member"
)

const (
	// maxUnanswered is how many renewals in a row may stay without an answer
	// before the child turns to another parent. Two leave it half a lease to
	// find one.
	maxUnanswered = 2
	// maxSwitchDelay bounds the wait between parents when none grants a lease.
	maxSwitchDelay = 4 * time.Second
)

// Link decides when a child renews and with which parent. It is not safe for
// concurrent use.
type Link struct {
	parents    []string
	at         int
	next       time.Time
	unanswered int
	// switches counts the parents tried since the last lease.
	switches int
}

// NewLink returns a link over the addresses of the parents that settings name.
// Each host tries them in an order of its own, so that the children of a lost
// parent spread over all others. phase delays the first renewal.
func NewLink(host ident.Host, parents []string, now time.Time, phase time.Duration) *Link {
	return &Link{parents: Order(host, parents), next: now.Add(phase)}
}

// Order sorts parents by a hash of host and address (rendezvous hashing).
func Order(host ident.Host, parents []string) []string {
	sorted := slices.Clone(parents)
	score := func(address string) uint64 {
		return xxhash.Sum64String(string(host) + "\x00" + address)
	}
	slices.SortFunc(sorted, func(a, b string) int {
		return cmp.Or(cmp.Compare(score(a), score(b)), cmp.Compare(a, b))
	})
	return sorted
}

// Parent returns the address to send to, empty when there is none.
func (l *Link) Parent() string {
	if len(l.parents) == 0 {
		return ""
	}
	return l.parents[l.at]
}

// Next returns when the next renewal is due.
func (l *Link) Next() time.Time { return l.next }

// Send is called when Next has come and a renewal is about to be sent. It
// returns the parent to send to, and whether the child must Attach before,
// because the last parent did not answer.
func (l *Link) Send(now time.Time) (parent string, attach bool) {
	if l.unanswered >= maxUnanswered {
		l.change(now)
		attach = true
	}
	l.unanswered++
	l.next = later(l.next, now.Add(RenewEvery))
	return l.Parent(), attach
}

// Answered takes in what an answer to a renewal led to. It reports whether the
// child must Attach before the next renewal.
func (l *Link) Answered(now time.Time, answer Renewed, effect Effect) (attach bool) {
	l.unanswered = 0
	if answer.Refused == "" {
		l.switches = 0
	}
	switch {
	case answer.Verdict == member.VerdictFull, answer.Refused == RefusedNoLease:
		// A full parent has no place; one without a lease lives but has lost
		// its own parent, and another may not have.
		l.change(now)
		return true
	case effect.Reattach:
		l.next = now
		return true
	case answer.Verdict == member.VerdictUnknown, effect.Behind:
		l.next = now
	}
	return false
}

// Moved is called when a push moved the child forward. A child without a lease
// was probably refused for being behind and renews at once.
func (l *Link) Moved(now time.Time, serving bool) {
	if !serving {
		l.next = now
	}
}

// Behind asks for a renewal at once: a push showed that something is missing.
func (l *Link) Behind(now time.Time) { l.next = now }

// change turns to the next parent. The first change costs no time; after it
// the wait doubles, so that processes cut off from every parent don't send to
// all of them all the time.
func (l *Link) change(now time.Time) {
	l.unanswered = 0
	if len(l.parents) > 0 {
		l.at = (l.at + 1) % len(l.parents)
	}
	l.next = now.Add(switchDelay(l.switches))
	l.switches++
}

func switchDelay(switches int) time.Duration {
	if switches == 0 {
		return 0
	}
	delay := RenewEvery
	for range switches - 1 {
		if delay *= 2; delay >= maxSwitchDelay {
			return maxSwitchDelay
		}
	}
	return delay
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
