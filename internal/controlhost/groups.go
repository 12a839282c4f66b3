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
	// formRetry is the interval between attempts to form a group or to join its
	// members.
	formRetry = 250 * time.Millisecond
	// formLogEvery is the interval at which the reason for failed attempts is logged.
	formLogEvery = 5 * time.Second
	// formTimeout is the timeout of one attempt.
	formTimeout = 5 * time.Second
)

// openGroups opens all groups. The first control host by name forms the groups that
// its data folder doesn't hold. It returns once all groups are open.
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

// openStored opens a group and returns true, or returns false if this host has to
// form it first.
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

// form creates a group once every control host has responded that it is not a
// member of it. If one is a member, this host's disk was wiped: the group is then
// opened without a vote and waits to be added again as a learner.
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

// completeFormation makes the other control hosts voters of groups whose only voter
// is this host, which is the state directly after forming them. Members that an
// operator removed later are not added again, because the group has more than one
// voter by then.
func (h *Host) completeFormation(ctx context.Context) {
	for _, id := range h.options.groups() {
		for h.isOnlyVoter(id) && ctx.Err() == nil {
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

func (h *Host) isOnlyVoter(id port.GroupID) bool {
	if len(h.options.ControlAddresses) == 1 {
		return false
	}
	voters := h.replicas[id].Status().Voters
	return len(voters) == 1 && voters[0] == h.options.Host
}
