// Package catalog is the routed configuration: which place (host and path
// prefix) goes to which service, who may use it, and within which bounds.
//
// A Document is numbered by its operator. The highest number wins, whatever
// the order of arrival. The same number with the same content is a repeat; the
// same number with other content is refused, because two readers of one number
// would otherwise see two configurations.
package catalog

import (
	"time"

	"github.com/lovagereach/lovagereach/internal/wire"
)

// Version is the operator's number of a document.
type Version uint64

// Kind tells what may be repeated.
type Kind uint8

const (
	// Safe requests may run more than once.
	Safe Kind = iota + 1
	// Unsafe requests run at most once.
	Unsafe
	// Stream requests are answered by events. They run at most once unless
	// their route allows an answer to be resumed.
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

// Route is one place that callers address.
type Route struct {
	Name   string `cbor:"1,keyasint"`
	Host   string `cbor:"2,keyasint"`
	Prefix string `cbor:"3,keyasint"`
	Kind   Kind   `cbor:"4,keyasint"`
	// Timeout is the longest time that a request may be kept waiting.
	Timeout time.Duration `cbor:"5,keyasint"`
	// Target is the time within which an answer must begin.
	Target time.Duration `cbor:"6,keyasint"`
	// Priority is the rank of the route's requests, 0 first.
	Priority int `cbor:"7,keyasint"`
	// Attempts is the most upstreams that one request may be sent to.
	Attempts int `cbor:"8,keyasint"`
	// Public routes need no key.
	Public bool `cbor:"9,keyasint"`
	// Resumable streams may go on at another upstream.
	Resumable bool     `cbor:"10,keyasint"`
	Targets   []Target `cbor:"11,keyasint"`
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
	// TokenBytes is the KV memory of one token.
	TokenBytes int `cbor:"3,keyasint"`
	// LinkMbps is a runner's link in Mbit/s.
	LinkMbps float64  `cbor:"4,keyasint"`
	Models   []string `cbor:"5,keyasint"`
}

// Store describes a host that keeps KV memory outside the runners.
type Store struct {
	Address    string `cbor:"1,keyasint"`
	DataCentre string `cbor:"2,keyasint"`
	// CapacityTokens is the room in tokens.
	CapacityTokens int     `cbor:"3,keyasint"`
	LinkMbps       float64 `cbor:"4,keyasint"`
	// FirstByte is what each transfer waits before it begins.
	FirstByte time.Duration `cbor:"5,keyasint"`
	// Managed stores drop nothing by themselves.
	Managed bool `cbor:"6,keyasint"`
}

// Service is a group of interchangeable upstreams, or one store.
type Service struct {
	Name string `cbor:"1,keyasint"`
	// MaxConnections is what one upstream accepts from all callers together.
	MaxConnections int     `cbor:"2,keyasint"`
	Engine         *Engine `cbor:"3,keyasint,omitempty"`
	Store          *Store  `cbor:"4,keyasint,omitempty"`
	// ColdStart is for how long an upstream is cold after its start, and ColdPerS how
	// many requests a second it bears meanwhile, from all callers together; 0 where
	// upstreams are never cold.
	ColdStart time.Duration `cbor:"5,keyasint,omitempty"`
	ColdPerS  float64       `cbor:"6,keyasint,omitempty"`
}

// Team is a group of callers.
type Team struct {
	Name string   `cbor:"1,keyasint"`
	Keys []string `cbor:"2,keyasint"`
	// Priority takes precedence over a route's; nil leaves the route's.
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

// Document is a whole configuration.
type Document struct {
	Version  Version   `cbor:"1,keyasint"`
	Routes   []Route   `cbor:"2,keyasint"`
	Services []Service `cbor:"3,keyasint"`
	Teams    []Team    `cbor:"4,keyasint,omitempty"`
	// Keyed tells that the document lists teams at all, even none: a route
	// that is not public then needs a key.
	Keyed  bool   `cbor:"5,keyasint,omitempty"`
	Limits Limits `cbor:"6,keyasint"`
	// Source is the document as the operator wrote it, for reading back.
	Source []byte `cbor:"7,keyasint"`
	// encoded is the message where many readers are told the document.
	encoded []byte
}

// ForEntries returns the document as entries are told it: without its source, for they read
// nothing back to the operator, and encoded once for all of them. It must not be changed.
func (d *Document) ForEntries() *Document {
	told := *d
	told.Source, told.encoded = nil, nil
	told.encoded = wire.MustMarshal((*plainDocument)(&told))
	return &told
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
