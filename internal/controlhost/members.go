package controlhost

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/adapter/operators/api"
	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/internal/wire"
)

// methodMembers forwards a membership change of one group to the control host that
// leads it.
const methodMembers port.Method = "control/members"

type memberChange struct {
	Group  port.GroupID     `cbor:"1,keyasint"`
	Action api.MemberAction `cbor:"2,keyasint"`
	Host   ident.Host       `cbor:"3,keyasint"`
}

type memberChangeResult struct {
	// Refused is the reason why the change was refused, empty otherwise.
	Refused string `cbor:"1,keyasint,omitempty"`
	// NotLeader is set if the host does not lead the group.
	NotLeader bool `cbor:"2,keyasint,omitempty"`
}

// membership implements operators.Membership for all groups of the host.
type membership struct{ host *Host }

// Members returns the members of the configuration group, voters first.
func (m membership) Members(context.Context) ([]api.Member, error) {
	status := m.host.replicas[port.GroupConfig].Status()
	var list []api.Member
	for _, host := range status.Voters {
		list = append(list, m.member(host, "voter", status.Leader))
	}
	for _, host := range status.Learners {
		list = append(list, m.member(host, "learner", status.Leader))
	}
	return list, nil
}

func (m membership) member(host ident.Host, role string, leader ident.Host) api.Member {
	return api.Member{Host: host, Address: m.host.options.ControlAddresses[host], Role: role, Leader: host == leader}
}

// Change makes a membership change in every group, one after the other. Groups that
// have it already are skipped, so that a change that failed midway can be repeated.
func (m membership) Change(ctx context.Context, request api.MemberRequest) error {
	if err := m.check(request); err != nil {
		return err
	}
	for _, id := range m.host.options.groups() {
		change := memberChange{Group: id, Action: request.Action, Host: request.Host}
		if err := m.changeGroup(ctx, change); err != nil {
			return eris.Wrapf(err, "group %d", id)
		}
	}
	return nil
}

func (m membership) check(request api.MemberRequest) error {
	known := []api.MemberAction{api.ActionAddLearner, api.ActionPromote, api.ActionRemove, api.ActionReplace}
	if !slices.Contains(known, request.Action) {
		return &api.Error{Code: api.CodeBadRequest, Message: fmt.Sprintf("action: %q is not known", request.Action), Next: "see lovagectl members -help"}
	}
	if request.Action != api.ActionRemove && m.host.options.ControlAddresses[request.Host] == "" {
		return &api.Error{
			Code:    api.CodeRefused,
			Message: fmt.Sprintf("the settings give no address of control host %q", request.Host),
			Next:    "add the host to control in the settings of every control host, restart them one at a time, and try again",
		}
	}
	return nil
}

// changeGroup makes a change on this host if it leads the group, otherwise on the
// leader.
func (m membership) changeGroup(ctx context.Context, change memberChange) error {
	status := m.host.replicas[change.Group].Status()
	if status.IsLeader {
		return m.host.changeLocally(ctx, change)
	}
	address := m.host.options.ControlAddresses[status.Leader]
	if address == "" {
		return &port.NotLeaderError{Leader: status.Leader}
	}
	body, err := m.host.transport.Call(ctx, address, methodMembers, wire.MustMarshal(change))
	if err != nil {
		return err
	}
	var result memberChangeResult
	if err := wire.Unmarshal(body, &result); err != nil {
		return eris.Wrap(err, "decode answer")
	}
	if result.NotLeader {
		return &port.NotLeaderError{}
	}
	if result.Refused != "" {
		return &api.Error{Code: api.CodeRefused, Message: result.Refused, Next: "look at lovagectl members and try again"}
	}
	return nil
}

// changeLocally makes a change in a group that this host leads, unless the group has
// it already.
func (h *Host) changeLocally(ctx context.Context, change memberChange) error {
	status := h.replicas[change.Group].Status()
	if !status.IsLeader {
		return &port.NotLeaderError{Leader: status.Leader}
	}
	voter := slices.Contains(status.Voters, change.Host)
	learner := slices.Contains(status.Learners, change.Host)
	switch {
	case change.Action == api.ActionAddLearner && !voter && !learner:
		return h.manager.AddLearner(ctx, change.Group, change.Host)
	case change.Action == api.ActionPromote && !voter:
		return h.manager.Promote(ctx, change.Group, change.Host)
	case change.Action == api.ActionRemove && (voter || learner):
		return h.manager.Remove(ctx, change.Group, change.Host)
	case change.Action == api.ActionReplace:
		return h.manager.Join(ctx, change.Group, []ident.Host{change.Host})
	default:
		return nil
	}
}

// handleMembers handles changes forwarded by other control hosts.
func (h *Host) handleMembers(ctx context.Context, from port.Peer, _ port.Method, body []byte) ([]byte, error) {
	if from.Role != roleControl {
		return nil, eris.Errorf("control/members: role %q may not change members", from.Role)
	}
	var change memberChange
	if err := wire.Unmarshal(body, &change); err != nil {
		return nil, eris.Wrap(err, "control/members")
	}
	if _, known := h.replicas[change.Group]; !known {
		return wire.Marshal(memberChangeResult{Refused: fmt.Sprintf("no group %d on this host", change.Group)})
	}
	var result memberChangeResult
	err := h.changeLocally(ctx, change)
	var notLeader *port.NotLeaderError
	switch {
	case errors.As(err, &notLeader):
		result.NotLeader = true
	case err != nil:
		result.Refused = err.Error()
	}
	return wire.Marshal(result)
}
