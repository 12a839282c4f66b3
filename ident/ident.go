// Package ident defines the identifiers of the objects that lovagereach coordinates.
//
// They are distinct string types so that the compiler rejects a team where an
// upstream is required. They have no methods beyond formatting and validation.
package ident

import (
	"encoding/hex"
	"errors"
	"fmt"
	"io"
)

// Team is a group of callers, as an owner or payer, whose prompts are isolated from
// those of all other teams.
type Team string

// Class is a class of requests with a latency target, for example "clock-questions".
type Class string

// Model is the name by which callers ask for a model.
type Model string

// Version is one weight version of a model.
type Version string

// Adapter is a fine-tuned variant loaded in addition to a model's weights. The empty
// adapter stands for the model without an adapter.
type Adapter string

// Service is a plain service, as opposed to a model engine.
type Service string

// Upstream is the identity that an upstream announces: an engine's runner, a store
// host or a replica of a plain service.
type Upstream string

// Host is a host that runs one of the system's own processes.
type Host string

// DataCentre is a location whose hosts may fail together and have a low latency to
// each other.
type DataCentre string

// Region is a set of data centres.
type Region string

// Cell is a model in a data centre. It is divided into shards if it has more upstreams
// than one entry should follow.
type Cell struct {
	Model      Model      `cbor:"1,keyasint"`
	DataCentre DataCentre `cbor:"2,keyasint"`
	Shard      uint16     `cbor:"3,keyasint,omitempty"`
}

// String returns model@data-centre/shard.
func (c Cell) String() string {
	return fmt.Sprintf("%s@%s/%d", c.Model, c.DataCentre, c.Shard)
}

// Incarnation distinguishes successive runs of one process or upstream. The control
// group assigns those of entries in increasing order. Those of connections have no
// order. Upstreams choose their own, which usually increase.
type Incarnation uint64

// RequestSize is the length of a request identity in bytes.
const RequestSize = 16

// Request identifies one caller's request across retries and hops.
type Request [RequestSize]byte

// ErrRequestID reports a request identity that is not 32 hexadecimal digits.
var ErrRequestID = errors.New("request id is not 32 hexadecimal digits")

// NewRequest returns a request identity read from random.
func NewRequest(random io.Reader) (Request, error) {
	var id Request
	if _, err := io.ReadFull(random, id[:]); err != nil {
		return Request{}, err
	}
	return id, nil
}

// ParseRequest parses the format of String.
func ParseRequest(text string) (Request, error) {
	var id Request
	if len(text) != hex.EncodedLen(RequestSize) {
		return Request{}, ErrRequestID
	}
	if _, err := hex.Decode(id[:], []byte(text)); err != nil {
		return Request{}, ErrRequestID
	}
	return id, nil
}

// String returns the identity as 32 hexadecimal digits.
func (r Request) String() string {
	return hex.EncodeToString(r[:])
}

// MarshalText implements encoding.TextMarshaler.
func (r Request) MarshalText() ([]byte, error) {
	return []byte(r.String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (r *Request) UnmarshalText(text []byte) error {
	id, err := ParseRequest(string(text))
	if err != nil {
		return err
	}
	*r = id
	return nil
}
