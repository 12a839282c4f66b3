package gateway

import (
	"context"
	"time"

	"github.com/lovagereach/lovagereach/internal/decision"
	"github.com/lovagereach/lovagereach/internal/steward"
	"github.com/lovagereach/lovagereach/outcome"
	"github.com/lovagereach/lovagereach/rollout"
)

// beginMargin is how long before the end of the bound the prompts that wait at runners without the
// weights are ended: a busy host runs a timer late, the end takes a network transit, and a runner some
// time to notice it.
const beginMargin = 250 * time.Millisecond

// applyWeights applies the target versions and the minimum versions of an answer to a request that was
// sent at a time. The caller holds the lock.
func (s *state) applyWeights(answer *steward.WatchAnswer, sent time.Time) {
	if v := answer.Weights; v != nil && v.Revision >= s.weightsRevision {
		s.weightsRevision = v.Revision
		for i, w := range v.Newest {
			s.weights[w.Model] = max(s.weights[w.Model], w.Version)
			s.targets.Record(w.Model, w.Version, sent.Add(answer.OpenFor-v.Age(i)))
			s.raiseOwnAt(w.Model, w.Version, time.Now())
		}
		s.weightsView = *v
	}
	for i, f := range answer.MinVersions {
		if f.Version > s.minVersions[f.Model] {
			s.minVersions[f.Model] = f.Version
			if i < len(answer.MinAges) {
				s.targets.Backdate(f.Model, f.Version, sent.Add(answer.OpenFor-answer.MinAges[i]))
			}
			s.endOverdueAt(f.Model, f.Version, time.Now())
		}
	}
}

// logWeights logs the target and minimum versions that an answer changed, and which host and leader it
// is from.
func (g *Gateway) logWeights(answer *steward.WatchAnswer) {
	s := g.state
	s.mu.Lock()
	defer s.mu.Unlock()
	g.weightsLog.Log(&s.weightsView, func(model string) uint64 { return s.minVersions[model] }, "term", answer.Term, "leader", answer.Leader)
}

// raiseOwnAt raises the minimum version when the bound of a target version is over, unless the leader has told
// it by then: an answer may be late by more than the rest of the bound. The caller holds the lock.
func (s *state) raiseOwnAt(model string, version uint64, now time.Time) {
	since, known := s.targets.FirstLacked(model, version-1)
	if s.versionTime <= 0 || !known || version <= s.ownMinimumAt[model] {
		return
	}
	s.ownMinimumAt[model] = version
	time.AfterFunc(since.Add(s.versionTime-beginMargin).Sub(now), func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if version <= s.minVersions[model] || !s.mostHave(model, version) {
			return
		}
		s.minVersions[model] = version
		s.ownMinimums++
		s.endOverdue(model, version)
	})
}

// mostHave reports whether most serving runners of a model have a version. The leader decides for any
// other fleet: it knows whether the runners could get their orders. The caller holds the lock.
func (s *state) mostHave(model string, version uint64) bool {
	have, total := 0, 0
	for _, upstreams := range s.serving {
		for _, u := range upstreams {
			has := u.versionOf(model)
			if has != 0 {
				total++
			}
			if has >= version {
				have++
			}
		}
	}
	return 2*have > total
}

// unbegunPrompts holds the prompts that were sent and have not begun, each with the function that ends
// its send.
type unbegunPrompts map[*plan]context.CancelFunc

// trackBegin returns a context for a send, which ends before the answer begins if the runner's weights
// pass their bound, and a function to call at the end of the send. It returns an error if the minimum
// version has risen above the runner's since the choice: this process may not have run meanwhile.
func (r *run) trackBegin(ctx context.Context, p *plan) (context.Context, func(), error) {
	prompt := p.send.Prompt
	if prompt == nil {
		return ctx, func() {}, nil
	}
	s := r.gateway.state
	s.mu.Lock()
	defer s.mu.Unlock()
	if prompt.Version != 0 && prompt.Version < s.minVersions[r.request.Prompt.Model] {
		s.cancel(p)
		return nil, nil, &outcome.NotRun{Reason: ReasonOldWeights, Detail: "the bound of newer weights was over before it was sent"}
	}
	ctx, cancel := context.WithCancel(ctx)
	s.unbegun[p] = cancel
	return ctx, func() {
		s.mu.Lock()
		delete(s.unbegun, p)
		s.mu.Unlock()
		cancel()
	}, nil
}

// endOverdueAt ends, when the bound of a target version is over, the prompts that wait at runners
// without it: no prompt is sent there any more, but those sent before may wait there for longer than
// the rest of the bound. The caller holds the lock.
func (s *state) endOverdueAt(model string, version uint64, now time.Time) {
	due := now.Add(rollout.RaisedBefore(s.versionTime))
	if since, known := s.targets.FirstLacked(model, version-1); known {
		due = since.Add(s.versionTime)
	}
	time.AfterFunc(due.Add(-beginMargin).Sub(now), func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.endOverdue(model, version)
	})
}

// endOverdue ends the prompts that wait at runners with weights older than a version. The caller holds
// the lock.
func (s *state) endOverdue(model string, version uint64) {
	for p, cancel := range s.unbegun {
		if has := p.send.Prompt.Version; p.send.Request.Prompt.Model == model && has != 0 && has < version {
			p.overdue = true
			cancel()
		}
	}
}

// recordOverdue records the end of a send whose prompt had not begun within the bound of newer weights,
// and returns the reason, nil for any other send. It tells nothing of the upstream's health.
func (r *run) recordOverdue(p *plan) error {
	s := r.gateway.state
	s.mu.Lock()
	defer s.mu.Unlock()
	if !p.overdue {
		return nil
	}
	s.cancel(p)
	r.tried[p.upstream] = true
	r.mayHaveRun = true
	r.gateway.meter.overdue.Inc()
	return &outcome.Unknown{Reason: ReasonOldWeights, Detail: "it had not begun when the bound of newer weights was over"}
}

// observeBegin measures a prompt that began on older weights than the newest, and logs one that began
// after the bound of the first target version that its runner lacks. The caller holds the lock.
func (g *Gateway) observeBegin(p *plan, now time.Time) {
	prompt := p.send.Prompt
	if prompt == nil {
		return
	}
	s, model := g.state, p.send.Request.Prompt.Model
	delete(s.unbegun, p)
	if prompt.Version == 0 {
		return
	}
	since, lacks := s.targets.FirstLacked(model, prompt.Version)
	if !lacks {
		return
	}
	age := now.Sub(since)
	g.meter.oldWeights.Update(age.Seconds())
	sinceNamed := s.sinceNamed(model, now)
	if g.options.VersionTime <= 0 || max(age, sinceNamed) <= g.options.VersionTime {
		return
	}
	if age > g.options.VersionTime {
		g.meter.lateBegins.Inc()
	}
	g.options.Decisions.Emit(&decision.PromptBeganLate{
		Request: p.send.Request.ID, Upstream: p.send.Upstream, Model: model, Version: prompt.Version,
		Newest: s.weights[model], Minimum: s.minVersions[model], Age: age, SinceNamed: sinceNamed, SentAge: p.sent.Sub(since), AtUpstream: now.Sub(p.sent),
		InForce: now.Sub(s.startedAt),
	})
}

// sinceNamed returns the time since the newest version of a model was named, by wall clocks, which may
// step; zero if that isn't known. The caller holds the lock.
func (s *state) sinceNamed(model string, now time.Time) time.Duration {
	for i, w := range s.weightsView.Newest {
		if named := s.weightsView.Naming(i); w.Model == model && named != nil {
			return time.Duration(now.UnixMilli()-named.AtMs) * time.Millisecond
		}
	}
	return 0
}
