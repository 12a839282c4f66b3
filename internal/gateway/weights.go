package gateway

import (
	"time"

	"github.com/lovagereach/lovagereach/internal/steward"
)

// lateBeginLogEvery is the minimum time between two log lines about prompts that began on weights past
// their bound.
const lateBeginLogEvery = time.Second

// applyWeights applies the target versions and the minimum versions of an answer to a request that was
// sent at a time. The caller holds the lock.
func (s *state) applyWeights(answer *steward.WatchAnswer, sent time.Time) {
	if v := answer.Weights; v != nil && v.Revision >= s.weightsRevision {
		s.weightsRevision = v.Revision
		for i, w := range v.Newest {
			s.weights[w.Model] = max(s.weights[w.Model], w.Version)
			s.targets.Record(w.Model, w.Version, sent.Add(answer.OpenFor-v.Age(i)))
		}
	}
	for _, f := range answer.MinVersions {
		s.minVersions[f.Model] = max(s.minVersions[f.Model], f.Version)
	}
}

// observeBegin measures a prompt that began on older weights than the newest, and logs one that began
// after the bound of the first target version that its runner lacks. The caller holds the lock.
func (g *Gateway) observeBegin(p *plan, now time.Time) {
	prompt := p.send.Prompt
	if prompt == nil || prompt.Version == 0 {
		return
	}
	s, model := g.state, p.send.Request.Prompt.Model
	since, lacks := s.targets.FirstLacked(model, prompt.Version)
	if !lacks {
		return
	}
	age := now.Sub(since)
	g.meter.oldWeights.Update(age.Seconds())
	if g.options.VersionTime <= 0 || age <= g.options.VersionTime {
		return
	}
	g.meter.lateBegins.Inc()
	if now.Sub(s.lateBeginLoggedAt) < lateBeginLogEvery {
		return
	}
	s.lateBeginLoggedAt = now
	g.options.Log.Warn("prompt began on weights past their bound", "upstream", p.send.Upstream, "model", model, "version", prompt.Version,
		"newest", s.weights[model], "minimum", s.minVersions[model], "after", age, "sent_after", p.sent.Sub(since), "at_upstream", now.Sub(p.sent))
}
