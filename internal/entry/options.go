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
	"github.com/lovagereach/lovagereach/internal/crash"
	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/keep"
	"github.com/lovagereach/lovagereach/prefix"
)

// Control is the entry's view of the control hosts.
type Control interface {
	// Snapshot returns the newest configuration this entry has acknowledged.
	Snapshot() *config.Snapshot
	// Serving reports whether this entry holds a serving lease at now. Without
	// one, its configuration may be older than the one in force, and the entry
	// refuses new requests.
	Serving(now time.Time) bool
	// Entries lists the entries of the deployment that serve callers, including
	// this one unless it is leaving.
	Entries() []Peer
	// Leave announces to the other processes that this entry accepts no new
	// callers.
	Leave()
}

// Peer is one entry of the deployment.
type Peer struct {
	Host       ident.Host
	DataCentre ident.DataCentre
	// Callers and Announce are the addresses of its listeners, as IP and port.
	Callers  string
	Announce string
}

// Upstreams returns clients for announced upstreams by address.
type Upstreams interface {
	Engine(address string) port.Engine
	Store(address string) port.Store
	Service(address string) port.Service
	// CheckProcess checks the process of an upstream: whether its address accepts
	// connections.
	CheckProcess(ctx context.Context, address string) crash.State
}

// Options configure an Entry. Zero durations and bounds take the defaults
// below.
type Options struct {
	Host        ident.Host
	DataCentre  ident.DataCentre
	Incarnation ident.Incarnation
	// Callers and Announce are the addresses at which others reach this entry's
	// listeners.
	Callers  string
	Announce string
	// BlockKey is the secret key of block identifiers. All entries of a
	// deployment use the same one.
	BlockKey  prefix.Key
	Control   Control
	Ledger    Ledger
	Upstreams Upstreams
	// SendUse sends a use of a prompt to the entry that is its home, which
	// passes it to ApplyUse. It never blocks and reports whether the message
	// was queued. If it is nil, no message is sent.
	SendUse func(home ident.Host, body []byte) bool
	// SendDepartures sends a message to every other entry, which passes it to
	// ApplyDepartures. It never blocks. If it is nil, messages are dropped.
	SendDepartures func(body []byte)
	// SendCrashes sends a message to every other entry, which passes it to
	// ApplyCrashes. It never blocks. If it is nil, messages are dropped.
	SendCrashes func(body []byte)
	// Keep holds the bounds and intervals of kept prompts.
	Keep    keep.Options
	Log     *log.Logger
	Metrics *metrics.Set
	// Random is the source of randomness for tie-breaking and back-off.
	Random *rand.Rand

	// KeepAddress is how long callers may use an address answer.
	KeepAddress time.Duration
	// MaxInFlight bounds the requests in flight.
	MaxInFlight int
	// ImportTimeout bounds the import of blocks for one attempt.
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
	if o.SendCrashes == nil {
		o.SendCrashes = func([]byte) {}
	}
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Validate returns an error for the first option that is missing or out of
// range.
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
