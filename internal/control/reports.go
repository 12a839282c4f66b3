package control

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/control/protocol"
	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/lease"
)

// Limits of the stored reports.
const (
	// reportLifetime is the time after which an entry's report expires.
	reportLifetime = 10 * time.Second
	maxReporters   = lease.MaxHolders
)

// reportTable stores the latest report of each entry.
type reportTable struct {
	mu      sync.Mutex
	reports map[ident.Host]receivedReport
}

type receivedReport struct {
	receivedAt time.Time
	upstreams  []protocol.Upstream
}

func newReportTable() *reportTable {
	return &reportTable{reports: make(map[ident.Host]receivedReport)}
}

func (t *reportTable) put(from ident.Host, now time.Time, upstreams []protocol.Upstream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, known := t.reports[from]; !known && len(t.reports) >= maxReporters {
		return
	}
	t.reports[from] = receivedReport{receivedAt: now, upstreams: upstreams}
}

// upstreams merges the current reports. If several entries report an upstream,
// the highest incarnation is used, and for equal incarnations the latest report.
func (t *reportTable) upstreams(now time.Time) map[ident.Upstream]protocol.Upstream {
	t.mu.Lock()
	defer t.mu.Unlock()
	joined := make(map[ident.Upstream]protocol.Upstream)
	seen := make(map[ident.Upstream]time.Time)
	for host, report := range t.reports {
		if now.Sub(report.receivedAt) > reportLifetime {
			delete(t.reports, host)
			continue
		}
		for _, upstream := range report.upstreams {
			known, found := joined[upstream.ID]
			if found && !supersedes(upstream, report.receivedAt, known, seen[upstream.ID]) {
				continue
			}
			joined[upstream.ID] = upstream
			seen[upstream.ID] = report.receivedAt
		}
	}
	return joined
}

func supersedes(upstream protocol.Upstream, at time.Time, known protocol.Upstream, knownAt time.Time) bool {
	if upstream.Incarnation != known.Incarnation {
		return upstream.Incarnation > known.Incarnation
	}
	return at.After(knownAt)
}

// report stores an entry's report of the engines it follows.
func (s *Server) report(_ context.Context, from port.Peer, request protocol.Report) (protocol.ReportAnswer, error) {
	if s.leadership.Load() == nil {
		return protocol.ReportAnswer{Redirect: s.redirect()}, nil
	}
	upstreams := request.Upstreams[:min(len(request.Upstreams), protocol.MaxReported)]
	s.reports.put(from.Host, time.Now(), upstreams)
	return protocol.ReportAnswer{}, nil
}

func sortedUpstreams(joined map[ident.Upstream]protocol.Upstream) []protocol.Upstream {
	list := slices.Collect(maps.Values(joined))
	slices.SortFunc(list, func(a, b protocol.Upstream) int { return cmp.Compare(a.ID, b.ID) })
	return list
}
