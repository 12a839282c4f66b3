package disk

import (
	"maps"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/internal/wire"
)

// run writes and syncs pending updates, one frame at a time, until the folder is
// closed or fails. Updates that arrive during a sync share the next one.
func (f *Folder) run() {
	defer close(f.writerDone)
	for {
		batch := f.nextBatch()
		if len(batch) == 0 {
			f.failPending(f.Err())
			return
		}
		obsolete, err := f.commit(batch)
		for i := range batch {
			batch[i].done(err)
		}
		if err == nil {
			err = f.rotateAndClean(obsolete)
		}
		if err != nil {
			f.failPending(err)
			return
		}
	}
}

// nextBatch waits for updates and removes as many from the queue as fit into a
// batch. It returns an empty batch if the writer has to stop.
func (f *Folder) nextBatch() []pendingUpdate {
	f.mu.Lock()
	defer f.mu.Unlock()
	for len(f.pending) == 0 && !f.closed && f.failed == nil {
		f.cond.Wait()
	}
	if f.failed != nil {
		return nil
	}
	count, size := 0, 0
	for count < len(f.pending) && size < f.options.BatchBytes {
		size += f.pending[count].record.size()
		count++
	}
	batch := f.pending[:count:count]
	f.pending = f.pending[count:]
	return batch
}

// failPending completes all pending updates with cause.
func (f *Folder) failPending(cause error) {
	f.mu.Lock()
	waiting := f.pending
	f.pending = nil
	f.mu.Unlock()
	for i := range waiting {
		waiting[i].done(cause)
	}
}

// commit makes a batch durable and returns the snapshot files that are no longer
// referenced. Updates that are inconsistent with the stored state are skipped.
func (f *Folder) commit(batch []pendingUpdate) ([]string, error) {
	records, obsolete := f.applyBatch(batch)
	if len(records) > 0 {
		if err := f.append(records); err != nil {
			return nil, f.fail("log write", err)
		}
	}
	f.stats.updates.Add(len(records))
	return obsolete, nil
}

// rotateAndClean starts a new segment if the current one exceeds its limit, and
// removes obsolete files.
func (f *Folder) rotateAndClean(obsolete []string) error {
	if f.segmentSize > f.segmentLimit {
		if err := f.rotate(); err != nil {
			return f.fail("checkpoint", err)
		}
	}
	return f.removeAll(obsolete)
}

// applyBatch applies the records in order. It returns the records to write and the
// snapshot files that are no longer referenced.
func (f *Folder) applyBatch(batch []pendingUpdate) (records []record, obsolete []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range batch {
		r := &batch[i].record
		state, ok := f.groups[r.Group]
		if !ok {
			state = &groupState{}
		}
		if err := f.checkUpdate(state, r, ok); err != nil {
			done := batch[i].done
			batch[i].done = func(error) { done(err) }
			if r.Snapshot != nil && r.Snapshot.File != "" && r.Snapshot.File != state.snapshot.File {
				obsolete = append(obsolete, r.Snapshot.File)
			}
			continue
		}
		f.groups[r.Group] = state
		old := state.snapshot.File
		state.apply(r)
		if old != "" && old != state.snapshot.File {
			obsolete = append(obsolete, old)
		}
		records = append(records, *r)
	}
	return records, obsolete
}

// checkUpdate returns an ErrUpdate if r exceeds a limit or is inconsistent with state.
func (f *Folder) checkUpdate(state *groupState, r *record, known bool) error {
	if !known && len(f.groups) >= MaxGroups {
		return eris.Wrapf(ErrUpdate, "more than %d groups", MaxGroups)
	}
	if r.size() > maxPayload/2 {
		return eris.Wrapf(ErrUpdate, "update of %d bytes", r.size())
	}
	return state.check(r)
}

// append writes records in one frame and syncs it.
func (f *Folder) append(records []record) error {
	if err := f.writeFrame(records); err != nil {
		return err
	}
	return f.sync()
}

func (f *Folder) writeFrame(records []record) error {
	payload, err := wire.Marshal(records)
	if err != nil {
		return err
	}
	data := seedOf(f.identity.ID).appendFrame(nil, f.sequence+1, payload)
	if err := f.reserve(f.segmentSize + len(data)); err != nil {
		return err
	}
	if err := f.write(data); err != nil {
		return err
	}
	f.sequence++
	f.segmentSize += len(data)
	return nil
}

// reserve ensures that the file has size bytes, and writes zeros ahead of the log if
// needed. Syncs of reserved space write no metadata, so they don't wait for the file
// system's journal, which all writers of the disk share.
func (f *Folder) reserve(size int) error {
	if size <= f.reserved {
		return nil
	}
	reserved := size + f.options.ReserveBytes
	if err := f.file.Reserve(int64(reserved)); err != nil {
		return eris.Wrap(err, "reserve space")
	}
	f.reserved = reserved
	return nil
}

func (f *Folder) write(data []byte) error {
	n, err := f.file.Write(data)
	f.stats.bytes.Add(n)
	if err == nil && n < len(data) {
		err = eris.Errorf("%d of %d bytes written", n, len(data))
	}
	return err
}

func (f *Folder) sync() error {
	startedAt := time.Now()
	err := f.file.Sync()
	took := time.Since(startedAt)
	f.stats.syncs.Inc()
	f.stats.syncTime.Update(took.Seconds())
	if took > SlowSync {
		f.stats.slowSyncs.Inc()
		f.options.Log.Warn("slow sync", "took", took)
	}
	return err
}

// rotate starts a new segment with a checkpoint of all groups. The segment gets its
// final name only after it is synced, so that an incomplete checkpoint is never read;
// the old segment is removed after the new name is durable.
func (f *Folder) rotate() error {
	old := f.segmentNumber
	if f.file != nil {
		_ = f.file.Close()
	}
	temp := segmentName(old+1) + tempSuffix
	file, err := f.fs.Create(temp)
	if err != nil {
		return eris.Wrap(err, "create segment")
	}
	f.file, f.segmentNumber, f.segmentSize, f.reserved = file, old+1, segmentHeaderSize, 0
	if err := f.write(segmentHeader(f.segmentNumber, f.identity.ID)); err != nil {
		return err
	}
	if err := f.checkpoint(); err != nil {
		return err
	}
	if err := f.sync(); err != nil {
		return err
	}
	if err := f.fs.Rename(temp, segmentName(f.segmentNumber)); err != nil {
		return eris.Wrap(err, "rename segment")
	}
	if err := f.fs.SyncFolder(); err != nil {
		return eris.Wrap(err, "sync folder")
	}
	f.segmentLimit = max(f.options.SegmentBytes, segmentGrowth*f.segmentSize)
	f.stats.checkpoints.Inc()
	if old == 0 {
		return nil
	}
	return f.removeAll([]string{segmentName(old)})
}

// checkpoint writes the state of every group, in frames of bounded size.
func (f *Folder) checkpoint() error {
	f.mu.Lock()
	ids := slices.Sorted(maps.Keys(f.groups))
	f.mu.Unlock()
	for _, id := range ids {
		for _, r := range f.groupCheckpoint(id) {
			if err := f.writeFrame([]record{r}); err != nil {
				return err
			}
		}
	}
	return f.writeFrame([]record{{End: true}})
}

func (f *Folder) groupCheckpoint(id port.GroupID) []record {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.groups[id].checkpoint(id, f.options.BatchBytes)
}

// removeAll removes files that are no longer referenced. The removal need not be
// synced: Open removes the files again if they reappear after a crash.
func (f *Folder) removeAll(names []string) error {
	for _, name := range names {
		if err := f.fs.Remove(name); err != nil {
			return f.fail("remove", eris.Wrapf(err, "remove %s", name))
		}
	}
	return nil
}
