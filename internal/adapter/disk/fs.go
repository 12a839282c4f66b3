package disk

import (
	"io"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// FS is the file system interface used by this package. Names are relative to one
// folder.
type FS interface {
	// Create creates a file or truncates an existing one.
	Create(name string) (File, error)
	// Read returns a file's content, or an error matching os.ErrNotExist.
	Read(name string) ([]byte, error)
	List() ([]string, error)
	Rename(from, to string) error
	Remove(name string) error
	// SyncFolder makes the creation, renaming and removal of files durable.
	SyncFolder() error
	// Lock locks the folder against other processes until the closer is closed.
	// It returns ErrLocked if another process holds the lock.
	Lock() (io.Closer, error)
}

// File is a file that is written sequentially from its start.
type File interface {
	io.Writer
	// Reserve extends the file with zeros to at least size bytes and syncs it.
	// Writes into reserved space change no metadata, which makes their syncs
	// cheaper.
	Reserve(size int64) error
	// Sync returns once all written data survives a crash.
	Sync() error
	Close() error
}

const (
	lockName   = "lock"
	fileMode   = 0o600
	folderMode = 0o700
)

// osFS implements FS on a folder of the operating system.
type osFS struct{ folder string }

// NewFS returns an FS for the given folder and creates the folder if needed.
func NewFS(folder string) (FS, error) {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return nil, eris.Wrap(err, "disk: data folder")
	}
	if err := syncFolder(filepath.Dir(folder)); err != nil {
		return nil, eris.Wrap(err, "disk: data folder")
	}
	return osFS{folder: folder}, nil
}

func (f osFS) path(name string) string { return filepath.Join(f.folder, name) }

func (f osFS) Create(name string) (File, error) {
	file, err := os.OpenFile(f.path(name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
	if err != nil {
		return nil, err
	}
	return &osFile{File: file}, nil
}

// osFile implements File. reserved is the size up to which zeros were written.
type osFile struct {
	*os.File
	reserved int64
}

// Reserve implements File. It writes zeros instead of only allocating the space:
// each later sync would have to mark allocated space as written, which is the
// metadata change that Reserve avoids.
func (f *osFile) Reserve(size int64) error {
	position, err := f.Seek(0, io.SeekCurrent)
	if err != nil {
		return err
	}
	from := max(position, f.reserved)
	if size <= from {
		return nil
	}
	if _, err := f.WriteAt(make([]byte, size-from), from); err != nil {
		return err
	}
	f.reserved = size
	return f.File.Sync()
}

// Sync implements File. fdatasync includes a changed file size; other metadata isn't
// needed after a crash.
func (f *osFile) Sync() error {
	for {
		err := unix.Fdatasync(int(f.Fd()))
		if err != unix.EINTR {
			return err
		}
	}
}

func (f osFS) Read(name string) ([]byte, error) { return os.ReadFile(f.path(name)) }

func (f osFS) List() ([]string, error) {
	entries, err := os.ReadDir(f.folder)
	if err != nil {
		return nil, err
	}
	names := make([]string, 0, len(entries))
	for _, entry := range entries {
		names = append(names, entry.Name())
	}
	return names, nil
}

func (f osFS) Rename(from, to string) error { return os.Rename(f.path(from), f.path(to)) }

func (f osFS) Remove(name string) error { return os.Remove(f.path(name)) }

func (f osFS) SyncFolder() error { return syncFolder(f.folder) }

func syncFolder(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return err
	}
	defer func() { _ = folder.Close() }()
	return folder.Sync()
}

func (f osFS) Lock() (io.Closer, error) {
	file, err := os.OpenFile(f.path(lockName), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, eris.Wrap(err, "disk: lock file")
	}
	if err := unix.Flock(int(file.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		_ = file.Close()
		if eris.Is(err, unix.EWOULDBLOCK) {
			return nil, ErrLocked
		}
		return nil, eris.Wrap(err, "disk: lock")
	}
	return file, nil
}
