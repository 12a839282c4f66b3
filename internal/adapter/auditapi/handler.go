// Package auditapi is the HTTP handler for audit queries of operators.
package auditapi

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/lovagereach/lovagereach/audit"
	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/adapter/operators/api"
)

// PathAudit is the URL path of the handler, on entries and on control hosts.
const PathAudit = api.PathAudit

// queryTimeout is the timeout of a query, which on a control host includes requests to
// every ledger group.
const queryTimeout = 10 * time.Second

// Auditor executes audit queries.
type Auditor interface {
	Audit(ctx context.Context, q audit.Query) (audit.Result, error)
}

// New returns a handler that passes queries to auditor.
func New(auditor Auditor) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathAudit, func(w http.ResponseWriter, r *http.Request) { query(w, r, auditor) })
	return mux
}

func query(w http.ResponseWriter, r *http.Request, auditor Auditor) {
	q, err := ParseQuery(r.URL.Query())
	if err != nil {
		fail(w, http.StatusBadRequest, err)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), queryTimeout)
	defer cancel()
	result, err := auditor.Audit(ctx, q)
	if err != nil {
		fail(w, http.StatusServiceUnavailable, err)
		return
	}
	answer(w, http.StatusOK, result)
}

// ParseQuery parses a query from the URL parameters open, team, request, batch and limit.
func ParseQuery(values map[string][]string) (audit.Query, error) {
	var q audit.Query
	for name, given := range values {
		if len(given) != 1 {
			return q, fmt.Errorf("%s: must be given once", name)
		}
		value := given[0]
		switch name {
		case "open":
			open, err := strconv.ParseBool(value)
			if err != nil {
				return q, fmt.Errorf("open: %q is neither true nor false", value)
			}
			q.Open = open
		case "team":
			q.Team = ident.Team(value)
		case "request":
			id, err := ident.ParseRequest(value)
			if err != nil {
				return q, fmt.Errorf("request: %w", err)
			}
			q.Request = &id
		case "batch":
			q.Batch = value
		case "limit":
			limit, err := strconv.Atoi(value)
			if err != nil || limit < 1 || limit > audit.MaxResults {
				return q, fmt.Errorf("limit: must be 1 to %d", audit.MaxResults)
			}
			q.Limit = limit
		default:
			return q, fmt.Errorf("%s: unknown parameter; known are open, team, request, batch and limit", name)
		}
	}
	return q, nil
}

func answer(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A write fails only if the operator has disconnected.
	_ = json.NewEncoder(w).Encode(value)
}

func fail(w http.ResponseWriter, status int, err error) {
	answer(w, status, map[string]string{"error": err.Error()})
}
