package simload

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/lovagereach/lovagereach/ident"
)

// results collects the outcomes of the requests that arrive after the warm-up.
type results struct {
	warmUp time.Duration
	jobs   []*requestOutcome
	byJob  map[*job]*requestOutcome
}

type requestOutcome struct {
	job     *job
	first   time.Duration // time to first token, zero if none
	refused bool
	left    bool
}

func (r *results) offered(j *job) {
	if j.arrived < r.warmUp {
		return
	}
	if r.byJob == nil {
		r.byJob = make(map[*job]*requestOutcome)
	}
	o := &requestOutcome{job: j}
	r.jobs = append(r.jobs, o)
	r.byJob[j] = o
}

func (r *results) first(at time.Duration, j *job) {
	if o := r.byJob[j]; o != nil {
		o.first = at - j.arrived
	}
}

func (r *results) replace(old, j *job) {
	if o := r.byJob[old]; o != nil {
		o.job = j
		r.byJob[j] = o
	}
}

func (r *results) refused(j *job) {
	if o := r.byJob[j]; o != nil {
		o.refused = true
	}
}

func (r *results) left(j *job) {
	if o := r.byJob[j]; o != nil {
		o.left = true
	}
}

// ClassResult is the result for one class.
type ClassResult struct {
	Class         ident.Class
	Target        time.Duration
	Percentile    float64
	Requests      int
	Refused       int
	Left          int
	P50, P95, P99 time.Duration
	// Met is the fraction of all requests, including those refused and those
	// whose caller left, with a first token within the target.
	Met float64
}

// Result is the result of one run.
type Result struct {
	Workload, Policy string
	Faults           string
	Classes          []ClassResult
	// Recomputed is the fraction of prompt tokens computed, Bound the minimum
	// that any policy could reach with the same capacity for blocks.
	Recomputed, Bound float64
	// StoreLinks and EngineLinks are the mean utilization of the links.
	StoreLinks, EngineLinks float64
	// Disks is the mean utilization of the store hosts' disks.
	Disks        float64
	FetchedBytes int64
	// Fairness is the ratio of the worst team's p95 to the p95 of all requests
	// in the class with the tightest target.
	Fairness float64
	// Violations counts the used blocks of another team, version or generation,
	// Reads all used blocks, and Decisions the plans made.
	Violations, Reads, Decisions int64
	FirstWrong                   string
	// Series is the recomputed fraction and the p95 over time.
	Series []Point
	Kinds  map[string]int
	// After is the interval of afterWindow that starts recovery after the first
	// fault, with the p95 of the class with the tightest target. It is empty
	// without faults.
	After Point
}

// Point is one interval of a Series.
type Point struct {
	At         time.Duration
	Recomputed float64
	P95        time.Duration
	Requests   int
}

func (r *results) summarise(s *sim, run Run, requests []*request) Result {
	out := Result{
		Workload: run.Workload.Name, Policy: run.label(), Faults: faultNames(run.Faults),
		Recomputed: r.recomputed(), Bound: recomputeBound(run.Workload, requests),
		Violations: s.check.violations(), Reads: s.check.reads, Decisions: s.check.decisions, FirstWrong: s.check.firstWrong,
		Kinds: make(map[string]int),
	}
	for i := range run.Workload.Classes {
		out.Classes = append(out.Classes, r.class(&run.Workload.Classes[i]))
	}
	for _, e := range s.engines {
		out.EngineLinks += e.link.busy.Seconds() / s.clock.at.Seconds() / float64(len(s.engines))
	}
	for _, st := range s.stores {
		out.Disks += st.disk.busy.Seconds() / s.clock.at.Seconds() / float64(len(s.stores))
		out.StoreLinks += st.link.busy.Seconds() / s.clock.at.Seconds() / float64(len(s.stores))
	}
	for _, o := range r.jobs {
		if o.job.decision.Kind > 0 {
			out.Kinds[o.job.decision.Kind.String()]++
		}
		out.FetchedBytes += o.job.decision.FetchBytes
	}
	out.Fairness = r.fairness(&run.Workload.Classes[0])
	out.Series = r.series()
	if len(run.Faults) > 0 {
		out.After = r.after(run.Faults[0].At+recovery, &run.Workload.Classes[0])
	}
	return out
}

func (r *results) recomputed() float64 {
	computed, prompt := 0.0, 0.0
	for _, o := range r.jobs {
		computed += float64(o.job.computed)
		if o.first > 0 {
			prompt += float64(o.job.req.tokens)
		}
	}
	return computed / max(prompt, 1)
}

func (r *results) class(c *Class) ClassResult {
	out := ClassResult{Class: c.Name, Target: c.Target, Percentile: c.Percentile}
	var times []time.Duration
	met := 0
	for _, o := range r.jobs {
		if o.job.req.class != c {
			continue
		}
		out.Requests++
		switch {
		case o.refused:
			out.Refused++
		case o.first > 0:
			times = append(times, o.first)
			if o.first <= c.Target {
				met++
			}
		default:
			// The caller waited until its deadline: a lower bound of its time.
			out.Left++
			times = append(times, c.Deadline)
		}
	}
	slices.Sort(times)
	out.P50, out.P95, out.P99 = quantile(times, 0.5), quantile(times, 0.95), quantile(times, 0.99)
	out.Met = float64(met) / float64(max(out.Requests, 1))
	return out
}

// quantile returns the q-quantile of sorted, the value at index ⌊q·n⌋ without
// interpolation (at most the last), zero if it is empty.
func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	at := int(q * float64(len(sorted)))
	return sorted[min(at, len(sorted)-1)]
}

// minTeamRequests is the minimum number of requests of a team for its p95 to be
// considered.
const minTeamRequests = 100

func (r *results) fairness(c *Class) float64 {
	byTeam := make(map[ident.Team][]time.Duration)
	var all []time.Duration
	for _, o := range r.jobs {
		if o.job.req.class != c || o.refused {
			continue
		}
		first := o.first
		if first == 0 {
			first = c.Deadline
		}
		byTeam[o.job.req.team] = append(byTeam[o.job.req.team], first)
		all = append(all, first)
	}
	slices.Sort(all)
	worst := time.Duration(0)
	for _, team := range slices.Sorted(maps.Keys(byTeam)) {
		times := byTeam[team]
		if len(times) < minTeamRequests {
			continue
		}
		slices.Sort(times)
		worst = max(worst, quantile(times, 0.95))
	}
	return worst.Seconds() / max(quantile(all, 0.95).Seconds(), 1e-9)
}

// seriesStep is the length of one interval of a series.
const seriesStep = 5 * time.Second

func (r *results) series() []Point {
	groups := make(map[time.Duration][]*requestOutcome)
	for _, o := range r.jobs {
		at := o.job.arrived.Truncate(seriesStep)
		groups[at] = append(groups[at], o)
	}
	out := make([]Point, 0, len(groups))
	for at, group := range groups {
		out = append(out, pointOf(at, group))
	}
	slices.SortFunc(out, func(a, b Point) int { return cmp.Compare(a.At, b.At) })
	return out
}

// recovery is the time allowed for recovery from a fault, and afterWindow the
// duration of the measurement after it.
const (
	recovery    = 5 * time.Second
	afterWindow = 5 * time.Minute
)

func (r *results) after(from time.Duration, c *Class) Point {
	var all, tight []*requestOutcome
	for _, o := range r.jobs {
		if o.job.arrived < from || o.job.arrived >= from+afterWindow {
			continue
		}
		all = append(all, o)
		if o.job.req.class == c {
			tight = append(tight, o)
		}
	}
	out := pointOf(from, all)
	out.P95 = pointOf(from, tight).P95
	return out
}

func pointOf(at time.Duration, group []*requestOutcome) Point {
	computed, prompt := 0, 0
	var times []time.Duration
	for _, o := range group {
		computed += o.job.computed
		prompt += o.job.req.tokens
		if o.first > 0 {
			times = append(times, o.first)
		}
	}
	slices.Sort(times)
	return Point{
		At: at, Recomputed: float64(computed) / float64(max(prompt, 1)),
		P95: quantile(times, 0.95), Requests: len(group),
	}
}

// label returns the name of the policy and its variant.
func (r Run) label() string {
	if r.Variant == "" {
		return r.Policy
	}
	return r.Policy + "/" + r.Variant
}
