package callers

import (
	"encoding/json"
	"net"
	"net/http"
)

// addressBody is the answer to PathAddress.
type addressBody struct {
	Address    string   `json:"address"`
	Alternates []string `json:"alternates"`
	KeepMS     int64    `json:"keep_ms"`
}

// address returns the entry that a caller should use and for how long.
func (h *Handler) address(w http.ResponseWriter, r *http.Request) {
	request, err := requestID(r)
	if err != nil {
		h.refuse(w, request, err)
		return
	}
	caller, err := h.authorize(r)
	if err != nil {
		h.refuse(w, request, err)
		return
	}
	answer, err := h.entry.Address(caller, remoteHost(r))
	if err != nil {
		h.refuse(w, request, err)
		return
	}
	body := addressBody{
		Address:    answer.Address,
		Alternates: answer.Alternates,
		KeepMS:     answer.Keep.Milliseconds(),
	}
	if body.Alternates == nil {
		body.Alternates = []string{}
	}
	header := w.Header()
	header.Set(HeaderRequestID, request.String())
	header.Set(headerContentType, contentTypeJSON)
	header.Set(headerCacheControl, "no-store")
	_ = json.NewEncoder(w).Encode(body)
}

// remoteHost returns the caller's IP address.
func remoteHost(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}
