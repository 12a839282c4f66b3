package audited

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/lovagereach/lovagereach/audit"
	"github.com/lovagereach/lovagereach/config"
	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/adapter/callers"
	"github.com/lovagereach/lovagereach/internal/entry"
	"github.com/lovagereach/lovagereach/internal/httpbound"
	"github.com/lovagereach/lovagereach/outcome"
)

// Headers by which a caller assigns a request to a declared batch. A resent item keeps
// its name, so that it counts once.
const (
	HeaderBatch = "Lovage-Batch"
	HeaderItem  = "Lovage-Batch-Item"
)

// PathBatches is the path prefix before a batch's name: PUT declares the batch, GET
// returns its status. Both are limited to the batches of the caller's team.
const PathBatches = "/v1/batches/"

const (
	batchTimeout = 5 * time.Second
	maxBatchBody = 4 << 10
)

type batchItemKey struct{}

// batchItem is the batch and item that a request names in its headers.
type batchItem struct {
	batch, item string
}

func batchItemOf(ctx context.Context) batchItem {
	p, _ := ctx.Value(batchItemKey{}).(batchItem)
	return p
}

// Handler returns the handler for batches. It passes other requests to next, with
// their batch headers in the context.
func (s *Service) Handler(next http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT "+PathBatches+"{name}", s.declare)
	mux.HandleFunc("GET "+PathBatches+"{name}", s.status)
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		p := batchItem{batch: r.Header.Get(HeaderBatch), item: r.Header.Get(HeaderItem)}
		if p == (batchItem{}) {
			next.ServeHTTP(w, r)
			return
		}
		if p.batch == "" || len(p.batch) > audit.MaxItemLength || len(p.item) > audit.MaxItemLength {
			refuse(w, r, badRequest("%s must name a batch, and it and %s must have at most %d bytes", HeaderBatch, HeaderItem, audit.MaxItemLength))
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), batchItemKey{}, p)))
	})
	return mux
}

// declarationBody is the body of a declaration.
type declarationBody struct {
	Expected int       `json:"expected"`
	Deadline time.Time `json:"deadline"`
}

func (s *Service) declare(w http.ResponseWriter, r *http.Request) {
	id, err := s.batchOf(r)
	if err != nil {
		refuse(w, r, err)
		return
	}
	body, err := readDeclaration(w, r)
	if err != nil {
		refuse(w, r, badRequest("the body can't be read: %v", err))
		return
	}
	if body.Expected < 1 || body.Expected > audit.MaxBatchItems || !body.Deadline.After(s.options.Now()) {
		refuse(w, r, badRequest("expected must be 1 to %d and deadline a time to come", audit.MaxBatchItems))
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), batchTimeout)
	defer cancel()
	d := audit.Declaration{BatchID: id, Expected: body.Expected, Deadline: body.Deadline}
	if err := s.options.Batches.Declare(ctx, d); err != nil {
		// Declarations are idempotent, so the caller can retry.
		refuse(w, r, &outcome.Unknown{Reason: outcome.ReasonLedgerDown, Detail: err.Error()})
		return
	}
	answer(w, http.StatusOK, d)
}

func readDeclaration(w http.ResponseWriter, r *http.Request) (declarationBody, error) {
	var body declarationBody
	data, err := httpbound.ReadBody(w, r, maxBatchBody)
	if err != nil {
		return body, err
	}
	return body, httpbound.DecodeJSON(data, &body, false)
}

func (s *Service) status(w http.ResponseWriter, r *http.Request) {
	id, err := s.batchOf(r)
	if err != nil {
		refuse(w, r, err)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), batchTimeout)
	defer cancel()
	found, err := s.options.Batches.Audit(ctx, audit.Query{Team: id.Team, Batch: id.Batch, Limit: 1})
	if err != nil {
		refuse(w, r, &outcome.Unknown{Reason: outcome.ReasonLedgerDown, Detail: err.Error()})
		return
	}
	if len(found.Batches) == 0 {
		refuse(w, r, &httpbound.BodyError{Status: http.StatusNotFound, Message: "no such batch is declared"})
		return
	}
	answer(w, http.StatusOK, found.Batches[0])
}

// batchOf returns the batch of a request by the caller's team and the path.
func (s *Service) batchOf(r *http.Request) (audit.BatchID, error) {
	scheme, token, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") || token == "" {
		return audit.BatchID{}, &outcome.NotRun{Reason: outcome.ReasonUnauthorized, Detail: "an Authorization header with a bearer token is required"}
	}
	caller, err := s.Authorize(config.TokenDigest(sha256.Sum256([]byte(token))))
	if err != nil {
		return audit.BatchID{}, err
	}
	name := r.PathValue("name")
	if name == "" || len(name) > audit.MaxItemLength {
		return audit.BatchID{}, badRequest("a batch's name must have 1 to %d bytes", audit.MaxItemLength)
	}
	return audit.BatchID{Team: s.team(caller), Batch: name}, nil
}

func (s *Service) team(caller entry.Caller) ident.Team { return s.options.Team(caller) }

func badRequest(format string, args ...any) error {
	return &outcome.NotRun{Reason: outcome.ReasonBadRequest, Detail: fmt.Sprintf(format, args...)}
}

// refuse answers with an error in the format of the callers' listener.
func refuse(w http.ResponseWriter, r *http.Request, err error) {
	status := 0
	var unknown *outcome.Unknown
	if errors.As(err, &unknown) {
		// Only the trace was unreachable, and requests to it are idempotent.
		status = http.StatusServiceUnavailable
	}
	callers.WriteError(w, r, status, err)
}

func answer(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A write error means that the caller has gone.
	_ = json.NewEncoder(w).Encode(value)
}
