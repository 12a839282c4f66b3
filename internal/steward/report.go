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
	// reportGather is how long the leader gathers reports for one command. All entries
	// report an upstream's end within a few ms, and each command costs the group two
	// syncs of a disk.
	reportGather = 10 * time.Millisecond
	// MaxReported bounds the ends of one report, and the requests that it clears.
	MaxReported = 64
	// reportMost bounds the prints and ends that one command gathers, 260 KB: two of the
	// longest reports. What comes beyond is reported again.
	reportMost = 2 * MaxReported * (quarantine.MaxFingerprints + 2)
	// forgetEvery is how often ends are looked for that no longer count.
	forgetEvery = 10 * time.Second
)

// applyReport takes in what entries have seen. A request that was served clears itself
// of all that was reported beside it. The caller holds the lock.
func (m *Machine) applyReport(r *Report) {
	before := m.quarantine.Revision()
	m.quarantine.Ended(r.Crashes...)
	m.quarantine.Served(r.Served...)
	m.seen.Follow(m.quarantine.Incarnations(), time.Now())
	if m.quarantine.Revision() != before {
		m.notifyOrder()
	}
}

// applyForget drops ends. The caller holds the lock.
func (m *Machine) applyForget(lives []quarantine.Incarnation) {
	before := m.quarantine.Revision()
	m.quarantine.Forget(lives...)
	m.seen.Follow(m.quarantine.Incarnations(), time.Now())
	if m.quarantine.Revision() != before {
		m.notifyOrder()
	}
}

// oldEnds lists the ends that no longer count, as this host has learnt of them.
func (m *Machine) oldEnds(now time.Time) []quarantine.Incarnation {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.seen.Old(now)
}

// quarantined lists the requests that are sent to no upstream, and counts those suspected.
func (m *Machine) quarantined() (held []quarantine.Fingerprint, suspects int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.quarantine.Quarantined(), len(m.quarantine.Suspects())
}

// reportBatch are reports that share a command.
type reportBatch struct {
	report Report
	size   int
	// done is closed once err tells what became of the command.
	done chan struct{}
	err  error
}

// size is what a report takes of a batch.
func (r *Report) size() int {
	n := len(r.Crashes) + len(r.Served)
	for i := range r.Crashes {
		n += len(r.Crashes[i].Prints)
	}
	return n
}

// join adds a report to the batch that is being gathered, and returns it, nil if it is
// full.
func (l *leadership) join(r *Report) *reportBatch {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.reports
	if b == nil {
		b = &reportBatch{done: make(chan struct{})}
		l.reports = b
		time.AfterFunc(reportGather, func() { l.commitReports(b) })
	}
	if b.size += r.size(); b.size > reportMost {
		b.size -= r.size()
		return nil
	}
	b.report.Crashes = append(b.report.Crashes, r.Crashes...)
	b.report.Served = append(b.report.Served, r.Served...)
	return b
}

// commitReports commits a batch, after which the next is begun.
func (l *leadership) commitReports(b *reportBatch) {
	l.mu.Lock()
	l.reports = nil
	l.mu.Unlock()
	s := l.steward
	before, _ := s.machine.quarantined()
	_, b.err = s.propose(context.Background(), command{Report: &b.report})
	close(b.done)
	held, suspects := s.machine.quarantined()
	if slices.Equal(before, held) {
		return
	}
	for _, p := range held {
		if !slices.Contains(before, p) {
			s.options.Log.Warn("request held", "print", p, "held", len(held), "suspects", suspects)
		}
	}
	for _, p := range before {
		if !slices.Contains(held, p) {
			s.options.Log.Info("request released", "print", p, "held", len(held), "suspects", suspects)
		}
	}
}

// takeReport has the leader commit what an entry has seen.
func (s *Steward) takeReport(ctx context.Context, r *Report) error {
	l := s.leading.Load()
	if l == nil {
		return ErrUnavailable
	}
	b := l.join(r)
	if b == nil {
		return eris.Wrap(ErrUnavailable, "too many reports at once")
	}
	select {
	case <-b.done:
		return b.err
	case <-ctx.Done():
		return errors.Join(ErrUnavailable, ctx.Err())
	}
}

// handleReport takes an entry's report, at any control host.
func (s *Steward) handleReport(ctx context.Context, _ port.Peer, _ port.Method, body []byte) ([]byte, error) {
	var report Report
	if err := wire.Unmarshal(body, &report); err != nil {
		return nil, eris.Wrap(err, "steward: report")
	}
	_, err := s.submit(ctx, submission{Report: &report})
	return wire.MustMarshal(submitted{Uncertain: err != nil}), nil
}

// forgetsNow reports whether ends are to be looked for again, and notes the look.
func (l *leadership) forgetsNow(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.forgotAt) < forgetEvery {
		return false
	}
	l.forgotAt = now
	return true
}

// forgetEnds drops ends that no longer count, on the leader.
func (l *leadership) forgetEnds(ctx context.Context, now time.Time) {
	if !l.forgetsNow(now) {
		return
	}
	s := l.steward
	lives := s.machine.oldEnds(now)
	if len(lives) == 0 {
		return
	}
	if _, err := s.propose(ctx, command{Forget: lives}); err != nil {
		s.options.Log.Warn("ends not forgotten", "ends", len(lives), "err", err)
	}
}
