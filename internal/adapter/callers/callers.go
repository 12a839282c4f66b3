// Package callers is the HTTP listener for callers. It serves completions and chat
// completions in the widely used JSON format, either complete or as server-sent events,
// calls of plain services, and the address of the entry to use.
//
// All input is limited in size, and a request over a limit gets an error in the usual
// JSON format. The only state of the listener is the number of open requests of each
// team.
package callers

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/lovagereach/lovagereach/internal/entry"
	"github.com/lovagereach/lovagereach/internal/httpbound"
)

// URL paths of the listener.
const (
	PathCompletions = "/v1/completions"
	PathChat        = "/v1/chat/completions"
	PathServices    = "/v1/services/"
	PathAddress     = "/v1/address"
	PathHealth      = "/healthz"
	PathReady       = "/readyz"
)

// Headers of requests and answers.
const (
	HeaderRequestID    = "Lovage-Request-Id"
	HeaderClass        = "Lovage-Class"
	HeaderDeadline     = "Lovage-Deadline"
	HeaderOutcome      = "Lovage-Outcome"
	HeaderUpstream     = "Lovage-Upstream"
	HeaderVersion      = "Lovage-Weight-Version"
	HeaderReused       = "Lovage-Tokens-Reused"
	HeaderKeptPrompt   = "Lovage-Kept-Prompt"
	HeaderKeptFrom     = "Lovage-Kept-From"
	HeaderRepeated     = "Lovage-Repeated-Answer"
	HeaderIdempotency  = "Idempotency-Key"
	headerRetryAfter   = "Retry-After"
	headerXRequestID   = "X-Request-Id"
	contentTypeJSON    = "application/json"
	contentTypeEvents  = "text/event-stream"
	headerContentType  = "Content-Type"
	headerCacheControl = "Cache-Control"
)

// Options holds the limits of a listener. A zero field selects its default.
type Options struct {
	// MaxBody is the maximum body size in bytes.
	MaxBody int64
	// MaxHeader is the maximum header size in bytes.
	MaxHeader int
	// MaxPromptTokens is the maximum length of a prompt, MaxAnswerTokens that of
	// a requested answer.
	MaxPromptTokens int
	MaxAnswerTokens int
	// MaxOpen is the maximum number of open requests of all teams,
	// MaxOpenPerTeam that of one team.
	MaxOpen        int
	MaxOpenPerTeam int
	// ReadTimeout is the timeout of reading a request.
	ReadTimeout time.Duration
	// WriteTimeout is the time within which a caller has to accept a write. A
	// slower caller is disconnected, so that it doesn't occupy an upstream's slot.
	WriteTimeout time.Duration
	// IdleTimeout is the time after which a connection without a request is closed.
	IdleTimeout time.Duration
}

// Defaults of Options.
const (
	DefaultMaxBody         = 16 << 20
	DefaultMaxHeader       = 32 << 10
	DefaultMaxPromptTokens = 1 << 20
	DefaultMaxAnswerTokens = 32 << 10
	DefaultMaxOpen         = 8192
	DefaultMaxOpenPerTeam  = 1024
	DefaultReadTimeout     = 30 * time.Second
	DefaultWriteTimeout    = 20 * time.Second
	DefaultIdleTimeout     = 2 * time.Minute
)

// defaultAnswerTokens is the maximum answer length if the request has none.
const defaultAnswerTokens = 256

// Validate returns an error for the first negative field.
func (o Options) Validate() error {
	for _, field := range []struct {
		name  string
		value int64
	}{
		{"MaxBody", o.MaxBody},
		{"MaxHeader", int64(o.MaxHeader)},
		{"MaxPromptTokens", int64(o.MaxPromptTokens)},
		{"MaxAnswerTokens", int64(o.MaxAnswerTokens)},
		{"MaxOpen", int64(o.MaxOpen)},
		{"MaxOpenPerTeam", int64(o.MaxOpenPerTeam)},
		{"ReadTimeout", int64(o.ReadTimeout)},
		{"WriteTimeout", int64(o.WriteTimeout)},
		{"IdleTimeout", int64(o.IdleTimeout)},
	} {
		if field.value < 0 {
			return fmt.Errorf("callers: %s is negative: %d", field.name, field.value)
		}
	}
	return nil
}

func (o Options) withDefaults() Options {
	setDefault(&o.MaxBody, DefaultMaxBody)
	setDefault(&o.MaxHeader, DefaultMaxHeader)
	setDefault(&o.MaxPromptTokens, DefaultMaxPromptTokens)
	setDefault(&o.MaxAnswerTokens, DefaultMaxAnswerTokens)
	setDefault(&o.MaxOpen, DefaultMaxOpen)
	setDefault(&o.MaxOpenPerTeam, DefaultMaxOpenPerTeam)
	setDefault(&o.ReadTimeout, DefaultReadTimeout)
	setDefault(&o.WriteTimeout, DefaultWriteTimeout)
	setDefault(&o.IdleTimeout, DefaultIdleTimeout)
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Handler is the HTTP handler of the listener.
type Handler struct {
	options Options
	entry   entry.Service
	open    *openRequests
	metrics handlerMetrics
	mux     *http.ServeMux
}

type handlerMetrics struct {
	requests    *metrics.Counter
	refused     *metrics.Counter
	slowReaders *metrics.Counter
	tokens      *metrics.Counter
	streams     *metrics.Counter
}

// New returns a handler that passes requests to service. It registers its metrics in set.
func New(service entry.Service, options Options, set *metrics.Set) (*Handler, error) {
	if err := options.Validate(); err != nil {
		return nil, err
	}
	options = options.withDefaults()
	h := &Handler{
		options: options,
		entry:   service,
		open:    newOpenRequests(options.MaxOpen, options.MaxOpenPerTeam),
		metrics: handlerMetrics{
			requests:    set.NewCounter("lovagereach_callers_requests_total"),
			refused:     set.NewCounter("lovagereach_callers_refused_total"),
			slowReaders: set.NewCounter("lovagereach_callers_slow_readers_total"),
			tokens:      set.NewCounter("lovagereach_callers_tokens_total"),
			streams:     set.NewCounter("lovagereach_callers_streams_total"),
		},
		mux: http.NewServeMux(),
	}
	set.NewGauge("lovagereach_callers_open_requests", func() float64 {
		return float64(h.open.total())
	})
	h.mux.HandleFunc("POST "+PathCompletions, h.completions)
	h.mux.HandleFunc("POST "+PathChat, h.chat)
	h.mux.HandleFunc(PathServices, h.services)
	h.mux.HandleFunc("GET "+PathAddress, h.address)
	h.mux.HandleFunc("GET "+PathHealth, h.health)
	h.mux.HandleFunc("GET "+PathReady, h.ready)
	h.mux.HandleFunc("/", h.notFound)
	return h, nil
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.metrics.requests.Inc()
	if headerBytes(r) > h.options.MaxHeader {
		request, _ := requestID(r)
		h.refuse(w, request, &httpbound.BodyError{
			Status:  http.StatusRequestHeaderFieldsTooLarge,
			Message: fmt.Sprintf("the header is larger than %d bytes", h.options.MaxHeader),
		})
		return
	}
	h.mux.ServeHTTP(w, r)
}

// headerBytes returns the approximate size of a request's header as sent.
func headerBytes(r *http.Request) int {
	const separators = len(": \r\n")
	total := len(r.Method) + len(r.RequestURI) + len(r.Proto) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			total += len(name) + len(value) + separators
		}
	}
	return total
}

// headerReadFactor is the header size that net/http accepts, as a multiple of MaxHeader.
// Headers between the two sizes are refused with a JSON error; for larger ones, net/http
// responds in plain text and closes the connection.
const headerReadFactor = 2

// Server returns the HTTP server of the listener. The caller starts and closes it.
func (h *Handler) Server() *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: h.options.ReadTimeout,
		ReadTimeout:       h.options.ReadTimeout,
		IdleTimeout:       h.options.IdleTimeout,
		MaxHeaderBytes:    headerReadFactor * h.options.MaxHeader,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, callerConn{}, c)
		},
	}
}

// callerConn is the key of the connection in the context of its requests.
type callerConn struct{}

func (h *Handler) health(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(headerContentType, "text/plain")
	_, _ = w.Write([]byte("ok\n"))
}

func (h *Handler) ready(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(headerContentType, "text/plain")
	if err := h.entry.Ready(); err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = w.Write([]byte(err.Error() + "\n"))
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}
