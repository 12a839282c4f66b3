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
	for end := time.Now().Add(inForceWait); ; {
		now := time.Now()
		late := l.watchers.countIf(behind, now)
		called := now.Sub(l.since) >= watcherTTL
		switch {
		case late == 0 && called:
			return nil
		case !now.Before(end) || !wait.For(ctx, inForcePoll):
			return eris.Wrapf(ErrUnavailable, "not in force yet at %d entries; send the order again", late)
		}
	}
}

// awaitDocument waits until a configuration, or a later one, is in force. An entry without a
// configuration serves nothing by an older one, and isn't waited for.
func (l *leadership) awaitDocument(ctx context.Context, version catalog.Version) error {
	return l.awaitInForce(ctx, func(v *EntryView) bool { return v.Document != 0 && v.Document < version })
}
