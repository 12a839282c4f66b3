package replica

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/quorum"
)

// transfer is one request to transfer leadership.
type transfer struct {
	to       ident.Host
	deadline time.Time
	result   chan error
}

// TransferLeader transfers the leadership of a group to a voter, or to the most
// caught-up one if to is empty. It returns once this host is no longer the leader,
// immediately if it is not the leader.
func (m *Manager) TransferLeader(ctx context.Context, id groupID, to ident.Host) error {
	g, err := m.find(id)
	if err != nil {
		return err
	}
	ctx, cancel := m.withDefaultTimeout(ctx)
	defer cancel()
	t := &transfer{to: to, result: make(chan error, 1)}
	if !g.worker.inbox.offer(event{group: g, transfer: t}) {
		return ErrBusy
	}
	select {
	case err := <-t.result:
		return err
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "replica: leadership transfer")
	case <-m.done:
		return ErrStopped
	}
}

func (g *group) startTransfer(now time.Time, t *transfer) {
	status := g.node.Status()
	if status.Role != quorum.RoleLeader {
		t.result <- nil
		return
	}
	if err := g.node.TransferLeader(now, t.to); err != nil {
		t.result <- err
		return
	}
	t.deadline = now.Add(2 * g.manager.options.Quorum.ElectionMax)
	g.transfers = append(g.transfers, t)
}

// resolveTransfers completes the transfers that succeeded or timed out.
func (g *group) resolveTransfers(now time.Time) {
	if len(g.transfers) == 0 {
		return
	}
	leads := g.node.Status().Role == quorum.RoleLeader
	kept := g.transfers[:0]
	for _, t := range g.transfers {
		switch {
		case !leads:
			t.result <- nil
		case now.After(t.deadline):
			t.result <- eris.New("replica: no other voter became the leader in time")
		default:
			kept = append(kept, t)
		}
	}
	g.transfers = kept
}
