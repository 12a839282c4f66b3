// Package protocol defines the messages between entries and control hosts.
//
// An entry watches the configuration with calls that the leader holds open until
// the configuration changes. The revision in a watch acknowledges that revision.
// Renewals of the serving lease are separate calls that are answered
// immediately, because a lease starts when its request is sent.
package protocol

import (
	"time"

	"github.com/lovagereach/lovagereach/config"
	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/member"
	"github.com/lovagereach/lovagereach/relay"
)

// Peer methods of a control host.
const (
	MethodWatch   port.Method = "config/watch"
	MethodPart    port.Method = "config/part"
	MethodRenew   port.Method = "lease/renew"
	MethodRelease port.Method = "lease/release"
	MethodReport  port.Method = "upstream/report"
	MethodAssign  port.Method = "lease/assign"
)

// Limits of messages.
const (
	// MaxWait limits how long a watch is held open.
	MaxWait = 20 * time.Second
	// PartBytes is the size of one part of a full configuration. It is well below
	// the frame limit of peer connections.
	PartBytes = 1 << 20
	// MaxConfigBytes limits the encoded size of a full configuration.
	MaxConfigBytes = 64 << 20
	// MaxReported limits the upstreams in one report.
	MaxReported = 1024
)

// Redirect refers an entry to the leader. Address is empty if the host knows no
// leader.
type Redirect struct {
	Host    ident.Host `cbor:"1,keyasint,omitempty"`
	Address string     `cbor:"2,keyasint,omitempty"`
}

// AssignRequest requests an incarnation for an entry that has just started. A
// delayed duplicate is assigned an incarnation that remains unused.
type AssignRequest struct{}

// AssignAnswer contains the assigned incarnation or a redirect.
type AssignAnswer struct {
	Redirect    *Redirect         `cbor:"1,keyasint,omitempty"`
	Incarnation ident.Incarnation `cbor:"2,keyasint,omitempty"`
}

// WatchRequest requests the changes since a revision.
type WatchRequest struct {
	// HeldRevision is the revision that the entry serves with. The request
	// acknowledges it.
	HeldRevision config.Revision `cbor:"1,keyasint"`
	// WaitMillis limits how long the leader may hold the call open.
	WaitMillis int64 `cbor:"2,keyasint"`
	// Incarnation is the assigned incarnation, as in all requests with this field.
	// Entries of earlier versions send zero; the incarnation of the connection
	// applies then.
	Incarnation ident.Incarnation `cbor:"3,keyasint,omitempty"`
}

// WatchAnswer contains a delta, announces a full configuration to fetch in
// parts, or is empty if nothing has changed.
type WatchAnswer struct {
	Redirect *Redirect     `cbor:"1,keyasint,omitempty"`
	Delta    *config.Delta `cbor:"2,keyasint,omitempty"`
	// FullRevision and FullBytes are the revision and the encoded size of the full
	// configuration.
	FullRevision config.Revision `cbor:"3,keyasint,omitempty"`
	FullBytes    int             `cbor:"4,keyasint,omitempty"`
}

// PartRequest requests a part of the encoded config.FullRevision of a revision.
type PartRequest struct {
	Revision config.Revision `cbor:"1,keyasint"`
	Offset   int             `cbor:"2,keyasint"`
}

// PartAnswer contains one part. If Gone is set, the revision is no longer
// available and the entry must watch again.
type PartAnswer struct {
	Redirect *Redirect `cbor:"1,keyasint,omitempty"`
	Data     []byte    `cbor:"2,keyasint,omitempty"`
	Gone     bool      `cbor:"3,keyasint,omitempty"`
}

// RenewRequest requests a serving lease and is the heartbeat of an entry. The
// entry's host is that of the connection.
type RenewRequest struct {
	// Number is the number of the renewal. The answer repeats it.
	Number uint64 `cbor:"1,keyasint"`
	// Acked is the revision that the entry serves with.
	Acked config.Revision `cbor:"2,keyasint"`
	// Session and State are those of the entry's claim to membership. Claim is
	// the complete claim; it is sent until the leader has accepted it.
	Session uint32         `cbor:"3,keyasint"`
	State   member.State   `cbor:"4,keyasint"`
	Claim   *member.Member `cbor:"5,keyasint,omitempty"`
	// Members is the version of the membership that the entry has.
	Members     member.Version    `cbor:"6,keyasint"`
	Incarnation ident.Incarnation `cbor:"7,keyasint,omitempty"`
}

// RenewAnswer grants a lease or contains the reason of the refusal.
type RenewAnswer struct {
	Redirect *Redirect      `cbor:"1,keyasint,omitempty"`
	Renewed  *relay.Renewed `cbor:"2,keyasint,omitempty"`
}

// ReleaseRequest gives up the serving lease. The entry must have stopped serving
// new requests before it sends this.
type ReleaseRequest struct {
	Incarnation ident.Incarnation `cbor:"1,keyasint,omitempty"`
}

// ReleaseAnswer confirms a ReleaseRequest.
type ReleaseAnswer struct {
	Redirect *Redirect `cbor:"1,keyasint,omitempty"`
}

// Upstream is an entry's summary of one engine that announced itself.
type Upstream struct {
	ID          ident.Upstream    `cbor:"1,keyasint" json:"upstream"`
	Incarnation ident.Incarnation `cbor:"2,keyasint" json:"incarnation"`
	Address     string            `cbor:"3,keyasint" json:"address"`
	DataCentre  ident.DataCentre  `cbor:"4,keyasint" json:"data_centre"`
	// Loaded contains the versions in the engine's announcement.
	Loaded  []LoadedVersion `cbor:"5,keyasint" json:"loaded"`
	Leaving bool            `cbor:"6,keyasint,omitempty" json:"leaving,omitempty"`
	// ChecksFence reports whether the engine refuses orders with an old fencing
	// token.
	ChecksFence bool `cbor:"7,keyasint,omitempty" json:"checks_fence,omitempty"`
	// Slots is the number of requests that the engine runs concurrently.
	Slots int `cbor:"8,keyasint" json:"slots"`
	// Running and Queued are the values of the engine's last load report.
	Running int `cbor:"9,keyasint" json:"running"`
	Queued  int `cbor:"10,keyasint" json:"queued"`
}

// LoadedVersion is a loaded weight version with its adapters.
type LoadedVersion struct {
	Model    ident.Model     `cbor:"1,keyasint" json:"model"`
	Version  ident.Version   `cbor:"2,keyasint" json:"version"`
	Adapters []ident.Adapter `cbor:"3,keyasint,omitempty" json:"adapters,omitempty"`
}

// Report is an entry's summary of the engines it follows. It replaces the
// entry's previous report.
type Report struct {
	Upstreams []Upstream `cbor:"1,keyasint"`
}

// ReportAnswer confirms a Report.
type ReportAnswer struct {
	Redirect *Redirect `cbor:"1,keyasint,omitempty"`
}
