package ledger

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/lovagereach/lovagereach/audit"
	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/internal/wire"
	"github.com/lovagereach/lovagereach/once"
)

// maxWait limits how long a Server delays its reply to a duplicate's claim. It
// is shorter than the time after which an idle connection on the path is
// considered broken.
const maxWait = 10 * time.Second

// maxHostWaits limits the waiting duplicates of one entry host. Each of them
// uses one of the 64 concurrent requests of a peer connection. If waits used
// all of them, the outcomes that end these waits couldn't be sent.
const maxHostWaits = 16

// roleControl is the role of a control host among peers.
const roleControl = "control"

// Group is one ledger group on this control host: the replica and its state
// machine.
type Group struct {
	Replica port.Replica
	Machine *Machine
}

// Server answers the ledger messages of entry hosts. Register installs it for
// each of Methods.
type Server struct {
	groups map[port.GroupID]Group
	now    func() time.Time

	mu    sync.Mutex
	waits map[ident.Host]int
}

// NewServer returns a server of the given ledger groups of this host.
func NewServer(groups map[port.GroupID]Group, now func() time.Time) *Server {
	return &Server{groups: groups, now: now, waits: make(map[ident.Host]int)}
}

// Register installs the server as the handler of all Methods.
func (s *Server) Register(registry port.PeerRegistry) {
	for _, method := range Methods() {
		registry.Handle(method, s)
	}
}

// HandlePeer implements port.PeerHandler.
func (s *Server) HandlePeer(ctx context.Context, from port.Peer, method port.Method, body []byte) ([]byte, error) {
	var req Request
	if err := wire.Unmarshal(body, &req); err != nil {
		return nil, eris.Wrapf(err, "%s: message can't be read", method)
	}
	if !mayAct(from, &req) {
		return nil, eris.Errorf("%s: host %q acts for another host", method, from.Host)
	}
	return wire.Marshal(s.answer(ctx, method, &req))
}

// mayAct reports whether a peer may send a request. A request must name the
// peer's own host as owner or source, since an entry host that could release
// the claim of another could cause a call to run twice. Control hosts may
// report the loss of any owner.
func mayAct(from port.Peer, req *Request) bool {
	switch {
	case req.Claim != nil:
		return req.Claim.Owner.Host == from.Host
	case req.Release != nil:
		return req.Release.Owner.Host == from.Host
	case req.Trace != nil:
		return req.Trace.Source.Host == from.Host
	case req.LostOwner != nil:
		return req.LostOwner.Host == from.Host || from.Role == roleControl
	default:
		return true
	}
}

func (s *Server) answer(ctx context.Context, method port.Method, req *Request) Reply {
	group, ok := s.groups[req.Group]
	if !ok {
		return Reply{Code: ReplyNoGroup}
	}
	now := s.now().UnixMilli()
	switch {
	case method == MethodClaim && req.Claim != nil:
		return s.claim(ctx, group, now, req)
	case method == MethodRelease && req.Release != nil:
		return group.propose(ctx, once.Command{NowMillis: now, Release: req.Release})
	case method == MethodRecord && req.Record != nil:
		return group.propose(ctx, once.Command{NowMillis: now, Record: req.Record})
	case method == MethodLost && req.LostOwner != nil:
		return group.propose(ctx, once.Command{NowMillis: now, LostOwner: req.LostOwner})
	case method == MethodTrace && req.Trace != nil:
		return group.proposeTrace(ctx, now, *req.Trace)
	case method == MethodQuery && req.Query != nil:
		return group.query(ctx, s.now(), *req.Query)
	default:
		return Reply{Code: ReplyBad}
	}
}

// claim answers a claim, from the local state if that is final and otherwise by
// a commit. If another claim holds the key, it waits for the outcome of that
// claim.
func (s *Server) claim(ctx context.Context, g Group, now int64, req *Request) Reply {
	reply := g.claimNow(ctx, now, req.Claim)
	limit := min(time.Duration(req.WaitMillis)*time.Millisecond, maxWait)
	if reply.Code != ReplyOK || reply.Result.Status != once.StatusInFlight || limit <= 0 {
		return reply
	}
	host := req.Claim.Owner.Host
	if !s.beginWait(host) {
		return reply
	}
	defer s.endWait(host)
	resolved, stop, waiting := g.Machine.wait(req.Claim.Key.ID())
	if !waiting {
		return reply
	}
	defer stop()
	// The outcome may have been applied between claimNow and the start of the
	// wait.
	if result := g.Machine.Lookup(req.Claim.Key); result.Status != once.StatusInFlight {
		return Reply{Code: ReplyOK, Result: &result}
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-resolved:
		result := g.Machine.Lookup(req.Claim.Key)
		return Reply{Code: ReplyOK, Result: &result}
	case <-timer.C:
	case <-ctx.Done():
	}
	return reply
}

func (s *Server) beginWait(host ident.Host) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waits[host] >= maxHostWaits {
		return false
	}
	s.waits[host]++
	return true
}

func (s *Server) endWait(host ident.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waits[host]--; s.waits[host] == 0 {
		delete(s.waits, host)
	}
}

// claimNow answers a claim without a wait and, for duplicates, without a
// commit. The result of a resolved key is final, so any host may return it. An
// in-flight result may be stale on a host that was isolated, or that was just
// elected and has not caught up; it is returned only after a read barrier.
func (g Group) claimNow(ctx context.Context, now int64, claim *once.Claim) Reply {
	result, known := g.Machine.peek(*claim, now)
	if known && result.Status == once.StatusInFlight {
		if err := g.Replica.ReadBarrier(ctx); err != nil {
			return Reply{Code: ReplyNotLeader, Leader: g.Replica.Status().Leader}
		}
		result, known = g.Machine.peek(*claim, now)
	}
	if known {
		return Reply{Code: ReplyOK, Result: &result}
	}
	return g.propose(ctx, once.Command{NowMillis: now, Claim: claim})
}

func (g Group) propose(ctx context.Context, c once.Command) Reply {
	data, failure, ok := g.commit(ctx, command{Once: &c})
	if !ok {
		return failure
	}
	result, err := once.DecodeResult(data)
	if err != nil {
		return Reply{Code: ReplyUncertain}
	}
	return Reply{Code: ReplyOK, Result: &result}
}

func (g Group) proposeTrace(ctx context.Context, now int64, c audit.TraceCommand) Reply {
	c.NowMillis = now
	data, failure, ok := g.commit(ctx, command{Trace: &c})
	if !ok {
		return failure
	}
	var result audit.TraceResult
	if err := wire.Unmarshal(data, &result); err != nil {
		return Reply{Code: ReplyUncertain}
	}
	return Reply{Code: ReplyOK, Trace: &result}
}

func (g Group) commit(ctx context.Context, c command) ([]byte, Reply, bool) {
	data, err := g.Replica.Propose(ctx, c.encode())
	if err == nil {
		return data, Reply{}, true
	}
	var notLeader *port.NotLeaderError
	if errors.As(err, &notLeader) {
		return nil, Reply{Code: ReplyNotLeader, Leader: notLeader.Leader}, false
	}
	return nil, Reply{Code: ReplyUncertain}, false
}

func (g Group) query(ctx context.Context, now time.Time, q audit.Query) Reply {
	if err := g.Replica.ReadBarrier(ctx); err != nil {
		return Reply{Code: ReplyNotLeader, Leader: g.Replica.Status().Leader}
	}
	found := g.Machine.Query(now, q)
	return Reply{Code: ReplyOK, QueryResult: &found}
}

// Audit answers a query from the traces of all groups on this control host,
// after a read barrier of each group.
func (s *Server) Audit(ctx context.Context, q audit.Query) (audit.Result, error) {
	var all audit.Result
	for _, id := range slices.Sorted(maps.Keys(s.groups)) {
		group := s.groups[id]
		if err := group.Replica.ReadBarrier(ctx); err != nil {
			return audit.Result{}, eris.Wrapf(err, "audit trace of group %d", id)
		}
		all = audit.Merge(all, group.Machine.Query(s.now(), q), q)
	}
	return all, nil
}

// OwnerLost resolves the claims of an incarnation of an entry host as unknown
// in each group that this host leads. Every control host calls it when
// membership has marked the entry host down; only leaders can commit it.
func (s *Server) OwnerLost(ctx context.Context, owner once.Owner) {
	now := s.now().UnixMilli()
	for _, group := range s.groups {
		if group.Replica.Status().IsLeader {
			// A failure is not retried, since claims also expire with their hold.
			group.propose(ctx, once.Command{NowMillis: now, LostOwner: &owner})
		}
	}
}
