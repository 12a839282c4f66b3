package rollout

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/lovagereach/lovagereach/roster"
)

const (
	// targetFraction is the fraction of the bound within which all runners should have a
	// version. Fewer concurrent loads leave more runners to serve.
	targetFraction = 0.8
	// firstCheckFraction is the fraction of the expected load time after which the runner
	// is polled first, and initialLoadTime the load time assumed before any load was
	// measured.
	firstCheckFraction = 0.85
	initialLoadTime    = 2 * time.Second
	// drainLead is how long before the expected end of a load the next runner is listed as
	// loading. Most runs complete within it; a longer time would leave capacity idle.
	drainLead = 500 * time.Millisecond
	// runnersPerLoad is the number of runners per concurrent load, where that allows more
	// loads than Options.AtOnce.
	runnersPerLoad = 5
	// minBackoff is how long a runner that was unreachable or refused its order is skipped,
	// and maxBackoff the longest such time; each failure in a row doubles it. Otherwise a
	// crashed runner would occupy one of the few load slots.
	minBackoff = 500 * time.Millisecond
	maxBackoff = 4 * time.Second
)

// Options configure a Schedule.
type Options struct {
	// MaxConcurrent bounds the runners that load at the same time.
	MaxConcurrent int
	// Bound is the time, from when a version becomes the target, after which no prompt may
	// begin on an older one.
	Bound time.Duration
	// Notice is the minimum time for which a runner is listed as loading before its order,
	// so that it receives nothing that it would refuse.
	Notice time.Duration
}

// Step is a load that is due.
type Step struct {
	Upstream roster.Upstream
	Model    string
	Version  uint64
}

// Progress reports how far the runners are behind the target versions.
type Progress struct {
	// Lacking is the number of runners that lack weights, of Runners in total. Loading is
	// the number of runners that accept no prompts because of a load, and AtOnce the number
	// that may load at the same time.
	Lacking, Runners, Loading, MaxConcurrent int
	// FurthestBehind is the runner that has lacked a version for longest, and Since the time since
	// which it has.
	FurthestBehind string
	Since          time.Time
}

// Age returns for how long the runner that is furthest behind has lacked weights.
func (a *Progress) Age(now time.Time) time.Duration {
	if a.Lacking == 0 {
		return 0
	}
	return now.Sub(a.Since)
}

// Schedule assigns load steps to runners. It is not safe for concurrent use.
//
// The runner whose bound expires first comes first: the one that has lacked some version
// for longest. In any other order, for example by name, each new version that follows
// shortly after another would start the round again, and the last runners would never load.
//
// No more runners load at the same time than necessary for each to meet its bound. A runner
// is listed as loading a little before its order, so that it has completed its runs when
// its step begins and the step is not spent waiting.
type Schedule struct {
	options Options
	// listed holds the runners that are next to load, with the time of their listing, and
	// loading those that load, with the start of the load. State of one incarnation of a
	// runner does not apply to the next.
	listed, loading map[incarnation]time.Time
	backoffs        map[incarnation]backoff
	// loadTime is the expected time from the order to the end of a load.
	loadTime time.Duration
	measured bool
	account  Progress
}

// incarnation identifies one incarnation of a runner.
type incarnation struct {
	id      string
	started uint64
}

func keyOf(u *roster.Upstream) incarnation { return incarnation{id: u.ID, started: u.StartedMs} }

type backoff struct {
	endedAt, until time.Time
	failures       int
}

// NewSchedule returns a schedule without any load in progress.
func NewSchedule(options Options) *Schedule {
	return &Schedule{
		options: options, listed: make(map[incarnation]time.Time), loading: make(map[incarnation]time.Time),
		backoffs: make(map[incarnation]backoff), loadTime: initialLoadTime,
	}
}

// candidate is a runner that lacks weights.
type candidate struct {
	Step
	// since is when the first version that the runner lacks became the target. queuedSince
	// is the later of since and the end of the runner's latest failed step: ordered by
	// since alone, runners that always fail would come first again each time.
	since, queuedSince time.Time
}

// Next updates the schedule with the runners that the leader hears from, lists those that
// are next as loading, and returns the steps that are due. Each step must be ended by
// Release.
func (s *Schedule) Next(live []roster.Upstream, targets *TargetVersions, now time.Time) []Step {
	queue, runners := s.queue(live, targets)
	limit := s.atOnce(queue, runners, now) + s.overdue(now)
	free := limit - len(s.loading)
	for _, since := range s.loading {
		if now.Sub(since) > s.loadTime-drainLead {
			free++
		}
	}
	var steps []Step
	eligible := make(map[incarnation]bool, len(queue))
	for i := range queue {
		id := keyOf(&queue[i].Upstream)
		if _, loads := s.loading[id]; loads || now.Before(s.backoffs[id].until) {
			continue
		}
		eligible[id] = true
		at, listed := s.listed[id]
		switch {
		case listed && len(s.loading) < limit && now.Sub(at) >= s.options.Notice:
			delete(s.listed, id)
			s.loading[id] = now
			free--
			steps = append(steps, queue[i].Step)
		case !listed && len(s.listed) < free:
			s.listed[id] = now
		}
	}
	maps.DeleteFunc(s.listed, func(id incarnation, _ time.Time) bool { return !eligible[id] })
	s.dropStale(live)
	s.recordAccount(queue, runners, limit)
	return steps
}

// dropStale deletes the backoffs of incarnations that are gone.
func (s *Schedule) dropStale(live []roster.Upstream) {
	if len(s.backoffs) <= len(live) {
		return
	}
	present := make(map[incarnation]bool, len(live))
	for i := range live {
		present[keyOf(&live[i])] = true
	}
	maps.DeleteFunc(s.backoffs, func(id incarnation, _ backoff) bool { return !present[id] })
}

// overdue returns the number of loads that take more than twice the expected time, at most
// half of AtOnce: they may never complete, and other runners must not wait until they are
// abandoned. They may also be slow because too many runners load, so that they cannot all
// be discounted.
func (s *Schedule) overdue(now time.Time) int {
	n := 0
	for _, since := range s.loading {
		if now.Sub(since) > 2*s.loadTime {
			n++
		}
	}
	return min(n, (s.options.MaxConcurrent+1)/2)
}

// queue returns the runners that lack weights, the one that has waited for longest first,
// and the number of all serving runners that have a model.
func (s *Schedule) queue(live []roster.Upstream, targets *TargetVersions) (queue []candidate, runners int) {
	for i := range live {
		u := &live[i]
		if len(u.Loaded) == 0 || u.State != roster.Serving {
			continue
		}
		runners++
		first := candidate{}
		for _, loaded := range u.Loaded {
			since, lacks := targets.FirstLacked(loaded.Model, loaded.Version)
			if lacks && (first.Version == 0 || since.Before(first.since)) {
				step := Step{Upstream: *u, Model: loaded.Model, Version: targets.Newest(loaded.Model)}
				first = candidate{Step: step, since: since}
			}
		}
		if first.Version != 0 {
			first.queuedSince = first.since
			if endedAt := s.backoffs[keyOf(u)].endedAt; endedAt.After(first.since) {
				first.queuedSince = endedAt
			}
			queue = append(queue, first)
		}
	}
	slices.SortFunc(queue, func(a, b candidate) int {
		return cmp.Or(a.queuedSince.Compare(b.queuedSince), cmp.Compare(a.Upstream.ID, b.Upstream.ID))
	})
	return queue, runners
}

// atOnce returns the number of runners that may load at the same time for the whole queue
// to be in time. A later version, with more time left, does not extend the bound of the
// runners before it in the queue.
func (s *Schedule) atOnce(queue []candidate, runners int, now time.Time) int {
	needed := 1
	step := float64(s.loadTime + s.options.Notice)
	within := fraction(targetFraction, s.options.Bound)
	for i := range queue {
		left := max(queue[i].queuedSince.Add(within).Sub(now), s.loadTime)
		needed = max(needed, int(math.Ceil(float64(i+1)*step/float64(left))))
	}
	limit := max(s.options.MaxConcurrent, runners/runnersPerLoad)
	// Behind schedule, half as many more are allowed: runners that do not answer their
	// orders occupy load slots without loading.
	return min(needed, limit+limit/2)
}

func (s *Schedule) recordAccount(queue []candidate, runners, limit int) {
	s.account = Progress{Lacking: len(queue), Runners: runners, Loading: len(s.loading) + len(s.listed), MaxConcurrent: limit}
	for i := range queue {
		if i == 0 || queue[i].since.Before(s.account.Since) {
			s.account.FurthestBehind, s.account.Since = queue[i].Upstream.ID, queue[i].since
		}
	}
}

// Progress returns the state found by the latest call of Next.
func (s *Schedule) Progress() Progress { return s.account }

// Release ends a runner's step. A runner that was not brought to its version is skipped
// until its backoff expires.
func (s *Schedule) Release(u roster.Upstream, loaded bool, now time.Time) {
	id := keyOf(&u)
	delete(s.loading, id)
	if loaded {
		delete(s.backoffs, id)
		return
	}
	b := s.backoffs[id]
	b.endedAt = now
	b.until = now.Add(min(minBackoff<<min(b.failures, 8), maxBackoff))
	b.failures++
	s.backoffs[id] = b
}

// Loading returns the IDs of the runners that accept no requests because of a load.
func (s *Schedule) Loading() []string {
	var ids []string
	for id := range s.loading {
		ids = append(ids, id.id)
	}
	for id := range s.listed {
		ids = append(ids, id.id)
	}
	slices.Sort(ids)
	return slices.Compact(ids)
}

// FirstCheck returns how long after its order a runner is to be polled first for
// completion. Each poll costs the runner work.
func (s *Schedule) FirstCheck() time.Duration {
	if !s.measured {
		return initialLoadTime / 2
	}
	return fraction(firstCheckFraction, s.loadTime)
}

// RecordLoadTime records the duration of a load. The shortest one is used, so that a load
// that had to wait for its runs does not delay the polls of all later ones.
func (s *Schedule) RecordLoadTime(took time.Duration) {
	if !s.measured || took < s.loadTime {
		s.loadTime, s.measured = took, true
	}
}
