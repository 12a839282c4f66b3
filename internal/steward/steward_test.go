package steward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"github.com/lovagereach/lovagereach/catalog"
	"github.com/lovagereach/lovagereach/holdings"
	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/adapter/disk"
	"github.com/lovagereach/lovagereach/internal/adapter/disk/disktest"
	"github.com/lovagereach/lovagereach/roster"
)

// fakeStores holds parts in memory.
type fakeStores struct {
	mu     sync.Mutex
	life   uint64
	events []holdings.Change
	down   bool
}

func (f *fakeStores) List(ctx context.Context, _ string) (StoreEvents, error) {
	return f.Events(ctx, "", 0, 0)
}

func (f *fakeStores) Events(ctx context.Context, _ string, since uint64, wait time.Duration) (StoreEvents, error) {
	select {
	case <-time.After(wait / 20):
	case <-ctx.Done():
		return StoreEvents{}, ctx.Err()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return StoreEvents{}, errors.New("down")
	}
	since = min(since, uint64(len(f.events)))
	return StoreEvents{Life: f.life, Next: uint64(len(f.events)), Changes: f.events[since:], Clock: 5000}, nil
}

func (f *fakeStores) add(c holdings.Change) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.events = append(f.events, c)
}

// fakeRunners takes orders at once and remembers who gave them.
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
	return OrderTaken, nil
}

func (f *fakeRunners) Report(_ context.Context, upstream, _ string) (RunnerReport, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return RunnerReport{Versions: map[string]uint64{"m": max(f.versions[upstream], 1)}}, nil
}

// fleet is a control group on loopback addresses, all with one peer port as on
// the machines.
type fleet struct {
	t       *testing.T
	dir     string
	port    int
	stores  *fakeStores
	runners *fakeRunners
	mu      sync.Mutex
	running map[ident.Host]*member
	// files are disks in memory by name, where a test wants faults.
	files map[string]*disktest.FS
}

func (f *fleet) filesOf(name string) func(string) (disk.FS, error) {
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

func hostName(i int) ident.Host { return ident.Host(fmt.Sprintf("127.0.0.%d", i)) }

func newFleet(t *testing.T) *fleet {
	t.Helper()
	probe, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	port := probe.Addr().(*net.TCPAddr).Port
	probe.Close()
	f := &fleet{
		t: t, dir: t.TempDir(), port: port, stores: &fakeStores{life: 1},
		runners: &fakeRunners{versions: make(map[string]uint64)}, running: make(map[ident.Host]*member),
	}
	t.Cleanup(f.stopAll)
	return f
}

func (f *fleet) start(host ident.Host, folder string, bootstrap bool) *Steward {
	f.t.Helper()
	var listener net.Listener
	f.await("the port of "+string(host), func() bool {
		var err error
		listener, err = net.Listen("tcp", fmt.Sprintf("%s:%d", host, f.port))
		return err == nil
	})
	s, err := New(Options{
		Self: host, DataCentre: "north", PeerPort: f.port, Listener: listener,
		Seeds: []ident.Host{hostName(1), hostName(2), hostName(3)}, Bootstrap: bootstrap, Tolerated: 1,
		Cluster: "test", Key: []byte("a key of the test processes"), Data: filepath.Join(f.dir, folder),
		LoadsAtOnce: 2, VersionTime: 10 * time.Second, HolderLease: 50 * time.Millisecond,
		Stores: f.stores, Runners: f.runners, Log: log.New(io.Discard), Files: f.filesOf(folder),
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

// kill ends a host without a farewell.
func (f *fleet) kill(host ident.Host) {
	f.mu.Lock()
	m := f.running[host]
	delete(f.running, host)
	f.mu.Unlock()
	m.stop()
	<-m.done
}

func (f *fleet) stopAll() {
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

func (f *fleet) startThree() {
	for i := 1; i <= 3; i++ {
		f.start(hostName(i), fmt.Sprint("disk", i), true)
	}
}

// await polls until something holds; the deadline only ends a hung test.
func (f *fleet) await(what string, holds func() bool) {
	f.t.Helper()
	deadline := time.Now().Add(60 * time.Second)
	for !holds() {
		if time.Now().After(deadline) {
			f.t.Fatalf("never: %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (f *fleet) any() *Steward {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.running {
		return m.steward
	}
	return nil
}

func (f *fleet) leader() *Steward {
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

func (f *fleet) put(version catalog.Version, source string) {
	f.t.Helper()
	f.await(fmt.Sprintf("version %d acknowledged", version), func() bool {
		_, err := f.any().PutDocument(context.Background(), testDocument(version, source))
		return err == nil
	})
}

func (f *fleet) read() string {
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

func TestGroupFormsFromSeedsAndKeepsTheHighestVersion(t *testing.T) {
	f := newFleet(t)
	f.startThree()
	f.put(3, "three")
	f.put(9, "nine")
	for _, late := range []struct {
		version catalog.Version
		source  string
		verdict catalog.Verdict
	}{{3, "three", catalog.Overtaken}, {9, "nine", catalog.Repeated}, {9, "other", catalog.Conflicting}} {
		f.await("a verdict", func() bool {
			v, err := f.any().PutDocument(context.Background(), testDocument(late.version, late.source))
			if err != nil && !errors.Is(err, ErrConflict) {
				return false
			}
			if v != late.verdict || (v == catalog.Conflicting) != errors.Is(err, ErrConflict) {
				t.Errorf("version %d %q: verdict %d, %v", late.version, late.source, v, err)
			}
			return true
		})
	}
	if got := f.read(); got != "nine" {
		t.Fatalf("%q is read back", got)
	}
}

// The operator has its acknowledgement; then the leader's disk is lost, and the
// host comes back empty under its old address. What was acknowledged must be
// read back, and the host must not make a second group of its own.
func TestLostDiskRightAfterAnAcknowledgement(t *testing.T) {
	f := newFleet(t)
	f.startThree()
	f.put(1, "one")
	var lead *Steward
	f.await("a leader", func() bool { lead = f.leader(); return lead != nil })
	f.put(2, "two")
	host := lead.options.Self
	f.kill(host)
	wiped := f.start(host, "empty", false)
	if got := f.read(); got != "two" {
		t.Fatalf("%q is read back", got)
	}
	f.await("the wiped host votes again", func() bool {
		r := wiped.replica()
		return r != nil && len(r.Status().Voters) == 3 && r.Status().Leader != "" && wiped.machine.Document() != nil
	})
	// A second host is lost right after the repair.
	for i := 1; i <= 3; i++ {
		if hostName(i) != host {
			f.kill(hostName(i))
			break
		}
	}
	f.put(3, "three")
	if got := f.read(); got != "three" {
		t.Fatalf("%q is read back after the second loss", got)
	}
}

// All hosts are killed at once and come back with their disks.
func TestAllKilledAtOnce(t *testing.T) {
	f := newFleet(t)
	f.startThree()
	f.put(5, "five")
	f.stopAll()
	for i := 1; i <= 3; i++ {
		f.start(hostName(i), fmt.Sprint("disk", i), false)
	}
	if got := f.read(); got != "five" {
		t.Fatalf("%q is read back", got)
	}
}

// A host is gone for good; another with an empty disk at another address takes
// its place, so that the group again bears the loss of any one.
func TestReplacedHostTakesTheLostOnesPlace(t *testing.T) {
	f := newFleet(t)
	f.startThree()
	f.put(1, "one")
	f.kill(hostName(3))
	added := f.start(hostName(4), "disk4", false)
	f.await("the new host votes in place of the lost one", func() bool {
		r := added.replica()
		if r == nil {
			return false
		}
		voters := r.Status().Voters
		return len(voters) == 3 && added.machine.Document() != nil && voters[0] != hostName(3) && voters[1] != hostName(3) && voters[2] == hostName(4)
	})
	f.kill(hostName(1))
	f.put(2, "two")
	if got := f.read(); got != "two" {
		t.Fatalf("%q is read back", got)
	}
}

// A disk is full for some seconds. The host's log is out of use from the first
// write that fails; the host says so by ending, and the process starts it again
// on the same folder, so that the group has its three voters back.
func TestFullDiskEndsTheHostAndIsReadAgain(t *testing.T) {
	f := newFleet(t)
	files := disktest.New()
	f.files = map[string]*disktest.FS{"disk3": files}
	f.startThree()
	f.put(1, "one")
	f.mu.Lock()
	full := f.running[hostName(3)]
	f.mu.Unlock()
	files.LimitRoom(0)
	for version := catalog.Version(2); ; version++ {
		f.put(version, fmt.Sprint("version ", version, strings.Repeat("x", 1<<16)))
		if full.steward.folder.Err() != nil {
			break
		}
	}
	<-full.done
	if !errors.Is(full.err, ErrDisk) {
		t.Fatalf("the host ended with %v", full.err)
	}
	files.LimitRoom(1 << 30)
	f.mu.Lock()
	delete(f.running, hostName(3))
	f.mu.Unlock()
	again := f.start(hostName(3), "disk3", false)
	f.put(1000, "last")
	f.await("the host has what was acknowledged meanwhile", func() bool {
		d := again.machine.Document()
		return d != nil && d.Version == 1000
	})
}

func TestLostUpstreamsAreThoseSilentForLongOrDisplaced(t *testing.T) {
	now := time.Unix(1000, 0)
	l := &leadership{since: now.Add(-2 * forgetAfter), beats: map[string]time.Time{
		"new": now, "cut": now.Add(-2 * silentAfter), "old": now.Add(-2 * silentAfter), "young": now.Add(-silentAfter / 2),
	}}
	at := func(id, address string) roster.Upstream {
		return roster.Upstream{ID: id, Address: address, State: roster.Serving}
	}
	live := []roster.Upstream{at("new", "a"), at("old", "a"), at("cut", "b"), at("young", "a"), at("never", "c")}
	var got []string
	for _, u := range l.lost(live, now) {
		got = append(got, u.ID)
	}
	// "old" has a successor at its address, "never" was not heard since long; "cut"
	// may be behind a partition and come back.
	if fmt.Sprint(got) != "[old never]" {
		t.Fatalf("given up: %v", got)
	}
}

func testLoader(runners int) (*loader, []roster.Upstream) {
	machine := NewMachine()
	machine.weights["m"] = 2
	s := &Steward{machine: machine, options: Options{LoadsAtOnce: 3, VersionTime: 15 * time.Second, Log: log.New(io.Discard)}}
	var live []roster.Upstream
	for i := range runners {
		live = append(live, roster.Upstream{ID: fmt.Sprintf("r%02d", i), State: roster.Serving, Loaded: []roster.Loaded{{Model: "m", Version: 1}}})
	}
	return newLoader(&leadership{steward: s}), live
}

// loaded notes that a runner has the newest version.
func loaded(live []roster.Upstream, id string) {
	i := slices.IndexFunc(live, func(u roster.Upstream) bool { return u.ID == id })
	live[i].Loaded = []roster.Loaded{{Model: "m", Version: 2}}
}

// All runners must have named weights in time, with as few as possible out of
// service at once: each load takes 1.8 s here, and every turn is taken at once.
func TestLoadsAreInTimeWithFewAtOnce(t *testing.T) {
	for _, c := range []struct{ runners, most int }{{18, 4}, {9, 2}, {3, 1}, {57, 13}} {
		o, live := testLoader(c.runners)
		now := time.Unix(1000, 0)
		began, ends, most, left := now, map[string]time.Time{}, 0, c.runners
		for left > 0 && now.Sub(began) < time.Minute {
			for id, end := range ends {
				if !now.Before(end) {
					delete(ends, id)
					o.release(id, true, now)
					o.noteUsual(1800 * time.Millisecond)
					loaded(live, id)
					left--
				}
			}
			for _, u := range o.next(live, now) {
				ends[u.ID] = now.Add(1800 * time.Millisecond)
			}
			most = max(most, len(ends))
			now = now.Add(loadEvery)
		}
		if took := now.Sub(began); took > 15*time.Second || most > c.most {
			t.Errorf("%d runners: %v, %d at once", c.runners, took, most)
		}
	}
}

// A crashed runner refuses every question. It must not keep the others from
// their turns.
func TestUnreachableRunnersHoldNoTurn(t *testing.T) {
	o, live := testLoader(6)
	now := time.Now()
	turns := map[string]int{}
	for range 400 {
		for _, u := range o.next(live, now) {
			turns[u.ID]++
			o.release(u.ID, u.ID != "r00", now)
			if u.ID != "r00" {
				loaded(live, u.ID)
			}
		}
		now = now.Add(5 * time.Millisecond)
	}
	if turns["r00"] > 4 || turns["r05"] == 0 {
		t.Fatalf("turns: %v", turns)
	}
}

func TestAnnouncementsReachWatchersThroughAnyHost(t *testing.T) {
	f := newFleet(t)
	f.startThree()
	f.put(1, "one")
	announce := func(s *Steward, u roster.Upstream) {
		f.await("an acknowledgement", func() bool { return s.Announce(context.Background(), u) == nil })
	}
	f.mu.Lock()
	hosts := []*Steward{f.running[hostName(1)].steward, f.running[hostName(2)].steward, f.running[hostName(3)].steward}
	f.mu.Unlock()
	announce(hosts[0], roster.Upstream{ID: "a", Service: "app", Address: "a:1", State: roster.Serving, Sequence: 1})
	announce(hosts[1], roster.Upstream{ID: "b", Service: "app", Address: "b:1", State: roster.Serving, Sequence: 1})
	announce(hosts[2], roster.Upstream{ID: "a", Service: "app", Address: "a:1", State: roster.Leaving, Sequence: 2})
	request := &WatchRequest{Entry: &EntryView{Host: "e1", Callers: "e1:1", Ready: true}}
	var answer *WatchAnswer
	f.await("a watch is answered", func() bool {
		lead := f.leader()
		if lead == nil {
			return false
		}
		answer = lead.watch(context.Background(), request)
		return !answer.NotLeader && answer.Roster != nil
	})
	states := map[string]roster.State{}
	for _, u := range answer.Roster.Upstreams {
		states[u.ID] = u.State
	}
	if states["a"] != roster.Leaving || states["b"] != roster.Serving || answer.Document == nil {
		t.Fatalf("told %v", states)
	}
	f.await("every control host knows the entry", func() bool {
		for _, s := range hosts {
			if len(s.Addresses()) != 1 {
				return false
			}
		}
		return true
	})
}

// An entry must not read what a store held in its former life: the shelf of a
// restarted store is closed at first, and its parts are told anew.
func TestRestartedStoreIsClosedAtFirst(t *testing.T) {
	f := newFleet(t)
	f.startThree()
	f.stores.add(holdings.Change{Key: holdings.Key{Salt: "s", Part: "p"}, Tokens: 10})
	f.put(1, "one")
	request := &WatchRequest{Entry: &EntryView{Host: "e1"}}
	watch := func() *WatchAnswer {
		lead := f.leader()
		if lead == nil {
			return &WatchAnswer{NotLeader: true}
		}
		return lead.watch(context.Background(), request)
	}
	open := func(a *WatchAnswer, life uint64) bool {
		return len(a.States) == 1 && a.States[0].Open && a.States[0].Life == life
	}
	f.await("the store is open", func() bool { a := watch(); return open(a, 1) && len(a.Changes) == 1 })
	f.stores.mu.Lock()
	f.stores.life, f.stores.events = 2, nil
	f.stores.mu.Unlock()
	f.await("the store is closed", func() bool { a := watch(); return len(a.States) == 1 && !a.States[0].Open })
	lead := f.leader()
	f.await("the new life is known", func() bool { return lead.machine.lifeOf("store:1") == 2 })
	lead.leading.Load().shelves.mu.Lock()
	opens := lead.leading.Load().shelves.byStore["store:1"].shelf.Open(time.Now().Add(ShelfTrust + FetchPermit - time.Second))
	lead.leading.Load().shelves.mu.Unlock()
	if opens {
		t.Fatal("open while an entry may still read by what it knew of the former life")
	}
	f.await("the store opens", func() bool { a := watch(); return open(a, 2) && len(a.Changes) == 0 })
}

// Two runners' orders may never come from two holders in turn: each order names
// the leader's term, which no other host ever has.
func TestRunnersAreBroughtToNamedWeights(t *testing.T) {
	f := newFleet(t)
	f.startThree()
	f.put(1, "one")
	sequence := uint64(0)
	announce := func() {
		sequence++
		for i := range 5 {
			u := roster.Upstream{ID: fmt.Sprint("r", i), Service: "llm", Address: fmt.Sprint("r", i, ":1"), State: roster.Serving,
				Sequence: sequence, Loaded: []roster.Loaded{{Model: "m", Version: 1}}}
			f.await("an acknowledgement", func() bool { return f.any().Announce(context.Background(), u) == nil })
		}
	}
	announce()
	f.await("the weights are named", func() bool { return f.any().PutWeights(context.Background(), "m", 4) == nil })
	f.await("all runners are told to have them", func() bool {
		announce()
		lead := f.leader()
		if lead == nil {
			return false
		}
		for _, u := range lead.machine.live() {
			if u.VersionOf("m") != 4 {
				return false
			}
		}
		return true
	})
	f.runners.mu.Lock()
	defer f.runners.mu.Unlock()
	fences := map[string]uint64{}
	for _, o := range f.runners.orders {
		if fence, known := fences[o.Holder]; o.Fence == 0 || (known && fence != o.Fence) {
			t.Errorf("%s gave an order under %d and %d", o.Holder, o.Fence, fence)
		}
		fences[o.Holder] = o.Fence
	}
}
