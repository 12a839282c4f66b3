package simload

import (
	"bytes"
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lovagereach/lovagereach/admit"
	"github.com/lovagereach/lovagereach/cell"
	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/keep"
	"github.com/lovagereach/lovagereach/prefix"
	"github.com/lovagereach/lovagereach/route"
	"github.com/lovagereach/lovagereach/upstream"
)

// Tuning disables or changes features of the policy for measurements.
type Tuning struct {
	Route route.Options
	Admit admit.Options
	// NoFetch disables imports, NoStore exports and NoAdmit admission control.
	NoFetch, NoStore, NoAdmit bool
	// NoForward serves a request at the entry where it arrives instead of its
	// prompt's home; NoJoin ignores prefixes that other requests are importing
	// or computing.
	NoForward, NoJoin bool
	// NoPrefetch disables prefetches.
	NoPrefetch bool
	// NoVerify ignores the measured cache accuracy of holders.
	NoVerify bool
	// Steered is the fraction of requests that arrive at the home of their
	// prompt; zero means DefaultSteered.
	Steered float64
	// Sample is the number of candidates sampled from each pool in addition to
	// holders; zero means DefaultSample.
	Sample int
	Keep   keep.Options
	// Exact replaces the entries by one with exact and immediate knowledge of
	// queues, caches and store hosts.
	Exact bool
}

// Default values of Tuning.
const (
	DefaultSteered = 0.8
	DefaultSample  = 3
)

// Intervals and delays of the modelled platform.
const (
	reportPeriod   = time.Second
	reportDelay    = 300 * time.Millisecond
	announcePeriod = time.Second
	announceLease  = 4 * time.Second
	snapshotDelay  = 100 * time.Millisecond
)

// cluster is the product's policy: several entries, each with its own local view.
type cluster struct {
	sim     *sim
	tuning  Tuning
	entries []*entry
	homes   *cell.Table
	// engines and stores are the model's engines and store hosts by name.
	engines map[ident.Upstream]*engine
	stores  map[ident.Upstream]*store
	random  *rand.Rand
	serial  uint64
}

// theCell is the cell in which prompts have their homes: the modelled deployment has
// one directory, owned by all entries.
var theCell = ident.Cell{Model: theModel}

func newCluster(r Run) *cluster {
	t := r.Tuning
	if t.Steered == 0 {
		t.Steered = DefaultSteered
	}
	if t.Sample == 0 {
		t.Sample = DefaultSample
	}
	return &cluster{
		tuning: t, random: rand.New(rand.NewPCG(r.Seed, 3)),
		engines: make(map[ident.Upstream]*engine), stores: make(map[ident.Upstream]*store),
		homes: cell.NewTable(cell.Options{Owners: r.Workload.Entries}),
	}
}

func (c *cluster) begin(s *sim) {
	c.sim = s
	for _, e := range s.engines {
		c.engines[e.name] = e
	}
	for _, st := range s.stores {
		c.stores[st.name] = st
	}
	for i := range c.count() {
		c.entries = append(c.entries, newEntry(c, i))
	}
	c.setMembers()
	c.announceAll()
	s.clock.every(announcePeriod, func() bool { c.announceAll(); return true })
	s.clock.every(planPeriod, func() bool { c.planAll(); return true })
	s.clock.every(reportPeriod, func() bool { c.reportAll(); return true })
}

// count returns the number of entries, one with Exact.
func (c *cluster) count() int {
	if c.tuning.Exact {
		return 1
	}
	return c.sim.work.Entries
}

func hostOf(entry int) ident.Host {
	return ident.Host([]byte{'e', 'n', 't', 'r', 'y', '-', byte('0' + entry)})
}

func (c *cluster) setMembers() {
	var members []cell.Member
	for i := range c.entries {
		if !c.sim.down[i] {
			members = append(members, cell.Member{Host: hostOf(i)})
		}
	}
	if err := c.homes.SetMembers(members); err != nil {
		panic(err)
	}
}

func (c *cluster) announceAll() {
	for _, e := range c.sim.engines {
		if e.silent {
			continue
		}
		a := upstream.Announcement{
			Upstream: e.name, Incarnation: e.incarnation, Kind: upstream.Engine,
			Address: "127.0.0.1:1", DataCentre: e.dc, Leaving: e.leaving, Lease: announceLease,
			Models: []upstream.Loaded{{Model: theModel, Version: e.version}},
			Slots:  e.spec.slots, BlockBytes: blockBytes,
		}
		c.announce(a)
	}
	for _, st := range c.sim.stores {
		if !st.alive {
			continue
		}
		c.announce(upstream.Announcement{
			Upstream: st.name, Incarnation: st.incarnation, Kind: upstream.Store,
			Address: "127.0.0.1:1", DataCentre: st.dc, Lease: announceLease, Slots: storeSlots,
		})
	}
}

// storeSlots is the number of concurrent transfers that a store host announces.
const storeSlots = 64

func (c *cluster) announce(a upstream.Announcement) {
	for _, en := range c.live() {
		if _, err := en.registry.Announce(c.sim.clock.now(), a); err != nil {
			panic(err)
		}
		if !a.Leaving {
			en.directory.Follow(a.Upstream, a.Incarnation)
		}
	}
}

func (c *cluster) live() []*entry {
	out := make([]*entry, 0, len(c.entries))
	for i, en := range c.entries {
		if !c.sim.down[i] {
			out = append(out, en)
		}
	}
	return out
}

func (c *cluster) planAll() {
	for _, en := range c.live() {
		en.keeper.plan()
	}
}

// reportStores reports each store host's capacity and link utilization to every
// entry.
func (c *cluster) reportStores() {
	for _, st := range c.sim.stores {
		if !st.alive {
			continue
		}
		busy := (st.link.busy - st.lastBusy).Seconds() / reportPeriod.Seconds()
		st.lastBusy = st.link.busy
		for _, en := range c.live() {
			en.keeper.report(st, min(busy, 1))
		}
	}
}

// expireStores removes the store hosts whose lease has expired.
func (c *cluster) expireStores() {
	for _, st := range c.sim.stores {
		if st.alive || c.sim.clock.at-st.crashedAt < announceLease {
			continue
		}
		for _, en := range c.live() {
			en.keeper.manager.RemoveStore(st.name, st.incarnation)
			en.directory.Forget(st.name, st.incarnation)
		}
	}
}

// reportAll measures the load and delivers the reports after reportDelay.
func (c *cluster) reportAll() {
	c.reportStores()
	c.expireStores()
	for _, e := range c.sim.engines {
		report := upstream.Report{
			Upstream: e.name, Incarnation: e.incarnation, MeasuredAt: c.sim.clock.now(), Age: reportDelay,
			Running: e.running, Queued: e.queue.len(), QueuedTokens: e.queuedTokens(),
		}
		c.sim.clock.after(reportDelay, func() {
			for _, en := range c.live() {
				en.registry.Report(c.sim.clock.now(), report)
			}
		})
	}
}

func (c *cluster) cacheEvents(name ident.Upstream, events []prefix.Event) {
	incarnation := c.incarnation(name)
	for _, en := range c.live() {
		en.keeper.recordEvictions(name, incarnation, events)
		result := en.directory.Apply(prefix.Batch{Upstream: name, Incarnation: incarnation, Events: events})
		if result == prefix.NeedsSnapshot {
			c.sim.clock.after(snapshotDelay, func() { c.repair(en, name) })
		}
	}
}

func (c *cluster) incarnation(name ident.Upstream) ident.Incarnation {
	if e := c.engines[name]; e != nil {
		return e.incarnation
	}
	return c.stores[name].incarnation
}

// repair applies a snapshot of an upstream's blocks to an entry's directory.
func (c *cluster) repair(en *entry, name ident.Upstream) {
	snapshot := prefix.Snapshot{Upstream: name, Incarnation: c.incarnation(name)}
	if e := c.engines[name]; e != nil {
		snapshot.Sequence = e.feed.sequence
		snapshot.Blocks = e.cache.list()
	} else {
		st := c.stores[name]
		snapshot.Sequence = st.feed.sequence
		snapshot.Blocks = st.list()
	}
	en.directory.ApplySnapshot(snapshot)
}

// list returns the cached blocks in a reproducible order.
func (c *cache) list() []prefix.HeldBlock {
	out := make([]prefix.HeldBlock, 0, len(c.blocks))
	for at := c.recent.Back(); at != nil; at = at.Prev() {
		out = append(out, prefix.HeldBlock{Block: at.Value.(*cachedBlock).id})
	}
	return out
}

// arrive accepts a request at an entry. For the fraction Steered this is the prompt's
// home, because address answers steer prompts there.
func (c *cluster) arrive(j *job) {
	at := c.pick(j, c.tuning.Steered)
	home := at
	if !c.tuning.NoForward {
		home = c.pick(j, 1)
	}
	j.entry = home
	if home == at {
		c.entries[home].arrive(j)
		return
	}
	c.sim.clock.after(networkDelay, func() {
		if c.sim.down[home] {
			c.sim.retry(j)
			return
		}
		if !j.finished {
			c.entries[home].arrive(j)
		}
	})
}

func (c *cluster) pick(j *job, steered float64) int {
	if c.random.Float64() < steered {
		first := binary.LittleEndian.Uint64(j.req.blocks[0][:])
		if host, ok := c.homes.Home(theCell, first); ok {
			at := int(host[len(host)-1] - '0')
			if !c.sim.down[at] {
				return at
			}
		}
	}
	live := c.live()
	return live[c.random.IntN(len(live))].index
}

func (c *cluster) leave(j *job) { c.entries[j.entry].leave(j) }

func (c *cluster) lost(j *job) { c.entries[j.entry].lost(j) }

// entryCrashed makes the callers of a crashed entry retry at other entries.
func (c *cluster) entryCrashed(index int) {
	c.setMembers()
	en := c.entries[index]
	jobs := make([]*job, 0, len(en.ids))
	for j := range en.ids {
		jobs = append(jobs, j)
	}
	slices.SortFunc(jobs, func(a, b *job) int {
		x, y := en.ids[a], en.ids[b]
		return bytes.Compare(x[:], y[:])
	})
	clear(en.ids)
	clear(en.waiting)
	for _, j := range jobs {
		if j.engine != nil {
			j.engine.cancel(j)
		}
		c.sim.retry(j)
	}
}
