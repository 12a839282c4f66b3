package operators

import (
	"net/http"

	"github.com/lovagereach/lovagereach/internal/adapter/operators/api"
)

func (s *server) status(w http.ResponseWriter, r *http.Request) {
	s.answer(w, r, http.StatusOK, s.opts.Control.Status())
}

func (s *server) members(w http.ResponseWriter, r *http.Request) {
	if s.opts.Members == nil {
		s.failFixedGroup(w, r)
		return
	}
	list, err := s.opts.Members.Members(r.Context())
	if err != nil {
		s.failWith(w, r, err)
		return
	}
	s.answer(w, r, http.StatusOK, api.MembersAnswer{Members: list})
}

func (s *server) changeMembers(w http.ResponseWriter, r *http.Request) {
	if s.opts.Members == nil {
		s.failFixedGroup(w, r)
		return
	}
	var request api.MemberRequest
	if err := decode(w, r, &request); err != nil {
		s.fail(w, r, http.StatusBadRequest, badRequest(err))
		return
	}
	if err := s.opts.Members.Change(r.Context(), request); err != nil {
		s.failWith(w, r, err)
		return
	}
	s.opts.Log.Info("members changed", "operator", operatorOf(r), "action", request.Action, "host", request.Host)
	s.members(w, r)
}

// failFixedGroup refuses a request about members of a control group that can't change.
func (s *server) failFixedGroup(w http.ResponseWriter, r *http.Request) {
	s.fail(w, r, http.StatusNotFound, &api.Error{
		Code:    api.CodeNotFound,
		Message: "this control group's members are fixed",
		Next:    "run the control processes with data folders to change members",
	})
}
