package gateway

import (
	"math"
	"strings"
	"time"

	"github.com/lovagereach/lovagereach/internal/decision"
	"github.com/lovagereach/lovagereach/outcome"
)

// logRefused logs and counts a request that was refused before it was routed.
func (g *Gateway) logRefused(request *Request, cause error) {
	g.meter.request(nil, cause, 0, 0, 0)
	g.options.Decisions.Emit(&decision.RequestEnded{
		Request: request.ID, Outcome: outcome.KindOf(cause).String(), Cause: cause,
		Total: time.Since(request.Arrived), View: g.state.view(time.Now()),
	})
}

// logEnd logs and counts the end of a routed request; cause is nil if its answer is complete.
func (r *run) logEnd(cause error) {
	g := r.gateway
	g.meter.request(r.route, cause, r.first, r.waited, r.sends)
	now := time.Now()
	g.options.Decisions.Emit(&decision.RequestEnded{
		Request: r.request.ID, Route: r.route.Name, Team: r.teamName(), Outcome: outcome.KindOf(cause).String(), Cause: cause,
		Target: r.route.Target, First: r.first, Total: now.Sub(r.request.Arrived), Status: r.status,
		Sends: r.sends, Unsent: r.unsent, Started: r.headSent, LastEvent: r.lastEvent, Waited: r.waited, Queued: r.queued,
		ForwardedTo: r.forwardedTo, Unframed: r.unframed, Pause: r.pause, Choice: r.choice(), View: g.state.view(now),
	})
}

// logRetry logs that the request is sent once more.
func (r *run) logRetry(cause error) {
	if r.headSent {
		r.gateway.meter.resumed.Inc()
	}
	r.gateway.options.Decisions.Emit(&decision.RequestRetried{
		Request: r.request.ID, Route: r.route.Name, Cause: cause, Sends: r.sends, LastEvent: r.lastEvent,
		Choice: r.choice(), View: r.gateway.state.view(time.Now()),
	})
}

func (r *run) choice() decision.Choice {
	if r.last == nil {
		return decision.Choice{}
	}
	logged := r.last.logged
	logged.Took = r.last.took
	return logged
}

// describePlan records the inputs of the choice of an upstream. The caller holds the lock; the
// plan is not yet accounted for.
func (s *state) describePlan(p *plan, now time.Time) {
	u := p.upstream
	p.logged = decision.Choice{
		Upstream: u.record.ID, Candidates: p.candidates,
		Requests: u.own.Requests + u.others.Requests, Tokens: u.own.Tokens + u.others.Tokens, PendingPrefill: u.own.Unread + u.others.Unread,
		PrefillTokens: p.prefillTokens, CostMs: p.choice.CostMs, Home: p.choice.Home, HealthPenalty: u.health.penalty(now, u.silent),
	}
	p.logged.Open, p.logged.Software, p.logged.Unreported, p.logged.Predicted = p.open, p.origin.Software, p.unreported, p.predicted
	p.logged.ReadAgain, p.logged.ReadHeld = p.readAgain, p.readHeld
	if p.send.Prompt == nil {
		return
	}
	p.logged.Version = p.send.Prompt.Version
	p.logged.PromptTokens = p.tokens - p.output
	p.logged.FetchTime, p.logged.LinkWait = inMilliseconds(p.fetchMs), p.linkWait
	var sources []string
	for _, f := range p.send.Prompt.Fetch {
		if f.Address == "" {
			continue
		}
		p.logged.Fetched++
		p.logged.FetchedTokens += f.Tokens
		sources = append(sources, f.Address)
		if store := s.stores[f.Address]; store != nil {
			p.logged.Slowdown = max(p.logged.Slowdown, store.slowdown.current(now))
			p.logged.Queue = max(p.logged.Queue, store.ownQueued(s, now)+store.others)
		}
	}
	p.logged.Sources = strings.Join(sources, ",")
	for _, s := range p.send.Prompt.Save {
		if s != "" {
			p.logged.Saved++
		}
	}
}

// view returns the term, the age and the configuration version of the state.
func (s *state) view(now time.Time) decision.View {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := decision.View{Term: s.term, Age: now.Sub(s.inventoriesAt)}
	if s.index != nil {
		v.Config = uint64(s.index.Version())
	}
	return v
}

// logHealth logs that an upstream is ejected or reinstated.
func (g *Gateway) logHealth(u *upstreamState, ejected bool, cause error) {
	g.options.Decisions.Emit(&decision.UpstreamHealth{
		Upstream: u.record.ID, Ejected: ejected, ConsecutiveFailures: u.health.consecutive, FailureRate: math.Round(u.health.share(time.Now())*100) / 100, Cause: cause,
	})
}
