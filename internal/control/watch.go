package control

import (
	"cmp"
	"context"
	"errors"
	"time"

	"github.com/lovagereach/lovagereach/config"
	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/control/protocol"
	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/lease"
	"github.com/lovagereach/lovagereach/relay"
)

// incarnationOf returns an entry's assigned incarnation. For entries of earlier
// versions, which have none, it returns that of their connection.
func incarnationOf(from port.Peer, assigned ident.Incarnation) ident.Incarnation {
	return cmp.Or(assigned, from.Incarnation)
}

// assign assigns an incarnation to an entry that has just started. Incarnations
// are ordered by the log. Other processes use this order to distinguish stale
// messages of a previous incarnation from those of its successor.
func (s *Server) assign(ctx context.Context, _ port.Peer, _ protocol.AssignRequest) (protocol.AssignAnswer, error) {
	if !s.opts.Replica.Status().IsLeader {
		return protocol.AssignAnswer{Redirect: s.redirect()}, nil
	}
	answer, err := s.propose(ctx, command{Assign: &assignIncarnation{At: time.Now().UnixMicro()}})
	var notLeader *port.NotLeaderError
	if errors.As(err, &notLeader) {
		return protocol.AssignAnswer{Redirect: s.redirect()}, nil
	}
	if err != nil {
		return protocol.AssignAnswer{}, err
	}
	if answer.Assigned == 0 {
		return protocol.AssignAnswer{}, &refusedCommandError{reason: answer.Refused}
	}
	return protocol.AssignAnswer{Incarnation: answer.Assigned}, nil
}

// watch applies the acknowledgement in the request and answers when there is a
// newer revision or the wait has passed. It returns only committed revisions, so
// an answer of a host that no longer leads is harmless; the entry finds the new
// leader through the renewals of its lease.
func (s *Server) watch(ctx context.Context, from port.Peer, request protocol.WatchRequest) (protocol.WatchAnswer, error) {
	var current *leadership
	err := s.withLeadership(func(l *leadership, _ time.Time) {
		current = l
		l.parent.Ack(relay.Ack{Host: from.Host, Incarnation: incarnationOf(from, request.Incarnation), InForce: request.HeldRevision})
	})
	if err != nil {
		return protocol.WatchAnswer{Redirect: s.redirect()}, nil
	}
	current.progress.signal()
	wait := min(time.Duration(request.WaitMillis)*time.Millisecond, protocol.MaxWait)
	return s.awaitChange(ctx, current, request.HeldRevision, wait), nil
}

func (s *Server) awaitChange(ctx context.Context, current *leadership, held config.Revision, wait time.Duration) protocol.WatchAnswer {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		changed := s.opts.Machine.changed.wait()
		if s.opts.Machine.Current().Revision() > held {
			return s.answerSince(held)
		}
		select {
		case <-changed:
		case <-timer.C:
			s.stats.idle.Inc()
			return protocol.WatchAnswer{}
		case <-ctx.Done():
			return protocol.WatchAnswer{}
		case <-current.leadCtx.Done():
			return protocol.WatchAnswer{Redirect: s.redirect()}
		}
	}
}

func (s *Server) answerSince(held config.Revision) protocol.WatchAnswer {
	latest := s.opts.Machine.Current().Revision()
	update := s.updates.since(held, latest, func() config.Update { return s.updateSince(held) })
	if update.Full != nil {
		s.stats.fulls.Inc()
		full := s.updates.encode(update.Full)
		return protocol.WatchAnswer{FullRevision: full.revision, FullBytes: len(full.data)}
	}
	s.stats.deltas.Inc()
	return protocol.WatchAnswer{Delta: update.Delta}
}

func (s *Server) updateSince(held config.Revision) config.Update {
	var update config.Update
	s.opts.Replica.View(func(port.StateMachine) {
		update = s.opts.Machine.config.Since(held)
	})
	return update
}

// part returns one part of the full configuration that a watch announced.
func (s *Server) part(_ context.Context, _ port.Peer, request protocol.PartRequest) (protocol.PartAnswer, error) {
	full, found := s.updates.encoded(request.Revision)
	if !found || request.Offset < 0 || request.Offset >= len(full.data) {
		return protocol.PartAnswer{Gone: true}, nil
	}
	end := min(request.Offset+protocol.PartBytes, len(full.data))
	return protocol.PartAnswer{Data: full.data[request.Offset:end]}, nil
}

// renew grants a serving lease. The barrier is passed after the request was
// sent, which is when the entry's lease starts. It confirms that no newer leader
// was elected before this time, so that the time for which a newer leader waits
// for earlier leases covers this one.
func (s *Server) renew(ctx context.Context, from port.Peer, request protocol.RenewRequest) (protocol.RenewAnswer, error) {
	if s.leadership.Load() == nil || s.barrier(ctx) != nil {
		return protocol.RenewAnswer{Redirect: s.redirect()}, nil
	}
	var renewed relay.Renewed
	var previous ident.Incarnation
	err := s.withLeadership(func(l *leadership, now time.Time) {
		previous = l.recordIncarnation(from.Host, incarnationOf(from, request.Incarnation))
		renewed = l.renew(now, from, request)
	})
	if err != nil {
		return protocol.RenewAnswer{Redirect: s.redirect()}, nil
	}
	if previous != 0 && s.opts.OnEntryReplaced != nil {
		s.opts.OnEntryReplaced(from.Host, previous)
	}
	s.stats.renewals.Inc()
	if renewed.Refused != "" {
		s.stats.refusals.Inc()
	}
	return protocol.RenewAnswer{Renewed: &renewed}, nil
}

// recordIncarnation records an entry's incarnation and returns the previous one
// that it replaces, zero for none. A process restarts only after its previous
// incarnation has ended.
func (l *leadership) recordIncarnation(host ident.Host, incarnation ident.Incarnation) ident.Incarnation {
	known, found := l.incarnations[host]
	if incarnation <= known || !found && len(l.incarnations) >= lease.MaxHolders {
		return 0
	}
	l.incarnations[host] = incarnation
	return known
}

func (s *Server) release(_ context.Context, from port.Peer, request protocol.ReleaseRequest) (protocol.ReleaseAnswer, error) {
	err := s.withLeadership(func(l *leadership, _ time.Time) {
		l.parent.Release(lease.HolderID{Host: from.Host, Incarnation: incarnationOf(from, request.Incarnation)})
		l.progress.signal()
	})
	if err != nil {
		return protocol.ReleaseAnswer{Redirect: s.redirect()}, nil
	}
	return protocol.ReleaseAnswer{}, nil
}
