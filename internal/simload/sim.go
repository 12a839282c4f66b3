package simload

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/prefix"
)

// networkDelay is the one-way delay between callers, entries and upstreams in
// different data centres.
const networkDelay = 1500 * time.Microsecond

// policy decides where requests run. It is called by the model and acts on the
// model's engines and store hosts.
type policy interface {
	// begin is called once, before the first request.
	begin(s *sim)
	// arrive accepts a request. It results in a call of sim.send or sim.refuse.
	arrive(j *job)
	// leave removes a request whose caller has left before the first token.
	leave(j *job)
	// lost reports that the connection on which a job ran was lost.
	lost(j *job)
	// cacheEvents delivers delayed cache events of an upstream.
	cacheEvents(upstream ident.Upstream, events []prefix.Event)
}

// sim is one run of a workload under a policy.
type sim struct {
	clock   clock
	work    *Workload
	random  *rand.Rand
	engines []*engine
	stores  []*store
	policy  policy
	check   checker
	results results
	// swapped is the number of engines that have loaded the new version.
	swapped int
	// down marks the entries that have crashed.
	down []bool
}

// Run configures a run.
type Run struct {
	Workload *Workload
	// Policy is one of the names returned by Policies.
	Policy string
	Faults []Fault
	Seed   uint64
	// Variant is the name of the Tuning in the table.
	Variant string
	// Overlap makes engines start prefill while blocks are still being imported.
	Overlap bool
	// Scale multiplies the rate of requests, Links the rates of links and
	// disks; zero means 1.
	Scale, Links float64
	// Tuning overrides parts of the policy, for measurements without one of its
	// features.
	Tuning Tuning
}

// Do executes the run and returns its result.
func (r Run) Do() (Result, error) {
	make, ok := policyMakers[r.Policy]
	if !ok {
		return Result{}, fmt.Errorf("simload: unknown policy %q", r.Policy)
	}
	r.Workload = r.scaled()
	s := newSim(r, make(r))
	s.policy.begin(s)
	for _, f := range r.Faults {
		f.schedule(s)
	}
	requests := r.requests()
	s.feedRequests(requests)
	s.clock.runUntil(r.Workload.Duration + drainTime)
	return s.results.summarise(s, r, requests), nil
}

// scaled returns the workload with Scale and Links applied.
func (r Run) scaled() *Workload {
	w := *r.Workload
	if r.Scale > 0 {
		w.scale = r.Scale
	}
	if r.Links > 0 {
		w.engine.linkRate *= r.Links
		w.store.linkRate *= r.Links
		w.store.diskRate *= r.Links
	}
	return &w
}

// drainTime is the time for the last requests to complete.
const drainTime = 20 * time.Minute

// requests returns the random arrivals, which are the same for every policy.
func (r Run) requests() []*request {
	return r.Workload.arrivals(r.Workload, rand.New(rand.NewPCG(r.Seed, 1)))
}

func newSim(r Run, p policy) *sim {
	w := r.Workload
	spec := w.engine
	spec.overlaps = r.Overlap
	s := &sim{work: w, policy: p, random: rand.New(rand.NewPCG(r.Seed, 2)), down: make([]bool, w.Entries)}
	s.results.warmUp = w.WarmUp
	for i := range w.Engines {
		name := ident.Upstream(fmt.Sprintf("runner-%02d", i))
		s.engines = append(s.engines, newEngine(s, name, w.DataCentres[i%len(w.DataCentres)], &spec))
	}
	for i, name := range w.Stores {
		s.stores = append(s.stores, newStore(s, ident.Upstream(name), w.DataCentres[i%len(w.DataCentres)], &w.store))
	}
	return s
}

// feedRequests schedules one arrival after another.
func (s *sim) feedRequests(requests []*request) {
	if len(requests) == 0 {
		return
	}
	s.clock.after(requests[0].at-s.clock.at, func() {
		s.arrive(requests[0])
		s.feedRequests(requests[1:])
	})
}

func (s *sim) arrive(r *request) {
	j := &job{req: r, arrived: s.clock.at}
	s.setVersion(r, s.versionFor())
	s.results.offered(j)
	s.clock.after(r.class.Deadline, func() {
		j := j.latest()
		if j.answered || j.finished {
			return
		}
		// The caller disconnects at its deadline.
		j.finished = true
		s.results.left(j)
		s.policy.leave(j)
		if j.engine != nil {
			j.engine.cancel(j)
		}
		j.state = jobGone
	})
	s.begin(j)
}

// begin passes a job to the policy.
func (s *sim) begin(j *job) {
	j.onFirst = func(j *job) { s.results.first(s.clock.at+networkDelay, j) }
	j.onDone = func(*job) {}
	s.policy.arrive(j)
}

// send sends a job to an engine, where it arrives after networkDelay.
func (s *sim) send(j *job, e *engine) {
	j.sent = s.clock.at
	s.deliver(j, e)
}

// deliver submits a job to an engine after networkDelay. If the engine has crashed
// in the meantime, the job is retried.
func (s *sim) deliver(j *job, e *engine) {
	s.clock.after(networkDelay, func() {
		switch {
		case j.state == jobGone || j.finished:
			e.unpin(j)
		case e.dead:
			s.retry(j)
		default:
			e.submit(j)
		}
	})
}

// refuse finishes a job that was not run.
func (s *sim) refuse(j *job) {
	if j.finished {
		return
	}
	j.finished = true
	j.state = jobGone
	s.results.refused(j)
}
