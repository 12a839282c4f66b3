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
	DefaultMaxWaiting      = 16384
	DefaultMaxBacklog      = 16384
	DefaultCallTimeout     = 5 * time.Second
)

// ticksPerHeartbeat is how often a node is told the time.
const ticksPerHeartbeat = 4

// Storage is what a manager needs of a data folder; *disk.Folder is one.
type Storage interface {
	Load(group port.GroupID) (stored quorum.StoredState, data []byte, ok bool, err error)
	Save(update disk.Update) error
	Start(update disk.Update, done func(error))
	Err() error
}

// Options configures a Manager. Self, Storage, Peers, Registry and Address are
// required; a zero value elsewhere takes the default of the same name.
type Options struct {
	Self     ident.Host
	Storage  Storage
	Peers    port.PeerClient
	Registry port.PeerRegistry
	// Address returns where a control host listens, empty when unknown.
	Address func(ident.Host) string
	// Quorum is the template of every group's options. Self and Rand are
	// filled in.
	Quorum quorum.Options
	// Workers is the number of goroutines that own groups.
	Workers int
	// A group takes a snapshot once SnapshotEntries entries or SnapshotBytes
	// bytes were committed since the last one.
	SnapshotEntries int
	SnapshotBytes   int
	// MaxQueuedEvents bounds the events that wait for one worker, MaxBacklog the
	// committed entries that wait for one state machine before proposals are
	// refused.
	MaxQueuedEvents int
	MaxBacklog      int
	// CallTimeout bounds proposals and reads whose context has no deadline,
	// and the messages to other hosts about membership.
	CallTimeout time.Duration
	// Clock tells the time by which groups count leases and elections, nil means
	// time.Now. It must be steady and go on while this process, or the machine as a
	// whole, stands still. ReplicaStatus.LeaseEnd is on it.
	Clock func() time.Time
	// Log receives one line for each event; nil discards them.
	Log *log.Logger
}

// Validate reports the first option that cannot work.
func (o Options) Validate() error {
	switch {
	case o.Self == "":
		return eris.New("replica: self: must not be empty")
	case o.Storage == nil:
		return eris.New("replica: storage: must be set")
	case o.Peers == nil || o.Registry == nil || o.Address == nil:
		return eris.New("replica: peers, registry, address: must be set")
	case o.Workers < 0 || o.SnapshotEntries < 0 || o.MaxQueuedEvents < 0 || o.MaxBacklog < 0:
		return eris.New("replica: workers, snapshot entries, max waiting, max backlog: must not be negative")
	}
	return nil
}

func (o Options) withDefaults() Options {
	setDefault(&o.Workers, DefaultWorkers)
	setDefault(&o.SnapshotEntries, DefaultSnapshotEntries)
	setDefault(&o.SnapshotBytes, DefaultSnapshotBytes)
	setDefault(&o.MaxQueuedEvents, DefaultMaxWaiting)
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
