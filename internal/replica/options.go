package replica

import (
	"io"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rotisserie/eris"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/adapter/disk"
	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/quorum"
)

// Defaults of Options.
const (
	DefaultWorkers         = 2
	DefaultSnapshotEntries = 4096
	DefaultSnapshotBytes   = 16 << 20
	DefaultMaxQueuedEvents = 16384
	DefaultMaxBacklog      = 16384
	DefaultCallTimeout     = 5 * time.Second
)

// ticksPerHeartbeat is the number of Tick calls to a node per heartbeat interval.
const ticksPerHeartbeat = 4

// Storage is the data folder that a manager uses; *disk.Folder implements it.
type Storage interface {
	Load(group port.GroupID) (stored quorum.StoredState, data []byte, ok bool, err error)
	Save(update disk.Update) error
	Start(update disk.Update, done func(error))
	Err() error
}

// Options configures a Manager. Self, Storage, Peers, Registry and Address are
// required; any other field that is zero takes the default of the same name.
type Options struct {
	Self     ident.Host
	Storage  Storage
	Peers    port.PeerClient
	Registry port.PeerRegistry
	// Address returns the peer address of a control host, empty if unknown.
	Address func(ident.Host) string
	// Quorum is the template of every group's options. The manager sets Self
	// and Rand.
	Quorum quorum.Options
	// Workers is the number of goroutines that own groups.
	Workers int
	// SnapshotEntries and SnapshotBytes are the entries and bytes committed since
	// the last snapshot, either of which makes a group take the next one.
	SnapshotEntries int
	SnapshotBytes   int
	// MaxQueuedEvents is the maximum number of events queued for one worker.
	// MaxBacklog is the number of committed entries queued for one state machine
	// from which on proposals are refused.
	MaxQueuedEvents int
	MaxBacklog      int
	// CallTimeout is the timeout of calls whose context has no deadline:
	// proposals, reads, leadership transfers, membership changes and the requests
	// to other hosts that these need.
	CallTimeout time.Duration
	// Clock returns the time that leases and elections are measured by; nil means
	// time.Now. It must be monotonic and keep advancing while this process is paused
	// or the machine is suspended. ReplicaStatus.LeaseEnd is a time of this clock.
	Clock func() time.Time
	// Log receives the log lines; nil discards them.
	Log *log.Logger
}

// Validate returns an error for the first invalid option.
func (o Options) Validate() error {
	switch {
	case o.Self == "":
		return eris.New("replica: self: must not be empty")
	case o.Storage == nil:
		return eris.New("replica: storage: must be set")
	case o.Peers == nil || o.Registry == nil || o.Address == nil:
		return eris.New("replica: peers, registry, address: must be set")
	case o.Workers < 0 || o.SnapshotEntries < 0 || o.MaxQueuedEvents < 0 || o.MaxBacklog < 0:
		return eris.New("replica: workers, snapshot entries, max queued events, max backlog: must not be negative")
	}
	return nil
}

func (o Options) withDefaults() Options {
	setDefault(&o.Workers, DefaultWorkers)
	setDefault(&o.SnapshotEntries, DefaultSnapshotEntries)
	setDefault(&o.SnapshotBytes, DefaultSnapshotBytes)
	setDefault(&o.MaxQueuedEvents, DefaultMaxQueuedEvents)
	setDefault(&o.MaxBacklog, DefaultMaxBacklog)
	setDefault(&o.CallTimeout, DefaultCallTimeout)
	setDefault(&o.Quorum.Heartbeat, quorum.DefaultHeartbeat)
	setDefault(&o.Quorum.ElectionMax, quorum.DefaultElectionMax)
	if o.Clock == nil {
		o.Clock = time.Now
	}
	if o.Log == nil {
		o.Log = log.New(io.Discard)
	}
	return o
}

func setDefault[T int | time.Duration](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}
