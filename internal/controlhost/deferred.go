package controlhost

import (
	"context"
	"errors"
	"sync/atomic"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/port"
)

// deferredReplica is a replica whose group is opened after the peer handlers are
// registered: forming a group queries the other hosts, so every host must serve
// requests by then. Until the group is open, calls fail and it is not the leader.
type deferredReplica struct {
	group port.GroupID
	self  ident.Host
	// opened is nil until the group is open.
	opened atomic.Pointer[port.Replica]
}

var errNotOpen = errors.New("the group is not open on this host yet")

func (d *deferredReplica) set(replica port.Replica) { d.opened.Store(&replica) }

// Propose implements port.Replica.
func (d *deferredReplica) Propose(ctx context.Context, command []byte) ([]byte, error) {
	if replica := d.opened.Load(); replica != nil {
		return (*replica).Propose(ctx, command)
	}
	return nil, &port.NotLeaderError{}
}

// ReadBarrier implements port.Replica.
func (d *deferredReplica) ReadBarrier(ctx context.Context) error {
	if replica := d.opened.Load(); replica != nil {
		return (*replica).ReadBarrier(ctx)
	}
	return errNotOpen
}

// View implements port.Replica. It doesn't call f before the group is open, because
// the state machine is being restored.
func (d *deferredReplica) View(f func(port.StateMachine)) {
	if replica := d.opened.Load(); replica != nil {
		(*replica).View(f)
	}
}

// Status implements port.Replica.
func (d *deferredReplica) Status() port.ReplicaStatus {
	if replica := d.opened.Load(); replica != nil {
		return (*replica).Status()
	}
	return port.ReplicaStatus{Group: d.group, Self: d.self, Suspended: errNotOpen.Error()}
}
