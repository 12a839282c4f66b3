package upstreamapi

import (
	"net/http"
	"strconv"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/adapter/httpsend"
)

// SetAttempt sets the headers that identify an attempt.
func SetAttempt(header http.Header, request ident.Request, attempt uint32) {
	header.Set(httpsend.HeaderRequest, request.String())
	header.Set(httpsend.HeaderAttempt, strconv.FormatUint(uint64(attempt), 10))
}

// ReadAttempt parses the headers set by SetAttempt.
func ReadAttempt(header http.Header) (ident.Request, uint32, error) {
	request, err := ident.ParseRequest(header.Get(httpsend.HeaderRequest))
	if err != nil {
		return ident.Request{}, 0, err
	}
	attempt, err := strconv.ParseUint(header.Get(httpsend.HeaderAttempt), 10, 32)
	if err != nil {
		return ident.Request{}, 0, err
	}
	return request, uint32(attempt), nil
}
