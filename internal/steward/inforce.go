package steward

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/lovagereach/lovagereach/catalog"
	"github.com/lovagereach/lovagereach/internal/wait"
)

const (
	// inForceWait bounds the wait for the entries. An operator's call turns to
	// another control host after a second, and proposeTimeout bounds it between hosts.
	inForceWait = 600 * time.Millisecond
	// inForcePoll is how often the entries are looked at meanwhile.
	inForcePoll = 10 * time.Millisecond
)

// awaitInForce waits until no entry that asks for news is behind with what an operator
// wants. An entry that has stopped asking counts for watcherKept. What a new
// leader was told of the entries by the one before counts for as long: it waits until
// those that are left have called.
func (l *leadership) awaitInForce(ctx context.Context, behind func(*EntryView) bool) error {
	for end := time.Now().Add(inForceWait); ; {
		now := time.Now()
		late := l.watchers.countIf(behind, now)
		called := now.Sub(l.since) >= watcherKept
		switch {
		case late == 0 && called:
			return nil
		case !now.Before(end) || !wait.For(ctx, inForcePoll):
			return eris.Wrapf(ErrUnavailable, "not in force yet at %d entries; send the order again", late)
		}
	}
}

// awaitDocument waits until a configuration, or a later one, is in force. An entry
// without any serves nothing by an older one.
func (l *leadership) awaitDocument(ctx context.Context, version catalog.Version) error {
	return l.awaitInForce(ctx, func(v *EntryView) bool { return v.Document != 0 && v.Document < version })
}
