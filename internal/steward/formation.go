package steward

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
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
	// formRetry is the interval between attempts to form the group. All hosts start within 0.3
	// s of each other.
	formRetry = 100 * time.Millisecond
	// formTimeout bounds one attempt.
	formTimeout = 2 * time.Second
	// joinEvery is the interval between the join requests of a host that is not a voter.
	joinEvery = 250 * time.Millisecond
	// memberRequestTTL is the time for which a request to join or to leave is valid.
	memberRequestTTL = 3 * time.Second
	// membersEvery is the interval at which the leader checks the membership.
	membersEvery = 150 * time.Millisecond
	// memberTimeout bounds one change of membership.
	memberTimeout = 3 * time.Second
	// maxLearners bounds the hosts that follow the log without a vote.
	maxLearners = 4
)

// open opens the group from disk. The first of the seeds forms it at the first start of the
// deployment; every other host with an empty disk waits until the group admits it.
func (s *Steward) open(ctx context.Context) error {
	_, _, stored, err := s.folder.Load(group)
	if err != nil {
		return err
	}
	o := &s.options
	forms := !stored && o.Bootstrap && len(o.Seeds) > 0 && slices.Min(o.Seeds) == o.Self
	var opened port.Replica
	if forms {
		opened, err = s.form(ctx)
	} else {
		opened, err = s.manager.Open(group, s.machine)
	}
	if err != nil {
		return err
	}
	s.opened.Store(&opened)
	o.Log.Info("group open", "stored", stored, "formed", forms, "incarnation", uint64(o.Incarnation))
	return nil
}

func (s *Steward) form(ctx context.Context) (port.Replica, error) {
	for {
		attempt, cancel := context.WithTimeout(ctx, formTimeout)
		formed, err := s.manager.Bootstrap(attempt, group, s.machine, s.options.Seeds)
		cancel()
		if err == nil {
			return formed, nil
		}
		if errors.Is(err, replica.ErrGroupExists) {
			// The others know the group: this host's disk was wiped, and forming again would
			// create a second group.
			return s.manager.Open(group, s.machine)
		}
		s.options.Log.Debug("group not formed yet", "cause", err)
		if !wait.For(ctx, formRetry) {
			return nil, ctx.Err()
		}
	}
}

// memberRequests holds the hosts that have requested to join, or to leave.
type memberRequests struct {
	mu          sync.Mutex
	requestedAt map[ident.Host]time.Time
}

func newMemberRequests() *memberRequests {
	return &memberRequests{requestedAt: make(map[ident.Host]time.Time)}
}

// maxMemberRequests bounds the hosts that may wait at a time.
const maxMemberRequests = 64

func (q *memberRequests) add(host ident.Host, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if _, known := q.requestedAt[host]; known || len(q.requestedAt) < maxMemberRequests {
		q.requestedAt[host] = now
	}
}

// waiting lists, in order, the hosts with a valid request, and drops the others.
func (q *memberRequests) waiting(now time.Time) []ident.Host {
	q.mu.Lock()
	defer q.mu.Unlock()
	maps.DeleteFunc(q.requestedAt, func(_ ident.Host, at time.Time) bool { return now.Sub(at) > memberRequestTTL })
	return slices.Sorted(maps.Keys(q.requestedAt))
}

func (q *memberRequests) remove(host ident.Host) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.requestedAt, host)
}

// requestJoin sends join requests while this host is no voter, or knows no leader: a host that
// was removed during an outage is not notified by the group.
func (s *Steward) requestJoin(ctx context.Context) {
	for wait.For(ctx, jitter(joinEvery)) {
		status := s.replica().Status()
		if s.stopping.Load() || slices.Contains(status.Voters, s.options.Self) && status.Leader != "" {
			continue
		}
		s.requestJoinOnce(ctx, status)
	}
}

func (s *Steward) requestJoinOnce(ctx context.Context, status port.ReplicaStatus) {
	ctx, cancel := context.WithTimeout(ctx, joinEvery)
	defer cancel()
	body := wire.MustMarshal(joinRequest{Host: string(s.options.Self)})
	queried := map[ident.Host]bool{s.options.Self: true}
	hosts := append(slices.Clone(*s.seeds.Load()), status.Voters...)
	for len(hosts) > 0 && ctx.Err() == nil {
		host := hosts[0]
		hosts = hosts[1:]
		if queried[host] {
			continue
		}
		queried[host] = true
		raw, err := s.transport.Call(ctx, s.peerAddress(host), methodJoin, body)
		if err != nil {
			continue
		}
		var answer joinAnswer
		if wire.Unmarshal(raw, &answer) != nil || answer.Leader == string(host) {
			return
		}
		if answer.Leader != "" {
			hosts = append([]ident.Host{ident.Host(answer.Leader)}, hosts...)
		}
	}
}

func (s *Steward) handleJoin(_ context.Context, _ port.Peer, _ port.Method, body []byte) ([]byte, error) {
	var request joinRequest
	if err := wire.Unmarshal(body, &request); err != nil {
		return nil, eris.Wrap(err, "steward: join")
	}
	if s.leading.Load() != nil {
		s.leaving.remove(ident.Host(request.Host))
		s.joining.add(ident.Host(request.Host), time.Now())
		return wire.MustMarshal(joinAnswer{Leader: string(s.options.Self)}), nil
	}
	answer := joinAnswer{}
	if r := s.replica(); r != nil {
		answer.Leader = string(r.Status().Leader)
	}
	return wire.MustMarshal(answer), nil
}

// members keeps the group at its size while this host leads.
type members struct {
	steward *Steward
	clock   listeningClock
	// silent holds the time since which a member is silent, by the listening clock.
	silent map[ident.Host]time.Time
}

func newMembers(s *Steward, clock listeningClock) *members {
	return &members{steward: s, clock: clock, silent: make(map[ident.Host]time.Time)}
}

func (m *members) run(ctx context.Context) {
	for wait.For(ctx, membersEvery) {
		if err := m.step(ctx, time.Now()); err != nil && ctx.Err() == nil {
			m.steward.options.Log.Info("membership not changed", "cause", err)
		}
	}
}

// step makes at most one change.
func (m *members) step(ctx context.Context, now time.Time) error {
	s := m.steward
	detail, err := s.manager.QuorumStatus(group)
	if err != nil || detail.Role != quorum.RoleLeader {
		return err
	}
	m.observe(detail, now)
	ctx, cancel := context.WithTimeout(ctx, memberTimeout)
	defer cancel()
	leaving := s.leaving.waiting(now)
	plan := planMembers(detail, memberChanges{
		joining: s.joining.waiting(now), leaving: leaving, lost: m.lost(leaving, now),
	}, s.options.voters())
	if plan.action == keepMembers {
		return nil
	}
	s.options.Log.Info("membership", "action", plan.action.String(), "host", plan.host,
		"voters", len(detail.Members.Voters), "learners", len(detail.Members.Learners))
	switch plan.action {
	case addVoter:
		err = s.manager.Join(ctx, group, []ident.Host{plan.host})
	case addLearner:
		err = s.manager.AddLearner(ctx, group, plan.host)
	case removeMember:
		err = s.manager.Remove(ctx, group, plan.host)
	}
	if err == nil && plan.action == addVoter {
		s.joining.remove(plan.host)
	}
	return err
}

func (m *members) observe(detail quorum.Status, now time.Time) {
	now = m.clock.at(now)
	present := make(map[ident.Host]bool)
	for _, p := range detail.Peers {
		present[p.Member.Host] = true
		if p.Active {
			delete(m.silent, p.Member.Host)
		} else if _, known := m.silent[p.Member.Host]; !known {
			m.silent[p.Member.Host] = now
		}
	}
	maps.DeleteFunc(m.silent, func(host ident.Host, _ time.Time) bool { return !present[host] })
}

// lost lists the members that have been silent for too long, and silent ones that are leaving.
func (m *members) lost(leaving []ident.Host, now time.Time) []ident.Host {
	now = m.clock.at(now)
	lostAfter := m.steward.options.lostAfter()
	var hosts []ident.Host
	for host, since := range m.silent {
		if now.Sub(since) >= lostAfter || slices.Contains(leaving, host) {
			hosts = append(hosts, host)
		}
	}
	slices.Sort(hosts)
	return hosts
}
