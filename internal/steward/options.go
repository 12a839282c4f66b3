package steward

import (
	"context"
	"net"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rotisserie/eris"

	"github.com/lovagereach/lovagereach/cacheindex"
	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/adapter/disk"
)

// StoreEvents is what a store tells of its parts.
type StoreEvents struct {
	// Incarnation changes when the store restarts.
	Incarnation uint64
	// Next is where the next question begins.
	Next uint64
	// Lost tells that earlier events are no longer held.
	Lost    bool
	Changes []cacheindex.Change
	// Clock is the upstreams' clock in milliseconds, zero when not told.
	Clock int64
}

// caughtUpBelow is the number of changes below which an answer has brought the
// latest events: stores and runners tell 500 at a time, and change less between
// two questions.
const caughtUpBelow = 300

// caughtUp reports whether nothing that has happened is still to be told.
func (e *StoreEvents) caughtUp() bool { return len(e.Changes) < caughtUpBelow }

// Stores asks stores what they hold.
type Stores interface {
	// List returns everything that a store holds whole.
	List(ctx context.Context, address string) (StoreEvents, error)
	// Free frees parts of a store in one life of it. It changes nothing once the
	// upstreams' clock shows more than until, in milliseconds.
	Free(ctx context.Context, address string, life uint64, parts []cacheindex.Key, until int64) error
	// Events returns what changed since, waiting up to wait for something.
	Events(ctx context.Context, address string, since uint64, wait time.Duration) (StoreEvents, error)
}

// LoadOrder tells a runner to load a weight version.
type LoadOrder struct {
	Upstream string
	Address  string
	Model    string
	Version  uint64
	// Holder is the host that gives the order and Fence its number.
	Holder string
	Fence  uint64
	// Accepted is the number of orders that the runner must have accepted
	// before; an order that arrives late then changes nothing.
	Accepted uint64
}

// OrderResult is what became of an order.
type OrderResult uint8

const (
	// OrderAccepted orders are being carried out.
	OrderAccepted OrderResult = iota + 1
	// OrderAlreadyLoaded tells that the runner has the version already.
	OrderAlreadyLoaded
	// OrderRefused orders changed nothing.
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
	// StartedMs is the birth that the runner tells, 0 if it tells none.
	StartedMs uint64
}

// Runners gives orders to model runners.
type Runners interface {
	Order(ctx context.Context, order LoadOrder) (OrderResult, error)
	Report(ctx context.Context, upstream, address string) (RunnerReport, error)
}

// Options configure a Steward.
type Options struct {
	// Self is this host by its IP number; so are all hosts of the group.
	Self       ident.Host
	DataCentre ident.DataCentre
	// Incarnation tells this run of the process from others on its host; zero draws one.
	Incarnation ident.Incarnation
	// PeerPort is the port of all processes' listeners for one another.
	PeerPort int
	// Listener accepts the other processes. New takes it over.
	Listener net.Listener
	// Seeds are the control hosts known at the start.
	Seeds []ident.Host
	// Bootstrap allows forming the group.
	Bootstrap bool
	// Tolerated is how many disks may be lost at once; the group has
	// 2*Tolerated+1 voters.
	Tolerated int
	// Cluster and Key authenticate the processes of one deployment.
	Cluster string
	Key     []byte
	// Data is the folder of the replicated state, and Files opens its file
	// system; nil means the operating system's.
	Data  string
	Files func(folder string) (disk.FS, error)
	// LoadsAtOnce bounds the runners that load weights at the same time, and
	// VersionTime is when all runners must have a version that was named.
	LoadsAtOnce int
	VersionTime time.Duration
	// HolderLease is how long after one host's orders no other may give any.
	HolderLease time.Duration
	// AnnounceEvery is how often upstreams announce themselves, DefaultAnnounceEvery if
	// zero.
	AnnounceEvery time.Duration
	// DataCentres are those of the deployment, none where it does not list them.
	DataCentres []string
	Stores      Stores
	Runners     Runners
	// Clock tells the time by which leases count, boottime.Now if nil. It must be steady
	// and go on while the machine is suspended.
	Clock func() time.Time
	Log   *log.Logger

	// dial replaces the TCP dialler.
	dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Validate reports the first option that cannot work.
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
	case o.LoadsAtOnce < 1 || o.VersionTime <= 0:
		return eris.New("steward: LoadsAtOnce and VersionTime must be above 0")
	case o.Stores == nil || o.Runners == nil || o.Log == nil:
		return eris.New("steward: Stores, Runners and Log are required")
	}
	return nil
}

// voters is the size that the group aims at.
func (o *Options) voters() int { return 2*o.Tolerated + 1 }
