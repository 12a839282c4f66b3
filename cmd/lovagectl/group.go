package main

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/adapter/operators/api"
	"github.com/lovagereach/lovagereach/internal/adapter/operators/apiclient"
	"github.com/lovagereach/lovagereach/internal/control"
)

// hostTimeout bounds the wait for one control host's status, so that a host that is
// down leaves time to query the others.
const hostTimeout = 3 * time.Second

// hostStatus is one control host's status, or the error of the query.
type hostStatus struct {
	Server string          `json:"server"`
	Status *control.Status `json:"status,omitempty"`
	Error  string          `json:"error,omitempty"`
}

func status(ctx context.Context, t *tool, _ []string) error {
	var list []hostStatus
	for _, server := range t.client.Servers() {
		list = append(list, t.statusOf(ctx, server))
	}
	return t.print(list, func(r *rows) { statusRows(r, list) })
}

func (t *tool) statusOf(ctx context.Context, server string) hostStatus {
	ctx, cancel := context.WithTimeout(ctx, hostTimeout)
	defer cancel()
	var answer control.Status
	if err := t.client.CallOne(ctx, server, apiclient.Request{Path: api.PathStatus, Into: &answer}); err != nil {
		return hostStatus{Server: server, Error: err.Error()}
	}
	return hostStatus{Server: server, Status: &answer}
}

func statusRows(r *rows, list []hostStatus) {
	r.add("SERVER", "HOST", "ROLE", "TERM", "COMMIT", "APPLIED", "REVISION", "REMARK")
	for _, host := range list {
		if host.Status == nil {
			r.add(host.Server, "-", "-", "-", "-", "-", "-", host.Error)
			continue
		}
		group := host.Status.Group
		r.add(host.Server, group.Self, roleOf(host.Status), group.Term, group.Commit, group.Applied, host.Status.Revision, group.Suspended)
	}
	for _, host := range list {
		if host.Status != nil && host.Status.Leading != nil {
			leaderRows(r, host.Status)
		}
	}
}

func roleOf(status *control.Status) string {
	group := status.Group
	switch {
	case group.IsLeader:
		return "leader"
	case slices.Contains(group.Learners, group.Self):
		return "learner"
	default:
		return "follower"
	}
}

func leaderRows(r *rows, status *control.Status) {
	r.add()
	r.add("epoch", status.Epoch.Token, "in force", status.Leading.InForce, "of", status.Revision)
	r.add("ENTRY", "INCARNATION", "REVISION", "LEASE")
	for _, entry := range status.Leading.Entries {
		r.add(entry.ID.Host, entry.ID.Incarnation, entry.Acked, entry.Remaining.Round(time.Millisecond))
	}
}

func members(ctx context.Context, t *tool, args []string) error {
	request, err := memberRequest(args)
	if err != nil {
		return err
	}
	call := apiclient.Request{Path: api.PathMembers, Repeatable: true}
	if request != nil {
		// Not repeatable: a repeated change could undo another operator's change
		// made in between.
		call = apiclient.Request{Method: http.MethodPost, Path: api.PathMembers, Body: request}
	}
	var answer api.MembersAnswer
	call.Into = &answer
	if err := t.client.Call(ctx, call); err != nil {
		return err
	}
	return t.print(answer, func(r *rows) {
		r.add("HOST", "ADDRESS", "ROLE", "LEADER")
		for _, member := range answer.Members {
			r.add(member.Host, member.Address, member.Role, member.Leader)
		}
	})
}

// memberRequest parses the arguments. It returns nil if the members are to be listed.
func memberRequest(args []string) (*api.MemberRequest, error) {
	if len(args) == 0 || args[0] == "list" {
		return nil, nil
	}
	action := api.MemberAction(args[0])
	switch action {
	case api.ActionAddLearner, api.ActionPromote, api.ActionRemove, api.ActionReplace:
	default:
		return nil, usageError("members: %q is none of list, add-learner, promote, remove, replace", args[0])
	}
	if len(args) != 2 {
		return nil, usageError("members %s takes the name of one host", action)
	}
	return &api.MemberRequest{Action: action, Host: ident.Host(args[1])}, nil
}
