package control

import (
	"context"
	"crypto/sha256"
	"fmt"
	"time"

	"github.com/lovagereach/lovagereach/config"
	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/internal/wire"
)

// ApplyRequest is an operator's wish for a configuration.
type ApplyRequest struct {
	// RequestID identifies the change; it is applied at most once.
	RequestID string
	Author    string
	Note      string
	// Base is the revision that the change was made on.
	Base config.Revision
	// Document is normalized and valid by itself.
	Document config.Document
	// Delta, if set, stands in place of Document: the changes that lead from
	// Base to it, worked out by the operator's tool. A control host then does
	// work in proportion to the change and not to the number of teams.
	Delta *config.Delta
	// Content is the digest of what Delta was worked out from, by which a
	// resend is told from another request.
	Content config.ContentDigest
	// DryRun works out the changes and commits nothing.
	DryRun bool
}

// ApplyAnswer tells what became of an ApplyRequest.
type ApplyAnswer struct {
	Result config.Result `json:"result" cbor:"1,keyasint"`
	// Delta is what changes; a repeated answer has none.
	Delta config.Delta `json:"delta" cbor:"2,keyasint"`
	// InForce tells that every entry that may serve has the revision. Without
	// it the revision is committed, will not be lost, and comes into force
	// once entries have acknowledged it or lost their leases.
	InForce bool `json:"in_force" cbor:"3,keyasint"`
}

// Apply commits a configuration and waits until it is in force or ctx ends.
// port.ErrUncertain means that the command may yet be committed; the same
// request sent again gets the answer.
func (s *Server) Apply(ctx context.Context, request ApplyRequest) (ApplyAnswer, error) {
	began := time.Now()
	if s.opts.LedgerGroups > 0 && request.ledgerShards() > s.opts.LedgerGroups {
		return ApplyAnswer{Result: s.tooManyShards(request)}, nil
	}
	// A follower could prove its state up to date, but only after a heartbeat,
	// and would then be refused by the log.
	if status := s.opts.Replica.Status(); !status.IsLeader {
		return ApplyAnswer{}, &port.NotLeaderError{Leader: status.Leader}
	}
	cmd, known, err := s.prepare(ctx, request)
	if err != nil {
		return ApplyAnswer{}, err
	}
	answer := ApplyAnswer{Delta: cmd.Delta}
	switch {
	case known != nil:
		answer.Result = *known
	case request.DryRun:
		answer.Result = s.dryRun(cmd)
		return answer, nil
	default:
		committed, err := s.propose(ctx, command{Config: &cmd})
		if err != nil {
			return ApplyAnswer{}, err
		}
		if committed.Config == nil {
			return ApplyAnswer{}, &refusedCommandError{reason: committed.Refused}
		}
		answer.Result = *committed.Config
	}
	s.stats.countVerdict(answer.Result.Verdict)
	if answer.Result.Verdict == config.VerdictApplied || answer.Result.Verdict == config.VerdictUnchanged {
		answer.InForce = s.AwaitInForce(ctx, answer.Result.Revision) == nil
	}
	if answer.InForce && answer.Result.Verdict == config.VerdictApplied && !answer.Result.Repeated {
		s.stats.inForce.UpdateDuration(began)
	}
	return answer, nil
}

func (s *Server) tooManyShards(request ApplyRequest) config.Result {
	return config.Result{
		Verdict:  config.VerdictInvalid,
		Revision: s.opts.Machine.Current().Revision(),
		Problems: config.Problems{{
			Path:   "ledger_shards",
			Reason: fmt.Sprintf("is %d, but the control hosts keep %d ledger groups; raise ledger_groups in their settings first", request.ledgerShards(), s.opts.LedgerGroups),
		}},
	}
}

// prepare builds the command on the latest revision, or finds the answer that
// the request id has already.
func (s *Server) prepare(ctx context.Context, request ApplyRequest) (config.Command, *config.Result, error) {
	cmd := config.Command{
		RequestID: request.RequestID,
		Content:   contentOf(request),
		Author:    request.Author,
		At:        time.Now().UnixMicro(),
		Base:      request.Base,
		Note:      request.Note,
	}
	if err := s.barrier(ctx); err != nil {
		return cmd, nil, err
	}
	var known *config.Result
	s.opts.Replica.View(func(port.StateMachine) {
		if answer, found := s.opts.Machine.config.Answered(cmd.RequestID, cmd.Content); found {
			known = &answer
		}
	})
	current := s.opts.Machine.Current()
	if known == nil && request.Base == current.Revision() {
		cmd.Delta = request.deltaFrom(current)
	}
	return cmd, known, nil
}

func (r *ApplyRequest) deltaFrom(current *config.Snapshot) config.Delta {
	if r.Delta != nil {
		return *r.Delta
	}
	return config.Diff(current, &r.Document)
}

func (r *ApplyRequest) ledgerShards() int {
	if r.Delta != nil {
		return r.Delta.LedgerShards
	}
	return r.Document.LedgerShards
}

// contentOf digests what a resend repeats. The base belongs to it: the same
// document against another base is another request.
func contentOf(request ApplyRequest) config.ContentDigest {
	return sha256.Sum256(wire.MustMarshal(struct {
		Base     config.Revision
		Author   string
		Content  config.ContentDigest
		Document config.Document
	}{request.Base, request.Author, request.Content, request.Document}))
}

// dryRun tells what would become of a command.
func (s *Server) dryRun(cmd config.Command) config.Result {
	var answer config.Result
	s.opts.Replica.View(func(port.StateMachine) {
		answer = s.opts.Machine.config.DryRun(cmd)
	})
	return answer
}

// AwaitInForce returns nil once a revision is in force at every entry that may
// serve.
func (s *Server) AwaitInForce(ctx context.Context, revision config.Revision) error {
	for {
		var progress <-chan struct{}
		var current *leadership
		var next time.Time
		inForce := false
		err := s.leading(func(l *leadership, now time.Time) {
			current = l
			progress = l.progress.wait()
			inForce = l.parent.InForce(now) >= revision
			next = l.parent.NextExpiry(now)
		})
		if err != nil && !s.opts.Replica.Status().IsLeader {
			return err
		}
		if inForce {
			return nil
		}
		if err := s.awaitProgress(ctx, current, progress, next); err != nil {
			return err
		}
	}
}

// awaitProgress waits for an acknowledgement, for a lease to end, for the end
// of the leadership or, without one, for this host to open its epoch.
func (s *Server) awaitProgress(ctx context.Context, current *leadership, progress <-chan struct{}, next time.Time) error {
	wait := time.Until(next)
	if next.IsZero() || wait < 0 {
		wait = s.opts.PollEvery
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	var ended <-chan struct{}
	if current != nil {
		ended = current.done.Done()
	}
	select {
	case <-progress:
	case <-timer.C:
	case <-ended:
	case <-ctx.Done():
		return ctx.Err()
	}
	return nil
}
