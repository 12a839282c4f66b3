package replica

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/quorum"
)

// The states of a proposal. It leaves proposalWaiting exactly once: either the
// worker accepts it, or its caller withdraws it and then knows that nothing was
// appended.
const (
	proposalWaiting uint32 = iota
	proposalAccepted
	proposalWithdrawn
)

// proposal is a command or a membership change that is to be committed.
type proposal struct {
	data   []byte
	change *quorum.MemberChange
	state  atomic.Uint32
	// term is the term of the entry. It is set before the proposal is added to the
	// waiters.
	term   uint64
	result chan proposalResult
}

type proposalResult struct {
	body []byte
	err  error
}

func newProposal(data []byte, change *quorum.MemberChange) *proposal {
	return &proposal{data: data, change: change, result: make(chan proposalResult, 1)}
}

// resolve sets the result of the proposal. Calls after the first have no effect.
func (p *proposal) resolve(body []byte, err error) {
	select {
	case p.result <- proposalResult{body: body, err: err}:
	default:
	}
}

// Propose implements port.Replica. Errors other than port.ErrUncertain mean
// that the command was not appended or will never be committed.
func (g *group) Propose(ctx context.Context, command []byte) ([]byte, error) {
	g.manager.stats.proposals.Inc()
	return g.submit(ctx, newProposal(command, nil))
}

func (g *group) submit(ctx context.Context, p *proposal) ([]byte, error) {
	ctx, cancel := g.manager.withDefaultTimeout(ctx)
	defer cancel()
	if g.isSuspended() {
		return nil, &SuspendedError{Group: g.id, Reason: g.suspendReason()}
	}
	if g.applier.full() || !g.worker.inbox.offer(event{group: g, proposal: p}) {
		return nil, ErrBusy
	}
	select {
	case result := <-p.result:
		return result.body, result.err
	case <-ctx.Done():
	case <-g.manager.done:
	}
	if p.state.CompareAndSwap(proposalWaiting, proposalWithdrawn) {
		return nil, eris.Wrap(ErrStopped, "the proposal was withdrawn")
	}
	return g.lateResult(p)
}

// lateResult returns the result of an accepted proposal whose caller stopped
// waiting, or an uncertain outcome if there is none yet.
func (g *group) lateResult(p *proposal) ([]byte, error) {
	select {
	case result := <-p.result:
		return result.body, result.err
	default:
		g.manager.stats.uncertain.Inc()
		return nil, uncertain("no commit in time")
	}
}

// propose appends p to the log unless it was withdrawn. It runs on the worker.
func (g *group) propose(now time.Time, p *proposal) {
	if !p.state.CompareAndSwap(proposalWaiting, proposalAccepted) {
		return
	}
	var index, term uint64
	var err error
	if p.change != nil {
		index, term, err = g.node.ProposeMembers(now, *p.change)
	} else {
		index, term, err = g.node.Propose(now, p.data)
	}
	if err != nil {
		p.resolve(nil, toPortError(err))
		return
	}
	p.term = term
	g.applier.addWaiter(index, p)
}

// commit passes committed entries to the applier and requests a snapshot when one
// is due.
func (g *group) commit(entries []quorum.Entry) {
	g.applier.add(applyItem{entries: entries})
	for i := range entries {
		g.bytesSinceSnapshot += len(entries[i].Data)
	}
	g.entriesSinceSnapshot += len(entries)
	g.lastCommitted = entries[len(entries)-1].Index
	if g.snapshotDue() {
		g.requestSnapshot()
	}
}

// View implements port.Replica.
func (g *group) View(f func(port.StateMachine)) {
	g.applier.machineMu.Lock()
	defer g.applier.machineMu.Unlock()
	f(g.applier.machine)
}

// Status implements port.Replica.
func (g *group) Status() port.ReplicaStatus {
	s := g.worker.status(g)
	status := port.ReplicaStatus{
		Group:     g.id,
		Term:      s.Term,
		Leader:    s.Leader,
		Self:      s.Self,
		IsLeader:  s.Role == quorum.RoleLeader,
		LeaseEnd:  s.LeaseEnd,
		Commit:    s.Commit,
		Applied:   g.applier.applied.Load(),
		Last:      s.Last,
		Voters:    hosts(s.Members.Voters),
		Learners:  hosts(s.Members.Learners),
		Suspended: g.suspendReason(),
	}
	if status.Suspended != "" {
		status.IsLeader = false
		status.Leader = ""
	}
	return status
}

// QuorumStatus returns the consensus status of a group for dumps: its peers, the
// index that each has synced, and disks that were replaced or rolled back.
func (m *Manager) QuorumStatus(id groupID) (quorum.Status, error) {
	g, err := m.find(id)
	if err != nil {
		return quorum.Status{}, err
	}
	return g.worker.status(g), nil
}

func hosts(members []quorum.Member) []ident.Host {
	names := make([]ident.Host, len(members))
	for i := range members {
		names[i] = members[i].Host
	}
	return names
}
