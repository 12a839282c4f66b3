// Package protocol defines the messages between entries and control hosts.
//
// An entry watches the configuration with calls that the leader holds open
// until something changes; the revision a watch names is at the same time the
// acknowledgement of that revision. Renewals of the serving lease are calls of
// their own, answered at once, because a lease counts from before its request.
package protocol

import (
	"time"

	"github.com/lovagereach/lovagereach/config"
	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/member"
	"github.com/lovagereach/lovagereach/relay"
)

// The methods that a control host answers.
const (
	MethodWatch   port.Method = "config/watch"
	MethodPart    port.Method = "config/part"
	MethodRenew   port.Method = "lease/renew"
	MethodRelease port.Method = "lease/release"
	MethodReport  port.Method = "upstream/report"
	MethodAssign  port.Method = "lease/assign"
)

// Bounds of messages.
const (
	// MaxWait is the longest that a watch is held open.
	MaxWait = 20 * time.Second
	// PartBytes is the size of one part of a whole configuration, well below
	// the frame bound of the peer connections.
	PartBytes = 1 << 20
	// MaxConfigBytes bounds a whole configuration.
	MaxConfigBytes = 64 << 20
	// MaxReported bounds the upstreams in one report.
	MaxReported = 1024
)

// Redirect tells where the leader is. Address is empty when nobody leads.
type Redirect struct {
	Host    ident.Host `cbor:"1,keyasint,omitempty"`
	Address string     `cbor:"2,keyasint,omitempty"`
}

// AssignRequest asks for the incarnation of an entry that has just started. A
// copy that is delayed uses up a number that nobody takes.
type AssignRequest struct{}

// AssignAnswer gives it.
type AssignAnswer struct {
	Redirect    *Redirect         `cbor:"1,keyasint,omitempty"`
	Incarnation ident.Incarnation `cbor:"2,keyasint,omitempty"`
}

// WatchRequest asks for what follows a revision.
type WatchRequest struct {
	// HeldRevision is the revision the entry serves by, which it thereby acknowledges.
	HeldRevision config.Revision `cbor:"1,keyasint"`
	// WaitMillis is how long the leader may hold the call open.
	WaitMillis int64 `cbor:"2,keyasint"`
	// Incarnation is the one assigned, as in all requests that have the field.
	// Zero, from an earlier version, means that of the connection.
	Incarnation ident.Incarnation `cbor:"3,keyasint,omitempty"`
}

// WatchAnswer brings a delta, announces a whole configuration to fetch in
// parts, or says that nothing has changed.
type WatchAnswer struct {
	Redirect *Redirect     `cbor:"1,keyasint,omitempty"`
	Delta    *config.Delta `cbor:"2,keyasint,omitempty"`
	// FullRevision and FullBytes describe the whole configuration.
	FullRevision config.Revision `cbor:"3,keyasint,omitempty"`
	FullBytes    int             `cbor:"4,keyasint,omitempty"`
}

// PartRequest asks for a part of the encoded config.Full of one revision.
type PartRequest struct {
	Revision config.Revision `cbor:"1,keyasint"`
	Offset   int             `cbor:"2,keyasint"`
}

// PartAnswer is one part; Gone tells that the revision is no longer offered
// and that the entry must watch again.
type PartAnswer struct {
	Redirect *Redirect `cbor:"1,keyasint,omitempty"`
	Data     []byte    `cbor:"2,keyasint,omitempty"`
	Gone     bool      `cbor:"3,keyasint,omitempty"`
}

// RenewRequest asks for a serving lease and is the heartbeat of an entry. The
// connection tells the entry's host.
type RenewRequest struct {
	// Number is repeated by the answer.
	Number uint64 `cbor:"1,keyasint"`
	// Acked is the revision that the entry serves by.
	Acked config.Revision `cbor:"2,keyasint"`
	// Session and State are those of the entry's claim to membership; Claim
	// is the claim itself, sent until the leader has accepted it.
	Session uint32         `cbor:"3,keyasint"`
	State   member.State   `cbor:"4,keyasint"`
	Claim   *member.Member `cbor:"5,keyasint,omitempty"`
	// Members is the membership that the entry knows.
	Members     member.Version    `cbor:"6,keyasint"`
	Incarnation ident.Incarnation `cbor:"7,keyasint,omitempty"`
}

// RenewAnswer grants a lease or tells why not.
type RenewAnswer struct {
	Redirect *Redirect      `cbor:"1,keyasint,omitempty"`
	Renewed  *relay.Renewed `cbor:"2,keyasint,omitempty"`
}

// ReleaseRequest gives the serving lease up. The entry has stopped serving new
// requests before it sends this.
type ReleaseRequest struct {
	Incarnation ident.Incarnation `cbor:"1,keyasint,omitempty"`
}

// ReleaseAnswer confirms it.
type ReleaseAnswer struct {
	Redirect *Redirect `cbor:"1,keyasint,omitempty"`
}

// Upstream is an entry's summary of one engine that announced itself.
type Upstream struct {
	ID          ident.Upstream    `cbor:"1,keyasint" json:"upstream"`
	Incarnation ident.Incarnation `cbor:"2,keyasint" json:"incarnation"`
	Address     string            `cbor:"3,keyasint" json:"address"`
	DataCentre  ident.DataCentre  `cbor:"4,keyasint" json:"data_centre"`
	// Loaded are the versions of its announcement.
	Loaded  []LoadedVersion `cbor:"5,keyasint" json:"loaded"`
	Leaving bool            `cbor:"6,keyasint,omitempty" json:"leaving,omitempty"`
	// ChecksFence tells that the engine refuses orders with an old fencing token.
	ChecksFence bool `cbor:"7,keyasint,omitempty" json:"checks_fence,omitempty"`
	// Slots is how many requests the engine runs at once.
	Slots int `cbor:"8,keyasint" json:"slots"`
	// Running and Queued are from its last load report.
	Running int `cbor:"9,keyasint" json:"running"`
	Queued  int `cbor:"10,keyasint" json:"queued"`
}

// LoadedVersion is one weight version with its adapters.
type LoadedVersion struct {
	Model    ident.Model     `cbor:"1,keyasint" json:"model"`
	Version  ident.Version   `cbor:"2,keyasint" json:"version"`
	Adapters []ident.Adapter `cbor:"3,keyasint,omitempty" json:"adapters,omitempty"`
}

// Report is an entry's summary of the engines it follows. It replaces the
// entry's last one.
type Report struct {
	Upstreams []Upstream `cbor:"1,keyasint"`
}

// ReportAnswer confirms a report.
type ReportAnswer struct {
	Redirect *Redirect `cbor:"1,keyasint,omitempty"`
}
