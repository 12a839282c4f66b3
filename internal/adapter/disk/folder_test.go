package disk_test

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/lovagereach/lovagereach/internal/adapter/disk"
	"github.com/lovagereach/lovagereach/internal/adapter/disk/disktest"
	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/quorum"
)

// testReserve is small, so that tests exceed the reserved space often.
const testReserve = 300

func options(fs disk.FS) disk.Options {
	return disk.Options{FS: fs, Cluster: "hall", Host: "north-1", ReserveBytes: testReserve}
}

func open(t *testing.T, fs disk.FS) *disk.Folder {
	t.Helper()
	folder, err := disk.Open(options(fs))
	if err != nil {
		t.Fatal(err)
	}
	return folder
}

func entry(index, term uint64) quorum.Entry {
	return quorum.Entry{Index: index, Term: term, Data: fmt.Appendf(nil, "command %d.%d", term, index)}
}

func entries(from, to, term uint64) []quorum.Entry {
	var list []quorum.Entry
	for index := from; index <= to; index++ {
		list = append(list, entry(index, term))
	}
	return list
}

func save(t *testing.T, folder *disk.Folder, update disk.Update) {
	t.Helper()
	if err := folder.Save(update); err != nil {
		t.Fatal(err)
	}
}

func snapshot(index, term uint64, data string) *quorum.Snapshot {
	return &quorum.Snapshot{Meta: quorum.SnapshotMeta{Index: index, Term: term}, Data: []byte(data)}
}

// describe returns the stored state of a group as one line.
func describe(t *testing.T, folder *disk.Folder, group port.GroupID) string {
	t.Helper()
	stored, data, ok, err := folder.Load(group)
	if err != nil {
		t.Fatal(err)
	}
	if !ok {
		return "nothing"
	}
	line := fmt.Sprintf("term %d, snapshot %d %q", stored.HardState.Term, stored.Snapshot.Index, data)
	for _, e := range stored.Entries {
		line += fmt.Sprintf(", %d.%d", e.Term, e.Index)
		if want := entry(e.Index, e.Term); !bytes.Equal(want.Data, e.Data) {
			t.Fatalf("entry %d holds %q", e.Index, e.Data)
		}
	}
	return line
}

func TestStoredStateSurvives(t *testing.T) {
	cases := map[string]struct {
		updates []disk.Update
		want    string
	}{
		"nothing": {want: "nothing"},
		"hard state and entries": {
			updates: []disk.Update{{Hard: &quorum.HardState{Term: 3}, Entries: entries(1, 3, 2)}},
			want:    `term 3, snapshot 0 "", 2.1, 2.2, 2.3`,
		},
		"conflicting entries replaced": {
			updates: []disk.Update{{Entries: entries(1, 4, 1)}, {Entries: entries(3, 3, 2)}},
			want:    `term 0, snapshot 0 "", 1.1, 1.2, 2.3`,
		},
		"compaction keeps what follows": {
			updates: []disk.Update{{Entries: entries(1, 4, 1)}, {Snapshot: snapshot(2, 1, "state")}, {Entries: entries(5, 5, 1)}},
			want:    `term 0, snapshot 2 "state", 1.3, 1.4, 1.5`,
		},
		"installed snapshot replaces the log": {
			updates: []disk.Update{{Entries: entries(1, 4, 1)}, {Snapshot: snapshot(3, 2, "state"), ReplaceLog: true}, {Entries: entries(4, 4, 2)}},
			want:    `term 0, snapshot 3 "state", 2.4`,
		},
		"snapshot beyond the log": {
			updates: []disk.Update{{Entries: entries(1, 2, 1)}, {Snapshot: snapshot(9, 2, "state"), ReplaceLog: true}, {Snapshot: snapshot(12, 2, "later"), ReplaceLog: true}},
			want:    `term 0, snapshot 12 "later"`,
		},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			fs := disktest.New()
			folder := open(t, fs)
			for _, update := range test.updates {
				save(t, folder, update)
			}
			for _, next := range []*disktest.FS{fs.Crash(0), fs.Clone()} {
				again := open(t, next)
				if got := describe(t, again, 0); got != test.want {
					t.Errorf("after a restart: %s, want %s", got, test.want)
				}
				if err := again.Close(); err != nil {
					t.Error(err)
				}
				third := open(t, next)
				if got := describe(t, third, 0); got != test.want {
					t.Errorf("after a second restart: %s, want %s", got, test.want)
				}
			}
		})
	}
}

func TestInvalidUpdateIsRefused(t *testing.T) {
	cases := map[string]disk.Update{
		"gap":              {Entries: entries(7, 7, 1)},
		"before snapshot":  {Entries: entries(2, 2, 1)},
		"not consecutive":  {Entries: []quorum.Entry{entry(4, 1), entry(6, 1)}},
		"older snapshot":   {Snapshot: snapshot(1, 1, "old")},
		"gap after change": {Snapshot: snapshot(9, 1, "new"), ReplaceLog: true, Entries: entries(11, 11, 1)},
	}
	for name, update := range cases {
		t.Run(name, func(t *testing.T) {
			fs := disktest.New()
			folder := open(t, fs)
			save(t, folder, disk.Update{Entries: entries(1, 3, 1), Hard: &quorum.HardState{Term: 1}})
			save(t, folder, disk.Update{Snapshot: snapshot(2, 1, "state")})
			if err := folder.Save(update); !errors.Is(err, disk.ErrUpdate) {
				t.Fatalf("got %v", err)
			}
			save(t, folder, disk.Update{Entries: entries(4, 4, 1)})
			want := `term 1, snapshot 2 "state", 1.3, 1.4`
			if got := describe(t, open(t, fs.Crash(0)), 0); got != want {
				t.Fatalf("stored %s, want %s", got, want)
			}
		})
	}
}

// Many groups write during a sync. All of them must share the next sync: with one sync
// per group, the disk would limit the number of groups.
func TestGroupsShareASync(t *testing.T) {
	const groups = 50
	fs := disktest.New()
	// Avoid the extra syncs of new segments and newly reserved space.
	roomy := options(fs)
	roomy.SegmentBytes, roomy.ReserveBytes = 1<<20, 1<<20
	folder, err := disk.Open(roomy)
	if err != nil {
		t.Fatal(err)
	}
	save(t, folder, disk.Update{Group: groups, Entries: entries(1, 1, 1)})
	before := fs.Syncs()
	gate := make(chan struct{})
	fs.Stall(gate)
	var started sync.WaitGroup
	started.Add(groups + 1)
	done := func(err error) {
		if err != nil {
			t.Error(err)
		}
		started.Done()
	}
	folder.Start(disk.Update{Group: groups, Entries: entries(2, 2, 1)}, done)
	for group := range groups {
		folder.Start(disk.Update{Group: port.GroupID(group), Entries: entries(1, 1, 1)}, done)
	}
	close(gate)
	started.Wait()
	// The writer is stalled in the sync of its first batch, of whatever size; all
	// other updates share the next sync.
	if shared := fs.Syncs() - before; shared > 2 {
		t.Fatalf("%d syncs for %d groups", shared, groups)
	}
	again := open(t, fs.Crash(0))
	if got := len(again.Groups()); got != groups+1 {
		t.Fatalf("%d groups stored", got)
	}
}

// The log outgrows its segment repeatedly. Old segments and snapshots must be removed, so
// that the folder stays bounded, and each restart in between must find the same state.
func TestSegmentsAreReplaced(t *testing.T) {
	fs := disktest.New()
	small := options(fs)
	small.SegmentBytes = 4096
	folder, err := disk.Open(small)
	if err != nil {
		t.Fatal(err)
	}
	save(t, folder, disk.Update{Group: 1, Hard: &quorum.HardState{Term: 7}, Entries: entries(1, 5, 7)})
	for index := uint64(1); index <= 500; index++ {
		save(t, folder, disk.Update{Entries: entries(index, index, 1)})
		if index%50 == 0 {
			save(t, folder, disk.Update{Snapshot: snapshot(index, 1, strings.Repeat("s", int(index)))})
		}
		if index%97 == 0 {
			again := open(t, fs.Clone())
			if got := describe(t, again, 1); got != `term 7, snapshot 0 "", 7.1, 7.2, 7.3, 7.4, 7.5` {
				t.Fatalf("idle group after %d entries: %s", index, got)
			}
		}
	}
	if err := folder.Close(); err != nil {
		t.Fatal(err)
	}
	names, _ := fs.List()
	if len(names) != 3 { // identity, one segment, one snapshot
		t.Fatalf("the folder holds %v", names)
	}
	if first := fs.Segment(); first == "segment-0000000000000001.log" {
		t.Fatal("the segment was never replaced")
	}
}

func TestFolderIsExclusive(t *testing.T) {
	fs := disktest.New()
	folder := open(t, fs)
	if _, err := disk.Open(options(fs)); !errors.Is(err, disk.ErrLocked) {
		t.Fatalf("second process: %v", err)
	}
	if err := folder.Close(); err != nil {
		t.Fatal(err)
	}
	for field, change := range map[string]func(o *disk.Options){
		"cluster": func(o *disk.Options) { o.Cluster = "other" },
		"host":    func(o *disk.Options) { o.Host = "north-2" },
	} {
		foreign := options(fs)
		change(&foreign)
		if _, err := disk.Open(foreign); !errors.Is(err, disk.ErrForeign) {
			t.Errorf("another %s: %v", field, err)
		}
	}
	if err := folder.Save(disk.Update{}); !errors.Is(err, disk.ErrClosed) {
		t.Errorf("save after close: %v", err)
	}
}

// A snapshot is loaded for a follower while newer ones replace it. If the file is removed
// before it is read, Load must return the newer snapshot instead of reporting damage.
func TestLoadDuringSnapshotReplacement(t *testing.T) {
	folder := open(t, disktest.New())
	save(t, folder, disk.Update{Snapshot: snapshot(1, 1, "state"), ReplaceLog: true})
	var writer sync.WaitGroup
	writer.Go(func() {
		for index := uint64(2); index < 300; index++ {
			if err := folder.Save(disk.Update{Snapshot: snapshot(index, 1, "state"), ReplaceLog: true}); err != nil {
				t.Error(err)
			}
		}
	})
	for range 2000 {
		if _, data, ok, err := folder.Load(0); err != nil || !ok || string(data) != "state" {
			t.Fatalf("%q, %v, %v", data, ok, err)
		}
	}
	writer.Wait()
	status := folder.Status()
	if len(status.Groups) != 1 || status.Groups[0].Snapshot != 299 || status.Failed != "" {
		t.Fatalf("status %+v", status)
	}
}

func TestOSFileSystem(t *testing.T) {
	fs, err := disk.NewFS(t.TempDir() + "/data")
	if err != nil {
		t.Fatal(err)
	}
	folder := open(t, fs)
	save(t, folder, disk.Update{Entries: entries(1, 3, 1), Hard: &quorum.HardState{Term: 1}})
	save(t, folder, disk.Update{Snapshot: snapshot(2, 1, "state")})
	if _, err := disk.Open(options(fs)); !errors.Is(err, disk.ErrLocked) {
		t.Fatalf("second process: %v", err)
	}
	if err := folder.Close(); err != nil {
		t.Fatal(err)
	}
	again := open(t, fs)
	defer func() { _ = again.Close() }()
	if got := describe(t, again, 0); got != `term 1, snapshot 2 "state", 1.3` {
		t.Fatal(got)
	}
}
