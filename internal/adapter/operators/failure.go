package operators

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"github.com/lovagereach/lovagereach/config"
	"github.com/lovagereach/lovagereach/internal/adapter/operators/api"
	"github.com/lovagereach/lovagereach/internal/control"
	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/internal/settings"
)

// failWith sends an error of the control process.
func (s *server) failWith(w http.ResponseWriter, r *http.Request, err error) {
	status, failure := s.failureOf(err)
	s.fail(w, r, status, failure)
}

// failureOf returns the HTTP status and the API error for err.
func (s *server) failureOf(err error) (int, *api.Error) {
	var notLeader *port.NotLeaderError
	var outside *config.RangeError
	var refused *api.Error
	var tooLarge *control.TooLargeError
	switch {
	case errors.As(err, &tooLarge):
		return http.StatusRequestEntityTooLarge, &api.Error{
			Code:    api.CodeRefused,
			Message: tooLarge.Error(),
			Next:    "apply the document in steps, for example some thousand new teams at a time",
		}
	case errors.As(err, &refused):
		return http.StatusUnprocessableEntity, refused
	case errors.As(err, &outside):
		return http.StatusNotFound, &api.Error{
			Code:     api.CodeNotFound,
			Message:  outside.Error(),
			Next:     "name two revisions within this range, the earlier first",
			Revision: outside.Latest,
		}
	case errors.As(err, &notLeader):
		return http.StatusServiceUnavailable, &api.Error{
			Code:    api.CodeNotLeader,
			Message: fmt.Sprintf("this control host does not lead; the leader is %q", notLeader.Leader),
			Next:    "send the same request to the leader, or to any other control host",
			Leader:  s.opts.Leaders[notLeader.Leader],
		}
	default:
		return http.StatusServiceUnavailable, unavailable(err)
	}
}

// unavailable returns the API error for a control group without a leader or quorum.
func unavailable(err error) *api.Error {
	switch {
	case errors.Is(err, port.ErrUncertain):
		return &api.Error{
			Code:    api.CodeUncertain,
			Message: "the change may or may not be committed",
			Next:    "send the same request again with the same request id, here or to another control host; it is applied at most once",
		}
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		return &api.Error{
			Code:    api.CodeUnavailable,
			Message: "no quorum answered in time",
			Next:    "look at status on every control host; a majority must be up and reach each other",
		}
	default:
		return &api.Error{
			Code:    api.CodeUnavailable,
			Message: err.Error(),
			Next:    "try another control host",
		}
	}
}

// documentFailure returns the API error for a document that is malformed or invalid.
func documentFailure(err error) *api.Error {
	failure := &api.Error{
		Code:    api.CodeInvalid,
		Message: "the configuration is not valid: " + err.Error(),
		Next:    "mend the document and apply it again",
	}
	var located settings.Problems
	if errors.As(err, &located) {
		for _, problem := range located {
			failure.Problems = append(failure.Problems, config.Problem{Path: problem.Key, Reason: problem.Error()})
		}
	}
	var problems config.Problems
	if errors.As(err, &problems) {
		failure.Problems = problems
	}
	return failure
}

// refusal returns the HTTP status and the API error for a refused change. The error is
// nil for other results.
func refusal(result config.Result, base config.Revision) (int, *api.Error) {
	switch result.Verdict {
	case config.VerdictConflict:
		message := fmt.Sprintf("another change won: revision %d is no longer the latest, %d is", base, result.Revision)
		if result.Winner != nil {
			message += fmt.Sprintf("; revision %d is by %s", result.Winner.Revision, result.Winner.Author)
		}
		return http.StatusConflict, &api.Error{
			Code:     api.CodeConflict,
			Message:  message,
			Next:     "look at the diff from your revision to the latest, merge, and apply on the latest",
			Winner:   result.Winner,
			Revision: result.Revision,
		}
	case config.VerdictReused:
		return http.StatusConflict, &api.Error{
			Code:     api.CodeReused,
			Message:  "this request id was used before for another change",
			Next:     "use a new request id for a new change",
			Revision: result.Revision,
		}
	case config.VerdictInvalid:
		failure := documentFailure(result.Problems)
		failure.Revision = result.Revision
		return http.StatusUnprocessableEntity, failure
	default:
		return 0, nil
	}
}
