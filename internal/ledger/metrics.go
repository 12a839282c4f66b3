package ledger

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/lovagereach/lovagereach/internal/port"
)

var recordsRefused = metrics.NewCounter(`lovagereach_ledger_records_refused_total`)

var resolutionsDropped = metrics.NewCounter(`lovagereach_ledger_settlements_dropped_total`)

func countResolution(method port.Method, committed bool) {
	name := fmt.Sprintf(`lovagereach_ledger_settlements_total{method=%q,committed="%t"}`, method, committed)
	metrics.GetOrCreateCounter(name).Inc()
}

var traceClosesDropped = metrics.NewCounter(`lovagereach_ledger_trace_closes_dropped_total`)

var requestsOverdue = metrics.NewCounter(`lovagereach_audit_requests_overdue_total`)
