package operators

import (
	"context"
	"net/http"
	"strings"

	"github.com/lovagereach/lovagereach/config"
	"github.com/lovagereach/lovagereach/internal/adapter/operators/api"
)

// Handler returns the HTTP handler of the API. All paths require an operator's token.
func Handler(opts Options) (http.Handler, error) {
	if err := opts.Validate(); err != nil {
		return nil, err
	}
	s := &server{opts: opts}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+api.PathConfig, s.get)
	mux.HandleFunc("POST "+api.PathConfig, s.apply)
	mux.HandleFunc("GET "+api.PathHistory, s.history)
	mux.HandleFunc("GET "+api.PathDiff, s.diff)
	mux.HandleFunc("GET "+api.PathStatus, s.status)
	mux.HandleFunc("GET "+api.PathMembers, s.members)
	mux.HandleFunc("POST "+api.PathMembers, s.changeMembers)
	mux.HandleFunc("GET "+api.PathDump, s.delegate(opts.Dump))
	mux.HandleFunc("GET "+api.PathAudit, s.delegate(opts.Audit))
	mux.HandleFunc(api.PathAudit+"/", s.delegate(opts.Audit))
	return s.authenticate(mux), nil
}

type server struct {
	opts Options
}

type operatorKey struct{}

// authenticate identifies the operator by the bearer token. It looks up the digest of the
// token, so that response times don't reveal how much of a guessed token is correct.
func (s *server) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token, isBearer := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		operator, known := s.opts.Operators[config.DigestToken(token)]
		if !isBearer || !known {
			w.Header().Set("WWW-Authenticate", "Bearer")
			s.fail(w, r, http.StatusUnauthorized, &api.Error{
				Code:    api.CodeUnauthorized,
				Message: "no operator has this token",
				Next:    "give the token whose SHA-256 stands in this control host's settings under operators",
			})
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, MaxBody)
		ctx := context.WithValue(r.Context(), operatorKey{}, operator)
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

// operatorOf returns the name of the authenticated operator, empty if there is none.
func operatorOf(r *http.Request) string {
	name, _ := r.Context().Value(operatorKey{}).(string)
	return name
}

// delegate returns a handler that calls to, or responds with 404 if to is nil.
func (s *server) delegate(to http.Handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if to == nil {
			s.fail(w, r, http.StatusNotFound, &api.Error{
				Code:    api.CodeNotFound,
				Message: r.URL.Path + " is not served by this host",
				Next:    "ask an entry's operators' listener for the audit, and any process's telemetry listener for its dump",
			})
			return
		}
		to.ServeHTTP(w, r)
	}
}
