package simload

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sys/unix"

	"github.com/lovagereach/lovagereach/cell"
	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/prefix"
	"github.com/lovagereach/lovagereach/route"
	"github.com/lovagereach/lovagereach/upstream"
)

// fleet is the part of a daemon's state that decisions use: the cells that it owns,
// with their registry pool, directory and planner, and a summary of every cell.
type fleet struct {
	cells    []ident.Cell
	table    *cell.Table
	homes    *cell.Directory
	registry *upstream.Registry
	dirs     []*prefix.Directory
	planners []*route.Planner
	prompts  [][]prefix.BlockID
	cellOf   []int
	random   *rand.Rand
	now      time.Time
	matches  []prefix.Match
	picked   []upstream.Candidate
	located  []prefix.StoredCopy
}

const (
	benchBlocks  = 18
	benchStores  = 2
	benchSampled = 4
)

func newFleet(b *testing.B, size fleetSize) *fleet {
	b.Helper()
	f := &fleet{
		random: rand.New(rand.NewPCG(1, 1)), now: epoch,
		table: cell.NewTable(cell.Options{}), homes: cell.NewDirectory(),
	}
	var err error
	f.registry, err = upstream.NewRegistry(upstream.Options{MaxUpstreams: 1 << 15})
	if err != nil {
		b.Fatal(err)
	}
	var members []cell.Member
	for i := range 670 {
		members = append(members, cell.Member{Host: ident.Host(fmt.Sprintf("entry-%03d", i)), DataCentre: benchCentre(i)})
	}
	if err := f.table.SetMembers(members); err != nil {
		b.Fatal(err)
	}
	for i := range size.cells {
		c := ident.Cell{Model: theModel, DataCentre: benchCentre(i), Shard: uint16(i)}
		f.homes.Put(f.now, cell.Summary{Cell: c, FreeSlots: i, Sequence: 1, From: "entry-000"})
		if i < size.owned {
			f.addCell(b, c, size.upstreams/size.cells)
		}
	}
	for i := range size.prompts * size.owned / size.cells {
		f.addPrompt(i)
	}
	return f
}

func benchCentre(i int) ident.DataCentre { return ident.DataCentre(fmt.Sprintf("dc-%d", i%7)) }

func (f *fleet) addCell(b *testing.B, c ident.Cell, upstreams int) {
	i := len(f.cells)
	f.cells = append(f.cells, c)
	directory, err := prefix.NewDirectory(prefix.Options{})
	if err != nil {
		b.Fatal(err)
	}
	planner, err := route.New(route.Options{})
	if err != nil {
		b.Fatal(err)
	}
	f.dirs = append(f.dirs, directory)
	f.planners = append(f.planners, planner)
	for u := range upstreams {
		f.addUpstream(b, i, u)
	}
}

// upstreamName returns the name of upstream u of a cell. The first benchStores are
// store hosts, the others runners.
func upstreamName(cell, u int) ident.Upstream {
	return ident.Upstream(fmt.Sprintf("upstream-%03d-%03d", cell, u))
}

func (f *fleet) addUpstream(b *testing.B, i, u int) {
	name := upstreamName(i, u)
	a := upstream.Announcement{
		Upstream: name, Incarnation: 1, Kind: upstream.Engine, Address: "127.0.0.1:1",
		DataCentre: f.cells[i].DataCentre, Shard: f.cells[i].Shard, Lease: time.Hour, Slots: 12,
		Models: []upstream.Loaded{{Model: theModel, Version: firstVersion}},
	}
	if u < benchStores {
		a.Kind, a.Models = upstream.Store, nil
	}
	if _, err := f.registry.Announce(f.now, a); err != nil {
		b.Fatal(err)
	}
	f.registry.Report(f.now, upstream.Report{
		Upstream: name, Incarnation: 1, MeasuredAt: f.now, Running: f.random.IntN(12), QueuedTokens: f.random.Int64N(20_000),
	})
	f.dirs[i].Follow(name, 1)
	f.planners[i].Observe(route.Observation{
		Upstream: name, RecomputedTokens: 2000, Prefill: 110 * time.Millisecond, QueuedTokens: 1000, Wait: 60 * time.Millisecond,
	})
}

// addPrompt stores a prompt on one store host and every third one also on a runner.
func (f *fleet) addPrompt(i int) {
	at := f.random.IntN(len(f.cells))
	blocks := make([]prefix.BlockID, benchBlocks)
	for k := range blocks {
		binary.LittleEndian.PutUint64(blocks[k][:], uint64(i)*0x9e3779b97f4a7c15+uint64(k))
		binary.LittleEndian.PutUint64(blocks[k][8:], uint64(i))
	}
	f.prompts = append(f.prompts, blocks)
	f.cellOf = append(f.cellOf, at)
	var held []prefix.HeldBlock
	for _, id := range blocks {
		held = append(held, prefix.HeldBlock{Block: id, Copy: &prefix.Copy{Slot: "s", Generation: 1, Bytes: blockBytes}})
	}
	f.apply(at, upstreamName(at, i%benchStores), held, true)
	if i%3 == 0 {
		f.apply(at, upstreamName(at, benchStores+i%4), held, false)
	}
}

func (f *fleet) apply(at int, name ident.Upstream, held []prefix.HeldBlock, stored bool) {
	d := f.dirs[at]
	var events []prefix.Event
	for _, h := range held {
		e := prefix.Event{Kind: prefix.Stored, Block: h.Block}
		if stored {
			e.Copy = h.Copy
		}
		events = append(events, e)
	}
	next := f.sequence(at, name)
	for i := range events {
		events[i].Sequence = next + uint64(i)
	}
	d.Apply(prefix.Batch{Upstream: name, Incarnation: 1, Events: events})
}

var benchSequences = map[ident.Upstream]uint64{}

func (f *fleet) sequence(_ int, name ident.Upstream) uint64 {
	next := benchSequences[name] + 1
	benchSequences[name] += benchBlocks
	return next
}

// decide executes all steps of a decision: home, holders, sample, copies and plan.
func (f *fleet) decide(i int) (route.Decision, error) {
	blocks := f.prompts[i]
	at := f.cellOf[i]
	c := f.cells[at]
	f.table.Home(c, binary.LittleEndian.Uint64(blocks[0][:]))
	f.homes.Pick(f.now, theModel, f.random)
	pool := upstream.EnginePool(c, firstVersion, "")
	candidates := make([]route.Candidate, 0, route.MaxCandidates)
	f.matches = f.dirs[at].Longest(blocks, f.matches[:0])
	for _, m := range f.matches {
		if u, ok := f.registry.Candidate(f.now, pool, m.Upstream); ok {
			candidates = append(candidates, benchCandidate(u, m.Blocks*blockTokens))
		}
	}
	f.picked = f.registry.Pick(f.now, f.random, pool, benchSampled, f.picked[:0])
	for _, u := range f.picked {
		if !offers(candidates, u.Upstream) {
			candidates = append(candidates, benchCandidate(u, 0))
		}
	}
	return f.planners[at].Plan(f.now, route.Request{
		PromptTokens: benchBlocks*blockTokens + 150, Arrived: f.now, Target: 400 * time.Millisecond,
		Candidates: candidates, Copies: f.copies(at, blocks),
	}, f.random)
}

func benchCandidate(u upstream.Candidate, cached int) route.Candidate {
	return route.Candidate{
		Upstream: u.Upstream, Slots: u.Slots, Running: int(u.Load.Requests),
		QueuedTokens: int64(u.Load.QueuedTokens), LoadAge: u.Load.Age, CachedTokens: cached, Share: u.Weight,
		LinkBytesPerSecond: 2_500_000_000,
	}
}

func (f *fleet) copies(at int, blocks []prefix.BlockID) []route.Copy {
	var runs []route.Copy
	for i, id := range blocks {
		f.located = f.dirs[at].Copies(id, f.located[:0])
		if len(f.located) == 0 {
			break
		}
		store := f.located[0].Store
		if last := len(runs) - 1; last >= 0 && runs[last].Store == store {
			runs[last].To += blockTokens
			runs[last].Bytes += blockBytes
			continue
		}
		runs = append(runs, route.Copy{
			Store: store, From: i * blockTokens, To: (i + 1) * blockTokens, Bytes: blockBytes, LinkBytesPerSecond: 3_000_000_000,
		})
	}
	return runs
}

// fleetSize is the size of a deployment and the number of cells owned by one daemon.
type fleetSize struct{ upstreams, cells, owned, prompts int }

// BenchmarkDecision measures the cost of one decision, including its 99th percentile,
// from the size of the current deployment to the target. At the target, 670 daemons own
// three times 120 cells, less than one each; it measures a daemon with two and, as the
// worst case, one with all of them.
func BenchmarkDecision(b *testing.B) {
	for _, size := range []fleetSize{
		{21, 1, 1, 1200}, {1200, 12, 2, 16_000}, {12_000, 120, 2, 160_000}, {12_000, 120, 120, 160_000},
	} {
		name := fmt.Sprintf("upstreams=%d,prompts=%d,cells=%d,owned=%d", size.upstreams, size.prompts, size.cells, size.owned)
		b.Run(name, func(b *testing.B) {
			clear(benchSequences)
			f := newFleet(b, size)
			wall := hdrhistogram.New(1, int64(time.Second), 3)
			cpu := hdrhistogram.New(1, int64(time.Second), 3)
			runtime.LockOSThread()
			defer runtime.UnlockOSThread()
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				i := f.random.IntN(len(f.prompts))
				began, used := time.Now(), threadTime(b)
				if _, err := f.decide(i); err != nil {
					b.Fatal(err)
				}
				used = threadTime(b) - used
				if err := errors.Join(wall.RecordValue(int64(time.Since(began))), cpu.RecordValue(used)); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(cpu.ValueAtQuantile(50)), "cpu-p50-ns")
			b.ReportMetric(float64(cpu.ValueAtQuantile(99)), "cpu-p99-ns")
			b.ReportMetric(float64(wall.ValueAtQuantile(99)), "wall-p99-ns")
		})
	}
}

// threadTime returns the CPU time of this thread in nanoseconds. The benchmark also
// reports the wall-clock time, which includes the time slices of other processes.
func threadTime(b *testing.B) int64 {
	var at unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &at); err != nil {
		b.Fatal(err)
	}
	return at.Nano()
}
