package steward

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/lovagereach/lovagereach/catalog"
	"github.com/lovagereach/lovagereach/internal/wait"
)

const (
	// inForceWait bounds the wait for the entries. An operator's call turns to another control
	// host after a second, and proposeTimeout bounds it between hosts.
	inForceWait = 600 * time.Millisecond
	// inForcePoll is the polling interval of the entries' state during the wait.
	inForcePoll = 10 * time.Millisecond
)

// awaitInForce waits until no entry that watches the group is behind an operator's change. An
// entry that has stopped watching counts for watcherTTL. The entries that a new leader has from
// its predecessor count for as long: it waits until those that are still running have called.
func (l *leadership) awaitInForce(ctx context.Context, behind func(*EntryView) bool) error {
	return l.awaitNone(ctx, func(now time.Time) int { return l.watchers.countIf(behind, now) })
}

// awaitNone is awaitInForce with a function that returns the number of hosts that are behind.
func (l *leadership) awaitNone(ctx context.Context, behind func(now time.Time) int) error {
	for end := time.Now().Add(inForceWait); ; {
		now := time.Now()
		late := behind(now)
		called := now.Sub(l.since) >= watcherTTL
		switch {
		case late == 0 && called:
			return nil
		case !now.Before(end) || !wait.For(ctx, inForcePoll):
			return eris.Wrapf(ErrUnavailable, "not in force yet at %d hosts; send the order again", late)
		}
	}
}

// awaitDocument waits until a configuration, or a later one, is in force. An entry that has none
// and is sent none serves nothing, and isn't waited for. A relay with an older one may be sending
// it to entries of which this host doesn't know yet.
func (l *leadership) awaitDocument(ctx context.Context, version catalog.Version) error {
	older := func(v *EntryView) bool { return v.Document != 0 && v.Document < version }
	return l.awaitNone(ctx, func(now time.Time) int {
		return l.watchers.countIf(older, now) + l.watchers.relaysBefore(version, now)
	})
}
