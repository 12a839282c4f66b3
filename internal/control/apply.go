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

// ApplyRequest is an operator's request to apply a configuration.
type ApplyRequest struct {
	// RequestID identifies the change; it is applied at most once.
	RequestID string
	Author    string
	Note      string
	// Base is the revision that the change is based on.
	Base config.Revision
	// Document is the new configuration, normalized and validated.
	Document config.Document
	// Delta, if set, replaces Document. It contains the changes from Base to the
	// new configuration, computed by the operator's tool, so that the work of a
	// control host is proportional to the change and not to the number of teams.
	Delta *config.Delta
	// Content is the digest of the input that Delta was computed from. It
	// distinguishes a resend from a different request with the same ID.
	Content config.ContentDigest
	// DryRun computes the changes without committing them.
	DryRun bool
}

// ApplyAnswer is the result of an ApplyRequest.
type ApplyAnswer struct {
	Result config.Result `json:"result" cbor:"1,keyasint"`
	// Delta contains the changes. It is empty in a repeated answer.
	Delta config.Delta `json:"delta" cbor:"2,keyasint"`
	// InForce reports whether every entry that may serve has the revision. If
	// false, an applied revision is nevertheless committed durably, and it comes
	// into force when each entry has acknowledged it or lost its lease.
	InForce bool `json:"in_force" cbor:"3,keyasint"`
}

// Apply commits a configuration and waits until it is in force or ctx is done.
// port.ErrUncertain means that the command may still be committed; a resend of
// the same request returns its result.
func (s *Server) Apply(ctx context.Context, request ApplyRequest) (ApplyAnswer, error) {
	start := time.Now()
	if s.opts.LedgerGroups > 0 && request.ledgerShards() > s.opts.LedgerGroups {
		return ApplyAnswer{Result: s.shardLimitResult(request)}, nil
	}
	// A follower could confirm that its state is up to date, but only after a
	// heartbeat, and the log would then refuse its proposal.
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
		s.stats.inForce.UpdateDuration(start)
	}
	return answer, nil
}

func (s *Server) shardLimitResult(request ApplyRequest) config.Result {
	return config.Result{
		Verdict:  config.VerdictInvalid,
		Revision: s.opts.Machine.Current().Revision(),
		Problems: config.Problems{{
			Path:   "ledger_shards",
			Reason: fmt.Sprintf("is %d, but the control hosts keep %d ledger groups; raise ledger_groups in their settings first", request.ledgerShards(), s.opts.LedgerGroups),
		}},
	}
}

// prepare builds the command on the latest revision. If the request ID already
// has an answer, it returns that answer.
func (s *Server) prepare(ctx context.Context, request ApplyRequest) (config.Command, *config.Result, error) {
	cmd := config.Command{
		RequestID: request.RequestID,
		Content:   contentDigest(request),
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

// contentDigest returns the digest of the fields that a resend repeats. It
// includes the base, since the same document on another base is a different
// request.
func contentDigest(request ApplyRequest) config.ContentDigest {
	return sha256.Sum256(wire.MustMarshal(struct {
		Base     config.Revision
		Author   string
		Content  config.ContentDigest
		Document config.Document
	}{request.Base, request.Author, request.Content, request.Document}))
}

// dryRun returns the result that a command would have.
func (s *Server) dryRun(cmd config.Command) config.Result {
	var answer config.Result
	s.opts.Replica.View(func(port.StateMachine) {
		answer = s.opts.Machine.config.DryRun(cmd)
	})
	return answer
}

// AwaitInForce waits until a revision is in force at every entry that may serve.
func (s *Server) AwaitInForce(ctx context.Context, revision config.Revision) error {
	for {
		var progress <-chan struct{}
		var current *leadership
		var next time.Time
		inForce := false
		err := s.withLeadership(func(l *leadership, now time.Time) {
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

// awaitProgress waits for an acknowledgement, the expiry of a lease or the end
// of the leadership. If current is nil, it waits one poll interval for this host
// to open its epoch.
func (s *Server) awaitProgress(ctx context.Context, current *leadership, progress <-chan struct{}, next time.Time) error {
	wait := time.Until(next)
	if next.IsZero() || wait < 0 {
		wait = s.opts.PollEvery
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	var ended <-chan struct{}
	if current != nil {
		ended = current.leadCtx.Done()
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
