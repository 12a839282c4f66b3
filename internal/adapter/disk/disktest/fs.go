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

// file is the content of a file as readers see it and as a crash leaves it.
type file struct {
	data []byte
	// durable is the content that survives a crash. dirty is the offset of the
	// first write since the last sync.
	durable []byte
	dirty   int
	// syncFailed is set after a failed sync: later syncs succeed, but writes no
	// longer become durable.
	syncFailed bool
}

func newFile(data []byte) *file {
	return &file{data: bytes.Clone(data), durable: bytes.Clone(data), dirty: len(data)}
}

// sync makes data durable unless an earlier sync has failed.
func (f *file) sync(data []byte, dirty int) {
	if !f.syncFailed {
		f.durable = data
		f.dirty = dirty
	}
}

// afterCrash returns the content after a crash that kept n bytes of the unsynced writes.
func (f *file) afterCrash(n int) []byte {
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
	// names is the folder as readers see it, durableNames as a crash leaves it.
	names        map[string]*file
	durableNames map[string]*file
	locked       bool
	// crashed makes every operation fail: the process that used f has crashed.
	crashed bool
	// remainingOps is the number of operations before the process crashes, negative
	// for no limit.
	remainingOps int

	// freeBytes is the number of bytes that may still be written, negative for no
	// limit.
	freeBytes int
	// syncsUntilFailure is the number of syncs that succeed before one fails,
	// negative for never.
	syncsUntilFailure int
	// stall, if set, is received from before each sync.
	stall <-chan struct{}
	// syncTime is the duration of each sync.
	syncTime time.Duration
	// syncs is the number of file syncs so far.
	syncs int
}

var _ disk.FS = (*FS)(nil)

// New returns an empty file system without faults.
func New() *FS {
	return &FS{
		names:             make(map[string]*file),
		durableNames:      make(map[string]*file),
		freeBytes:         -1,
		syncsUntilFailure: -1,
		remainingOps:      -1,
	}
}

// LimitFreeBytes makes the disk full after n more bytes; a negative n removes the limit.
func (f *FS) LimitFreeBytes(n int) { f.set(func() { f.freeBytes = n }) }

// FailSync makes one sync fail after n more have succeeded.
func (f *FS) FailSync(n int) { f.set(func() { f.syncsUntilFailure = n }) }

// CrashAfter crashes the process that uses f after n more operations: every later
// operation fails and changes nothing.
func (f *FS) CrashAfter(n int) { f.set(func() { f.remainingOps = n }) }

// Stall makes each sync first receive from gate; a nil gate removes the stall.
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

// Crash crashes the host that uses f and returns the file system after the
// restart: names and data that were not synced are lost, except that each file
// keeps up to torn bytes of its unsynced writes.
func (f *FS) Crash(torn int) *FS {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.crash(f.durableNames, torn)
}

// Kill ends the process that uses f and returns the file system for its next
// incarnation: nothing is lost, but unsynced data can still be lost in a later crash.
func (f *FS) Kill() *FS {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crashed = true
	next := New()
	next.syncTime = f.syncTime
	copies := make(map[*file]*file)
	copyNames := func(names map[string]*file) map[string]*file {
		copied := make(map[string]*file, len(names))
		for name, old := range names {
			if copies[old] == nil {
				copies[old] = &file{data: bytes.Clone(old.data), durable: bytes.Clone(old.durable), dirty: old.dirty, syncFailed: old.syncFailed}
			}
			copied[name] = copies[old]
		}
		return copied
	}
	next.names, next.durableNames = copyNames(f.names), copyNames(f.durableNames)
	return next
}

// CrashKeepingNames is like Crash on a file system that has written the names, but
// not the data, to disk without a sync.
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
		next.names[name] = newFile(old.afterCrash(torn))
	}
	next.durableNames = cloneNames(next.names)
	return next
}

// Clone returns a copy of the file system with everything synced.
func (f *FS) Clone() *FS {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := New()
	for name, old := range f.names {
		next.names[name] = newFile(old.data)
	}
	next.durableNames = cloneNames(next.names)
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

// beginOp counts an operation and returns ErrIO once the process has crashed.
func (f *FS) beginOp() error {
	if f.remainingOps == 0 {
		f.crashed = true
	}
	if f.crashed {
		return ErrIO
	}
	if f.remainingOps > 0 {
		f.remainingOps--
	}
	return nil
}

// Create implements disk.FS.
func (f *FS) Create(name string) (disk.File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.beginOp(); err != nil {
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
	return bytes.Clone(found.data), f.beginOp()
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
	return names, f.beginOp()
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
	if err := f.beginOp(); err != nil {
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
	if err := f.beginOp(); err != nil {
		return err
	}
	delete(f.names, name)
	return nil
}

// SyncFolder implements disk.FS.
func (f *FS) SyncFolder() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.beginOp(); err != nil {
		return err
	}
	f.durableNames = cloneNames(f.names)
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

// Write implements io.Writer. A full disk accepts the bytes that fit.
func (h *handle) Write(p []byte) (int, error) {
	h.fs.mu.Lock()
	defer h.fs.mu.Unlock()
	if err := h.fs.beginOp(); err != nil {
		return 0, err
	}
	grown := max(0, h.position+len(p)-len(h.file.data))
	n := len(p) - grown + h.fs.allocate(grown)
	copied := copy(h.file.data[h.position:], p[:n])
	h.file.data = append(h.file.data, p[copied:n]...)
	h.file.dirty = min(h.file.dirty, h.position)
	h.position += n
	if n < len(p) {
		return n, ErrNoSpace
	}
	return n, nil
}

// allocate takes up to n bytes of the free space and returns their number.
func (f *FS) allocate(n int) int {
	if f.freeBytes >= 0 {
		n = min(n, f.freeBytes)
		f.freeBytes -= n
	}
	return n
}

// Reserve implements disk.File.
func (h *handle) Reserve(size int64) error {
	h.fs.mu.Lock()
	missing := max(0, int(size)-len(h.file.data))
	taken := h.fs.allocate(missing)
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
	if err := h.fs.beginOp(); err != nil {
		return err
	}
	h.fs.syncs++
	if h.fs.syncsUntilFailure == 0 {
		h.fs.syncsUntilFailure = -1
		h.file.syncFailed = true
		return ErrIO
	}
	if h.fs.syncsUntilFailure > 0 {
		h.fs.syncsUntilFailure--
	}
	h.file.sync(written, position)
	return nil
}

// Close implements disk.File.
func (h *handle) Close() error { return nil }
