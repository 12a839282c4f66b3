package gateway

import (
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"github.com/lovagereach/lovagereach/catalog"
	"github.com/lovagereach/lovagereach/internal/crash"
	"github.com/lovagereach/lovagereach/internal/decision"
	"github.com/lovagereach/lovagereach/internal/steward"
	"github.com/lovagereach/lovagereach/outcome"
	"github.com/lovagereach/lovagereach/placement"
	"github.com/lovagereach/lovagereach/resumption"
	"github.com/lovagereach/lovagereach/roster"
)

const (
	// versionEvents is the number of events of a stream, versionPause the time between two.
	versionEvents, versionPause = 8, 30 * time.Millisecond
	// versionPoll is the time between two answers of the control hosts to one entry, versionLag
	// their age on arrival.
	versionPoll, versionLag = 100 * time.Millisecond, 40 * time.Millisecond
	// maxMixedStreams is how many streams may hold events of two software versions, and
	// minResumedShare how often streams must go on, relative to how often new ones begin.
	maxMixedStreams, minResumedShare = 2, 0.5
)

// versionRunner is one incarnation of a runner.
type versionRunner struct {
	record  roster.Upstream
	crashed bool
}

// versionEntry is one incarnation of an entry.
type versionEntry struct {
	gateway *Gateway
	life    context.Context
	kill    context.CancelFunc
	// cutUntil is the time until which the entry gets no answer of the control hosts.
	cutUntil time.Time
	// unreached indicates that the entry reaches no runner.
	unreached bool
}

// versionFleet simulates entries, in virtual time, before runners of several software versions.
// The entries are real gateways.
type versionFleet struct {
	t       *testing.T
	mu      sync.Mutex
	random  *rand.Rand
	runners map[string]*versionRunner
	// listed are the records of the control hosts, in their order, with the revision of each.
	listed   []roster.Upstream
	revision uint64
	entries  []*versionEntry
	watches  sync.WaitGroup
	// controls are the control hosts' memories of streams, by host. Hosts in silent don't
	// answer. exchanges counts the messages to them.
	controls  map[string]*resumption.Records
	software  *resumption.Versions
	silent    map[string]bool
	exchanges int
	results   versionResults
}

// versionResults counts streams.
type versionResults struct {
	// begun and refused are new streams, mixed those with events of two software versions.
	begun, refused, mixed int
	// resumed are attempts to go on with a stream at an entry that runs, while two runners of
	// its version serve, continued those that got an event.
	resumed, continued int
	finished           int
}

func newVersionFleet(t *testing.T, entries int, seed uint64) *versionFleet {
	f := &versionFleet{t: t, random: rand.New(rand.NewPCG(seed, 3)), runners: make(map[string]*versionRunner),
		controls: make(map[string]*resumption.Records), software: resumption.NewVersions(time.Time{}), silent: make(map[string]bool)}
	for i := range 5 {
		f.controls[fmt.Sprintf("c%d", i)] = resumption.NewRecords()
	}
	f.entries = make([]*versionEntry, entries)
	for i := range f.entries {
		f.startEntry(i)
	}
	return f
}

// startEntry starts an entry again, without any state.
func (f *versionFleet) startEntry(i int) {
	quiet := log.New(io.Discard)
	life, kill := context.WithCancel(context.Background())
	e := &versionEntry{life: life, kill: kill}
	host := fmt.Sprintf("e%d", i)
	options := Options{
		Host: host, Sender: &versionSender{fleet: f, entry: e, connected: make(map[incarnation]versionConnection)}, Peers: f, Budget: BudgetLimits{Ratio: 0.2, Extra: 5000},
		Rates: placement.DefaultRates(), Log: quiet, Decisions: decision.New(quiet),
		Origins: &versionOrigins{fleet: f, entry: e},
	}
	g, err := New(options)
	if err != nil {
		f.t.Fatal(err)
	}
	e.gateway = g
	f.mu.Lock()
	f.entries[i] = e
	f.mu.Unlock()
	f.watches.Go(func() { f.watch(e) })
}

// watch delivers the state of the control hosts to an entry until it is killed.
func (f *versionFleet) watch(e *versionEntry) {
	for e.life.Err() == nil {
		sent, request := time.Now(), e.gateway.NextRequest()
		answer := f.answer(request, e)
		time.Sleep(versionLag)
		f.mu.Lock()
		cut := time.Now().Before(e.cutUntil)
		f.mu.Unlock()
		if !cut && e.life.Err() == nil {
			e.gateway.ApplyAnswer(answer, sent)
		}
		time.Sleep(versionPoll - versionLag)
	}
}

func (f *versionFleet) answer(request *steward.WatchRequest, e *versionEntry) *steward.WatchAnswer {
	f.mu.Lock()
	defer f.mu.Unlock()
	a := &steward.WatchAnswer{Term: 1, EntryCount: len(f.entries), Clock: 1000}
	if request.Document == 0 {
		a.Document = versionDocument()
		a.Weights = &steward.WeightsView{Revision: 1}
	}
	if request.Roster < f.revision {
		a.Roster = &steward.RosterView{Revision: f.revision, Since: min(request.Roster, 1), Upstreams: append([]roster.Upstream(nil), f.listed...)}
	}
	if e.unreached {
		for i, other := range f.entries {
			if other != nil && other != e && !other.unreached && other.life.Err() == nil {
				a.Peers = append(a.Peers, steward.PeerView{Host: strconv.Itoa(i), Callers: strconv.Itoa(i)})
			}
		}
	}
	return a
}

func versionDocument() *catalog.Document {
	return &catalog.Document{
		Version: 7, Source: []byte("x"),
		Routes: []catalog.Route{{Name: "plan", Host: "h", Prefix: "/plan/", Kind: catalog.Stream, Timeout: 6 * time.Second, Target: 400 * time.Millisecond,
			Attempts: 3, Resumable: true, Targets: []catalog.Target{{Service: "llm", Weight: 1}}}},
		Services: []catalog.Service{{Name: "llm", Engine: &catalog.Engine{Slots: 32, MemoryTokens: 110000, TokenBytes: 18432, LinkMbps: 370000}}},
	}
}

// start starts a runner and announces it.
func (f *versionFleet) start(id, address, software string, startedMs uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	record := roster.Upstream{ID: id, Service: "llm", Address: address, State: roster.Serving, Slots: 32, StartedMs: startedMs,
		Software: software, Loaded: []roster.Loaded{{Model: "m", Version: 1}}}
	f.runners[address] = &versionRunner{record: record}
	f.list(record)
}

// list records an announcement. The caller holds the lock.
func (f *versionFleet) list(record roster.Upstream) {
	f.revision++
	if record.State == roster.Serving {
		f.software.Add("llm", record.Software, time.Now(), time.Now())
	}
	for i := range f.listed {
		if f.listed[i].ID == record.ID {
			f.software.Remove("llm", f.listed[i].Software, time.Now())
			f.listed[i] = record
			return
		}
	}
	f.listed = append(f.listed, record)
}

// leave announces that the runner at an address is gone.
func (f *versionFleet) leave(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	record := f.runners[address].record
	record.State = roster.Gone
	f.list(record)
}

// crash ends the runner at an address without an announcement.
func (f *versionFleet) crash(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runners[address].crashed = true
}

// killEntry kills an entry and starts it again later.
func (f *versionFleet) killEntry(i int, down time.Duration) {
	f.mu.Lock()
	e := f.entries[i]
	f.mu.Unlock()
	e.kill()
	time.Sleep(down)
	f.startEntry(i)
}

// serving returns the number of runners of a software version that serve.
func (f *versionFleet) serving(software string) int {
	n := 0
	for _, u := range f.listed {
		if r := f.runners[u.Address]; u.State == roster.Serving && r.record.ID == u.ID && !r.crashed && r.record.Software == software {
			n++
		}
	}
	return n
}

// versionSender sends the requests of one entry to the runners.
type versionSender struct {
	fleet *versionFleet
	entry *versionEntry
	// connected is the latest connection to each incarnation that the entry knows.
	connected map[incarnation]versionConnection
}

type versionConnection struct {
	runner *versionRunner
	at     time.Time
}

// Send implements Sender.
func (s *versionSender) Send(ctx context.Context, send *Send) (*Answer, error) {
	f := s.fleet
	time.Sleep(time.Millisecond)
	f.mu.Lock()
	runner := f.runners[send.Address]
	switch {
	case s.entry.unreached || runner == nil || runner.crashed:
		f.mu.Unlock()
		return nil, &outcome.NotRun{Reason: outcome.ReasonDial}
	case runner.record.ID != send.Upstream:
		f.mu.Unlock()
		return refusal(OtherUpstream), nil
	}
	// Connections stay open for some seconds.
	to := incarnation{id: send.Upstream, startedMs: send.StartedMs}
	last := s.connected[to]
	closed := last.runner != nil && last.runner != runner && time.Since(last.at) < 4*time.Second
	s.connected[to] = versionConnection{runner: runner, at: time.Now()}
	f.mu.Unlock()
	if send.SameIncarnation && runner.record.StartedMs != send.StartedMs {
		return nil, dialRefused()
	}
	after, _ := strconv.Atoi(send.ResumeAfter)
	time.Sleep(versionPause)
	return &Answer{Status: 200, Header: http.Header{}, Length: -1, MayHaveRestarted: closed, Body: &versionBody{fleet: f, ctx: ctx, runner: runner, next: after + 1}}, nil
}

// Connects implements Sender.
func (s *versionSender) Connects(context.Context, *Send) bool {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	return !s.entry.unreached
}

// CheckProcess implements Sender.
func (s *versionSender) CheckProcess(context.Context, *Send) crash.State { return crash.Unclear }

// versionOrigins is the connection of one entry to the control hosts' memories of streams.
type versionOrigins struct {
	fleet *versionFleet
	entry *versionEntry
}

// Leader implements Origins.
func (o *versionOrigins) Leader() string { return "c1" }

// Hosts implements Origins.
func (o *versionOrigins) Hosts() []string { return slices.Sorted(maps.Keys(o.fleet.controls)) }

// ExchangeOrigins implements Origins.
func (o *versionOrigins) ExchangeOrigins(ctx context.Context, host string, request *steward.OriginRequest) (*steward.OriginAnswer, error) {
	f := o.fleet
	time.Sleep(2 * time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	if f.silent[host] || now.Before(o.entry.cutUntil) {
		f.mu.Unlock()
		<-ctx.Done()
		f.mu.Lock()
	}
	if o.entry.life.Err() != nil || ctx.Err() != nil {
		return nil, connectionLost()
	}
	f.exchanges++
	for _, record := range request.Records {
		f.controls[host].Put(record, now)
	}
	answer := &steward.OriginAnswer{}
	if request.Find != nil {
		if record, found := f.controls[host].Get(*request.Find, now); found {
			answer.Found = &record
		}
		since := now
		if host == o.Leader() {
			since = time.Time{}
		}
		answer.Only, answer.Known = f.software.Only(request.Service, since, now, now)
	}
	return answer, nil
}

// versionBody yields events that name the software version.
type versionBody struct {
	fleet  *versionFleet
	ctx    context.Context
	runner *versionRunner
	next   int
}

func (b *versionBody) Next() (Piece, error) {
	if b.next > versionEvents {
		return Piece{}, io.EOF
	}
	time.Sleep(versionPause)
	b.fleet.mu.Lock()
	crashed := b.runner.crashed
	b.fleet.mu.Unlock()
	if crashed || b.ctx.Err() != nil {
		return Piece{}, connectionLost()
	}
	id := strconv.Itoa(b.next)
	b.next++
	return Piece{Data: []byte(id + "@" + b.runner.record.Software + " "), ID: id}, nil
}

func (b *versionBody) Close() {}

// Forward implements Peers.
func (f *versionFleet) Forward(ctx context.Context, forward *Forward) (*Answer, error) {
	at, _ := strconv.Atoi(forward.Address)
	f.mu.Lock()
	e := f.entries[at]
	f.mu.Unlock()
	if e.life.Err() != nil {
		return nil, &outcome.NotRun{Reason: outcome.ReasonDial}
	}
	copied := *forward.Request
	copied.Forwarded, copied.Arrived, copied.Wait, copied.ResumeAfter = true, time.Now(), forward.Wait, forward.ResumeAfter
	ctx, cancel := context.WithCancel(ctx)
	context.AfterFunc(e.life, cancel)
	p := &passedAnswer{began: make(chan *Answer, 1), pieces: make(chan Piece, versionEvents), ended: make(chan struct{}), cancel: cancel}
	go e.gateway.Serve(ctx, &copied, p)
	return p.await(e.life)
}
