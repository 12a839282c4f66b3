package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"

	"github.com/lovagereach/lovagereach/config"
	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/keep"
	"github.com/lovagereach/lovagereach/prefix"
)

// Control is what an entry knows from the control hosts.
type Control interface {
	// Snapshot returns the newest configuration this entry has acknowledged.
	Snapshot() *config.Snapshot
	// Serving reports whether this entry's serving lease holds at now. Without
	// it the entry may be behind the configuration in force and takes no new
	// request.
	Serving(now time.Time) bool
	// Entries lists the entries of the deployment that serve callers, this one
	// included unless it is leaving.
	Entries() []Peer
	// Leave tells the other processes that this entry takes no new callers.
	Leave()
}

// Peer is one entry of the deployment.
type Peer struct {
	Host       ident.Host
	DataCentre ident.DataCentre
	// Callers and Announce are the addresses of its listeners, IP and port.
	Callers  string
	Announce string
}

// Upstreams gives the ports of announced upstreams by their address.
type Upstreams interface {
	Engine(address string) port.Engine
	Store(address string) port.Store
	Service(address string) port.Service
	// Ended reports whether the process of an upstream has ended: nothing listens at
	// its address. Without a clear answer it reports false.
	Ended(ctx context.Context, address string) bool
}

// Options configure an Entry. Zero times and bounds take the defaults below.
type Options struct {
	Host        ident.Host
	DataCentre  ident.DataCentre
	Incarnation ident.Incarnation
	// Callers and Announce are the addresses under which others reach this
	// entry's listeners.
	Callers  string
	Announce string
	// BlockKey is the secret under which blocks are named; all entries of a
	// deployment have the same.
	BlockKey  prefix.Key
	Control   Control
	Ledger    Ledger
	Upstreams Upstreams
	// SendUse sends the use of a prompt to the entry that is its home, which
	// passes it to TakeUse. It never blocks and reports whether it was queued;
	// nil drops them.
	SendUse func(home ident.Host, body []byte) bool
	// SendDepartures sends a message to every other entry, which passes it to
	// TakeDepartures. It never blocks; nil drops it.
	SendDepartures func(body []byte)
	// SendEnds does the same for TakeEnds.
	SendEnds func(body []byte)
	// Keep bounds and times what is kept of prompts.
	Keep    keep.Options
	Log     *log.Logger
	Metrics *metrics.Set
	// Random drives tie-breaks and back-off.
	Random *rand.Rand

	// KeepAddress is how long callers may keep an address answer.
	KeepAddress time.Duration
	// MaxInFlight bounds the requests in flight.
	MaxInFlight int
	// ImportTimeout bounds the fetch of blocks for one attempt.
	ImportTimeout time.Duration
	// LocalDelay and RemoteDelay are the one-way network delays to upstreams in
	// the same and in another data centre.
	LocalDelay, RemoteDelay time.Duration
	// Tick is the interval of housekeeping.
	Tick time.Duration
}

// Defaults of Options.
const (
	DefaultKeepAddress   = 10 * time.Second
	DefaultMaxInFlight   = 16384
	DefaultImportTimeout = 10 * time.Second
	DefaultLocalDelay    = 200 * time.Microsecond
	DefaultRemoteDelay   = 1500 * time.Microsecond
	DefaultTick          = 500 * time.Millisecond
)

func (o Options) withDefaults() Options {
	setDefault(&o.KeepAddress, DefaultKeepAddress)
	setDefault(&o.MaxInFlight, DefaultMaxInFlight)
	setDefault(&o.ImportTimeout, DefaultImportTimeout)
	setDefault(&o.LocalDelay, DefaultLocalDelay)
	setDefault(&o.RemoteDelay, DefaultRemoteDelay)
	setDefault(&o.Tick, DefaultTick)
	if o.SendUse == nil {
		o.SendUse = func(ident.Host, []byte) bool { return false }
	}
	if o.SendDepartures == nil {
		o.SendDepartures = func([]byte) {}
	}
	if o.SendEnds == nil {
		o.SendEnds = func([]byte) {}
	}
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Validate reports the first option that is missing or out of range.
func (o Options) Validate() error {
	switch {
	case o.Host == "":
		return errors.New("entry: Host is empty")
	case o.DataCentre == "":
		return errors.New("entry: DataCentre is empty")
	case o.Control == nil, o.Ledger == nil, o.Upstreams == nil:
		return errors.New("entry: Control, Ledger and Upstreams are required")
	case o.Log == nil, o.Metrics == nil, o.Random == nil:
		return errors.New("entry: Log, Metrics and Random are required")
	case o.KeepAddress < 0, o.ImportTimeout < 0, o.Tick < 0, o.MaxInFlight < 0:
		return errors.New("entry: times and bounds can't be negative")
	}
	return nil
}
