package port

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/lovagereach/lovagereach/ident"
)

// GroupID identifies a replicated state machine of the control hosts.
type GroupID uint32

// GroupConfig is the group that holds the configuration, epochs and orders.
// Groups with higher numbers hold shards of the at-most-once ledger.
const GroupConfig GroupID = 0

// StateMachine is the deterministic state to which a replicated log is applied.
// The replica calls it from one goroutine. Apply must not fail: the rejection of a
// command is part of its result.
type StateMachine interface {
	Apply(index uint64, command []byte) (result []byte)
	// Snapshot returns the complete state; Restore replaces it.
	Snapshot() ([]byte, error)
	Restore(snapshot []byte) error
}

// Replica is one group on this control host.
type Replica interface {
	// Propose commits a command and returns the state machine's result. A
	// *NotLeaderError means the command was not appended; ErrUncertain means
	// it may yet be committed, so the command must be idempotent.
	Propose(ctx context.Context, command []byte) ([]byte, error)
	// ReadBarrier returns once the local state reflects every command
	// committed before the call; it fails on a host that neither can prove that
	// it is the leader nor reach the leader.
	ReadBarrier(ctx context.Context) error
	// View runs f with the state machine while Apply is blocked. f must be short
	// and must not keep references.
	View(f func(StateMachine))
	Status() ReplicaStatus
}

// ReplicaStatus describes one group on this host.
type ReplicaStatus struct {
	Group    GroupID
	Term     uint64
	Leader   ident.Host
	Self     ident.Host
	IsLeader bool
	// LeaseEnd is the time until which no other host can become the leader, set on a
	// leader that can prove it; else zero. Compare it with the group's clock, read after
	// the status.
	LeaseEnd  time.Time
	Commit    uint64
	Applied   uint64
	Last      uint64
	Voters    []ident.Host
	Learners  []ident.Host
	Suspended string // why the replica can't answer, empty if it can
}

// ErrUncertain reports that a proposal may or may not be committed.
var ErrUncertain = errors.New("proposal outcome uncertain")

// NotLeaderError reports that this host does not lead the group.
type NotLeaderError struct {
	// Leader is the present leader, empty if unknown.
	Leader ident.Host
}

// Error implements error.
func (e *NotLeaderError) Error() string {
	return fmt.Sprintf("not the leader; leader is %q", e.Leader)
}
