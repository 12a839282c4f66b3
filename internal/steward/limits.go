package steward

import (
	"time"

	"github.com/lovagereach/lovagereach/ratelimit"
)

// recordLimits records the limits that a watcher reports.
func (l *leadership) recordLimits(limits []ratelimit.Observation, now time.Time) {
	if len(limits) == 0 {
		return
	}
	l.grantMu.Lock()
	defer l.grantMu.Unlock()
	for _, o := range limits {
		if live, known := l.steward.machine.upstream(o.Upstream); !known || live.StartedMs != o.StartedMs {
			continue
		}
		if l.limits.Record(o.Upstream, o.StartedMs, o.Limit, now.Add(-max(o.Age, 0)), now) {
			l.steward.options.Log.Info("upstream limit", "upstream", o.Upstream, "limited", o.Limit.Limited, "per_s", o.Limit.PerSecond)
		}
	}
}

// divideLimits divides the limits among the entries. The caller holds grantMu.
func (l *leadership) divideLimits(now time.Time) {
	l.limits.Retain(func(upstream string, startedMs uint64) bool {
		live, known := l.steward.machine.upstream(upstream)
		return known && live.StartedMs == startedMs
	}, now)
	views := l.granteeViews(now)
	entries := make([]ratelimit.Entry, len(views))
	for i, view := range views {
		entries[i] = ratelimit.Entry{Host: view.Host, Rate: float64(view.Rate)}
	}
	l.divider.Update(l.limits.List(now), entries, now)
}

// addLimits implements watchSource.
func (l *leadership) addLimits(request *WatchRequest, answer *WatchAnswer, now time.Time) {
	l.grantMu.Lock()
	defer l.grantMu.Unlock()
	addLimits(l.limits, l.limits.Revision()+1, l.elected, request, answer, now)
}

// addLimits adds the list of limits of a revision in a term, unless the caller holds it.
func addLimits(limits *ratelimit.Observations, revision, term uint64, request *WatchRequest, answer *WatchAnswer, now time.Time) {
	answer.LimitsRevision = revision
	if request.LimitsRevision != revision || request.Term != term {
		answer.Limits = limits.List(now)
	}
}
