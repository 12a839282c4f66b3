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
	// maxUnanswered is how many consecutive renewals may remain unanswered before the
	// child switches to another parent. After two, half a lease remains to find one.
	maxUnanswered = 2
	// maxSwitchDelay is the maximum delay between parents while none grants a lease.
	maxSwitchDelay = 4 * time.Second
)

// Link determines when a child renews and with which parent. It is not safe for concurrent
// use.
type Link struct {
	parents    []string
	current    int
	next       time.Time
	unanswered int
	// switches is the number of switches to another parent since the last lease.
	switches int
}

// NewLink returns a link to the parents with the configured addresses. Each host tries them in
// its own order, so that the children of a lost parent spread over all others. phase is the
// delay of the first renewal.
func NewLink(host ident.Host, parents []string, now time.Time, phase time.Duration) *Link {
	return &Link{parents: Order(host, parents), next: now.Add(phase)}
}

// Order returns the parents sorted by a hash of host and address (rendezvous hashing).
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

// Parent returns the current parent's address, empty if none is configured.
func (l *Link) Parent() string {
	if len(l.parents) == 0 {
		return ""
	}
	return l.parents[l.current]
}

// Next returns when the next renewal is due.
func (l *Link) Next() time.Time { return l.next }

// Send must be called before a renewal is sent, once the time Next is reached. It returns the
// parent to send to. attach is true if the last parent did not answer: the child must then
// Attach before it renews.
func (l *Link) Send(now time.Time) (parent string, attach bool) {
	if l.unanswered >= maxUnanswered {
		l.switchParent(now)
		attach = true
	}
	l.unanswered++
	l.next = later(l.next, now.Add(RenewEvery))
	return l.Parent(), attach
}

// Answered processes the answer to a renewal and its effect. It reports whether the child must
// Attach before the next renewal.
func (l *Link) Answered(now time.Time, answer Renewed, effect Effect) (attach bool) {
	l.unanswered = 0
	if answer.Refused == "" {
		l.switches = 0
	}
	switch {
	case answer.Verdict == member.VerdictFull, answer.Refused == RefusedNoLease:
		// A full parent accepts no more children. A parent without a lease runs but has
		// lost its own parent; another one may have a lease.
		l.switchParent(now)
		return true
	case effect.Reattach:
		l.next = now
		return true
	case answer.Verdict == member.VerdictUnknown, effect.Behind:
		l.next = now
	}
	return false
}

// ConfigChanged must be called when a push advanced the child's configuration. A child without a
// lease was probably refused for an old revision and renews immediately.
func (l *Link) ConfigChanged(now time.Time, serving bool) {
	if !serving {
		l.next = now
	}
}

// RenewNow schedules an immediate renewal, because a push showed that an update is missing.
func (l *Link) RenewNow(now time.Time) { l.next = now }

// switchParent switches to the next parent. The first switch has no delay; the delay of
// later ones doubles, so that processes without a connection to any parent don't send to all
// of them continuously.
func (l *Link) switchParent(now time.Time) {
	l.unanswered = 0
	if len(l.parents) > 0 {
		l.current = (l.current + 1) % len(l.parents)
	}
	l.next = now.Add(switchDelay(l.switches))
	l.switches++
}

// switchDelay returns the delay before the next renewal after a number of earlier switches.
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
