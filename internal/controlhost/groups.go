package controlhost

import (
	"context"
	"errors"
	"time"

	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/internal/replica"
	"github.com/lovagereach/lovagereach/internal/wait"
)

const (
	// formRetry is how often a group is tried again that can't form yet.
	formRetry = 250 * time.Millisecond
	// formLogEvery is how often the reason is logged.
	formLogEvery = 5 * time.Second
	formTimeout  = 5 * time.Second
)

// openGroups opens every group that the data folder holds, and forms the
// others where this host is the first of the control hosts. It returns when
// all are open.
func (h *Host) openGroups(ctx context.Context) error {
	for _, id := range h.options.groups() {
		opened, err := h.openStored(id)
		if err != nil {
			return err
		}
		if opened {
			continue
		}
		if err := h.form(ctx, id); err != nil {
			return err
		}
	}
	return nil
}

// openStored opens a group unless it is this host's part to form it.
func (h *Host) openStored(id port.GroupID) (bool, error) {
	_, _, stored, err := h.folder.Load(id)
	if err != nil {
		return false, err
	}
	if !stored && h.options.hosts()[0] == h.options.Host {
		return false, nil
	}
	return true, h.open(id)
}

func (h *Host) open(id port.GroupID) error {
	opened, err := h.manager.Open(id, h.machine(id))
	if err != nil {
		return err
	}
	h.replicas[id].set(opened)
	return nil
}

// form creates a group once every control host answers that it doesn't know
// it. When one does know it, this host's disk was wiped: it then waits to be
// taken in again as a learner.
func (h *Host) form(ctx context.Context, id port.GroupID) error {
	var logged time.Time
	for {
		attempt, cancel := context.WithTimeout(ctx, formTimeout)
		formed, err := h.manager.Bootstrap(attempt, id, h.machine(id), h.options.hosts())
		cancel()
		if err == nil {
			h.replicas[id].set(formed)
			h.options.Log.Info("group formed", "group", uint32(id))
			return nil
		}
		if errors.Is(err, replica.ErrGroupExists) {
			h.options.Log.Warn("group exists already without this host's disk", "group", uint32(id),
				"hint", "lovagectl members replace "+string(h.options.Host))
			return h.open(id)
		}
		if time.Since(logged) > formLogEvery {
			logged = time.Now()
			h.options.Log.Info("group not formed yet", "group", uint32(id), "cause", err)
		}
		if !wait.For(ctx, formRetry) {
			return ctx.Err()
		}
	}
}

// completeFormation makes the other control hosts voters of groups whose only
// voter is this host, as right after forming them. Members that an operator
// removed later stay out: the group has more voters by then.
func (h *Host) completeFormation(ctx context.Context) {
	for _, id := range h.options.groups() {
		for h.isAlone(id) && ctx.Err() == nil {
			attempt, cancel := context.WithTimeout(ctx, formTimeout)
			err := h.manager.Join(attempt, id, h.options.hosts())
			cancel()
			if err == nil {
				break
			}
			h.options.Log.Debug("members not joined yet", "group", uint32(id), "cause", err)
			wait.For(ctx, formRetry)
		}
	}
}

func (h *Host) isAlone(id port.GroupID) bool {
	if len(h.options.ControlAddresses) == 1 {
		return false
	}
	voters := h.replicas[id].Status().Voters
	return len(voters) == 1 && voters[0] == h.options.Host
}
