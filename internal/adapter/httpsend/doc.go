// Package httpsend sends an HTTP request at most once and reports whether it was sent.
//
// The standard library's http.Transport retries a request by itself when a reused
// connection turns out to be closed and it considers the request idempotent: the
// method is GET, HEAD, OPTIONS or TRACE, or the request has an Idempotency-Key or
// X-Idempotency-Key header. Calls that must not be repeated have exactly these
// headers. NoRetryTransport prevents all such retries.
package httpsend
