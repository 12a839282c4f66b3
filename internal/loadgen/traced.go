package loadgen

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/adapter/operators/api"
	"github.com/lovagereach/lovagereach/internal/adapter/operators/apiclient"
)

// AuditOptions configure the access to the audit.
type AuditOptions struct {
	// Servers are the URLs of the control hosts' operators' listeners.
	Servers []string
	// Token is an operator's token.
	Token string
}

// TraceReport counts the prompts that an engine started and whose outcome the
// caller did not receive, by their state in the audit.
type TraceReport struct {
	// Unheard is the number of these prompts.
	Unheard int `json:"unheard"`
	// Closed is the number with an outcome in the audit, Open the number that
	// the audit lists without one.
	Closed int `json:"closed"`
	Open   int `json:"open"`
}

// maxNoOutcome bounds the number of recorded requests without an outcome.
const maxNoOutcome = 1 << 14

// traceRecord is the part of an audit record that is evaluated.
type traceRecord struct {
	Closed bool `json:"closed"`
}

// checkTraces queries the audit for each prompt that ran and whose caller did not
// receive an outcome, such as after a crash of its entry. A prompt without an
// audit record is lost without any trace.
func (r *runner) checkTraces(ctx context.Context, ran Ran) error {
	options := r.options.Audit
	if options == nil {
		return nil
	}
	client, err := apiclient.New(options.Servers, options.Token, r.transport)
	if err != nil {
		return err
	}
	for _, id := range r.recorder.runsWithoutOutcome(ran) {
		records, err := auditRecords(ctx, client, id)
		if err != nil {
			return fmt.Errorf("audit of %s: %w", id, err)
		}
		r.recorder.recordTrace(id, records)
	}
	return nil
}

func auditRecords(ctx context.Context, client *apiclient.Client, id ident.Request) ([]traceRecord, error) {
	var answer struct {
		Records []json.RawMessage `json:"records"`
	}
	err := client.Call(ctx, apiclient.Request{
		Path:       api.PathAudit + "?request=" + id.String(),
		Into:       &answer,
		Repeatable: true,
	})
	if err != nil {
		return nil, err
	}
	records := make([]traceRecord, len(answer.Records))
	for i, raw := range answer.Records {
		if err := json.Unmarshal(raw, &records[i]); err != nil {
			return nil, err
		}
	}
	return records, nil
}

// runsWithoutOutcome returns the prompts that ran and whose caller did not receive
// an outcome.
func (l *recorder) runsWithoutOutcome(ran Ran) []ident.Request {
	l.mu.Lock()
	defer l.mu.Unlock()
	var ids []ident.Request
	for _, id := range l.noOutcome {
		if ran.Requests[id] {
			ids = append(ids, id)
		}
	}
	return ids
}

// recordTrace counts a request by its audit records.
func (l *recorder) recordTrace(id ident.Request, records []traceRecord) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.traces.Unheard++
	switch {
	case len(records) == 0:
		l.violations.Untraced++
		l.addExample("untraced", id.String(), "an engine began it, the caller heard nothing, the audit knows nothing")
	case records[0].Closed:
		l.traces.Closed++
	default:
		l.traces.Open++
	}
}
