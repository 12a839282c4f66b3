package steward

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"github.com/lovagereach/lovagereach/catalog"
	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/adapter/disk"
	"github.com/lovagereach/lovagereach/internal/adapter/disk/disktest"
	"github.com/lovagereach/lovagereach/internal/adapter/peer"
	"github.com/lovagereach/lovagereach/internal/wait"
)

var (
	troubleSeeds = flag.Int("steward.seeds", 2, "number of random days")
	troubleFirst = flag.Int("steward.first", 0, "seed of the first random day")
	troubleLog   = flag.Bool("steward.log", false, "print the log of each random day")
)

const (
	// answeredWithin is how long after the last trouble every host must answer a read, and
	// a change be committed.
	answeredWithin = 8 * time.Second
	// wholeWithin is how long after it the group must have its voters back.
	wholeWithin = 20 * time.Second
	// diskRetry is how long after a failure of its disk a host reads it again.
	diskRetry = 500 * time.Millisecond
)

// troubledGroup is a control group with the code of the product in virtual time: peers
// over a groupNet, disks in memory.
type troubledGroup struct {
	t      *testing.T
	net    *groupNet
	random *rand.Rand
	logs   syncBuffer
	hosts  []*troubledHost
	seeds  []ident.Host
	lives  sync.WaitGroup
	named  int
	// padded is the size of a configuration, and syncTime how long a sync takes.
	padded   int
	syncTime time.Duration

	mu      sync.Mutex
	version catalog.Version
	acked   catalog.Version
}

// troubledHost is a host with its disk, across the lives of its process.
type troubledHost struct {
	group *troubledGroup
	name  ident.Host
	files *disktest.FS
	// ahead is how far the host's clock is ahead.
	ahead atomic.Int64
	life  atomic.Pointer[troubledLife]
	gate  chan struct{}
}

type troubledLife struct {
	ctx     context.Context
	stop    context.CancelFunc
	drain   chan struct{}
	ended   chan struct{}
	current atomic.Pointer[Steward]
}

type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (s *syncBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

func (s *syncBuffer) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.String()
}

func newTroubledGroup(t *testing.T, random *rand.Rand) *troubledGroup {
	g := &troubledGroup{t: t, net: newGroupNet(), random: random, syncTime: time.Duration(1+random.IntN(20)) * time.Millisecond}
	for range 3 {
		h := g.add()
		g.seeds = append(g.seeds, h.name)
	}
	for _, h := range g.hosts {
		h.start(true)
	}
	return g
}

func (g *troubledGroup) add() *troubledHost {
	g.named++
	h := &troubledHost{group: g, name: ident.Host(fmt.Sprint("10.0.0.", g.named)), files: disktest.New()}
	h.files.SlowSync(h.group.syncTime)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.hosts = append(g.hosts, h)
	return h
}

func (g *troubledGroup) note(format string, args ...any) {
	fmt.Fprintf(&g.logs, "%s ---- %s\n", time.Now().Format("05.000"), fmt.Sprintf(format, args...))
}

// start begins a life of the host's process, which runs one steward after the other as
// package main does.
func (h *troubledHost) start(bootstrap bool) {
	g := h.group
	life := &troubledLife{drain: make(chan struct{}), ended: make(chan struct{})}
	life.ctx, life.stop = context.WithCancel(context.Background())
	h.life.Store(life)
	g.net.change(func() { delete(g.net.off, h.name) })
	files := h.files
	logger := log.NewWithOptions(&g.logs, log.Options{
		ReportTimestamp: true, TimeFormat: "05.000", Prefix: string(h.name), Formatter: log.LogfmtFormatter,
		TimeFunction: func(time.Time) time.Time { return time.Now() },
	})
	seeds := slices.Clone(g.seeds)
	g.lives.Go(func() {
		defer close(life.ended)
		for life.ctx.Err() == nil {
			s, err := New(Options{
				Self: h.name, DataCentre: "north", PeerPort: 1, Listener: g.net.listen(h.name), Seeds: seeds, Bootstrap: bootstrap,
				Tolerated: 1, Cluster: "test", Key: []byte("a key of the test processes"), Data: "data",
				LoadsAtOnce: 2, VersionTime: 10 * time.Second, HolderLease: 50 * time.Millisecond,
				Stores: &fakeStores{life: 1}, Runners: &fakeRunners{versions: make(map[string]uint64)}, Log: logger,
				Files: func(string) (disk.FS, error) { return files, nil },
				dial:  g.net.dialer(h.name, life.ctx), Clock: time.Now,
				Incarnation: peer.NewIncarnation() + ident.Incarnation(h.ahead.Load()/1000),
			})
			if err == nil {
				life.current.Store(s)
				err = s.Run(life.ctx, life.drain)
				life.current.Store(nil)
				if err == nil {
					return
				}
			}
			if life.ctx.Err() == nil {
				logger.Error("steward ended", "err", err)
				if !errors.Is(err, ErrDisk) {
					g.note("%s ended by itself: %v", h.name, err)
				}
			}
			wait.For(life.ctx, diskRetry)
		}
	})
}

// end ends the life of the process: with power everything unsynced is lost.
func (h *troubledHost) end(power bool) {
	life := h.life.Load()
	if life == nil {
		return
	}
	h.heal()
	if !power {
		h.files = h.files.Kill()
	} else if torn := h.group.random.IntN(600); h.group.random.IntN(2) == 0 {
		h.files = h.files.Crash(torn)
	} else {
		h.files = h.files.CrashKeepingNames(torn)
	}
	h.group.net.end(h.name, power)
	life.stop()
	h.life.Store(nil)
}

// heal ends the faults of the host's disk.
func (h *troubledHost) heal() {
	if h.gate != nil {
		h.files.Stall(nil)
		close(h.gate)
		h.gate = nil
	}
	h.files.LimitRoom(-1)
	h.files.FailSync(-1)
	h.files.SlowSync(h.group.syncTime)
}

func (h *troubledHost) steward() *Steward {
	if life := h.life.Load(); life != nil {
		return life.current.Load()
	}
	return nil
}

// drain stops the process as SIGTERM does.
func (h *troubledHost) drain() {
	life := h.life.Load()
	if life == nil {
		return
	}
	close(life.drain)
	select {
	case <-life.ended:
	case <-time.After(5 * time.Second):
	}
	h.end(false)
}

func (g *troubledGroup) restart(h *troubledHost, power bool) {
	h.end(power)
	h.start(false)
}

// wipe gives a host an empty disk. It must be down.
func (h *troubledHost) wipe() {
	h.files = disktest.New()
	h.files.SlowSync(h.group.syncTime)
}

// pause lets up to limit pass.
func (g *troubledGroup) pause(limit time.Duration) {
	time.Sleep(time.Duration(g.random.Int64N(int64(limit))))
}

func (g *troubledGroup) up() {
	for _, h := range g.hosts {
		if h.life.Load() == nil {
			h.start(false)
		}
	}
}

func (g *troubledGroup) any() *troubledHost { return g.hosts[g.random.IntN(len(g.hosts))] }
