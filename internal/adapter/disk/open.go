package disk

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"

	"github.com/charmbracelet/log"
	"github.com/rotisserie/eris"

	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/internal/wire"
)

// Open locks the folder, reads it and starts its writer. A folder without an identity
// is initialized. A torn last frame is dropped; everything else is written to a new
// segment and synced before Open returns, because data that a previous incarnation
// left in the page cache may not be on disk yet.
func Open(options Options) (*Folder, error) {
	if err := options.Validate(); err != nil {
		return nil, err
	}
	if options.SegmentBytes == 0 {
		options.SegmentBytes = DefaultSegmentBytes
	}
	if options.BatchBytes == 0 {
		options.BatchBytes = DefaultBatchBytes
	}
	if options.ReserveBytes == 0 {
		options.ReserveBytes = DefaultReserveBytes
	}
	if options.Log == nil {
		options.Log = log.New(io.Discard)
	}
	f := &Folder{
		options:    options,
		fs:         options.FS,
		stats:      newFolderStats(),
		groups:     make(map[port.GroupID]*groupState),
		writerDone: make(chan struct{}),
	}
	f.cond = sync.NewCond(&f.mu)
	lock, err := f.fs.Lock()
	if err != nil {
		return nil, err
	}
	f.lock = lock
	if err := f.recover(); err != nil {
		if f.file != nil {
			_ = f.file.Close()
		}
		return nil, errors.Join(err, lock.Close())
	}
	go f.run()
	return f, nil
}

// recover restores the state from the files of the folder.
func (f *Folder) recover() error {
	names, err := f.fs.List()
	if err != nil {
		return eris.Wrap(err, "disk: list")
	}
	identity, ok, err := readIdentity(f.fs)
	if err != nil {
		return err
	}
	if !ok {
		return f.initialize(names)
	}
	if identity.Cluster != f.options.Cluster || identity.Host != f.options.Host {
		return fmt.Errorf("%w: it is of host %q in %q, this is host %q in %q", ErrForeign,
			identity.Host, identity.Cluster, f.options.Host, f.options.Cluster)
	}
	f.identity = identity
	if err := f.replay(latestSegment(names)); err != nil {
		return err
	}
	if err := f.rotate(); err != nil {
		return f.fail("checkpoint", err)
	}
	return f.removeUnused()
}

// initialize sets up a new folder. A crash before the identity is synced leaves a first
// segment, which is replaced: no update can have been stored in it.
func (f *Folder) initialize(names []string) error {
	first := segmentName(1)
	for _, name := range names {
		if name != lockName && name != first && !isTempFile(name) {
			return &DamageError{File: identityName, Reason: "the file is missing but " + name + " is there"}
		}
	}
	if slices.Contains(names, first) {
		content, err := f.fs.Read(first)
		if err != nil {
			return eris.Wrap(err, "disk: first segment")
		}
		written := bytes.TrimRight(content, "\x00")
		if len(written) > segmentHeaderSize+len(emptyCheckpoint()) {
			return &DamageError{File: identityName, Reason: "the file is missing but a segment holds data"}
		}
	}
	f.identity = Identity{Cluster: f.options.Cluster, Host: f.options.Host, ID: randomID()}
	if err := f.rotate(); err != nil {
		return f.fail("formation", err)
	}
	if err := writeIdentity(f.fs, f.identity); err != nil {
		return f.fail("formation", err)
	}
	return nil
}

// emptyCheckpoint returns the checkpoint frame of a first segment, which has no groups.
func emptyCheckpoint() []byte {
	return checksumSeed(0).appendFrame(nil, 1, wire.MustMarshal([]record{{End: true}}))
}

// latestSegment returns the highest segment number in names, zero if there is none.
func latestSegment(names []string) uint64 {
	var latest uint64
	for _, name := range names {
		if number, ok := parseSegmentName(name); ok {
			latest = max(latest, number)
		}
	}
	return latest
}

// replay reads the latest segment, which holds the complete state. A torn last frame is
// dropped; no frame is written behind it because a new segment follows.
func (f *Folder) replay(number uint64) error {
	if number == 0 {
		return &DamageError{File: segmentName(1), Reason: "the folder holds no segment"}
	}
	name := segmentName(number)
	data, err := f.fs.Read(name)
	if err != nil {
		return eris.Wrap(err, "disk: read segment")
	}
	f.segmentNumber = number
	f.sequence, err = readSegment(number, f.identity.ID, data, f.replayRecord)
	return err
}

func (f *Folder) replayRecord(r *record) error {
	state, ok := f.groups[r.Group]
	if !ok {
		state = &groupState{}
		f.groups[r.Group] = state
	}
	if err := state.check(r); err != nil {
		return err
	}
	state.apply(r)
	return nil
}

// removeUnused verifies the snapshots in use and removes files that a crash left behind.
func (f *Folder) removeUnused() error {
	used := map[string]bool{identityName: true, lockName: true, segmentName(f.segmentNumber): true}
	for id, state := range f.groups {
		if _, err := f.readSnapshot(id, state.snapshot); err != nil {
			return err
		}
		used[state.snapshot.File] = true
	}
	names, err := f.fs.List()
	if err != nil {
		return eris.Wrap(err, "disk: list")
	}
	for _, name := range names {
		owned := strings.HasSuffix(name, snapshotSuffix) || strings.HasSuffix(name, segmentSuffix) || isTempFile(name)
		if used[name] || !owned {
			continue
		}
		if err := f.fs.Remove(name); err != nil {
			return f.fail("remove", err)
		}
	}
	return nil
}
