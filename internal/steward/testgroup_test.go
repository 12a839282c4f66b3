package steward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"github.com/lovagereach/lovagereach/cacheindex"
	"github.com/lovagereach/lovagereach/catalog"
	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/adapter/disk"
	"github.com/lovagereach/lovagereach/internal/adapter/disk/disktest"
	"github.com/lovagereach/lovagereach/internal/port"
)

// fakeStores holds parts in memory.
type fakeStores struct {
	mu          sync.Mutex
	incarnation uint64
	events      []cacheindex.Change
	down        bool
	freed       []freedPart
	// page bounds the events of one answer, 0 for no bound.
	page int
}

func (f *fakeStores) List(context.Context, string) (StoreEvents, error) {
	return f.read(0, 0)
}

func (f *fakeStores) Events(ctx context.Context, _ string, since uint64, wait time.Duration) (StoreEvents, error) {
	select {
	case <-time.After(wait / 20):
	case <-ctx.Done():
		return StoreEvents{}, ctx.Err()
	}
	f.mu.Lock()
	page := f.page
	f.mu.Unlock()
	return f.read(since, page)
}

// read returns the events since one, at most a page of them.
func (f *fakeStores) read(since uint64, page int) (StoreEvents, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return StoreEvents{}, errors.New("down")
	}
	since = min(since, uint64(len(f.events)))
	end := uint64(len(f.events))
	if page > 0 {
		end = min(end, since+uint64(page))
	}
	return StoreEvents{Incarnation: f.incarnation, Next: end, Changes: slices.Clone(f.events[since:end]), Clock: 5000}, nil
}

func (f *fakeStores) Free(_ context.Context, address string, incarnation uint64, parts []cacheindex.Key, until int64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down || incarnation != f.incarnation {
		return errors.New("another incarnation")
	}
	for _, part := range parts {
		f.events = append(f.events, cacheindex.Change{Key: part})
		f.freed = append(f.freed, freedPart{key: part, at: time.Now(), until: until})
	}
	return nil
}

// freedPart is a part that was freed, with the bound of the order.
type freedPart struct {
	key   cacheindex.Key
	at    time.Time
	until int64
}

func (f *fakeStores) add(c cacheindex.Change) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.events = append(f.events, c)
}

// fakeRunners accepts orders immediately and records them.
type fakeRunners struct {
	mu       sync.Mutex
	versions map[string]uint64
	orders   []LoadOrder
}

func (f *fakeRunners) Order(_ context.Context, o LoadOrder) (OrderResult, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.orders = append(f.orders, o)
	f.versions[o.Upstream] = o.Version
	return OrderAccepted, nil
}

func (f *fakeRunners) Report(_ context.Context, upstream, _ string) (RunnerReport, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return RunnerReport{Versions: map[string]uint64{"m": max(f.versions[upstream], 1)}}, nil
}

// testGroup is a control group on loopback addresses, all with one peer port as on the
// machines.
type testGroup struct {
	t       *testing.T
	dir     string
	port    int
	stores  *fakeStores
	runners *fakeRunners
	mu      sync.Mutex
	running map[ident.Host]*member
	// incarnations are those of the next starts, by host, if a test chooses them.
	incarnations map[ident.Host]ident.Incarnation
	// files are disks in memory by name, if a test injects faults.
	files map[string]*disktest.FS
	// handover switches on Options.Handover at all hosts.
	handover bool
	// clock is the clock of all hosts, nil for the default.
	clock func() time.Time
	// versionTime is Options.VersionTime of all hosts.
	versionTime time.Duration
}

func (f *testGroup) filesOf(name string) func(string) (disk.FS, error) {
	if files := f.files[name]; files != nil {
		return func(string) (disk.FS, error) { return files, nil }
	}
	return nil
}

type member struct {
	steward *Steward
	stop    context.CancelFunc
	done    chan struct{}
	err     error
}

// entryPeer returns the peer identity of an entry.
func entryPeer(host string) port.Peer { return port.Peer{Host: ident.Host(host), Role: roleEntry} }

func hostName(i int) ident.Host { return ident.Host(fmt.Sprintf("127.0.0.%d", i)) }

func newTestGroup(t *testing.T) *testGroup {
	t.Helper()
	probe, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	port := probe.Addr().(*net.TCPAddr).Port
	probe.Close()
	f := &testGroup{
		t: t, dir: t.TempDir(), port: port, stores: &fakeStores{incarnation: 1},
		runners: &fakeRunners{versions: make(map[string]uint64)}, running: make(map[ident.Host]*member),
		incarnations: make(map[ident.Host]ident.Incarnation), versionTime: 10 * time.Second,
	}
	t.Cleanup(f.stopAll)
	return f
}

func (f *testGroup) start(host ident.Host, folder string, bootstrap bool) *Steward {
	f.t.Helper()
	var listener net.Listener
	f.await("the port of "+string(host), func() bool {
		var err error
		listener, err = net.Listen("tcp", fmt.Sprintf("%s:%d", host, f.port))
		return err == nil
	})
	s, err := New(Options{
		Self: host, DataCentre: "north", Incarnation: f.incarnations[host], PeerPort: f.port, Listener: listener,
		Seeds: []ident.Host{hostName(1), hostName(2), hostName(3)}, Bootstrap: bootstrap, Tolerated: 1,
		Cluster: "test", Key: []byte("a key of the test processes"), Data: filepath.Join(f.dir, folder),
		MaxConcurrentLoads: 2, VersionTime: f.versionTime, HolderLease: 50 * time.Millisecond,
		Handover: f.handover, Stores: f.stores, Runners: f.runners, Log: log.New(io.Discard), Files: f.filesOf(folder), Clock: f.clock,
	})
	if err != nil {
		f.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	m := &member{steward: s, stop: cancel, done: make(chan struct{})}
	go func() {
		defer close(m.done)
		m.err = s.Run(ctx, nil)
	}()
	f.mu.Lock()
	f.running[host] = m
	f.mu.Unlock()
	return s
}

// newFollower returns an entry's side of the watches; incarnation 0 draws one.
func (f *testGroup) newFollower(host ident.Host, incarnation ident.Incarnation) *Follower {
	f.t.Helper()
	follower, err := NewEntryFollower(EntryOptions{
		Cluster: "test", Key: []byte("a key of the test processes"), Host: host, DataCentre: "north", Incarnation: incarnation,
		Seeds: []ident.Host{hostName(1), hostName(2), hostName(3)}, PeerPort: f.port, Log: log.New(io.Discard),
	})
	if err != nil {
		f.t.Fatal(err)
	}
	return follower
}

// kill ends a host without a departure announcement.
func (f *testGroup) kill(host ident.Host) {
	f.mu.Lock()
	m := f.running[host]
	delete(f.running, host)
	f.mu.Unlock()
	m.stop()
	<-m.done
}

func (f *testGroup) stopAll() {
	f.mu.Lock()
	var hosts []ident.Host
	for host := range f.running {
		hosts = append(hosts, host)
	}
	f.mu.Unlock()
	for _, host := range hosts {
		f.kill(host)
	}
}

func (f *testGroup) startThree() {
	for i := 1; i <= 3; i++ {
		f.start(hostName(i), fmt.Sprint("disk", i), true)
	}
}

// await polls until the condition holds; the deadline only ends a hung test.
func (f *testGroup) await(what string, holds func() bool) {
	f.t.Helper()
	deadline := time.Now().Add(60 * time.Second)
	for !holds() {
		if time.Now().After(deadline) {
			f.t.Fatalf("never: %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (f *testGroup) any() *Steward {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.running {
		return m.steward
	}
	return nil
}

func (f *testGroup) leader() *Steward {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.running {
		if m.steward.leading.Load() != nil {
			return m.steward
		}
	}
	return nil
}

func testDocument(version catalog.Version, source string) *catalog.Document {
	return &catalog.Document{Version: version, Source: []byte(source), Services: []catalog.Service{
		{Name: "llm", Engine: &catalog.Engine{}}, {Name: "store", Store: &catalog.Store{Address: "store:1"}},
	}}
}

func (f *testGroup) put(version catalog.Version, source string) {
	f.t.Helper()
	f.await(fmt.Sprintf("version %d acknowledged", version), func() bool {
		_, err := f.any().PutDocument(context.Background(), testDocument(version, source))
		return err == nil
	})
}

func (f *testGroup) read() string {
	var source string
	f.await("a read of the configuration", func() bool {
		d, err := f.any().Document(context.Background())
		if err != nil || d == nil {
			return false
		}
		source = string(d.Source)
		return true
	})
	return source
}
