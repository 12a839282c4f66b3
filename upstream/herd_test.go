package upstream

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/lovagereach/lovagereach/ident"
)

// selectionPolicy is a way of selecting among the upstreams of the herd model.
type selectionPolicy struct {
	name          string
	all           bool // consider every upstream instead of a sample
	ignoreOwnWork bool // use the last report without correction
	ignoreOthers  bool // assume that other entries send nothing
	// senders is the number of entries that get requests; zero means all.
	senders int
}

var selectionPolicies = []selectionPolicy{
	{name: "least reported", all: true, ignoreOwnWork: true},
	{name: "least corrected by own work", all: true, ignoreOthers: true},
	{name: "sample corrected by own work", ignoreOthers: true},
	{name: "least corrected by all work", all: true},
	{name: "sample corrected by all work"},
	{name: "one sender, by own work", ignoreOthers: true, senders: 1},
	{name: "one sender, by all work", senders: 1},
}

// herd is the configuration of the model. Entries send requests to runners, whose
// reports are every apart and arrive lag after the measurement.
type herd struct {
	entries, upstreams int
	every, lag         time.Duration
}

// nineEntryHerd has nine entries and 18 runners whose reports are a second apart
// and half a second late.
var nineEntryHerd = herd{entries: 9, upstreams: 18, every: time.Second, lag: 500 * time.Millisecond}

const (
	herdSlots    = 8
	herdService  = 400 * time.Millisecond
	herdLoad     = 0.85
	herdLength   = 60 * time.Second
	herdTick     = time.Millisecond
	herdAnnounce = time.Second
)

// herdRunner is a runner that serves requests in order of arrival in its slots.
type herdRunner struct {
	busy   timeHeap // completions of running requests
	queue  []herdRequest
	toSend []Report
}

type herdRequest struct {
	attempt Attempt
	entry   int
	arrived time.Time
}

// herdCompletion is the completion of a running request.
type herdCompletion struct {
	at      time.Time
	request herdRequest
}

type timeHeap []herdCompletion

func (h timeHeap) Len() int           { return len(h) }
func (h timeHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h timeHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *timeHeap) Push(x any)        { *h = append(*h, x.(herdCompletion)) }
func (h *timeHeap) Pop() any {
	last := len(*h) - 1
	end := (*h)[last]
	*h = (*h)[:last]
	return end
}

// herdModel is the state of one run of the model.
type herdModel struct {
	herd
	policy  selectionPolicy
	random  *rand.Rand
	now     time.Time
	senders []*Registry
	runners []herdRunner
	last    uint32
	waits   []time.Duration
}

func newHerdModel(t testing.TB, size herd, policy selectionPolicy) *herdModel {
	m := &herdModel{herd: size, policy: policy, random: rand.New(rand.NewPCG(5, 6)), now: testStart}
	for range size.entries {
		r := testRegistry(t, Options{Entries: size.entries, SlowStart: time.Nanosecond})
		for i := range size.upstreams {
			a := engine(herdName(i), 1)
			a.Lease = time.Hour
			announce(t, r, testStart, a)
		}
		m.senders = append(m.senders, r)
	}
	m.runners = make([]herdRunner, size.upstreams)
	return m
}

func herdName(i int) ident.Upstream { return ident.Upstream(fmt.Sprint("r", i)) }

// run simulates herdLength and returns the 99th percentile and the mean of the
// wait for a slot.
func (m *herdModel) run(t testing.TB) (p99, mean time.Duration) {
	perTick := float64(m.upstreams*herdSlots) * herdLoad * float64(herdTick) / float64(herdService)
	for tick := 0; m.now.Before(testStart.Add(herdLength)); tick++ {
		m.now = m.now.Add(herdTick)
		for i := range m.runners {
			m.serve(i)
			m.report(t, i, tick)
		}
		for arrivals := perTick; arrivals > 0; arrivals-- {
			if m.random.Float64() < arrivals {
				m.arrive()
			}
		}
	}
	slices.Sort(m.waits)
	total := time.Duration(0)
	for _, wait := range m.waits {
		total += wait
	}
	return m.waits[len(m.waits)*99/100], total / time.Duration(len(m.waits))
}

func (m *herdModel) serve(i int) {
	r := &m.runners[i]
	for len(r.busy) > 0 && !r.busy[0].at.After(m.now) {
		end := heap.Pop(&r.busy).(herdCompletion)
		m.senders[end.request.entry].Finish(m.now, end.request.attempt, Succeeded)
	}
	for len(r.queue) > 0 && len(r.busy) < herdSlots {
		request := r.queue[0]
		r.queue = r.queue[1:]
		m.waits = append(m.waits, m.now.Sub(request.arrived))
		length := time.Duration(m.random.ExpFloat64() * float64(herdService))
		heap.Push(&r.busy, herdCompletion{at: m.now.Add(length), request: request})
	}
}

// report measures a runner's load once per interval and delivers the report after
// the lag. Announcements are sent at their own interval.
func (m *herdModel) report(t testing.TB, i, tick int) {
	every, lag := int(m.every/herdTick), int(m.lag/herdTick)
	r := &m.runners[i]
	if announced := int(herdAnnounce / herdTick); (tick+i*announced/m.upstreams)%announced == lag {
		for _, entry := range m.senders {
			a := engine(herdName(i), 1)
			a.Lease = time.Hour
			announce(t, entry, m.now, a)
		}
	}
	switch (tick + i*every/m.upstreams) % every {
	case 0:
		r.toSend = append(r.toSend, Report{
			Upstream: herdName(i), Incarnation: 1, MeasuredAt: m.now,
			Running: len(r.busy), Queued: len(r.queue),
		})
	case lag:
		for _, report := range r.toSend {
			report.Age = m.now.Sub(report.MeasuredAt)
			for _, entry := range m.senders {
				entry.Report(m.now, report)
			}
		}
		r.toSend = r.toSend[:0]
	}
}

func (m *herdModel) arrive() {
	senders := m.entries
	if m.policy.senders > 0 {
		senders = m.policy.senders
	}
	at := m.random.IntN(senders)
	entry := m.senders[at]
	if m.policy.ignoreOthers {
		entry.shares[Engine] = shareEstimate{own: 1e9, all: 1e9}
	}
	sample := 1
	if m.policy.all {
		sample = m.upstreams
	}
	found := entry.Pick(m.now, m.random, testPool, sample, nil)
	best := found[0]
	if m.policy.ignoreOwnWork {
		best = slices.MinFunc(found, func(a, b Candidate) int {
			return m.reported(entry, a.Upstream) - m.reported(entry, b.Upstream)
		})
	}
	m.last++
	attempt := Attempt{Number: m.last}
	entry.Dispatch(m.now, attempt, best.Upstream, 0)
	var i int
	fmt.Sscanf(string(best.Upstream), "r%d", &i)
	m.runners[i].queue = append(m.runners[i].queue, herdRequest{attempt: attempt, entry: at, arrived: m.now})
}

func (m *herdModel) reported(r *Registry, name ident.Upstream) int {
	report := r.slots[r.index[name]].load.report
	return report.Running + report.Queued
}

// Nine entries use the same load report half a second to a second and a half
// after it was measured. If each sends to the runner with the lowest reported
// load, all send to the same one and callers queue there while other runners are
// idle.
func TestEntriesDoNotHerdAfterTheSameReport(t *testing.T) {
	wait := func(policy selectionPolicy) time.Duration {
		p99, _ := newHerdModel(t, nineEntryHerd, policy).run(t)
		return p99
	}
	uncorrected := wait(selectionPolicies[0])
	corrected := wait(selectionPolicy{})
	if corrected*4 > uncorrected {
		t.Fatalf("99th percentile of the wait: %v, more than a quarter of the %v with the lowest reported load", corrected, uncorrected)
	}
}

// BenchmarkHerd reports the wait for a slot under each selection policy.
func BenchmarkHerd(b *testing.B) {
	for _, policy := range selectionPolicies {
		b.Run(policy.name, func(b *testing.B) {
			for range b.N {
				p99, mean := newHerdModel(b, nineEntryHerd, policy).run(b)
				b.ReportMetric(float64(p99.Milliseconds()), "p99-wait-ms")
				b.ReportMetric(float64(mean.Microseconds())/1000, "mean-wait-ms")
			}
		})
	}
}

// slowReportHerd has the entries that own a cell and the runners they track, with
// reports at the longest interval that ReportIntervalsFor returns.
var slowReportHerd = herd{entries: 3, upstreams: 54, every: MaxReportEvery, lag: 20 * time.Millisecond}

// Runners report every ten seconds. Between reports the entries must estimate the
// load from their own requests and the share that other entries send; otherwise
// callers wait for slots while other runners are idle.
func TestLongReportIntervalsDoNotMakeCallersWait(t *testing.T) {
	frequent := slowReportHerd
	frequent.upstreams = MaxUnpacedUpstreams + 1
	frequent.every = 500 * time.Millisecond
	infrequent := frequent
	infrequent.every = MaxReportEvery
	frequentWait, _ := newHerdModel(t, frequent, selectionPolicy{}).run(t)
	infrequentWait, _ := newHerdModel(t, infrequent, selectionPolicy{}).run(t)
	if infrequentWait > frequentWait*3/2 {
		t.Errorf("99th percentile of the wait: %v with reports every %v, %v every %v", infrequentWait, infrequent.every, frequentWait, frequent.every)
	}
	uncorrectedWait, _ := newHerdModel(t, infrequent, selectionPolicies[0]).run(t)
	if uncorrectedWait < 4*infrequentWait {
		t.Errorf("99th percentile of the wait: %v with uncorrected reports, less than four times as long; the model does not show the effect of old reports", uncorrectedWait)
	}
}

// BenchmarkHerdByReportInterval reports the wait for a slot by the time between
// reports, with the number of runners that one entry tracks at the design target.
func BenchmarkHerdByReportInterval(b *testing.B) {
	for _, every := range []time.Duration{500 * time.Millisecond, time.Second, 3 * time.Second, MaxReportEvery} {
		b.Run(every.String(), func(b *testing.B) {
			size := slowReportHerd
			size.every = every
			for range b.N {
				p99, mean := newHerdModel(b, size, selectionPolicy{}).run(b)
				b.ReportMetric(float64(p99.Milliseconds()), "p99-wait-ms")
				b.ReportMetric(float64(mean.Microseconds())/1000, "mean-wait-ms")
			}
		})
	}
}
