// Package announce is the HTTP listener for announcements, load reports and cache events
// of upstreams, sent as JSON. It validates messages, limits their size and passes them to
// a Sink; it holds no state.
package announce

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/lovagereach/lovagereach/internal/httpbound"
	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/upstream"
)

// URL paths of the listener.
const (
	PathAnnouncement = "/v1/announce"
	PathLoad         = "/v1/load"
	PathEvents       = "/v1/cache-events"
)

// Limits of one message, in bytes or items, and timeouts.
const (
	// MaxBody is the maximum body size in bytes.
	MaxBody = 1 << 20
	// MaxHeader is the maximum header size in bytes.
	MaxHeader = 16 << 10
	// MaxEvents is the maximum number of cache events in a batch.
	MaxEvents = 4096
	// MaxName is the maximum length of an identifier in bytes.
	MaxName = 128
	// MaxModels is the maximum number of loaded versions in an announcement.
	MaxModels = 64
	// MaxAdapters is the maximum number of adapters of a loaded version.
	MaxAdapters = 256
	// MaxLease is the maximum lease that an announcement may request.
	MaxLease = time.Minute
	// ioTimeout is the timeout of reading a request and of writing its answer.
	ioTimeout = 5 * time.Second
	// idleTimeout is the time after which an idle connection is closed.
	idleTimeout = 2 * time.Minute
)

// Reply is the answer to an announcement.
type Reply struct {
	// LeaseMillis is the time for which this entry holds the announcement.
	LeaseMillis int64 `json:"lease_ms"`
	// Entries are the announcement listeners, each an IP address and port, to
	// which the upstream sends announcements and reports from now on.
	Entries []string `json:"entries"`
	// Resync requests another announcement without delay.
	Resync bool `json:"resync,omitempty"`
	// ReportEveryMillis and EventsEveryMillis are the minimum intervals between
	// load reports and between batches of cache events to this entry; zero leaves
	// them to the upstream.
	ReportEveryMillis int64 `json:"report_every_ms,omitempty"`
	EventsEveryMillis int64 `json:"events_every_ms,omitempty"`
}

// Assignment is a Sink's answer to an announcement.
type Assignment struct {
	// Entries are the addresses to which the upstream sends announcements from now on.
	Entries []string
	// ReportIntervals holds the intervals of the upstream's reports to this entry.
	ReportIntervals upstream.ReportIntervals
}

func (a Assignment) reply(leaseMillis int64) Reply {
	return Reply{
		LeaseMillis:       leaseMillis,
		Entries:           a.Entries,
		ReportEveryMillis: a.ReportIntervals.ReportEvery.Milliseconds(),
		EventsEveryMillis: a.ReportIntervals.EventsEvery.Milliseconds(),
	}
}

// EventsReply is the answer to a batch of cache events.
type EventsReply struct {
	// Snapshot is true if events are missing and the entry will read a snapshot.
	Snapshot bool `json:"snapshot,omitempty"`
}

// Sink receives the messages of upstreams. Its methods return an error only for invalid
// input; the error is sent to the upstream.
type Sink interface {
	Announce(port.Announcement) (Assignment, error)
	Load(port.LoadReport) error
	// Events reports whether events are missing before those of the batch.
	Events(port.CacheEvents) (bool, error)
}

// NewServer returns the HTTP server of the listener. The caller starts and closes it.
func NewServer(sink Sink, set *metrics.Set) *http.Server {
	return &http.Server{
		Handler:           NewHandler(sink, set),
		ReadTimeout:       ioTimeout,
		ReadHeaderTimeout: ioTimeout,
		WriteTimeout:      ioTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    MaxHeader,
	}
}

// NewHandler returns the HTTP handler of the listener. It registers its counters in set.
func NewHandler(sink Sink, set *metrics.Set) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST "+PathAnnouncement, receive(set, "announcement", checkAnnouncement,
		func(message port.Announcement) (any, error) {
			assignment, err := sink.Announce(message)
			return assignment.reply(message.LeaseMillis), err
		}))
	mux.Handle("POST "+PathLoad, receive(set, "load", checkLoad,
		func(message port.LoadReport) (any, error) { return nil, sink.Load(message) }))
	mux.Handle("POST "+PathEvents, receive(set, "events", checkEvents,
		func(message port.CacheEvents) (any, error) {
			missing, err := sink.Events(message)
			return EventsReply{Snapshot: missing}, err
		}))
	return mux
}

// receive returns a handler that decodes and checks one kind of message, passes it to
// handle and sends the result as the answer.
func receive[M any](set *metrics.Set, kind string, check func(M) error, handle func(M) (any, error)) http.Handler {
	accepted := set.NewCounter(fmt.Sprintf(`lovagereach_announce_messages_total{kind=%q}`, kind))
	refused := set.NewCounter(fmt.Sprintf(`lovagereach_announce_refused_total{kind=%q}`, kind))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		message, err := decode[M](w, r)
		if err == nil {
			err = check(message)
		}
		var answer any
		if err == nil {
			answer, err = handle(message)
		}
		if err != nil {
			refused.Inc()
			writeError(w, err)
			return
		}
		accepted.Inc()
		writeAnswer(w, answer)
	})
}

func decode[M any](w http.ResponseWriter, r *http.Request) (M, error) {
	var message M
	body, err := httpbound.ReadBody(w, r, MaxBody)
	if err != nil {
		return message, err
	}
	// Unknown fields are allowed: the upstream may be newer than this entry.
	return message, httpbound.DecodeJSON(body, &message, true)
}

func writeAnswer(w http.ResponseWriter, answer any) {
	if answer == nil {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer)
}

// errorBody is the JSON body of a refusal.
type errorBody struct {
	Error string `json:"error"`
	Field string `json:"field,omitempty"`
}

func writeError(w http.ResponseWriter, err error) {
	status, body := http.StatusBadRequest, errorBody{Error: err.Error()}
	var bad *httpbound.BodyError
	if errors.As(err, &bad) {
		status = bad.Status
		body = errorBody{Error: bad.Message, Field: bad.Field}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func invalid(field, format string, args ...any) error {
	return &httpbound.BodyError{
		Status:  http.StatusUnprocessableEntity,
		Field:   field,
		Message: fmt.Sprintf(format, args...),
	}
}

func checkName(field, name string) error {
	if name == "" || len(name) > MaxName {
		return invalid(field, "must have 1 to %d bytes, has %d", MaxName, len(name))
	}
	return nil
}

func checkAnnouncement(message port.Announcement) error {
	if err := checkName("upstream", string(message.Upstream)); err != nil {
		return err
	}
	if err := checkName("data_centre", string(message.DataCentre)); err != nil {
		return err
	}
	if address, err := netip.ParseAddrPort(message.Address); err != nil || address.Port() == 0 {
		return invalid("address", "%q is not an IP number and port", message.Address)
	}
	lease := time.Duration(message.LeaseMillis) * time.Millisecond
	if message.LeaseMillis <= 0 || message.LeaseMillis > MaxLease.Milliseconds() {
		return invalid("lease_ms", "%v is not between 1ms and %v", lease, MaxLease)
	}
	if message.Slots < 0 || message.BlockBytes < 0 {
		return invalid("slots", "slots and block_bytes can't be negative")
	}
	return checkKind(message)
}

func checkKind(message port.Announcement) error {
	switch message.Kind {
	case port.KindEngine:
		return checkModels(message.Models)
	case port.KindService:
		return checkName("service", string(message.Service))
	case port.KindStore:
		return nil
	default:
		return invalid("kind", "%q is none of engine, store, service", message.Kind)
	}
}

func checkModels(models []port.LoadedVersion) error {
	if len(models) > MaxModels {
		return invalid("models", "%d loaded versions, at most %d", len(models), MaxModels)
	}
	for _, model := range models {
		if err := checkName("models.model", string(model.Model)); err != nil {
			return err
		}
		if err := checkName("models.version", string(model.Version)); err != nil {
			return err
		}
		if len(model.Adapters) > MaxAdapters {
			return invalid("models.adapters", "%d adapters, at most %d", len(model.Adapters), MaxAdapters)
		}
	}
	return nil
}

func checkLoad(message port.LoadReport) error {
	if err := checkName("upstream", string(message.Upstream)); err != nil {
		return err
	}
	if message.Running < 0 || message.Queued < 0 || message.QueuedTokens < 0 || message.Age < 0 {
		return invalid("running", "counts, tokens and age can't be negative")
	}
	// Written as a negation so that NaN is refused too.
	if !(message.LinkBusy >= 0 && message.LinkBusy <= 1) {
		return invalid("link_busy", "%v is not between 0 and 1", message.LinkBusy)
	}
	return nil
}

func checkEvents(message port.CacheEvents) error {
	if err := checkName("upstream", string(message.Upstream)); err != nil {
		return err
	}
	if len(message.Events) > MaxEvents {
		return invalid("events", "%d events in one batch, at most %d", len(message.Events), MaxEvents)
	}
	for _, event := range message.Events {
		if len(event.Block) > MaxName {
			return invalid("events.block", "longer than %d bytes", MaxName)
		}
	}
	return nil
}
