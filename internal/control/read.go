package control

import (
	"context"
	"time"

	"github.com/lovagereach/lovagereach/config"
	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/control/protocol"
	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/lease"
)

// Get returns the latest committed configuration. It includes every change that
// was acknowledged before the call.
func (s *Server) Get(ctx context.Context) (*config.Snapshot, error) {
	if err := s.barrier(ctx); err != nil {
		return nil, err
	}
	return s.opts.Machine.Current(), nil
}

// History returns up to limit revisions before the given one, newest first. If
// before is zero, it starts with the latest revision.
func (s *Server) History(ctx context.Context, before config.Revision, limit int) ([]config.RevisionMeta, error) {
	if err := s.barrier(ctx); err != nil {
		return nil, err
	}
	var list []config.RevisionMeta
	s.opts.Replica.View(func(port.StateMachine) {
		list = s.opts.Machine.config.History(before, limit)
	})
	return list, nil
}

// DeltaBetween returns the changes between two revisions.
func (s *Server) DeltaBetween(ctx context.Context, from, to config.Revision) (config.Delta, error) {
	if err := s.barrier(ctx); err != nil {
		return config.Delta{}, err
	}
	var delta config.Delta
	var err error
	s.opts.Replica.View(func(port.StateMachine) {
		delta, err = s.opts.Machine.config.DeltaBetween(from, to)
	})
	return delta, err
}

// Status is the state of this host in the control group.
type Status struct {
	Group GroupStatus `json:"group" cbor:"1,keyasint"`
	// Revision is the latest revision applied on this host.
	Revision config.Revision `json:"revision" cbor:"2,keyasint"`
	// Epoch is the latest epoch applied on this host.
	Epoch lease.Epoch `json:"epoch" cbor:"3,keyasint"`
	// Leading is the state of the leader, nil on a host that does not lead.
	Leading *LeaderStatus `json:"leading,omitempty" cbor:"4,keyasint,omitempty"`
}

// GroupStatus is the representation of port.ReplicaStatus for operators.
type GroupStatus struct {
	Self     ident.Host `json:"self" cbor:"1,keyasint"`
	Leader   ident.Host `json:"leader" cbor:"2,keyasint"`
	IsLeader bool       `json:"is_leader" cbor:"3,keyasint"`
	Term     uint64     `json:"term" cbor:"4,keyasint"`
	// Commit, Applied and Last are log indexes: the highest committed entry, the
	// highest applied on this host and the last in this host's log.
	Commit   uint64       `json:"commit" cbor:"5,keyasint"`
	Applied  uint64       `json:"applied" cbor:"6,keyasint"`
	Last     uint64       `json:"last" cbor:"7,keyasint"`
	Voters   []ident.Host `json:"voters" cbor:"8,keyasint"`
	Learners []ident.Host `json:"learners,omitempty" cbor:"9,keyasint,omitempty"`
	// Suspended is the reason why the replica is suspended, empty if it runs.
	Suspended string       `json:"suspended,omitempty" cbor:"10,keyasint,omitempty"`
	Group     port.GroupID `json:"group" cbor:"11,keyasint"`
}

// NewGroupStatus converts a replica's status.
func NewGroupStatus(status port.ReplicaStatus) GroupStatus {
	return GroupStatus{
		Self:      status.Self,
		Leader:    status.Leader,
		IsLeader:  status.IsLeader,
		Term:      status.Term,
		Commit:    status.Commit,
		Applied:   status.Applied,
		Last:      status.Last,
		Voters:    status.Voters,
		Learners:  status.Learners,
		Suspended: status.Suspended,
		Group:     status.Group,
	}
}

// LeaderStatus is the state that only the leader has.
type LeaderStatus struct {
	// Since is the time at which this host opened its epoch.
	Since   time.Time       `json:"since" cbor:"1,keyasint"`
	InForce config.Revision `json:"in_force" cbor:"2,keyasint"`
	// EarlierLeasesEnd is the time by which the leases of earlier leaders have
	// expired. No revision is reported in force before.
	EarlierLeasesEnd time.Time `json:"quiet_until" cbor:"3,keyasint"`
	// Entries are the holders of serving leases.
	Entries []lease.HolderStatus `json:"entries" cbor:"4,keyasint"`
	// Upstreams are the engines in the current reports of entries.
	Upstreams []protocol.Upstream `json:"upstreams,omitempty" cbor:"5,keyasint,omitempty"`
}

// Status never waits for other hosts.
func (s *Server) Status() Status {
	status := Status{
		Group:    NewGroupStatus(s.opts.Replica.Status()),
		Revision: s.opts.Machine.Current().Revision(),
	}
	s.opts.Replica.View(func(port.StateMachine) {
		status.Epoch = s.opts.Machine.epochs.Current()
	})
	// On a host that does not lead, Leading remains nil.
	_ = s.withLeadership(func(l *leadership, now time.Time) {
		status.Leading = &LeaderStatus{
			Since:            l.startedAt,
			InForce:          l.parent.InForce(now),
			EarlierLeasesEnd: l.parent.EarlierLeasesEnd(),
			Entries:          l.parent.Holders(now),
		}
	})
	if status.Leading != nil {
		status.Leading.Upstreams = sortedUpstreams(s.reports.upstreams(time.Now()))
	}
	return status
}

// Ready returns the reason why this host can't serve operators and entries. It
// returns nil if the host leads or can redirect to the leader.
func (s *Server) Ready() error {
	status := s.opts.Replica.Status()
	switch {
	case status.Suspended != "":
		return &suspendedError{reason: status.Suspended}
	case status.Leader == "":
		return errNoLeader
	default:
		return nil
	}
}
