package gateway

import (
	"container/list"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"github.com/lovagereach/lovagereach/catalog"
	"github.com/lovagereach/lovagereach/holdings"
	"github.com/lovagereach/lovagereach/internal/decision"
	"github.com/lovagereach/lovagereach/internal/steward"
	"github.com/lovagereach/lovagereach/outcome"
	"github.com/lovagereach/lovagereach/placement"
	"github.com/lovagereach/lovagereach/roster"
)

// eventLag is how long after a part stands whole in a store the entries know of it.
const eventLag = 200 * time.Millisecond

// fleetShape is a deployment for the model: its sizes and what its callers send.
type fleetShape struct {
	zones, entries, runners int
	slots, queue, memory    int
	// readPerMs is the pace of reading in tokens a millisecond, between the answers
	// under way.
	readPerMs               float64
	quick, slow             int
	quickTokens, slowTokens int
	longPerS, shortPerS     float64
	longThings, shortThings int
	// wordEvery is the time between two words on others' loads to one entry, and
	// wordLag how old they are when they come.
	wordEvery, wordLag time.Duration
	length             time.Duration
	// oneZone sends all callers to the entries of one data centre.
	oneZone bool
	// stored begins with all shared parts of long prompts in stores.
	stored bool
}

// largeFleet has 291 entries before 130 runners, with as much work as they take at
// about half of their pace if nothing were reused.
func largeFleet() fleetShape {
	return fleetShape{
		zones: 5, entries: 291, runners: 130, slots: 8, queue: 24, memory: 90000, readPerMs: 112,
		quick: 16, slow: 18, quickTokens: 576000, slowTokens: 1630000,
		longPerS: 376, shortPerS: 1729, longThings: 3009, shortThings: 13831,
		wordEvery: 150 * time.Millisecond, wordLag: 100 * time.Millisecond, length: 6 * time.Second,
	}
}

// smallFleet is its twin of a nineteenth.
func smallFleet() fleetShape {
	f := largeFleet()
	f.zones, f.entries, f.runners = 3, 15, 7
	f.quick, f.slow = 3, 1
	f.quickTokens, f.slowTokens = 190000, 1630000
	f.longPerS, f.shortPerS = 376/19.0, 1729/19.0
	f.longThings, f.shortThings = 3009/19, 13831/19
	return f
}

// fleetResult is what became of the callers.
type fleetResult struct {
	mu sync.Mutex
	// asked, inTime and served count callers by kind.
	asked, inTime, served map[string]int
	// sharedTokens passed through the runners, readTokens of them were read, and
	// againTokens read though some runner had read them before.
	sharedTokens, readTokens, againTokens int
	arrivals, full                        int
	busiest                               float64
	inTimeBySecond, askedBySecond         []int
}

func (r *fleetResult) share(of map[string]int, kind string) float64 {
	return float64(of[kind]) / float64(max(r.asked[kind], 1))
}

func (r *fleetResult) String() string {
	line := ""
	for _, kind := range []string{"long", "short"} {
		line += fmt.Sprintf("%s: %d asked, %.3f served, %.3f in time; ", kind, r.asked[kind], r.share(r.served, kind), r.share(r.inTime, kind))
	}
	line += fmt.Sprintf("turned away %.3f of %d arrivals; busiest %.2f of the mean; read %.3f, again %.3f of %d shared tokens; by second",
		float64(r.full)/float64(r.arrivals), r.arrivals, r.busiest, float64(r.readTokens)/float64(r.sharedTokens),
		float64(r.againTokens)/float64(r.sharedTokens), r.sharedTokens)
	for i := range r.askedBySecond {
		line += fmt.Sprintf(" %.2f", float64(r.inTimeBySecond[i])/float64(max(r.askedBySecond[i], 1)))
	}
	return line
}

// modelFleet is a fleet in virtual time. The entries are the product's, what they
// talk to are models.
type modelFleet struct {
	shape    fleetShape
	gateways []*Gateway
	runners  map[string]*modelRunner
	stores   map[string]*modelStore
	book     *holdings.Book
	mu       sync.Mutex
	loads    []map[string]steward.Load
	seen     map[string]bool
	saves    sync.WaitGroup
	result   fleetResult
}

type modelStore struct {
	address, zone  string
	mbps           float64
	first          time.Duration
	used, capacity int
	held           map[string]bool
	free           time.Time
	next           uint64
}

// modelRunner takes prompts in turn, reads them one after the other and keeps what
// it has read as long as its memory has room.
type modelRunner struct {
	fleet    *modelFleet
	id, zone string
	mu       sync.Mutex
	slots    chan struct{}
	present  int
	arrivals int
	running  int
	tokens   int
	readFree time.Time
	room     chan struct{}
	cached   map[string]*list.Element
	order    *list.List
	kept     int
}

type keptPartOf struct {
	id     string
	tokens int
}

func newModelFleet(t testing.TB, shape fleetShape) *modelFleet {
	t.Helper()
	f := &modelFleet{
		shape: shape, runners: make(map[string]*modelRunner), stores: make(map[string]*modelStore),
		book: holdings.NewBook(false), seen: make(map[string]bool),
	}
	seconds := int(shape.length/time.Second) + 1
	f.result = fleetResult{
		asked: make(map[string]int), inTime: make(map[string]int), served: make(map[string]int),
		inTimeBySecond: make([]int, seconds), askedBySecond: make([]int, seconds),
	}
	answer := f.describe()
	f.book.Lead(1)
	for address := range f.stores {
		f.book.Write(holdings.Record{Address: address, Cleared: true, Life: 1, Next: 1})
	}
	quiet := log.New(io.Discard)
	for i := range shape.entries {
		g, err := New(Options{
			Host: fmt.Sprintf("e%d", i), DataCentre: f.zone(i), Sender: f,
			Budget: BudgetLimits{Ratio: 0.2, Extra: 200}, Rates: placement.DefaultRates(), Log: quiet, Decisions: decision.New(quiet),
		})
		if err != nil {
			t.Fatal(err)
		}
		g.Told(answer, time.Now())
		g.state.book = f.book
		for _, store := range f.stores {
			g.state.store(store.address).open = true
		}
		f.gateways = append(f.gateways, g)
		f.loads = append(f.loads, nil)
	}
	return f
}

func (f *modelFleet) zone(i int) string { return fmt.Sprintf("z%d", i%f.shape.zones) }

func (f *modelFleet) describe() *steward.WatchAnswer {
	target := []catalog.Target{{Service: "llm", Weight: 1}}
	d := &catalog.Document{
		Version: 7, Source: []byte("x"),
		Routes: []catalog.Route{
			{Name: "long", Host: "h", Prefix: "/long/", Kind: catalog.Stream, Timeout: 6 * time.Second, Target: 600 * time.Millisecond, Priority: 1, Attempts: 1, Targets: target},
			{Name: "short", Host: "h", Prefix: "/short/", Kind: catalog.Stream, Resumable: true, Timeout: 3 * time.Second, Target: 300 * time.Millisecond, Attempts: 2, Targets: target},
		},
		Services: []catalog.Service{{Name: "llm", Engine: &catalog.Engine{
			Slots: f.shape.slots, MemoryTokens: f.shape.memory, TokenBytes: 18432, LinkMbps: 370000,
		}}},
	}
	var states []steward.ShelfState
	for i := range f.shape.quick + f.shape.slow {
		store := &modelStore{address: fmt.Sprintf("store%02d:1", i), zone: f.zone(i), mbps: 130000, first: 500 * time.Microsecond,
			capacity: f.shape.quickTokens, held: make(map[string]bool), next: 2}
		if i >= f.shape.quick {
			store.mbps, store.first, store.capacity = 83000, 6*time.Millisecond, f.shape.slowTokens
		}
		f.stores[store.address] = store
		d.Services = append(d.Services, catalog.Service{Name: store.address, Store: &catalog.Store{
			Address: store.address, DataCentre: store.zone, CapacityTokens: store.capacity, LinkMbps: store.mbps, FirstByte: store.first, Managed: true,
		}})
		states = append(states, steward.ShelfState{Address: store.address, Life: 1, Open: true})
	}
	view := &steward.RosterView{Revision: 1}
	for i := range f.shape.runners {
		id := fmt.Sprintf("i-%08x", rand.New(rand.NewPCG(uint64(i), 9)).Uint32())
		view.Upstreams = append(view.Upstreams, roster.Upstream{
			ID: id, Service: "llm", Address: id + ":1", DataCentre: f.zone(i), State: roster.Serving, Slots: f.shape.slots,
			Loaded: []roster.Loaded{{Model: "m", Version: 1}},
		})
		f.runners[id] = &modelRunner{
			fleet: f, id: id, zone: f.zone(i), slots: make(chan struct{}, f.shape.slots), room: make(chan struct{}),
			cached: make(map[string]*list.Element), order: list.New(),
		}
	}
	return &steward.WatchAnswer{
		Term: 1, Document: d, Weights: &steward.WeightsView{Revision: 1}, Roster: view, States: states,
		Shelves: &holdings.Update{At: holdings.Position{Term: 1, Next: 1}}, Clock: 1000, EntryCount: f.shape.entries,
	}
}

// word brings one entry the others' loads, as they were wordLag ago.
func (f *modelFleet) word(ctx context.Context, index int) {
	g := f.gateways[index]
	random := rand.New(rand.NewPCG(uint64(index), 5))
	time.Sleep(time.Duration(random.Int64N(int64(f.shape.wordEvery))))
	for ctx.Err() == nil {
		sent, request := time.Now(), g.Ask()
		own := make(map[string]steward.Load, len(request.Loads))
		for _, load := range request.Loads {
			own[load.Upstream] = load
		}
		f.mu.Lock()
		f.loads[index] = own
		sums := make(map[string]steward.Load)
		for other, loads := range f.loads {
			if other == index {
				continue
			}
			for name, load := range loads {
				sum := sums[name]
				sums[name] = steward.Load{Upstream: name, Requests: sum.Requests + load.Requests, Tokens: sum.Tokens + load.Tokens, Unread: sum.Unread + load.Unread}
			}
		}
		f.mu.Unlock()
		answer := &steward.WatchAnswer{Term: 1, Clock: 1000, EntryCount: f.shape.entries}
		for _, sum := range sums {
			answer.Loads = append(answer.Loads, sum)
		}
		time.Sleep(f.shape.wordLag)
		answer.Heard = f.shape.wordLag
		g.Told(answer, sent)
		g.state.mu.Lock()
		g.state.shelvesAt = time.Now()
		g.state.mu.Unlock()
		time.Sleep(f.shape.wordEvery - f.shape.wordLag)
	}
}

// locked changes what all entries read of the stores.
func (f *modelFleet) locked(change func()) {
	for _, g := range f.gateways {
		g.state.mu.Lock()
	}
	change()
	for _, g := range f.gateways {
		g.state.mu.Unlock()
	}
}

// saved tells the entries of parts that stand whole in a store.
func (f *modelFleet) saved(store *modelStore, part placement.Part, salt string) {
	f.mu.Lock()
	if store.held[part.ID] || store.used+part.Tokens > store.capacity {
		f.mu.Unlock()
		return
	}
	store.held[part.ID] = true
	store.used += part.Tokens
	f.mu.Unlock()
	f.locked(func() {
		store.next++
		f.book.Write(holdings.Record{Address: store.address, Change: holdings.Change{Key: holdings.Key{Salt: salt, Part: part.ID}, Tokens: part.Tokens}, Next: store.next})
		for _, g := range f.gateways {
			delete(g.state.stores[store.address].pending, holdings.Key{Salt: salt, Part: part.ID})
		}
	})
}

// link takes a part's turn on a store's link and returns when the transfer ends.
func (f *modelFleet) link(store *modelStore, tokens int, zone string) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	ms := float64(tokens) * 18432 * 8 / (store.mbps * 1000)
	if store.zone != zone {
		ms *= 2
	}
	begin := time.Now()
	if store.free.After(begin) {
		begin = store.free
	}
	store.free = begin.Add(time.Duration(ms*float64(time.Millisecond)) + store.first)
	return store.free
}

// Send implements Sender.
func (f *modelFleet) Send(ctx context.Context, s *Send) (*Answer, error) {
	return f.runners[s.Upstream].send(ctx, s)
}

func (m *modelRunner) send(ctx context.Context, s *Send) (*Answer, error) {
	time.Sleep(time.Millisecond)
	m.mu.Lock()
	m.arrivals++
	if m.present >= m.fleet.shape.slots+m.fleet.shape.queue {
		a := refusal(Full)
		a.Load = m.load()
		m.mu.Unlock()
		m.fleet.count(func(r *fleetResult) { r.arrivals++; r.full++ })
		return a, nil
	}
	m.present++
	m.mu.Unlock()
	m.fleet.count(func(r *fleetResult) { r.arrivals++ })
	leave := sync.OnceFunc(func() {
		m.mu.Lock()
		m.present--
		m.mu.Unlock()
	})
	select {
	case m.slots <- struct{}{}:
	case <-ctx.Done():
		leave()
		return nil, &outcome.Unknown{Reason: outcome.ReasonTimeout}
	}
	size := s.Request.Prompt.size()
	for {
		m.mu.Lock()
		if m.running == 0 || m.tokens+size <= m.fleet.shape.memory {
			break
		}
		room := m.room
		m.mu.Unlock()
		select {
		case <-room:
		case <-ctx.Done():
			<-m.slots
			leave()
			return nil, &outcome.Unknown{Reason: outcome.ReasonTimeout}
		}
	}
	m.running++
	m.tokens += size
	m.evict()
	ready := m.read(s)
	load := m.load()
	step := time.Duration((3.41 + 0.097*float64(m.running)) * float64(time.Millisecond))
	m.mu.Unlock()
	end := sync.OnceFunc(func() {
		m.mu.Lock()
		m.running--
		m.tokens -= size
		parts := s.Request.Prompt.Parts
		for _, part := range parts[:len(parts)-1] {
			m.keep(part)
		}
		m.evict()
		close(m.room)
		m.room = make(chan struct{})
		m.mu.Unlock()
		<-m.slots
		leave()
	})
	time.Sleep(time.Until(ready) + step)
	if ctx.Err() != nil {
		end()
		return nil, &outcome.Unknown{Reason: outcome.ReasonTimeout}
	}
	body := &modelBody{rest: time.Duration(s.Request.Prompt.Output) * step, end: end}
	return &Answer{Status: 200, Header: http.Header{}, Load: load, Length: -1, Body: body}, nil
}

// read returns when the prompt will be read. The caller holds the lock.
func (m *modelRunner) read(s *Send) time.Time {
	f, now := m.fleet, time.Now()
	parts, prompt := s.Request.Prompt.Parts, s.Prompt
	fetched, tokens, chain := now, 0, true
	for i, part := range parts {
		if i == len(parts)-1 {
			tokens += part.Tokens
			break
		}
		again, read := 0, 0
		_, held := m.cached[part.ID]
		switch {
		case held && chain:
		case chain && len(prompt.Fetch) > i && prompt.Fetch[i].Address != "":
			if end := f.link(f.stores[prompt.Fetch[i].Address], part.Tokens, m.zone); end.After(fetched) {
				fetched = end
			}
		default:
			chain = false
			tokens += part.Tokens
			read = part.Tokens
			f.mu.Lock()
			if f.seen[part.ID] {
				again = part.Tokens
			}
			f.seen[part.ID] = true
			f.mu.Unlock()
		}
		f.count(func(r *fleetResult) { r.sharedTokens += part.Tokens; r.readTokens += read; r.againTokens += again })
	}
	begin := fetched
	if m.readFree.After(begin) {
		begin = m.readFree
	}
	m.readFree = begin.Add(time.Duration(float64(tokens) / f.shape.readPerMs * float64(time.Millisecond)))
	read := m.readFree
	for i, address := range prompt.Save {
		if store := f.stores[address]; store != nil {
			f.saves.Go(func() {
				time.Sleep(time.Until(read))
				time.Sleep(time.Until(f.link(store, parts[i].Tokens, m.zone)) + eventLag)
				f.saved(store, parts[i], prompt.Salt)
			})
		}
	}
	return read
}

func (m *modelRunner) load() *Load {
	return &Load{Running: m.running, Waiting: m.present - m.running, Slots: m.fleet.shape.slots}
}

func (m *modelRunner) keep(part placement.Part) {
	if at, held := m.cached[part.ID]; held {
		m.order.MoveToFront(at)
		return
	}
	m.cached[part.ID] = m.order.PushFront(keptPartOf{id: part.ID, tokens: part.Tokens})
	m.kept += part.Tokens
}

func (m *modelRunner) evict() {
	for m.kept+m.tokens > m.fleet.shape.memory && m.order.Len() > 0 {
		last := m.order.Back()
		part := last.Value.(keptPartOf)
		m.order.Remove(last)
		delete(m.cached, part.id)
		m.kept -= part.tokens
	}
}

type modelBody struct {
	rest  time.Duration
	begun bool
	end   func()
}

func (b *modelBody) Next() (Piece, error) {
	if !b.begun {
		b.begun = true
		return Piece{Data: []byte("id: 1\n\n"), ID: "1"}, nil
	}
	time.Sleep(b.rest)
	b.end()
	return Piece{}, io.EOF
}

func (b *modelBody) Close() { b.end() }

func (f *modelFleet) count(note func(*fleetResult)) {
	f.result.mu.Lock()
	defer f.result.mu.Unlock()
	note(&f.result)
}

// timing notes when the caller had the first event.
type timing struct {
	recorder
	began time.Time
	first time.Duration
}

func (c *timing) Piece([]byte) error {
	if c.first == 0 {
		c.first = time.Since(c.began)
	}
	return nil
}

// call is one caller, who comes back once when it is told to.
func (f *modelFleet) call(kind string, parts []placement.Part, output, entry, second int) {
	wait, target := 6*time.Second, 600*time.Millisecond
	if kind == "short" {
		wait, target = 3*time.Second, 300*time.Millisecond
	}
	began := time.Now()
	c := &timing{began: began}
	for try := range 2 {
		c.ends, c.cause = "", nil
		r := &Request{
			ID: fmt.Sprintf("%p-%d", c, try), Method: "POST", Host: "h", Target: "/" + kind + "/x", Path: "/" + kind + "/x",
			Header: http.Header{}, Wait: wait - time.Since(began), Arrived: time.Now(),
			Prompt: &Prompt{Model: "m", Parts: parts, Output: output},
		}
		f.gateways[(entry+try*7)%len(f.gateways)].Serve(context.Background(), r, c)
		var refused *outcome.NotRun
		if c.ends == "done" || !errors.As(c.cause, &refused) || refused.RetryAfter <= 0 || refused.RetryAfter > (wait-time.Since(began))/3 {
			break
		}
		time.Sleep(refused.RetryAfter)
	}
	f.count(func(r *fleetResult) {
		r.asked[kind]++
		r.askedBySecond[second]++
		if c.ends != "done" {
			return
		}
		r.served[kind]++
		if c.first <= target {
			r.inTime[kind]++
			r.inTimeBySecond[second]++
		}
	})
}

// entry draws the entry of one caller.
func (f *modelFleet) entry(random *rand.Rand) int {
	at := random.IntN(len(f.gateways))
	if f.shape.oneZone {
		at -= at % f.shape.zones
	}
	return at
}

// lognormal draws a size around a mean.
func lognormal(random *rand.Rand, mean, spread float64, most int) int {
	return min(max(int(mean*math.Exp(spread*random.NormFloat64()-spread*spread/2)), 1), most)
}

// play lets callers come for the length of the shape.
func (f *modelFleet) play() *fleetResult {
	ctx, stop := context.WithCancel(context.Background())
	var words, callers sync.WaitGroup
	for i := range f.gateways {
		words.Go(func() { f.word(ctx, i) })
	}
	random := rand.New(rand.NewPCG(1, 2))
	sizes := func(things int, mean, spread float64, most int) []int {
		list := make([]int, things)
		for i := range list {
			list[i] = lognormal(random, mean, spread, most)
		}
		return list
	}
	long, short := sizes(f.shape.longThings, 12800, 0.6, 34000), sizes(f.shape.shortThings, 246, 0.6, 656)
	if f.shape.stored {
		for i, tokens := range long {
			f.store(placement.Part{ID: fmt.Sprintf("l%d", i), Tokens: tokens})
		}
	}
	begin := time.Now()
	rate := f.shape.longPerS + f.shape.shortPerS
	for at := time.Duration(0); at < f.shape.length; at += time.Duration(random.ExpFloat64() / rate * float64(time.Second)) {
		time.Sleep(time.Until(begin.Add(at)))
		entry, second := f.entry(random), int(at/time.Second)
		if random.Float64() < f.shape.longPerS/rate {
			thing := random.IntN(len(long))
			parts := []placement.Part{{ID: fmt.Sprintf("l%d", thing), Tokens: long[thing]}, {ID: "own", Tokens: lognormal(random, 4260, 0.7, 17000)}}
			callers.Go(func() { f.call("long", parts, 8, entry, second) })
			continue
		}
		thing := random.IntN(len(short))
		parts := []placement.Part{
			{ID: fmt.Sprintf("h%d", thing%160), Tokens: 55}, {ID: fmt.Sprintf("s%d", thing), Tokens: short[thing]},
			{ID: "own", Tokens: lognormal(random, 82, 0.7, 328)},
		}
		callers.Go(func() { f.call("short", parts, 3, entry, second) })
	}
	callers.Wait()
	f.saves.Wait()
	stop()
	words.Wait()
	most, total := 0, 0
	for _, runner := range f.runners {
		most, total = max(most, runner.arrivals), total+runner.arrivals
	}
	f.result.busiest = float64(most) * float64(len(f.runners)) / float64(max(total, 1))
	return &f.result
}

// store keeps a part in the first store by hash that has room.
func (f *modelFleet) store(part placement.Part) {
	f.seen[part.ID] = true
	var list []placement.Store
	var addresses []string
	for i := range f.shape.quick + f.shape.slow {
		store := f.stores[fmt.Sprintf("store%02d:1", i)]
		addresses = append(addresses, store.address)
		list = append(list, placement.Store{Address: store.address, LinkMbps: store.mbps, FirstByte: store.first, Capacity: store.capacity, Used: store.used, Open: true})
	}
	rates := placement.DefaultRates()
	if at := placement.KeepAt(&rates, "m.1", part, 18432, list); at >= 0 {
		f.saved(f.stores[addresses[at]], part, "m.1")
	}
}
