package route

import "time"

// part is a run of tokens to import, from the store at index copy in the request's
// copies.
type part struct {
	copy     int
	from, to int
	bytes    int64
}

// plansPerCandidate is the maximum number of plans for one candidate.
const plansPerCandidate = 3

// plans returns the predicted plans for one candidate; unused elements have Kind
// zero.
func (p *Planner) plans(m *bandModel, c Candidate, req Request) [plansPerCandidate]Prediction {
	var out [plansPerCandidate]Prediction
	cached := min(c.CachedTokens, req.PromptTokens)
	wait := max(p.wait(m, c), c.CachedAfter)
	out[0] = p.withoutFetch(m, c, req, wait, cached)
	fetch, tokens, bytes := p.fetch(c, req, cached, req.PromptTokens)
	if tokens == 0 {
		return out
	}
	out[1] = p.withFetch(m, c, req, wait, cached, tokens, bytes, fetch)
	if c.Overlaps {
		out[2] = p.withPartial(m, c, req, wait, cached, tokens)
	}
	return out
}

func (p *Planner) wait(m *bandModel, c Candidate) time.Duration {
	s := m.wait.predict(float64(c.QueuedTokens), float64(c.Excess()))
	if c.Share > 0 && c.Share < 1 {
		s /= c.Share
	}
	return seconds(s)
}

func (p *Planner) prefill(m *bandModel, tokens int) time.Duration {
	return seconds(m.prefill.predict(1, float64(tokens)))
}

// margin returns the learned error plus a share of the wait that grows with the age
// of the load report, because others may meanwhile have sent as much work as is in
// the upstream's queue.
func (p *Planner) margin(m *bandModel, c Candidate, wait time.Duration) time.Duration {
	age := min(c.LoadAge, maxLoadAge)
	return seconds(m.predictionError) + time.Duration(float64(wait)*age.Seconds()/maxLoadAge.Seconds())
}

// maxLoadAge is the age from which a report no longer indicates the queue length.
const maxLoadAge = 5 * time.Second

func (p *Planner) withoutFetch(m *bandModel, c Candidate, req Request, wait time.Duration, cached int) Prediction {
	kind := Reuse
	if cached == 0 {
		kind = Recompute
	}
	rest := req.PromptTokens - cached
	prefill := p.prefill(m, req.PromptTokens-c.expectedCached(cached))
	return Prediction{
		Upstream: c.Upstream, Kind: kind,
		Wait: wait, Prefill: prefill,
		FirstToken:   2*c.NetworkDelay + wait + prefill,
		Margin:       p.margin(m, c, wait),
		CachedTokens: cached, RecomputeTokens: rest,
	}
}

// expectedCached returns the number of recorded prefix tokens that are expected to be
// in the cache.
func (c Candidate) expectedCached(cached int) int {
	if c.CacheAccuracy <= 0 || c.CacheAccuracy >= verifyBelow {
		return cached
	}
	return int(float64(cached) * c.CacheAccuracy)
}

// verifyBelow is the cache accuracy below which the cached blocks are verified.
const verifyBelow = 0.95

func (p *Planner) withFetch(m *bandModel, c Candidate, req Request, wait time.Duration, cached, tokens int, bytes int64, fetch time.Duration) Prediction {
	rest := req.PromptTokens - cached - tokens
	prefill := p.prefill(m, rest)
	before := wait + fetch
	if c.Overlaps {
		before = max(wait, fetch)
	}
	return Prediction{
		Upstream: c.Upstream, Kind: Fetch,
		Wait: wait, Fetch: fetch, Prefill: prefill,
		FirstToken:   2*c.NetworkDelay + before + prefill,
		Margin:       p.margin(m, c, before),
		CachedTokens: cached, FetchTokens: tokens, RecomputeTokens: rest, FetchBytes: bytes,
	}
}

// withPartial splits the stored run: the upstream computes tokens from the front
// while the back arrives. The split is where both take equally long.
func (p *Planner) withPartial(m *bandModel, c Candidate, req Request, wait time.Duration, cached, tokens int) Prediction {
	low, high := 0, tokens // tokens computed instead of fetched
	for range splitSteps {
		mid := (low + high) / 2
		fetch, _, _ := p.fetch(c, req, cached+mid, cached+tokens)
		if wait+p.prefill(m, mid) < fetch {
			low = mid
		} else {
			high = mid
		}
	}
	low -= low % p.options.BlockTokens
	if low == 0 || low == tokens {
		return Prediction{}
	}
	fetch, fetched, bytes := p.fetch(c, req, cached+low, cached+tokens)
	tail := req.PromptTokens - cached - tokens
	prefill := p.prefill(m, low+tail)
	return Prediction{
		Upstream: c.Upstream, Kind: PartialFetch,
		Wait: wait, Fetch: fetch, Prefill: prefill,
		FirstToken:   2*c.NetworkDelay + max(wait+p.prefill(m, low), fetch) + p.prefill(m, tail),
		Margin:       p.margin(m, c, max(wait, fetch)),
		CachedTokens: cached, FetchTokens: fetched, RecomputeTokens: low + tail, FetchBytes: bytes,
	}
}

// splitSteps is the number of halvings of the search, which finds the split within
// 1/64 of the run.
const splitSteps = 6

// fetch predicts the import of the stored tokens from the start of [from, to) up to
// the first gap, each run from the store that is predicted to be fastest. It leaves
// the runs in p.scratch.
func (p *Planner) fetch(c Candidate, req Request, from, to int) (took time.Duration, tokens int, bytes int64) {
	p.scratch = p.scratch[:0]
	for at := from; at < to && len(p.scratch) < MaxCopies; {
		next, ok := p.nextPart(req.Copies, at, to)
		if !ok {
			break
		}
		p.scratch = append(p.scratch, next)
		took = max(took, p.copyTime(req.Copies, next.copy, 0))
		tokens += next.to - next.from
		bytes += next.bytes
		at = next.to
	}
	if tokens == 0 {
		return 0, 0, 0
	}
	if c.LinkBytesPerSecond > 0 {
		took = max(took, seconds(float64(c.PendingImportBytes+bytes)/float64(c.LinkBytesPerSecond)))
	}
	return took, tokens, bytes
}

func (p *Planner) nextPart(copies []Copy, at, to int) (part, bool) {
	best := part{copy: -1}
	var bestTime time.Duration
	for i, c := range copies[:min(len(copies), MaxCopies)] {
		if c.From > at || c.To <= at || c.To <= c.From {
			continue
		}
		end := min(c.To, to)
		bytes := c.Bytes * int64(end-at) / int64(c.To-c.From)
		took := p.copyTime(copies, i, bytes)
		perToken := took / time.Duration(end-at)
		if best.copy < 0 || perToken < bestTime {
			best, bestTime = part{copy: i, from: at, to: end, bytes: bytes}, perToken
		}
	}
	return best, best.copy >= 0
}

// copyTime returns the predicted time to read extra bytes from the store of
// copies[i], in addition to what this plan already reads from it.
func (p *Planner) copyTime(copies []Copy, i int, extra int64) time.Duration {
	c := &copies[i]
	total := c.PendingBytes + extra
	for _, chosen := range p.scratch {
		if copies[chosen.copy].Store == c.Store && copies[chosen.copy].Slow == c.Slow {
			total += chosen.bytes
		}
	}
	l := p.links[linkKey{c.Store, c.Slow}]
	if l == nil {
		l = &p.priorLink
	}
	s := l.predict(1, float64(total))
	if c.LinkBytesPerSecond > 0 {
		free := max(1-c.LinkBusy, minLinkShare)
		s = max(s, float64(total)/(float64(c.LinkBytesPerSecond)*free))
	}
	return seconds(s)
}

// minLinkShare is the share of a link that a fetch is assumed to get even if the link
// is reported full.
const minLinkShare = 0.1

// parts returns the imports of the chosen plan. A partial fetch imports the back of
// the stored run.
func (p *Planner) parts(c Candidate, req Request, pred Prediction) []Part {
	from := pred.CachedTokens
	to := req.PromptTokens
	if pred.Kind == PartialFetch {
		_, stored, _ := p.fetch(c, req, from, to)
		to = from + stored
		from = to - pred.FetchTokens
	}
	p.fetch(c, req, from, to)
	parts := make([]Part, 0, len(p.scratch))
	for _, chosen := range p.scratch {
		parts = append(parts, Part{
			Store: req.Copies[chosen.copy].Store,
			From:  chosen.from, To: chosen.to, Bytes: chosen.bytes,
		})
	}
	return parts
}
