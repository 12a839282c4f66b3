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

// The states of a proposal. It leaves proposalWaiting exactly once: the worker
// takes it, or its caller withdraws it and knows that nothing was appended.
const (
	proposalWaiting uint32 = iota
	proposalTaken
	proposalWithdrawn
)

// proposal is a command or a change of membership on its way to commit.
type proposal struct {
	data   []byte
	change *quorum.MemberChange
	state  atomic.Uint32
	// term is that of the entry; it is set before the proposal is expected.
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

// answer settles the proposal; only the first answer counts.
func (p *proposal) answer(body []byte, err error) {
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
	ctx, cancel := g.manager.bound(ctx)
	defer cancel()
	if g.stopped() {
		return nil, &SuspendedError{Group: g.id, Reason: g.reason()}
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

// lateResult returns an answer that came at the same time as the end of the
// wait.
func (g *group) lateResult(p *proposal) ([]byte, error) {
	select {
	case result := <-p.result:
		return result.body, result.err
	default:
		g.manager.stats.uncertain.Inc()
		return nil, uncertain("no commit in time")
	}
}

// propose appends p. It runs on the worker.
func (g *group) propose(now time.Time, p *proposal) {
	if !p.state.CompareAndSwap(proposalWaiting, proposalTaken) {
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
		p.answer(nil, translate(err))
		return
	}
	p.term = term
	g.applier.expect(index, p)
}

// commit hands committed entries to the state machine and asks for a snapshot
// when enough has come together.
func (g *group) commit(entries []quorum.Entry) {
	g.applier.add(applyItem{entries: entries})
	for i := range entries {
		g.sinceBytes += len(entries[i].Data)
	}
	g.sinceEntries += len(entries)
	g.committed = entries[len(entries)-1].Index
	if g.snapshotDue() {
		g.askSnapshot()
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
		Suspended: g.reason(),
	}
	if status.Suspended != "" {
		status.IsLeader = false
		status.Leader = ""
	}
	return status
}

// QuorumStatus returns what the consensus of a group knows, for dumps: its peers,
// how far each has synced, and disks that were replaced or rolled back.
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
