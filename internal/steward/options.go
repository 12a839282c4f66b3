package steward

import (
	"cmp"
	"context"
	"net"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rotisserie/eris"

	"github.com/lovagereach/lovagereach/cacheindex"
	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/adapter/disk"
	"github.com/lovagereach/lovagereach/internal/ingress"
)

// StoreEvents is a store's report on changes of its parts.
type StoreEvents struct {
	// Incarnation changes when the store restarts.
	Incarnation uint64
	// Next is the position at which the next query begins.
	Next uint64
	// Lost is set if earlier events are no longer held.
	Lost    bool
	Changes []cacheindex.Change
	// Clock is the upstreams' clock in milliseconds, zero if unknown.
	Clock int64
}

// caughtUpBelow is the number of changes below which an answer contained the latest events:
// stores and runners send 500 at a time, and change less between two queries.
const caughtUpBelow = 300

// caughtUp reports whether no past event is still to be sent.
func (e *StoreEvents) caughtUp() bool { return len(e.Changes) < caughtUpBelow }

// maxUnlisted bounds by how much a position may grow beyond the events of an answer: a few events
// never arrive.
const maxUnlisted = 1 << 20

// follows reports whether the answer can be one to a query from position since on, in the same
// incarnation.
func (e *StoreEvents) follows(since uint64) bool {
	return e.Lost || e.Next >= since && e.Next-since <= uint64(len(e.Changes))+maxUnlisted
}

// Stores queries stores for their contents.
type Stores interface {
	// List returns all complete parts of a store.
	List(ctx context.Context, address string) (StoreEvents, error)
	// Free frees parts of a store in one incarnation. It changes nothing once the upstreams'
	// clock shows more than until, in milliseconds.
	Free(ctx context.Context, address string, incarnation uint64, parts []cacheindex.Key, until int64) error
	// Events returns the changes from position since on, waiting up to wait for one.
	Events(ctx context.Context, address string, since uint64, wait time.Duration) (StoreEvents, error)
}

// LoadOrder orders a runner to load a weight version.
type LoadOrder struct {
	Upstream string
	Address  string
	Model    string
	Version  uint64
	// Holder is the host that issues the order and Fence its fencing token.
	Holder string
	Fence  uint64
	// Accepted is the number of orders that the runner must have accepted before; an order that
	// arrives late then changes nothing.
	Accepted uint64
}

// OrderResult is the outcome of an order.
type OrderResult uint8

const (
	// OrderAccepted: the order is being executed.
	OrderAccepted OrderResult = iota + 1
	// OrderAlreadyLoaded: the runner has the version already.
	OrderAlreadyLoaded
	// OrderRefused: the order changed nothing.
	OrderRefused
	// OrderMisdirected: another upstream has the address.
	OrderMisdirected
)

// RunnerReport is a runner's report on itself.
type RunnerReport struct {
	Busy bool
	// Accepted counts the orders that the runner has accepted.
	Accepted uint64
	Versions map[string]uint64
	// StartedMs is the runner's start time as it reports it, in Unix milliseconds, 0 if it
	// reports none.
	StartedMs uint64
}

// Runners sends orders to model runners.
type Runners interface {
	Order(ctx context.Context, order LoadOrder) (OrderResult, error)
	Report(ctx context.Context, upstream, address string) (RunnerReport, error)
}

// DefaultCatchUp is the default of Options.CatchUp.
const DefaultCatchUp = 4 * time.Second

// Options configure a Steward.
type Options struct {
	// Self is this host's IP address; all hosts of the group are identified by theirs.
	Self       ident.Host
	DataCentre ident.DataCentre
	// Incarnation distinguishes this run of the process from others on its host; zero draws a
	// random one.
	Incarnation ident.Incarnation
	// PeerPort is the port of all processes' peer listeners.
	PeerPort int
	// Guard bounds what strangers take at Listener, nil for no bound.
	Guard *ingress.Guard
	// Listener accepts connections of the other processes. New takes ownership.
	Listener net.Listener
	// Seeds are the control hosts known at the start.
	Seeds []ident.Host
	// Bootstrap allows forming the group.
	Bootstrap bool
	// Tolerated is the number of disks that may be lost at the same time; the group has
	// 2*Tolerated+1 voters.
	Tolerated int
	// CatchUp is the time after its start from which a control host counts as present, so that the
	// host that it replaces, or another one, may be lost. Zero means DefaultCatchUp.
	CatchUp time.Duration
	// Cluster and Key authenticate the processes of one deployment.
	Cluster string
	Key     []byte
	// Data is the folder of the replicated state, and Files opens its file
	// system; nil means the operating system's.
	Data  string
	Files func(folder string) (disk.FS, error)
	// MaxConcurrentLoads bounds the runners that load weights at the same time. VersionTime is the
	// time within which all runners must have a new target version.
	MaxConcurrentLoads int
	VersionTime        time.Duration
	// HolderLease is the time after one host's orders in which no other host may issue any.
	HolderLease time.Duration
	// AnnounceEvery is the interval between an upstream's announcements, DefaultAnnounceEvery
	// if zero.
	AnnounceEvery time.Duration
	// DataCentres are the data centres of the deployment, empty if the settings list none.
	DataCentres []string
	// Handover lets entries that start serve sooner: hosts that don't lead answer them as soon as
	// they have the leader's state, and all get what other entries have learned.
	Handover bool
	Stores   Stores
	Runners  Runners
	// Clock is the clock by which leases count, boottime.Now if nil. It must be monotonic and
	// count the time in which the machine is suspended.
	Clock func() time.Time
	Log   *log.Logger

	// dial replaces the TCP dialler.
	dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Validate reports the first invalid option.
func (o *Options) Validate() error {
	switch {
	case o.Self == "":
		return eris.New("steward: Self is missing")
	case o.Listener == nil:
		return eris.New("steward: Listener is missing")
	case o.Data == "":
		return eris.New("steward: Data is missing")
	case o.Tolerated < 0 || o.Tolerated > 5:
		return eris.Errorf("steward: Tolerated is %d; accepted: 0 to 5", o.Tolerated)
	case o.AnnounceEvery < 0:
		return eris.New("steward: AnnounceEvery must not be negative")
	case o.MaxConcurrentLoads < 1 || o.VersionTime <= 0:
		return eris.New("steward: LoadsAtOnce and VersionTime must be above 0")
	case o.Stores == nil || o.Runners == nil || o.Log == nil:
		return eris.New("steward: Stores, Runners and Log are required")
	}
	return nil
}

// voters returns the target size of the group.
func (o *Options) voters() int { return 2*o.Tolerated + 1 }

// lostAfter returns the time for which a voter must be silent before a host that is ready replaces
// it. The rest of CatchUp is for an election, if the leader was lost, and for the replacement. A voter
// that returns later joins again.
func (o *Options) lostAfter() time.Duration { return cmp.Or(o.CatchUp, DefaultCatchUp) / 2 }
