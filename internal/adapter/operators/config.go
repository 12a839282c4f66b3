package operators

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/lovagereach/lovagereach/config"
	"github.com/lovagereach/lovagereach/internal/adapter/operators/api"
	"github.com/lovagereach/lovagereach/internal/configdoc"
	"github.com/lovagereach/lovagereach/internal/control"
)

func badRequest(err error) *api.Error {
	return &api.Error{Code: api.CodeBadRequest, Message: err.Error(), Next: "see docs/OPERATIONS.md for the request's fields"}
}

func (s *server) get(w http.ResponseWriter, r *http.Request) {
	snapshot, err := s.opts.Control.Get(r.Context())
	if err != nil {
		s.failWith(w, r, err)
		return
	}
	s.answer(w, r, http.StatusOK, api.ConfigAnswer{Revision: snapshot.Revision(), Document: snapshot.Document()})
}

func (s *server) apply(w http.ResponseWriter, r *http.Request) {
	var request api.ApplyRequest
	if err := decode(w, r, &request); err != nil {
		s.fail(w, r, http.StatusBadRequest, badRequest(err))
		return
	}
	wanted, failure := s.controlRequest(r, request)
	if failure != nil {
		s.fail(w, r, http.StatusUnprocessableEntity, failure)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), waitTime(request))
	defer cancel()
	answer, err := s.opts.Control.Apply(ctx, wanted)
	if err != nil {
		s.failWith(w, r, err)
		return
	}
	s.answerApply(w, r, request, answer)
}

// controlRequest converts an API request into a request to the control process.
func (s *server) controlRequest(r *http.Request, request api.ApplyRequest) (control.ApplyRequest, *api.Error) {
	wanted := control.ApplyRequest{
		RequestID: request.RequestID,
		Author:    operatorOf(r),
		Note:      request.Note,
		Base:      request.Base,
		DryRun:    request.DryRun,
	}
	if request.Delta == nil {
		doc, err := configdoc.Parse(cmp.Or(request.File, "document"), []byte(request.YAML))
		if err != nil {
			return wanted, documentFailure(err)
		}
		wanted.Document = doc
		return wanted, nil
	}
	if request.Content == nil || request.YAML != "" {
		return wanted, badRequest(errors.New("delta: needs content and no yaml"))
	}
	wanted.Delta = request.Delta
	wanted.Content = config.ContentDigest(*request.Content)
	return wanted, nil
}

// waitTime returns the requested wait, limited to api.MaxWait, or the default.
func waitTime(request api.ApplyRequest) time.Duration {
	wait := time.Duration(request.WaitMillis) * time.Millisecond
	return min(cmp.Or(max(wait, 0), DefaultWait), api.MaxWait)
}

func (s *server) answerApply(w http.ResponseWriter, r *http.Request, request api.ApplyRequest, answer control.ApplyAnswer) {
	result := answer.Result
	s.opts.Log.Info("apply", "operator", operatorOf(r), "request", request.RequestID, "base", request.Base,
		"verdict", result.Verdict, "revision", result.Revision, "repeated", result.Repeated, "in_force", answer.InForce, "dry_run", request.DryRun)
	if status, failure := refusal(result, request.Base); failure != nil {
		s.fail(w, r, status, failure)
		return
	}
	status := http.StatusOK
	if !answer.InForce && !request.DryRun {
		status = http.StatusAccepted
	}
	s.answer(w, r, status, api.ApplyAnswer{
		RequestID: request.RequestID,
		Verdict:   result.Verdict,
		Revision:  result.Revision,
		Repeated:  result.Repeated,
		InForce:   answer.InForce,
		DryRun:    request.DryRun,
		Delta:     answer.Delta,
	})
}

func (s *server) history(w http.ResponseWriter, r *http.Request) {
	before, err := queryNumber(r, "before", 0)
	if err != nil {
		s.fail(w, r, http.StatusBadRequest, badRequest(err))
		return
	}
	limit, err := queryNumber(r, "limit", DefaultHistory)
	if err != nil || limit > MaxHistory {
		s.fail(w, r, http.StatusBadRequest, badRequest(fmt.Errorf("limit: must be a number up to %d", MaxHistory)))
		return
	}
	list, err := s.opts.Control.History(r.Context(), config.Revision(before), int(limit))
	if err != nil {
		s.failWith(w, r, err)
		return
	}
	s.answer(w, r, http.StatusOK, api.HistoryAnswer{Revisions: list})
}

func (s *server) diff(w http.ResponseWriter, r *http.Request) {
	from, err := queryNumber(r, "from", 0)
	if err != nil {
		s.fail(w, r, http.StatusBadRequest, badRequest(err))
		return
	}
	to, err := queryNumber(r, "to", uint64(s.opts.Control.Status().Revision))
	if err != nil {
		s.fail(w, r, http.StatusBadRequest, badRequest(err))
		return
	}
	delta, err := s.opts.Control.DeltaBetween(r.Context(), config.Revision(from), config.Revision(to))
	if err != nil {
		s.failWith(w, r, err)
		return
	}
	s.answer(w, r, http.StatusOK, api.DiffAnswer{Delta: delta})
}

// queryNumber returns a number from the URL query, or missing if it is absent.
func queryNumber(r *http.Request, key string, missing uint64) (uint64, error) {
	text := r.URL.Query().Get(key)
	if text == "" {
		return missing, nil
	}
	number, err := strconv.ParseUint(text, 10, 63)
	if err != nil {
		return 0, fmt.Errorf("%s: %q is not a number", key, text)
	}
	return number, nil
}
