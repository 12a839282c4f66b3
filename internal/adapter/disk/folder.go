package disk

import (
	"cmp"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
	"github.com/rotisserie/eris"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/quorum"
)

// Defaults of Options.
const (
	DefaultSegmentBytes = 64 << 20
	DefaultBatchBytes   = 4 << 20
	DefaultReserveBytes = 1 << 20
	// SlowSync is when a sync counts and is logged as slow: a leader whose disk
	// takes longer than an election would be replaced if it did not heartbeat
	// meanwhile.
	SlowSync = 200 * time.Millisecond
	// MaxGroups bounds the groups of one folder.
	MaxGroups = 4096
	// segmentGrowth is how many times its checkpoint a segment grows to, so
	// that checkpoints cost at most a third of all writes.
	segmentGrowth = 4
)

// Options configures Open. Cluster and Host are required.
type Options struct {
	FS      FS
	Cluster string
	Host    ident.Host
	// SegmentBytes is the least size at which a new segment is begun.
	SegmentBytes int
	// BatchBytes is the size after which no more updates join one sync.
	BatchBytes int
	// ReserveBytes is the space that is filled with zeros ahead of the log.
	ReserveBytes int
	// Log receives slow syncs and the failure; nil discards them.
	Log *log.Logger
}

// Validate reports the first option that cannot work.
func (o Options) Validate() error {
	switch {
	case o.FS == nil:
		return eris.New("disk: fs: must be set")
	case o.Cluster == "":
		return eris.New("disk: cluster: must name the deployment")
	case o.Host == "":
		return eris.New("disk: host: must not be empty")
	}
	return nil
}

// Update is what a group writes at once. It is durable as a whole or not.
type Update struct {
	Group port.GroupID
	Hard  *quorum.HardState
	// Snapshot replaces the log up to its index; with ReplaceLog it replaces
	// the whole log.
	Snapshot   *quorum.Snapshot
	ReplaceLog bool
	// Entries replace everything stored from the first one's index.
	Entries []quorum.Entry
}

type pendingUpdate struct {
	record record
	done   func(error)
}

// Folder is an open data folder. Its methods are safe for concurrent use.
type Folder struct {
	options  Options
	fs       FS
	identity Identity
	lock     io.Closer
	stats    *folderStats

	mu      sync.Mutex
	wake    *sync.Cond
	pending []pendingUpdate
	failed  error
	closed  bool
	groups  map[port.GroupID]*groupState

	// The rest belongs to the writer goroutine.
	file     File
	number   uint64
	sequence uint64
	size     int
	reserved int
	limit    int
	stopped  chan struct{}
}

type folderStats struct {
	set         *metrics.Set
	syncs       *metrics.Counter
	updates     *metrics.Counter
	bytes       *metrics.Counter
	checkpoints *metrics.Counter
	snapshots   *metrics.Counter
	failures    *metrics.Counter
	slowSyncs   *metrics.Counter
	syncTime    *metrics.Histogram
}

func newFolderStats() *folderStats {
	set := metrics.NewSet()
	counter := func(part string) *metrics.Counter {
		return set.NewCounter("lovagereach_disk_" + part + "_total")
	}
	return &folderStats{
		set:         set,
		syncs:       counter("syncs"),
		updates:     counter("updates"),
		bytes:       counter("written_bytes"),
		checkpoints: counter("checkpoints"),
		snapshots:   counter("snapshots"),
		failures:    counter("failures"),
		slowSyncs:   counter("slow_syncs"),
		syncTime:    set.NewHistogram("lovagereach_disk_sync_seconds"),
	}
}

// Metrics returns the set of the folder's counters.
func (f *Folder) Metrics() *metrics.Set { return f.stats.set }

// Identity returns whose folder this is.
func (f *Folder) Identity() Identity { return f.identity }

// Err returns why the folder is out of use, nil while it works.
func (f *Folder) Err() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.failed
}

// Status describes a folder for dumps.
type Status struct {
	Identity Identity
	// Failed is why the folder is out of use, empty while it works.
	Failed string
	// Waiting is the number of updates that wait for a sync.
	Waiting int
	Groups  []GroupStatus
}

// GroupStatus describes what is stored of one group.
type GroupStatus struct {
	Group    port.GroupID
	Term     uint64
	Snapshot uint64
	Entries  int
}

// Status describes the folder.
func (f *Folder) Status() Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	status := Status{Identity: f.identity, Waiting: len(f.pending)}
	if f.failed != nil {
		status.Failed = f.failed.Error()
	}
	for id, state := range f.groups {
		status.Groups = append(status.Groups, GroupStatus{
			Group:    id,
			Term:     state.hard.Term,
			Snapshot: state.snapshot.Meta.Index,
			Entries:  len(state.entries),
		})
	}
	slices.SortFunc(status.Groups, func(a, b GroupStatus) int { return cmp.Compare(a.Group, b.Group) })
	return status
}

// Groups lists the groups that have stored state.
func (f *Folder) Groups() []port.GroupID {
	f.mu.Lock()
	defer f.mu.Unlock()
	ids := make([]port.GroupID, 0, len(f.groups))
	for id := range f.groups {
		ids = append(ids, id)
	}
	return ids
}

// Load returns what is stored of a group and its snapshot's data; ok is false
// when nothing is.
func (f *Folder) Load(group port.GroupID) (stored quorum.StoredState, data []byte, ok bool, err error) {
	for {
		var ref snapshotRef
		stored, ref, ok, err = f.stored(group)
		if !ok || err != nil {
			return quorum.StoredState{}, nil, false, err
		}
		data, err = f.readSnapshot(group, ref)
		if err == nil {
			return stored, data, true, nil
		}
		// A later snapshot may have replaced the file before it was read.
		if _, now, _, _ := f.stored(group); now.File == ref.File {
			return quorum.StoredState{}, nil, false, err
		}
	}
}

func (f *Folder) stored(group port.GroupID) (quorum.StoredState, snapshotRef, bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	state, ok := f.groups[group]
	if !ok || f.failed != nil {
		return quorum.StoredState{}, snapshotRef{}, false, f.failed
	}
	stored := quorum.StoredState{
		HardState: state.hard,
		Snapshot:  state.snapshot.Meta,
		Entries:   append([]quorum.Entry(nil), state.entries...),
	}
	return stored, state.snapshot, true, nil
}

func (f *Folder) readSnapshot(group port.GroupID, ref snapshotRef) ([]byte, error) {
	if ref.File == "" {
		return nil, nil
	}
	content, err := f.fs.Read(ref.File)
	if err != nil {
		return nil, &DamageError{File: ref.File, Reason: err.Error()}
	}
	return decodeSnapshot(f.identity.ID, group, ref, content)
}

// Save writes an update and returns once it is synced. Any error but ErrUpdate
// means that the folder is out of use.
func (f *Folder) Save(update Update) error {
	result := make(chan error, 1)
	f.Start(update, func(err error) { result <- err })
	return <-result
}

// Start is Save without waiting: done is called, from another goroutine or
// from this one, when the update is synced or has failed. Updates of one group
// are written in the order of the calls. A snapshot's file is written before
// Start returns. The caller bounds what it starts; a replica has one update
// under way.
func (f *Folder) Start(update Update, done func(error)) {
	r := record{
		Group:   update.Group,
		Hard:    update.Hard,
		Replace: update.ReplaceLog,
		Entries: update.Entries,
	}
	if update.Snapshot != nil {
		ref, err := f.writeSnapshot(update.Group, *update.Snapshot)
		if err != nil {
			done(err)
			return
		}
		r.Snapshot = &ref
	}
	if err := f.push(pendingUpdate{record: r, done: done}); err != nil {
		done(err)
	}
}

func (f *Folder) push(update pendingUpdate) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failed != nil {
		return f.failed
	}
	if f.closed {
		return ErrClosed
	}
	f.pending = append(f.pending, update)
	f.wake.Signal()
	return nil
}

func (f *Folder) writeSnapshot(group port.GroupID, snapshot quorum.Snapshot) (snapshotRef, error) {
	if err := f.Err(); err != nil {
		return snapshotRef{}, err
	}
	ref := snapshotRef{Meta: snapshot.Meta}
	if len(snapshot.Data) == 0 {
		return ref, nil
	}
	content, err := encodeSnapshot(f.identity.ID, group, snapshot)
	if err != nil {
		return ref, err
	}
	ref.File = snapshotName(group, snapshot.Meta)
	if err := writeFile(f.fs, ref.File, content); err != nil {
		return ref, f.fail("snapshot", err)
	}
	f.stats.snapshots.Inc()
	return ref, nil
}

// fail puts the folder out of use. A sync that failed may have dropped the
// data from the page cache and marked it clean, so that the next sync succeeds
// without it: an answer after that would promise data that is not there.
func (f *Folder) fail(op string, cause error) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failed == nil {
		f.failed = &FailedError{Op: op, Cause: cause}
		f.options.Log.Error("data folder is out of use", "op", op, "cause", cause)
		f.stats.failures.Inc()
		f.wake.Broadcast()
	}
	return f.failed
}

// Close writes what is pending, ends the writer and releases the folder.
func (f *Folder) Close() error {
	f.mu.Lock()
	f.closed = true
	f.wake.Broadcast()
	f.mu.Unlock()
	<-f.stopped
	_ = f.file.Close()
	return f.lock.Close()
}
