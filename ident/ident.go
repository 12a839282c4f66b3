// Package ident names the things that lovagereach coordinates.
//
// The types are distinct strings so that the compiler rejects a team where an
// upstream is meant. They carry no behaviour beyond formatting and validation.
package ident

import (
	"encoding/hex"
	"errors"
	"fmt"
	"io"
)

// Team is a paying or owning group of callers whose prompts stay apart from
// those of every other team.
type Team string

// Class is a class of work with a target, for example "clock-questions".
type Class string

// Model is the name by which callers ask for a model.
type Model string

// Version is one weight version of a model.
type Version string

// Adapter is a fine-tuned variant loaded beside a model's weights. The empty
// adapter is the model as it is.
type Adapter string

// Service is a plain service beside the model engines.
type Service string

// Upstream is the identity an upstream announces: an engine's runner, a store
// host or a replica of a plain service.
type Upstream string

// Host is a host that runs one of the system's own processes.
type Host string

// DataCentre is a place whose hosts fail together and are near one another.
type DataCentre string

// Region is a set of data centres.
type Region string

// Cell is one model in one data centre, divided further when it has more
// upstreams than one entry should follow.
type Cell struct {
	Model      Model      `cbor:"1,keyasint"`
	DataCentre DataCentre `cbor:"2,keyasint"`
	Shard      uint16     `cbor:"3,keyasint,omitempty"`
}

// String returns model@data-centre/shard.
func (c Cell) String() string {
	return fmt.Sprintf("%s@%s/%d", c.Model, c.DataCentre, c.Shard)
}

// Incarnation distinguishes successive lives of one process or upstream. Those
// of entries, as the control group assigns them, grow. Those of connections say
// nothing of their order. Upstreams choose their own, which mostly grow.
type Incarnation uint64

// RequestSize is the length of a request identity in bytes.
const RequestSize = 16

// Request identifies one caller's request across retries and hops.
type Request [RequestSize]byte

// ErrRequestID reports a request identity that is not 32 hexadecimal digits.
var ErrRequestID = errors.New("request id is not 32 hexadecimal digits")

// NewRequest draws a request identity from random.
func NewRequest(random io.Reader) (Request, error) {
	var id Request
	if _, err := io.ReadFull(random, id[:]); err != nil {
		return Request{}, err
	}
	return id, nil
}

// ParseRequest reads the form written by String.
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
