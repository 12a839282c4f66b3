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
	// SlowSync is the duration above which a sync is counted and logged as slow. A
	// leader whose sync takes longer than an election timeout would be replaced if
	// it didn't send heartbeats during the sync.
	SlowSync = 200 * time.Millisecond
	// MaxGroups is the maximum number of groups in a folder.
	MaxGroups = 4096
	// segmentGrowth is the size at which a segment is replaced, as a multiple of
	// its checkpoint. With it, checkpoints are at most a third of all writes.
	segmentGrowth = 4
)

// Options configures Open. Cluster and Host are required.
type Options struct {
	FS      FS
	Cluster string
	Host    ident.Host
	// SegmentBytes is the minimum size at which a segment is replaced.
	SegmentBytes int
	// BatchBytes is the size from which on no further update joins a batch.
	BatchBytes int
	// ReserveBytes is the space filled with zeros ahead of the end of the log.
	ReserveBytes int
	// Log receives slow syncs and the first failure; nil disables logging.
	Log *log.Logger
}

// Validate returns an error for the first invalid option.
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

// Update is an atomic change of a group's stored state.
type Update struct {
	Group port.GroupID
	Hard  *quorum.HardState
	// Snapshot replaces the log up to its index; with ReplaceLog it replaces
	// the complete log.
	Snapshot   *quorum.Snapshot
	ReplaceLog bool
	// Entries replace all stored entries from the index of the first one on.
	Entries []quorum.Entry
}

// pendingUpdate is an update that is not written yet. done is called with its result.
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

	mu sync.Mutex
	// cond signals a change of pending, failed or closed to the writer.
	cond    *sync.Cond
	pending []pendingUpdate
	failed  error
	closed  bool
	groups  map[port.GroupID]*groupState

	// The fields below are used by the writer goroutine only. segmentSize is the
	// number of bytes written to the current segment, reserved its size on disk, and
	// segmentLimit the size above which it is replaced.
	file          File
	segmentNumber uint64
	sequence      uint64
	segmentSize   int
	reserved      int
	segmentLimit  int
	writerDone    chan struct{}
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

// Metrics returns the folder's metrics.
func (f *Folder) Metrics() *metrics.Set { return f.stats.set }

// Identity returns the owner of the folder.
func (f *Folder) Identity() Identity { return f.identity }

// Err returns the failure that disabled the folder, nil if there is none.
func (f *Folder) Err() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.failed
}

// Status is the state of a folder, for dumps.
type Status struct {
	Identity Identity
	// Failed is the failure that disabled the folder, empty if there is none.
	Failed string
	// Waiting is the number of updates not handed to the writer yet.
	Waiting int
	Groups  []GroupStatus
}

// GroupStatus is the stored state of one group, for dumps. Snapshot is the index of
// the snapshot, Entries the number of entries after it.
type GroupStatus struct {
	Group    port.GroupID
	Term     uint64
	Snapshot uint64
	Entries  int
}

// Status returns the state of the folder.
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

// Groups returns the groups that have stored state, in no particular order.
func (f *Folder) Groups() []port.GroupID {
	f.mu.Lock()
	defer f.mu.Unlock()
	ids := make([]port.GroupID, 0, len(f.groups))
	for id := range f.groups {
		ids = append(ids, id)
	}
	return ids
}

// Load returns the stored state of a group and the data of its snapshot. ok is
// false if the group has no stored state.
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
		// A newer snapshot may have replaced the file before it was read.
		if _, current, _, _ := f.stored(group); current.File == ref.File {
			return quorum.StoredState{}, nil, false, err
		}
	}
}

// stored returns the state of a group and a reference to its snapshot.
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

// Save writes an update and returns once it is synced. Any error other than
// ErrUpdate means that the folder is closed or disabled.
func (f *Folder) Save(update Update) error {
	result := make(chan error, 1)
	f.Start(update, func(err error) { result <- err })
	return <-result
}

// Start is the asynchronous form of Save: done is called, from another goroutine
// or from this one, when the update is synced or has failed. Updates of one group
// are written in the order of the calls. A snapshot's file is written before Start
// returns. The queue is unbounded, so the caller has to limit the updates that it
// starts; a replica has one update in progress.
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

// push queues an update for the writer.
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
	f.cond.Signal()
	return nil
}

// writeSnapshot writes the snapshot's file, if it has data, and returns a reference
// to it.
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

// fail disables the folder and returns its first failure. A failed sync may have
// marked the pages as clean without writing them, so that the next sync succeeds
// without their data: updates acknowledged after that would not be durable.
func (f *Folder) fail(op string, cause error) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failed == nil {
		f.failed = &FailedError{Op: op, Cause: cause}
		f.options.Log.Error("data folder disabled after a failure", "op", op, "cause", cause)
		f.stats.failures.Inc()
		f.cond.Broadcast()
	}
	return f.failed
}

// Close writes the pending updates, stops the writer and releases the lock.
func (f *Folder) Close() error {
	f.mu.Lock()
	f.closed = true
	f.cond.Broadcast()
	f.mu.Unlock()
	<-f.writerDone
	_ = f.file.Close()
	return f.lock.Close()
}
