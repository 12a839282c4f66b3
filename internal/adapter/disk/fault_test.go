package disk_test

import (
	"bytes"
	"errors"
	"testing"

	"github.com/lovagereach/lovagereach/internal/adapter/disk"
	"github.com/lovagereach/lovagereach/internal/adapter/disk/disktest"
	"github.com/lovagereach/lovagereach/quorum"
)

// diskWithUpdates returns a disk with three saved updates, and the sizes of its segment
// after the second and after the third.
func diskWithUpdates(t *testing.T) (fs *disktest.FS, before, after int) {
	t.Helper()
	fs = disktest.New()
	folder := open(t, fs)
	save(t, folder, disk.Update{Hard: &quorum.HardState{Term: 1}, Entries: entries(1, 2, 1)})
	save(t, folder, disk.Update{Snapshot: snapshot(1, 1, "state")})
	before = usedSize(fs, fs.Segment())
	last := entry(3, 1)
	save(t, folder, disk.Update{Entries: []quorum.Entry{last}})
	return fs.Clone(), before, usedSize(fs, fs.Segment())
}

// usedSize returns the size of a file without the reserved zeros at its end.
func usedSize(fs *disktest.FS, name string) int {
	content, _ := fs.Read(name)
	return len(bytes.TrimRight(content, "\x00"))
}

const (
	withoutLast = `term 1, snapshot 1 "state", 1.2`
	withLast    = `term 1, snapshot 1 "state", 1.2, 1.3`
)

// A crash tears the last write at any byte: the file ends there, or reserved zeros
// follow. The write was not acknowledged, so the next Open must drop it completely,
// keep everything before it, and accept further updates.
func TestTornWriteAtEachByte(t *testing.T) {
	fs, before, after := diskWithUpdates(t)
	for size := before; size <= after; size++ {
		short := fs.Clone()
		short.Change(short.Segment(), func(data []byte) []byte { return data[:size] })
		checkTorn(t, short, size, before, after)
		zeros := fs.Clone()
		zeros.Change(zeros.Segment(), func(data []byte) []byte {
			clear(data[size:])
			return data
		})
		checkTorn(t, zeros, size, before, after)
	}
}

func checkTorn(t *testing.T, torn *disktest.FS, size, before, after int) {
	t.Helper()
	want := withoutLast
	if size == after {
		want = withLast
	}
	folder, err := disk.Open(options(torn))
	if err != nil {
		t.Fatalf("torn at byte %d of %d: %v", size-before, after-before, err)
	}
	if got := describe(t, folder, 0); got != want {
		t.Fatalf("torn at byte %d of %d: %s", size-before, after-before, got)
	}
	save(t, folder, disk.Update{Entries: entries(3, 3, 2)})
	if got := describe(t, open(t, torn.Crash(0)), 0); got != withoutLast+", 2.3" {
		t.Fatalf("torn at byte %d of %d, after another update: %s", size-before, after-before, got)
	}
}

// A crash keeps the file size of the last write but not all of its sectors: the missing
// ones read as zero. The write must count as torn whichever sector is missing.
func TestTornSectors(t *testing.T) {
	const sector = 512
	fs := disktest.New()
	folder := open(t, fs)
	save(t, folder, disk.Update{Hard: &quorum.HardState{Term: 1}, Entries: entries(1, 1, 1)})
	before := usedSize(fs, fs.Segment())
	save(t, folder, disk.Update{Entries: entries(2, 120, 1)})
	for start := before; start < usedSize(fs, fs.Segment()); start = (start/sector + 1) * sector {
		torn := fs.Clone()
		torn.Change(torn.Segment(), func(data []byte) []byte {
			clear(data[start:min(len(data), (start/sector+1)*sector)])
			return data
		})
		again, err := disk.Open(options(torn))
		if err != nil {
			t.Fatalf("missing sector at %d: %v", start, err)
		}
		if got := describe(t, again, 0); got != `term 1, snapshot 0 "", 1.1` {
			t.Fatalf("missing sector at %d: %s", start, got)
		}
	}
}

// A bit flips in synced data: in the log, in a snapshot or in the identity. Open must
// fail with file and offset. Truncating the log there would lose votes and entries that
// this host has acknowledged.
func TestFlippedBitIsRefused(t *testing.T) {
	fs, _, _ := diskWithUpdates(t)
	names, _ := fs.List()
	for _, name := range names {
		for offset := range usedSize(fs, name) {
			for _, bit := range []byte{0x01, 0x80} {
				flipped := fs.Clone()
				flipped.Change(name, func(data []byte) []byte {
					data[offset] ^= bit
					return data
				})
				_, err := disk.Open(options(flipped))
				var damage *disk.DamageError
				if !errors.As(err, &damage) || damage.File != name || damage.Offset > int64(offset) {
					t.Fatalf("%s, byte %d, bit %#x: got %v", name, offset, bit, err)
				}
			}
		}
	}
}

// Synced files of the folder are missing or truncated. Open must fail; in particular, an
// empty log must not be mistaken for a new folder.
func TestMissingFilesAreRefused(t *testing.T) {
	cases := map[string]func(fs *disktest.FS){
		"no segment":      func(fs *disktest.FS) { _ = fs.Remove(fs.Segment()) },
		"no identity":     func(fs *disktest.FS) { _ = fs.Remove("identity") },
		"empty identity":  func(fs *disktest.FS) { fs.Change("identity", func([]byte) []byte { return nil }) },
		"no snapshot":     func(fs *disktest.FS) { _ = fs.Remove(snapshotFile(fs)) },
		"cut snapshot":    func(fs *disktest.FS) { fs.Change(snapshotFile(fs), func(d []byte) []byte { return d[:len(d)-1] }) },
		"cut checkpoint":  func(fs *disktest.FS) { fs.Change(fs.Segment(), func(d []byte) []byte { return d[:40] }) },
		"empty segment":   func(fs *disktest.FS) { fs.Change(fs.Segment(), func([]byte) []byte { return nil }) },
		"foreign segment": func(fs *disktest.FS) { fs.Change(fs.Segment(), func([]byte) []byte { return foreignSegment() }) },
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			fs, _, _ := diskWithUpdates(t)
			change(fs)
			_, err := disk.Open(options(fs))
			var damage *disk.DamageError
			if !errors.As(err, &damage) {
				t.Fatalf("got %v", err)
			}
		})
	}
}

func snapshotFile(fs *disktest.FS) string {
	names, _ := fs.List()
	for _, name := range names {
		if len(name) > 5 && name[len(name)-5:] == ".snap" {
			return name
		}
	}
	return ""
}

func foreignSegment() []byte {
	fs := disktest.New()
	folder, err := disk.Open(options(fs))
	if err != nil {
		panic(err)
	}
	content, _ := fs.Read(fs.Segment())
	_ = folder.Close()
	return content
}

// The disk fills up or a sync fails at any step of a run with snapshots and new segments.
// No later save may succeed, even after the disk has free space again or the next sync
// succeeds, because the data of the failed sync is lost from the page cache. Updates
// acknowledged before must be present after a restart.
func TestFailureIsPermanent(t *testing.T) {
	faults := map[string]func(fs *disktest.FS, step int){
		"full disk": func(fs *disktest.FS, step int) { fs.LimitFreeBytes(step * 50) },
		"sync":      func(fs *disktest.FS, step int) { fs.FailSync(step) },
	}
	for name, inject := range faults {
		t.Run(name, func(t *testing.T) {
			for step := range 40 {
				runUntilFailure(t, step, inject)
			}
		})
	}
}

func runUntilFailure(t *testing.T, step int, inject func(*disktest.FS, int)) {
	t.Helper()
	fs := disktest.New()
	small := options(fs)
	small.SegmentBytes = 512
	folder, err := disk.Open(small)
	if err != nil {
		t.Fatal(err)
	}
	inject(fs, step)
	acked, failed := uint64(0), false
	for index := uint64(1); index <= 40; index++ {
		update := disk.Update{Hard: &quorum.HardState{Term: index}, Entries: entries(index, index, 1)}
		if index%10 == 0 {
			update.Snapshot = snapshot(index-1, 1, "state")
		}
		err := folder.Save(update)
		if err == nil && failed {
			t.Fatalf("step %d: save %d succeeded after a failure", step, index)
		}
		if err == nil {
			acked = index
			continue
		}
		failed = true
		var fatal *disk.FailedError
		if !errors.As(err, &fatal) || folder.Err() == nil {
			t.Fatalf("step %d: save %d: %v", step, index, err)
		}
		fs.LimitFreeBytes(-1)
	}
	if !failed {
		t.Fatalf("step %d: no save failed", step)
	}
	stored, _, _, err := open(t, fs.Crash(0)).Load(0)
	if err != nil || stored.HardState.Term < acked {
		t.Fatalf("step %d: acknowledged %d, stored %d, %v", step, acked, stored.HardState.Term, err)
	}
}

// The host crashes during a write, loses unsynced data and keeps any number of bytes of
// that write. Acknowledged updates must survive.
func TestCrashKeepsAcknowledgedUpdates(t *testing.T) {
	for torn := range 120 {
		fs := disktest.New()
		folder := open(t, fs)
		save(t, folder, disk.Update{Entries: entries(1, 5, 1), Hard: &quorum.HardState{Term: 1}})
		gate := make(chan struct{})
		fs.Stall(gate)
		result := make(chan error, 1)
		folder.Start(disk.Update{Entries: entries(6, 6, 1)}, func(err error) { result <- err })
		// The sync is stalled until after the crash, so the write is complete but
		// not synced.
		waitForWrite(fs)
		next := fs.Crash(torn)
		close(gate)
		if err := <-result; err == nil {
			t.Fatal("an update was acknowledged after the crash")
		}
		got := describe(t, open(t, next), 0)
		want := `term 1, snapshot 0 "", 1.1, 1.2, 1.3, 1.4, 1.5`
		if got != want && got != want+", 1.6" {
			t.Fatalf("%d bytes kept: %s", torn, got)
		}
	}
}

// The process crashes before each operation of a run that initializes the folder, takes
// snapshots and replaces segments. The last changes of names may be durable or not. The
// next Open must find all acknowledged updates, and initialize the folder if that had
// not been completed.
func TestCrashBeforeEachOperation(t *testing.T) {
	complete := 0
	for step := 0; complete < 3; step++ {
		fs := disktest.New()
		fs.CrashAfter(step)
		acked := saveUntilCrash(fs)
		if acked == plannedUpdates {
			complete++
		}
		for name, next := range map[string]*disktest.FS{
			"lost":    fs.Crash(step % 40),
			"lasting": fs.CrashKeepingNames(step % 40),
		} {
			folder, err := disk.Open(options(next))
			if err != nil {
				t.Fatalf("step %d, names %s: %v", step, name, err)
			}
			stored, _, _, err := folder.Load(0)
			if err != nil || stored.HardState.Term < acked {
				t.Fatalf("step %d, names %s: acknowledged %d, stored %d, %v", step, name, acked, stored.HardState.Term, err)
			}
		}
	}
}

const plannedUpdates = 30

// saveUntilCrash saves updates until one fails, at most plannedUpdates, and returns the
// index of the last acknowledged one.
func saveUntilCrash(fs *disktest.FS) (acked uint64) {
	small := options(fs)
	small.SegmentBytes = 512
	folder, err := disk.Open(small)
	if err != nil {
		return 0
	}
	for index := uint64(1); index <= plannedUpdates; index++ {
		update := disk.Update{Hard: &quorum.HardState{Term: index}, Entries: entries(index, index, 1)}
		if index%7 == 0 {
			update.Snapshot = snapshot(index-1, 1, "state")
		}
		if folder.Save(update) != nil {
			break
		}
		acked = index
	}
	_ = folder.Close()
	return acked
}

// waitForWrite waits until entry 6 has been written to the segment.
func waitForWrite(fs *disktest.FS) {
	needle := []byte("command 1.6")
	for {
		content, _ := fs.Read(fs.Segment())
		if bytes.Contains(content, needle) {
			return
		}
	}
}

func FuzzOpen(f *testing.F) {
	fs := disktest.New()
	folder, err := disk.Open(options(fs))
	if err != nil {
		f.Fatal(err)
	}
	_ = folder.Save(disk.Update{Entries: entries(1, 3, 1), Snapshot: snapshot(0, 0, "state")})
	log, _ := fs.Read(fs.Segment())
	state, _ := fs.Read(snapshotFile(fs))
	f.Add(true, log)
	f.Add(false, state)
	base := fs.Clone()
	f.Fuzz(func(t *testing.T, inLog bool, data []byte) {
		changed := base.Clone()
		name := snapshotFile(changed)
		if inLog {
			name = changed.Segment()
		}
		changed.Change(name, func([]byte) []byte { return data })
		folder, err := disk.Open(options(changed))
		var damage *disk.DamageError
		if err != nil && !errors.As(err, &damage) {
			t.Fatal(err)
		}
		if err == nil {
			_ = folder.Close()
		}
	})
}
