package steward

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/lovagereach/lovagereach/handover"
	"github.com/lovagereach/lovagereach/ident"
)

const (
	// learnedTTL is the time for which a report counts. Entries repeat theirs several times within
	// it.
	learnedTTL = 2 * time.Minute
	// maxLearnedReports bounds the reports held; each takes some hundred bytes.
	maxLearnedReports = 4096
	// learnedEvery is the minimum time between two commands with what entries have learned, and
	// learnedRefresh the time after which it is committed again although it has not changed, so that
	// it doesn't become too old to be used.
	learnedEvery   = 2 * time.Second
	learnedRefresh = time.Hour
)

// learnedReports holds what the callers of this host's watches have learned: entries, and control
// hosts for the entries that watch them.
type learnedReports struct {
	log     throttledLog
	results map[handover.Result]*metrics.Counter

	mu       sync.Mutex
	byHost   map[ident.Host]learnedReport
	reporter handover.Reporter
}

type learnedReport struct {
	estimates handover.Estimates
	at        time.Time
}

// record records a report. One that can't be used leaves the earlier one.
func (l *learnedReports) record(host ident.Host, snapshot []byte, now time.Time) {
	estimates, result := handover.Decode(snapshot, now)
	if counter := l.results[result]; counter != nil {
		counter.Inc()
	}
	if result != handover.Used {
		l.log.info(now, "learned estimates thrown away", "reason", result.String(), "from", host, "bytes", len(snapshot))
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byHost == nil {
		l.byHost = make(map[ident.Host]learnedReport)
	}
	if _, known := l.byHost[host]; known || len(l.byHost) < maxLearnedReports {
		l.byHost[host] = learnedReport{estimates: estimates, at: now}
	}
}

// merge returns what was known before together with the reports, and their number. The caller
// holds the lock.
func (l *learnedReports) merge(before handover.Estimates, now time.Time) (handover.Estimates, int) {
	var observers []handover.Estimates
	for host, report := range l.byHost {
		if now.Sub(report.at) > learnedTTL {
			delete(l.byHost, host)
			continue
		}
		observers = append(observers, report.estimates)
	}
	return handover.Merge(before, observers), len(observers)
}

// report returns this host's own report to the leader, nil if none is due.
func (l *learnedReports) report(now time.Time) []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reporter.Report(func() handover.Estimates {
		merged, _ := l.merge(handover.Estimates{}, now)
		return merged
	}, now, now)
}

// shareLearned commits what the entries have learned if it has changed, so that it survives a loss
// of power at all hosts and every control host can pass it on.
func (l *leadership) shareLearned(ctx context.Context, now time.Time) {
	s := l.steward
	if !s.options.Handover || now.Sub(l.learnedCheckedAt) < learnedEvery {
		return
	}
	l.learnedCheckedAt = now
	committed, _ := s.machine.learnedSnapshot()
	before, _ := handover.Decode(committed, now)
	s.learned.mu.Lock()
	merged, reports := s.learned.merge(before, now)
	s.learned.mu.Unlock()
	if reports == 0 || !handover.Changed(before, merged) && now.Sub(l.learnedSharedAt) < learnedRefresh {
		return
	}
	if _, err := s.propose(ctx, command{Learned: handover.Encode(merged, now)}); err != nil {
		s.options.Log.Info("learned estimates not committed", "err", err)
		return
	}
	l.learnedSharedAt = now
}

// applyLearned applies what entries have learned. It wakes no watch: entries get it with their next
// answer. The caller holds the lock.
func (m *Machine) applyLearned(snapshot []byte) {
	if len(snapshot) <= handover.MaxBytes {
		m.learned = snapshot
		m.learnedRevision++
	}
}

// learnedSnapshot returns what entries have learned and its revision, 0 for none.
func (m *Machine) learnedSnapshot() ([]byte, uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.learned, m.learnedRevision
}

// learnedEntries returns the number of entries by what they have reported before a restart, 0 if
// unknown.
func (s *Steward) learnedEntries() int {
	if !s.options.Handover {
		return 0
	}
	snapshot, _ := s.machine.learnedSnapshot()
	estimates, result := handover.Decode(snapshot, time.Now())
	if result != handover.Used {
		return 0
	}
	return estimates.Entries
}

// addLearned adds what other entries have learned if the caller, an entry, lacks it.
func (s *Steward) addLearned(request *WatchRequest, answer *WatchAnswer) {
	if !s.options.Handover || request.Entry == nil {
		return
	}
	if snapshot, revision := s.machine.learnedSnapshot(); revision != request.LearnedRevision {
		answer.Learned, answer.LearnedRevision = snapshot, revision
	}
}
