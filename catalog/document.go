// Package catalog defines the routing configuration: which host and path prefix is routed
// to which service, who may use it, and within which limits.
//
// A Document has a version that its operator assigns. The highest version wins, in whatever
// order documents arrive. The same version with the same content is a repetition; the same
// version with other content is refused, because otherwise two readers of one version would
// see two configurations.
package catalog

import (
	"time"

	"github.com/lovagereach/lovagereach/internal/wire"
)

// Version is the version that the operator assigned to a document.
type Version uint64

// Kind is the kind of a route's requests; it determines whether they may be repeated.
type Kind uint8

const (
	// Safe requests may run more than once.
	Safe Kind = iota + 1
	// Unsafe requests run at most once.
	Unsafe
	// Stream requests are answered by events. They run at most once unless their route
	// allows an answer to be resumed.
	Stream
)

// String returns the kind's name.
func (k Kind) String() string {
	switch k {
	case Safe:
		return "safe"
	case Unsafe:
		return "unsafe"
	case Stream:
		return "stream"
	}
	return "unknown"
}

// Target is a service with its share of a route's requests.
type Target struct {
	Service string `cbor:"1,keyasint"`
	// Weight is relative to the other targets of the route.
	Weight int `cbor:"2,keyasint"`
}

// Route maps a host and path prefix to services.
type Route struct {
	Name   string `cbor:"1,keyasint"`
	Host   string `cbor:"2,keyasint"`
	Prefix string `cbor:"3,keyasint"`
	Kind   Kind   `cbor:"4,keyasint"`
	// Timeout is the maximum time that a request may wait.
	Timeout time.Duration `cbor:"5,keyasint"`
	// Target is the time within which an answer must begin.
	Target time.Duration `cbor:"6,keyasint"`
	// Priority is the priority of the route's requests; 0 is the highest.
	Priority int `cbor:"7,keyasint"`
	// Attempts is the maximum number of upstreams to which one request may be sent.
	Attempts int `cbor:"8,keyasint"`
	// Public routes need no key.
	Public bool `cbor:"9,keyasint"`
	// Resumable streams may be continued at another upstream.
	Resumable bool     `cbor:"10,keyasint"`
	Targets   []Target `cbor:"11,keyasint"`
}

// LongestResumable returns the longest time limit of the streams that callers may resume, 0 if there
// are none.
func (d *Document) LongestResumable() time.Duration {
	longest := time.Duration(0)
	for i := range d.Routes {
		if r := &d.Routes[i]; r.Kind == Stream && r.Resumable {
			longest = max(longest, r.Timeout)
		}
	}
	return longest
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Safe || (r.Kind == Stream && r.Resumable)
}

// Engine describes the model runners of a service.
type Engine struct {
	Slots int `cbor:"1,keyasint"`
	// MemoryTokens is the KV memory of one runner in tokens.
	MemoryTokens int `cbor:"2,keyasint"`
	// TokenBytes is the KV memory of one token in bytes.
	TokenBytes int `cbor:"3,keyasint"`
	// LinkMbps is the rate of a runner's link in Mbit/s.
	LinkMbps float64  `cbor:"4,keyasint"`
	Models   []string `cbor:"5,keyasint"`
}

// Store describes a host that keeps KV memory outside the runners.
type Store struct {
	Address    string `cbor:"1,keyasint"`
	DataCentre string `cbor:"2,keyasint"`
	// CapacityTokens is the capacity in tokens.
	CapacityTokens int     `cbor:"3,keyasint"`
	LinkMbps       float64 `cbor:"4,keyasint"`
	// FirstByte is the latency of the first byte of each transfer.
	FirstByte time.Duration `cbor:"5,keyasint"`
	// Managed stores evict nothing by themselves.
	Managed bool `cbor:"6,keyasint"`
}

// Service is a group of interchangeable upstreams, or one store.
type Service struct {
	Name string `cbor:"1,keyasint"`
	// MaxConnections is the number of connections that one upstream accepts from all
	// callers together.
	MaxConnections int     `cbor:"2,keyasint"`
	Engine         *Engine `cbor:"3,keyasint,omitempty"`
	Store          *Store  `cbor:"4,keyasint,omitempty"`
	// ColdStart is how long an upstream is cold after its start, and ColdPerS the number of
	// requests a second that it sustains in that time, from all callers together. ColdPerS
	// is 0 if upstreams are never cold.
	ColdStart time.Duration `cbor:"5,keyasint,omitempty"`
	ColdPerS  float64       `cbor:"6,keyasint,omitempty"`
}

// Team is a group of callers.
type Team struct {
	Name string   `cbor:"1,keyasint"`
	Keys []string `cbor:"2,keyasint"`
	// Priority overrides a route's priority; nil leaves that of the route.
	Priority *int `cbor:"3,keyasint,omitempty"`
	// Isolated teams share no kept prompt with any other team.
	Isolated bool `cbor:"4,keyasint,omitempty"`
}

// Limits bound what a caller may send. Zero means no bound.
type Limits struct {
	HeaderBytes   int           `cbor:"1,keyasint,omitempty"`
	BodyBytes     int64         `cbor:"2,keyasint,omitempty"`
	HeaderTimeout time.Duration `cbor:"3,keyasint,omitempty"`
	IdleTimeout   time.Duration `cbor:"4,keyasint,omitempty"`
}

// Document is a complete configuration.
type Document struct {
	Version  Version   `cbor:"1,keyasint"`
	Routes   []Route   `cbor:"2,keyasint"`
	Services []Service `cbor:"3,keyasint"`
	Teams    []Team    `cbor:"4,keyasint,omitempty"`
	// Keyed indicates that the document has a list of teams, even an empty one. Routes that
	// are not public then need a key.
	Keyed  bool   `cbor:"5,keyasint,omitempty"`
	Limits Limits `cbor:"6,keyasint"`
	// Source is the document as the operator wrote it, to be returned on request.
	Source []byte `cbor:"7,keyasint"`
	// Sharing is set when the document is accepted; nil in one that an operator sent.
	Sharing *Sharing `cbor:"8,keyasint,omitempty"`
	// encoded is the encoded document if it is sent to many readers, or nil.
	encoded []byte
}

// ForEntries returns the document in the form in which entries receive it: without its
// source, because entries never return it to the operator, without the former teams, and
// encoded once for all of them. The result must not be modified.
func (d *Document) ForEntries() *Document {
	stripped := *d
	stripped.Source, stripped.encoded, stripped.Sharing = nil, nil, nil
	if pool := d.CachePool(); pool != 0 {
		stripped.Sharing = &Sharing{Pool: pool}
	}
	stripped.encoded = wire.MustMarshal((*plainDocument)(&stripped))
	return &stripped
}

// plainDocument is a Document that is encoded field by field.
type plainDocument Document

// MarshalCBOR implements cbor.Marshaler.
func (d *Document) MarshalCBOR() ([]byte, error) {
	if d.encoded != nil {
		return d.encoded, nil
	}
	return wire.Marshal((*plainDocument)(d))
}
