package disk_test

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"testing"

	"github.com/lovagereach/lovagereach/internal/adapter/disk"
	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/quorum"
)

const benchRecord = 256

// BenchmarkBareAppendSync measures one write and one sync of a plain file.
func BenchmarkBareAppendSync(b *testing.B) {
	file, err := os.Create(filepath.Join(b.TempDir(), "bare"))
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	data := make([]byte, benchRecord)
	for b.Loop() {
		if _, err := file.Write(data); err != nil {
			b.Fatal(err)
		}
		if err := file.Sync(); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkSave(b *testing.B) {
	for _, groups := range []int{1, 8, 64} {
		b.Run(name("groups", groups), func(b *testing.B) { benchmarkSave(b, groups) })
	}
}

func benchmarkSave(b *testing.B, groups int) {
	fs, err := disk.NewFS(b.TempDir())
	if err != nil {
		b.Fatal(err)
	}
	folder, err := disk.Open(options(fs))
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = folder.Close() }()
	data := make([]byte, benchRecord)
	b.ResetTimer()
	var group sync.WaitGroup
	for id := range groups {
		group.Go(func() {
			for index := uint64(1); index <= uint64(b.N/groups+1); index++ {
				update := disk.Update{Group: port.GroupID(id), Entries: []quorum.Entry{{Index: index, Term: 1, Data: data}}}
				if err := folder.Save(update); err != nil {
					b.Error(err)
					return
				}
			}
		})
	}
	group.Wait()
}

// BenchmarkOpen measures a restart: reading, verifying and writing the new checkpoint.
func BenchmarkOpen(b *testing.B) {
	for _, count := range []int{100, 1000, 10000} {
		b.Run(name("entries", count), func(b *testing.B) { benchmarkOpen(b, count) })
	}
}

func benchmarkOpen(b *testing.B, count int) {
	fs, err := disk.NewFS(b.TempDir())
	if err != nil {
		b.Fatal(err)
	}
	folder, err := disk.Open(options(fs))
	if err != nil {
		b.Fatal(err)
	}
	var list []quorum.Entry
	for index := range count {
		list = append(list, quorum.Entry{Index: uint64(index + 1), Term: 1, Data: make([]byte, benchRecord)})
	}
	if err := folder.Save(disk.Update{Entries: list}); err != nil {
		b.Fatal(err)
	}
	_ = folder.Close()
	for b.Loop() {
		again, err := disk.Open(options(fs))
		if err != nil {
			b.Fatal(err)
		}
		_ = again.Close()
	}
}

func name(key string, n int) string {
	return fmt.Sprintf("%s=%d", key, n)
}
