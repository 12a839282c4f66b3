package disktest

import (
	"bytes"
	"errors"
	"io"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/lovagereach/lovagereach/internal/adapter/disk"
)

// Errors that FS injects.
var (
	ErrNoSpace = errors.New("no space left on device")
	ErrIO      = errors.New("input/output error")
)

// file is one file: what a reader sees and what a crash leaves.
type file struct {
	data []byte
	// durable is what lasts; dirty is the offset of the first write since.
	durable []byte
	dirty   int
	// lost is set after a failed sync: its data never lasts, although later
	// syncs succeed.
	lost bool
}

func newFile(data []byte) *file {
	return &file{data: bytes.Clone(data), durable: bytes.Clone(data), dirty: len(data)}
}

func (f *file) sync(data []byte, dirty int) {
	if !f.lost {
		f.durable = data
		f.dirty = dirty
	}
}

// torn is what lasts when a crash lets n bytes of the unsynced writes through.
func (f *file) torn(n int) []byte {
	kept := bytes.Clone(f.durable)
	if n > 0 && f.dirty < len(f.data) {
		written := f.data[f.dirty:min(len(f.data), f.dirty+n)]
		if missing := f.dirty - len(kept); missing > 0 {
			kept = append(kept, make([]byte, missing)...)
		}
		kept = append(kept[:f.dirty], append(bytes.Clone(written), kept[min(len(kept), f.dirty+len(written)):]...)...)
	}
	return kept
}

// FS is a disk.FS in memory. The zero value is not usable; call New.
type FS struct {
	mu sync.Mutex
	// names are what a reader sees, lasting what a crash leaves.
	names   map[string]*file
	lasting map[string]*file
	locked  bool
	// crashed makes every operation of the former life fail.
	crashed bool
	// steps is how many operations succeed before the life ends, negative for
	// no bound.
	steps int

	// room is how many bytes may still be written, negative for no bound.
	room int
	// failSync is how many syncs succeed before one fails, negative for never.
	failSync int
	// stall, when set, is received from before each sync.
	stall <-chan struct{}
	// syncTime is how long each sync takes.
	syncTime time.Duration
	// syncs counts the syncs of files.
	syncs int
}

var _ disk.FS = (*FS)(nil)

// New returns an empty disk without faults.
func New() *FS {
	return &FS{
		names:    make(map[string]*file),
		lasting:  make(map[string]*file),
		room:     -1,
		failSync: -1,
		steps:    -1,
	}
}

// LimitRoom makes the disk full after n more bytes.
func (f *FS) LimitRoom(n int) { f.set(func() { f.room = n }) }

// FailSync makes one sync fail after n more that succeed.
func (f *FS) FailSync(n int) { f.set(func() { f.failSync = n }) }

// EndAfter ends the life that uses f after n more operations: every later one
// fails and changes nothing.
func (f *FS) EndAfter(n int) { f.set(func() { f.steps = n }) }

// Stall makes each sync first receive from gate; nil ends that.
func (f *FS) Stall(gate <-chan struct{}) { f.set(func() { f.stall = gate }) }

// SlowSync makes each sync take d.
func (f *FS) SlowSync(d time.Duration) { f.set(func() { f.syncTime = d }) }

// Syncs returns the number of file syncs so far.
func (f *FS) Syncs() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.syncs
}

func (f *FS) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// Crash ends the life that uses f and returns the disk as the next life finds
// it: names and data that were not synced are gone, except that a file keeps
// up to torn bytes beyond its synced part.
func (f *FS) Crash(torn int) *FS {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.crash(f.lasting, torn)
}

// Kill ends the life that uses f and returns the disk as the next life of the process
// finds it: nothing is gone, and what was not synced can still be lost.
func (f *FS) Kill() *FS {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crashed = true
	next := New()
	next.syncTime = f.syncTime
	copies := make(map[*file]*file)
	again := func(names map[string]*file) map[string]*file {
		copied := make(map[string]*file, len(names))
		for name, old := range names {
			if copies[old] == nil {
				copies[old] = &file{data: bytes.Clone(old.data), durable: bytes.Clone(old.durable), dirty: old.dirty, lost: old.lost}
			}
			copied[name] = copies[old]
		}
		return copied
	}
	next.names, next.lasting = again(f.names), again(f.lasting)
	return next
}

// CrashKeepingNames is Crash on a file system that had written the names, but
// not the data, of its own accord.
func (f *FS) CrashKeepingNames(torn int) *FS {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.crash(f.names, torn)
}

func (f *FS) crash(names map[string]*file, torn int) *FS {
	f.crashed = true
	next := New()
	next.syncTime = f.syncTime
	for name, old := range names {
		next.names[name] = newFile(old.torn(torn))
	}
	next.lasting = cloneNames(next.names)
	return next
}

// Clone returns a copy of the disk as it stands, with everything synced.
func (f *FS) Clone() *FS {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := New()
	for name, old := range f.names {
		next.names[name] = newFile(old.data)
	}
	next.lasting = cloneNames(next.names)
	return next
}

// Change replaces the content of a file.
func (f *FS) Change(name string, change func(data []byte) []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	*f.names[name] = *newFile(change(bytes.Clone(f.names[name].data)))
}

func cloneNames(names map[string]*file) map[string]*file {
	copied := make(map[string]*file, len(names))
	for name, file := range names {
		copied[name] = file
	}
	return copied
}

// alive counts an operation and fails once the life has ended.
func (f *FS) alive() error {
	if f.steps == 0 {
		f.crashed = true
	}
	if f.crashed {
		return ErrIO
	}
	if f.steps > 0 {
		f.steps--
	}
	return nil
}

// Create implements disk.FS.
func (f *FS) Create(name string) (disk.File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.alive(); err != nil {
		return nil, err
	}
	created := &file{}
	f.names[name] = created
	return &handle{fs: f, file: created}, nil
}

// Read implements disk.FS.
func (f *FS) Read(name string) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	found, ok := f.names[name]
	if !ok {
		return nil, os.ErrNotExist
	}
	return bytes.Clone(found.data), f.alive()
}

// List implements disk.FS.
func (f *FS) List() ([]string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var names []string
	for name := range f.names {
		names = append(names, name)
	}
	slices.Sort(names)
	return names, f.alive()
}

// Segment returns the name of the latest log segment.
func (f *FS) Segment() string {
	names, _ := f.List()
	latest := ""
	for _, name := range names {
		if strings.HasSuffix(name, ".log") {
			latest = name
		}
	}
	return latest
}

// Rename implements disk.FS.
func (f *FS) Rename(from, to string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	moved, ok := f.names[from]
	if !ok {
		return os.ErrNotExist
	}
	if err := f.alive(); err != nil {
		return err
	}
	delete(f.names, from)
	f.names[to] = moved
	return nil
}

// Remove implements disk.FS.
func (f *FS) Remove(name string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, ok := f.names[name]; !ok {
		return os.ErrNotExist
	}
	if err := f.alive(); err != nil {
		return err
	}
	delete(f.names, name)
	return nil
}

// SyncFolder implements disk.FS.
func (f *FS) SyncFolder() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.alive(); err != nil {
		return err
	}
	f.lasting = cloneNames(f.names)
	return nil
}

// Lock implements disk.FS.
func (f *FS) Lock() (io.Closer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.locked {
		return nil, disk.ErrLocked
	}
	f.locked = true
	return unlocker{f}, nil
}

type unlocker struct{ fs *FS }

func (u unlocker) Close() error {
	u.fs.set(func() { u.fs.locked = false })
	return nil
}

type handle struct {
	fs       *FS
	file     *file
	position int
}

// Write implements io.Writer. A full disk takes what fits.
func (h *handle) Write(p []byte) (int, error) {
	h.fs.mu.Lock()
	defer h.fs.mu.Unlock()
	if err := h.fs.alive(); err != nil {
		return 0, err
	}
	grown := max(0, h.position+len(p)-len(h.file.data))
	n := len(p) - grown + h.fs.take(grown)
	copied := copy(h.file.data[h.position:], p[:n])
	h.file.data = append(h.file.data, p[copied:n]...)
	h.file.dirty = min(h.file.dirty, h.position)
	h.position += n
	if n < len(p) {
		return n, ErrNoSpace
	}
	return n, nil
}

// take uses up to n bytes of room and returns how many.
func (f *FS) take(n int) int {
	if f.room >= 0 {
		n = min(n, f.room)
		f.room -= n
	}
	return n
}

// Reserve implements disk.File.
func (h *handle) Reserve(size int64) error {
	h.fs.mu.Lock()
	missing := max(0, int(size)-len(h.file.data))
	taken := h.fs.take(missing)
	h.file.data = append(h.file.data, make([]byte, taken)...)
	h.fs.mu.Unlock()
	if taken < missing {
		return ErrNoSpace
	}
	return h.Sync()
}

// Sync implements disk.File.
func (h *handle) Sync() error {
	h.fs.mu.Lock()
	stall, syncTime := h.fs.stall, h.fs.syncTime
	written := bytes.Clone(h.file.data)
	position := h.position
	h.fs.mu.Unlock()
	if stall != nil {
		<-stall
	}
	if syncTime > 0 {
		time.Sleep(syncTime)
	}
	h.fs.mu.Lock()
	defer h.fs.mu.Unlock()
	if err := h.fs.alive(); err != nil {
		return err
	}
	h.fs.syncs++
	if h.fs.failSync == 0 {
		h.fs.failSync = -1
		h.file.lost = true
		return ErrIO
	}
	if h.fs.failSync > 0 {
		h.fs.failSync--
	}
	h.file.sync(written, position)
	return nil
}

// Close implements disk.File.
func (h *handle) Close() error { return nil }
