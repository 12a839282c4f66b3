package steward

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/internal/wire"
	"github.com/lovagereach/lovagereach/quarantine"
)

const (
	// reportGather is the time for which the leader gathers reports into one command. All
	// entries report an upstream's crash within a few ms, and each command costs the group two
	// disk syncs.
	reportGather = 10 * time.Millisecond
	// MaxReported bounds the crashes of one report, and the requests that it clears.
	MaxReported = 64
	// maxBatchSize bounds the fingerprints and crashes of one command, 800 KB: two of the
	// longest reports. Reports beyond it are sent again.
	maxBatchSize = 2 * MaxReported * (quarantine.MaxFingerprints + 2*quarantine.MaxParts + 2)
	// forgetEvery is the interval between checks for expired crashes.
	forgetEvery = 10 * time.Second
)

// syncQuarantineTimes records at what time this host learnt of what the quarantine changed. The
// caller holds the lock.
func (m *Machine) syncQuarantineTimes(now time.Time) {
	m.crashesSeen.Sync(m.quarantine.Incarnations(), now)
	m.trialTimes.Sync(m.quarantine.QuarantinedParts(), now)
	m.firstCrashes = m.quarantine.FirstCrashes()
}

// applyReport applies an entry's report. A request that was served is cleared of all crashes
// that it was reported with. The caller holds the lock.
func (m *Machine) applyReport(r *Report) {
	before := m.quarantine.Revision()
	m.quarantine.AddCrashes(r.Crashes...)
	m.quarantine.Served(r.Served...)
	if len(r.Unserved) > 0 {
		m.quarantine.Unserved(r.Unserved...)
	}
	for _, parts := range r.Unused {
		m.quarantine.ReturnTrial(parts)
	}
	m.syncQuarantineTimes(time.Now())
	if m.quarantine.Revision() != before {
		m.notifyOrder()
	}
}

// applyForget drops crashes. The caller holds the lock.
func (m *Machine) applyForget(incarnations []quarantine.Incarnation) {
	before := m.quarantine.Revision()
	m.quarantine.Forget(incarnations...)
	m.syncQuarantineTimes(time.Now())
	if m.quarantine.Revision() != before {
		m.notifyOrder()
	}
}

// expiredCrashes lists the upstream incarnations whose crashes no longer count, by the times at
// which this host learnt of them.
func (m *Machine) expiredCrashes(now time.Time) []quarantine.Incarnation {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.crashesSeen.Expired(now)
}

// quarantined lists the requests that are sent to no upstream, and counts the suspects.
func (m *Machine) quarantined() (requests []quarantine.Fingerprint, suspects int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.quarantine.Quarantined(), len(m.quarantine.Suspects())
}

// refuted returns the upstreams whose recorded crash is refuted: this host learnt of it before.
func (m *Machine) refuted(reported []quarantine.Refuted, now time.Time) []quarantine.Incarnation {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []quarantine.Incarnation
	for _, r := range reported {
		if m.crashesSeen.Has(r.Incarnation) && m.crashesSeen.Age(r.Incarnation, now) >= r.Age {
			list = append(list, r.Incarnation)
		}
	}
	return list
}

// reportBatch is a batch of reports that share a command.
type reportBatch struct {
	report Report
	size   int
	// done is closed once err holds the outcome of the command.
	done chan struct{}
	err  error
}

// size returns the size of a report within a batch.
func (r *Report) size() int {
	n := len(r.Crashes) + len(r.Served) + len(r.Unused) + len(r.Unserved)
	for _, parts := range r.Unused {
		n += len(parts)
	}
	for i := range r.Crashes {
		n += len(r.Crashes[i].Fingerprints) + len(r.Crashes[i].Parts) + len(r.Crashes[i].ServedBefore)
	}
	return n
}

// addReport adds a report to the batch being gathered, and returns the batch, nil if it is
// full.
func (l *leadership) addReport(r *Report) *reportBatch {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.pendingReports
	if b == nil {
		b = &reportBatch{done: make(chan struct{})}
		l.pendingReports = b
		time.AfterFunc(reportGather, func() { l.commitReportBatch(b) })
	}
	if b.size += r.size(); b.size > maxBatchSize {
		b.size -= r.size()
		return nil
	}
	now := time.Now()
	for _, c := range r.Crashes {
		c.Joined, c.Age = l.crashGroups.Joins(now.Add(-c.Age)), 0
		b.report.Crashes = append(b.report.Crashes, c)
	}
	b.report.Served = append(b.report.Served, r.Served...)
	b.report.Unused = append(b.report.Unused, r.Unused...)
	b.report.Unserved = append(b.report.Unserved, r.Unserved...)
	return b
}

// commitReportBatch commits a batch; later reports begin the next one.
func (l *leadership) commitReportBatch(b *reportBatch) {
	l.mu.Lock()
	l.pendingReports = nil
	l.mu.Unlock()
	s := l.steward
	before, _ := s.machine.quarantined()
	partsBefore, _ := s.machine.quarantinedParts()
	_, b.err = s.propose(context.Background(), command{Report: &b.report})
	close(b.done)
	quarantined, suspects := s.machine.quarantined()
	s.logQuarantine("request", before, quarantined, suspects, nil)
	parts, suspects := s.machine.quarantinedParts()
	s.logQuarantine("part", partsBefore, parts, suspects, s.machine.partCrashes)
}

// logQuarantine logs which requests or parts were quarantined or released, and what crashes, if not
// nil, tells of each that was quarantined.
func (s *Steward) logQuarantine(what string, before, after []quarantine.Fingerprint, suspects int, crashes func(quarantine.Fingerprint) (crashes, groups int)) {
	for _, p := range after {
		if slices.Contains(before, p) {
			continue
		}
		fields := []any{"print", p, "held", len(after), "suspects", suspects}
		if crashes != nil {
			n, groups := crashes(p)
			fields = append(fields, "crashes", n, "groups", groups)
		}
		s.options.Log.Warn(what+" quarantined", fields...)
	}
	for _, p := range before {
		if !slices.Contains(after, p) {
			s.options.Log.Info(what+" released from quarantine", "print", p, "held", len(after), "suspects", suspects)
		}
	}
}

// commitReport commits an entry's report on the leader.
func (s *Steward) commitReport(ctx context.Context, r *Report) error {
	l := s.leading.Load()
	if l == nil {
		return ErrUnavailable
	}
	b := l.addReport(r)
	if b == nil {
		return eris.Wrap(ErrUnavailable, "too many reports at once")
	}
	select {
	case <-b.done:
		if b.err != nil {
			return b.err
		}
		return l.forgetRefuted(ctx, r.Refuted)
	case <-ctx.Done():
		return errors.Join(ErrUnavailable, ctx.Err())
	}
}

// forgetRefuted drops recorded crashes that are refuted.
func (l *leadership) forgetRefuted(ctx context.Context, refuted []quarantine.Refuted) error {
	s := l.steward
	incarnations := s.machine.refuted(refuted, time.Now())
	if len(incarnations) == 0 {
		return nil
	}
	before, _ := s.machine.quarantined()
	partsBefore, _ := s.machine.quarantinedParts()
	_, err := s.propose(ctx, command{Forget: incarnations})
	for _, i := range incarnations {
		s.options.Log.Info("crash refuted", "upstream", i.Upstream, "started_ms", i.StartedMs, "err", err)
	}
	requests, suspects := s.machine.quarantined()
	s.logQuarantine("request", before, requests, suspects, nil)
	parts, suspects := s.machine.quarantinedParts()
	s.logQuarantine("part", partsBefore, parts, suspects, s.machine.partCrashes)
	return err
}

// handleReport handles an entry's report, on any control host.
func (s *Steward) handleReport(ctx context.Context, _ port.Peer, _ port.Method, body []byte) ([]byte, error) {
	var report Report
	if err := wire.Unmarshal(body, &report); err != nil {
		return nil, eris.Wrap(err, "steward: report")
	}
	_, err := s.submit(ctx, submission{Report: &report})
	return wire.MustMarshal(submitted{Uncertain: err != nil}), nil
}

// forgetDue reports whether a check for expired crashes is due, and records the check.
func (l *leadership) forgetDue(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.crashesCheckedAt) < forgetEvery {
		return false
	}
	l.crashesCheckedAt = now
	return true
}

// forgetCrashes drops expired crashes, on the leader.
func (l *leadership) forgetCrashes(ctx context.Context, now time.Time) {
	if !l.forgetDue(now) {
		return
	}
	s := l.steward
	incarnations := s.machine.expiredCrashes(now)
	if len(incarnations) == 0 {
		return
	}
	if _, err := s.propose(ctx, command{Forget: incarnations}); err != nil {
		s.options.Log.Warn("expired crashes not removed", "ends", len(incarnations), "err", err)
	}
}
