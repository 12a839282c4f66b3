package replica

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/adapter/disk"
	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/internal/wire"
	"github.com/lovagereach/lovagereach/quorum"
)

// promotePoll is the interval between attempts to commit a membership change,
// for example a promotion while the learner catches up.
const promotePoll = 20 * time.Millisecond

type identifyRequest struct {
	Group groupID `cbor:"1,keyasint"`
}

type identifyResponse struct {
	Disk quorum.DiskID `cbor:"1,keyasint"`
	// Member is set if the host has a stored membership of the group.
	Member bool `cbor:"2,keyasint,omitempty"`
}

func (m *Manager) handleIdentify(_ context.Context, from port.Peer, _ port.Method, body []byte) ([]byte, error) {
	if err := checkRole(from); err != nil {
		return nil, err
	}
	var request identifyRequest
	if err := wire.Unmarshal(body, &request); err != nil {
		return nil, eris.Wrap(err, "replica: identify")
	}
	g, err := m.find(request.Group)
	if err != nil {
		return nil, err
	}
	status := g.worker.status(g)
	return wire.Marshal(identifyResponse{Disk: status.Disk, Member: len(status.Members.Voters) > 0})
}

func (m *Manager) identify(ctx context.Context, id groupID, host ident.Host) (identifyResponse, error) {
	var response identifyResponse
	address := m.options.Address(host)
	if address == "" {
		return response, eris.Errorf("replica: no address of host %q", host)
	}
	ctx, cancel := m.withDefaultTimeout(ctx)
	defer cancel()
	body, err := m.options.Peers.Call(ctx, address, MethodIdentify, wire.MustMarshal(identifyRequest{Group: id}))
	if err != nil {
		return response, eris.Wrapf(err, "replica: identify host %q", host)
	}
	return response, eris.Wrap(wire.Unmarshal(body, &response), "replica: identify")
}

// Bootstrap creates a group whose only voter is this host and opens it. It first
// queries all hosts of the future group and fails if one does not respond or is a
// member already: a host whose disk was wiped must not bootstrap the group a
// second time. Only the first of hosts by name may bootstrap, so that two hosts
// can't do it concurrently.
func (m *Manager) Bootstrap(ctx context.Context, id groupID, machine port.StateMachine, hosts []ident.Host) (port.Replica, error) {
	if first := slices.Min(append(slices.Clone(hosts), m.options.Self)); first != m.options.Self {
		return nil, eris.Errorf("replica: group %d is formed by host %q", id, first)
	}
	if _, _, ok, err := m.options.Storage.Load(id); err != nil || ok {
		return nil, errors.Join(ErrGroupExists, err)
	}
	for _, host := range hosts {
		if host == m.options.Self {
			continue
		}
		response, err := m.identify(ctx, id, host)
		if err != nil {
			return nil, err
		}
		if response.Member {
			return nil, eris.Wrapf(ErrGroupExists, "host %q is a member", host)
		}
	}
	self := quorum.Member{Host: m.options.Self, Disk: newDiskID()}
	stored := quorum.Bootstrap(quorum.Membership{Voters: []quorum.Member{self}}, m.options.Self)
	update := disk.Update{
		Group:    id,
		Hard:     &stored.HardState,
		Snapshot: &quorum.Snapshot{Meta: stored.Snapshot},
	}
	if err := m.options.Storage.Save(update); err != nil {
		return nil, err
	}
	return m.start(id, machine, stored, nil)
}

// AddLearner makes host a learner of a group that this host leads.
func (m *Manager) AddLearner(ctx context.Context, id groupID, host ident.Host) error {
	response, err := m.identify(ctx, id, host)
	if err != nil {
		return err
	}
	return m.change(ctx, id, quorum.MemberChange{Kind: quorum.AddLearner, Host: host, Disk: response.Disk})
}

// Promote makes a learner a voter. It retries until the learner has caught up or
// ctx ends.
func (m *Manager) Promote(ctx context.Context, id groupID, host ident.Host) error {
	return m.change(ctx, id, quorum.MemberChange{Kind: quorum.Promote, Host: host})
}

// Remove removes a host from a group.
func (m *Manager) Remove(ctx context.Context, id groupID, host ident.Host) error {
	return m.change(ctx, id, quorum.MemberChange{Kind: quorum.Remove, Host: host})
}

// Join makes hosts voters, one after the other. Hosts that are voters with their
// current disk are skipped; a host whose disk was replaced is removed first and
// added again as a learner. A host that fails to join does not stop the others;
// the errors are joined.
func (m *Manager) Join(ctx context.Context, id groupID, hosts []ident.Host) error {
	var failed []error
	for _, host := range hosts {
		if host == m.options.Self {
			continue
		}
		if err := m.join(ctx, id, host); err != nil {
			failed = append(failed, err)
		}
	}
	return errors.Join(failed...)
}

func (m *Manager) join(ctx context.Context, id groupID, host ident.Host) error {
	g, err := m.find(id)
	if err != nil {
		return err
	}
	response, err := m.identify(ctx, id, host)
	if err != nil {
		return err
	}
	members := g.worker.status(g).Members
	voter, isVoter := diskOf(members.Voters, host)
	learner, isLearner := diskOf(members.Learners, host)
	if isVoter && voter == response.Disk {
		return nil
	}
	if (isVoter && voter != response.Disk) || (isLearner && learner != response.Disk) {
		if err := m.Remove(ctx, id, host); err != nil {
			return err
		}
		isLearner = false
	}
	if !isLearner {
		change := quorum.MemberChange{Kind: quorum.AddLearner, Host: host, Disk: response.Disk}
		if err := m.change(ctx, id, change); err != nil {
			return err
		}
	}
	return m.Promote(ctx, id, host)
}

func diskOf(members []quorum.Member, host ident.Host) (quorum.DiskID, bool) {
	for _, member := range members {
		if member.Host == host {
			return member.Disk, true
		}
	}
	return 0, false
}

// change commits a membership change. It retries while an earlier change is
// pending, the learner is behind, the group has no leader or a queue is full.
func (m *Manager) change(ctx context.Context, id groupID, change quorum.MemberChange) error {
	g, err := m.find(id)
	if err != nil {
		return err
	}
	ctx, cancel := m.withDefaultTimeout(ctx)
	defer cancel()
	for {
		_, err := g.submit(ctx, newProposal(nil, &change))
		if !retryChange(err) {
			return err
		}
		select {
		case <-time.After(promotePoll):
		case <-ctx.Done():
			return err
		}
	}
}

func retryChange(err error) bool {
	var notLeader *port.NotLeaderError
	if errors.As(err, &notLeader) {
		var suspended *SuspendedError
		return notLeader.Leader == "" && !errors.As(err, &suspended)
	}
	var behind *quorum.NotCaughtUpError
	return errors.As(err, &behind) || errors.Is(err, quorum.ErrChangePending) || errors.Is(err, ErrBusy)
}
