package steward

import (
	"context"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/internal/replica"
	"github.com/lovagereach/lovagereach/internal/wait"
	"github.com/lovagereach/lovagereach/internal/wire"
	"github.com/lovagereach/lovagereach/quorum"
)

const (
	// leaveTimeout bounds the replacement of a host that stops. It is followed by stopTimeout.
	leaveTimeout = 3 * time.Second
	// leaveEvery is the interval at which a host that stops asks whether it has been replaced.
	leaveEvery = 50 * time.Millisecond
	// leaveCallTimeout bounds one request to the leader.
	leaveCallTimeout = 500 * time.Millisecond
)

// leave lets a learner that follows the log take this host's place in the group. Once this process
// has ended, its vote could only be lost: until the leader replaces it, the loss of one more host
// would leave the group without a quorum. Without such a learner the host keeps its vote.
func (s *Steward) leave(ctx context.Context) {
	s.stopping.Store(true)
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	for !s.leaveOnce(ctx) {
		if !wait.For(ctx, leaveEvery) {
			s.options.Log.Warn("stopped without a replacement in the group", "after", time.Since(began))
			return
		}
	}
	s.options.Log.Info("group left", "took", time.Since(began))
}

// leaveOnce reports whether the group needs nothing more of this host.
func (s *Steward) leaveOnce(ctx context.Context) bool {
	r := s.replica()
	if r == nil {
		return true
	}
	status := r.Status()
	self := s.options.Self
	voter, learner := slices.Contains(status.Voters, self), slices.Contains(status.Learners, self)
	if !voter && !learner {
		return true
	}
	if voter && len(status.Learners) == 0 && len(status.Voters) <= s.options.voters() {
		return true
	}
	switch {
	case s.leading.Load() != nil:
		return s.leaveAsLeader(ctx)
	case status.Leader != "" && status.Leader != self:
		return s.askToLeave(ctx, status.Leader)
	}
	return false
}

// leaveAsLeader passes the leadership on once a learner has become a voter: a leader can't remove
// itself.
func (s *Steward) leaveAsLeader(ctx context.Context) bool {
	now, self := time.Now(), s.options.Self
	s.leaving.add(self, now)
	detail, err := s.manager.QuorumStatus(group)
	if err != nil {
		return false
	}
	leaving := s.leaving.waiting(now)
	if !neededIn(detail, self, leaving, s.options.voters()) {
		return true
	}
	if len(detail.Members.Voters) > s.options.voters() {
		if err := s.manager.TransferLeader(ctx, group, nextLeader(detail, leaving)); err != nil {
			s.options.Log.Warn("leadership transfer failed", "cause", err)
		}
	}
	return false
}

// askToLeave reports whether the leader needs nothing more of this host.
func (s *Steward) askToLeave(ctx context.Context, leader ident.Host) bool {
	ctx, cancel := context.WithTimeout(ctx, leaveCallTimeout)
	defer cancel()
	raw, err := s.transport.Call(ctx, s.peerAddress(leader), methodLeave, wire.MustMarshal(leaveRequest{}))
	if err != nil {
		return false
	}
	var answer leaveAnswer
	return wire.Unmarshal(raw, &answer) == nil && answer.Left
}

func (s *Steward) handleLeave(_ context.Context, from port.Peer, _ port.Method, body []byte) ([]byte, error) {
	var request leaveRequest
	if err := wire.Unmarshal(body, &request); err != nil {
		return nil, eris.Wrap(err, "steward: leave")
	}
	if from.Role != replica.RoleControl {
		return nil, eris.Errorf("steward: leave: %q has role %q", from.Host, from.Role)
	}
	if s.leading.Load() == nil {
		return wire.MustMarshal(leaveAnswer{}), nil
	}
	now := time.Now()
	s.joining.remove(from.Host)
	s.leaving.add(from.Host, now)
	detail, err := s.manager.QuorumStatus(group)
	if err != nil {
		return nil, err
	}
	left := detail.Role == quorum.RoleLeader && !neededIn(detail, from.Host, s.leaving.waiting(now), s.options.voters())
	return wire.MustMarshal(leaveAnswer{Left: left}), nil
}

// neededIn reports whether the group must change before a host that leaves may stop.
func neededIn(detail quorum.Status, host ident.Host, leaving []ident.Host, size int) bool {
	if slices.Contains(hostsOf(detail.Members.Learners), host) {
		return true
	}
	if !slices.Contains(hostsOf(detail.Members.Voters), host) {
		return false
	}
	return len(detail.Members.Voters) > size || slices.ContainsFunc(detail.Peers, func(p quorum.PeerStatus) bool {
		return !p.Voter && p.Active && p.PresentedDisk == 0 && !slices.Contains(leaving, p.Member.Host)
	})
}

// nextLeader returns a voter that stays, or "" for any.
func nextLeader(detail quorum.Status, leaving []ident.Host) ident.Host {
	for _, p := range detail.Peers {
		if p.Voter && p.Active && p.PresentedDisk == 0 && !p.Revoked && !slices.Contains(leaving, p.Member.Host) {
			return p.Member.Host
		}
	}
	return ""
}
