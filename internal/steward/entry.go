package steward

import (
	"time"

	"github.com/charmbracelet/log"
	"github.com/rotisserie/eris"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/adapter/peer"
	"github.com/lovagereach/lovagereach/internal/boottime"
	"github.com/lovagereach/lovagereach/internal/port"
)

// roleEntry is the peer role of entries.
const roleEntry = "entry"

// EntryOptions configure the follower of an entry.
type EntryOptions struct {
	Cluster    string
	Key        []byte
	Host       ident.Host
	DataCentre ident.DataCentre
	// Incarnation distinguishes this run of the process from others on its host; zero draws a
	// random one.
	Incarnation ident.Incarnation
	Seeds       []ident.Host
	PeerPort    int
	// ApplyWithin is the time after its acknowledgement within which a configuration must be in
	// force; 0 if no bound is configured.
	ApplyWithin time.Duration
	Log         *log.Logger
}

// NewEntryFollower returns a follower for an entry, with its own connections.
func NewEntryFollower(o EntryOptions) (*Follower, error) {
	if o.Incarnation == 0 {
		o.Incarnation = peer.NewIncarnation()
	}
	transport, err := peer.New(peerOptions(o.Cluster, o.Key, o.Log, port.Peer{
		Host: o.Host, DataCentre: o.DataCentre, Incarnation: o.Incarnation, Role: roleEntry,
	}))
	if err != nil {
		return nil, eris.Wrap(err, "steward: peers")
	}
	return NewFollower(FollowerOptions{
		Transport: transport, Seeds: o.Seeds, PeerPort: o.PeerPort, Self: o.Host, DataCentre: o.DataCentre, ApplyWithin: o.ApplyWithin,
		Clock: boottime.Now, Log: o.Log,
	}), nil
}

// Monotonic converts a reading of Now to one of time.Now, which stops while the machine is
// suspended.
func (f *Follower) Monotonic(t time.Time) time.Time { return time.Now().Add(-f.Now().Sub(t)) }
