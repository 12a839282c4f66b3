package entry

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/lovagereach/lovagereach/config"
	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/longanswer"
	"github.com/lovagereach/lovagereach/outcome"
	"github.com/lovagereach/lovagereach/prefix"
	"github.com/lovagereach/lovagereach/retry"
	"github.com/lovagereach/lovagereach/route"
	"github.com/lovagereach/lovagereach/upstream"
)

// Entry serves the callers of one entry host.
type Entry struct {
	options Options
	counts  counts
	keeper  *keeper
	repairs chan ident.Upstream
	// probes are the queued checks of upstreams with broken connections.
	probes chan probe
	drain  drainState
	// recorded reads the answers that are recorded.
	recorded *longanswer.Reader

	// mu guards the decision state below. It is never held during I/O.
	mu       sync.Mutex
	registry *upstream.Registry
	planner  *route.Planner
	policy   *retry.Policy
	budgets  *retry.Budgets
	tracker  *retry.Tracker
	pools    map[poolKey]*pool
	shares   teamShares
	// slots is the total number of upstream slots of each model and service.
	slots map[poolKey]int
	// cells holds the block directory of each cell's engines; stores is the
	// directory of all store hosts.
	cells    map[ident.Cell]*prefix.Directory
	stores   *prefix.Directory
	followed map[ident.Upstream]*followed
	// departures are sent repeatedly to the other entries.
	departures departureRepeater
	// crashes records upstream crashes and the requests that may have caused
	// them.
	crashes crashState
	// centres lists the data centres in which a model, a service or (under the
	// zero key) a store host was announced.
	centres map[poolKey][]ident.DataCentre
	// fetching is the volume of this entry's imports in progress.
	fetching fetchingBytes
	// inFlight records which engines are going to hold which prompts, and
	// pendingPrompts the blocks of each request that causes it.
	inFlight       *route.InFlight
	pendingPrompts map[ident.Request]*pendingPrompt
	// callTimes holds the measured answer times of each service.
	callTimes map[ident.Service]*callTimes
}

// Bounds of the decision state.
const (
	maxCells   = 1024
	maxPools   = 1024
	maxCentres = 64
)

// New returns an entry; Run starts its background work.
func New(options Options) (*Entry, error) {
	if err := options.Validate(); err != nil {
		return nil, err
	}
	options = options.withDefaults()
	registry, err := upstream.NewRegistry(upstream.Options{MaxInFlight: options.MaxInFlight})
	if err != nil {
		return nil, eris.Wrap(err, "entry: registry")
	}
	planner, err := route.New(route.Options{})
	if err != nil {
		return nil, eris.Wrap(err, "entry: planner")
	}
	stores, err := prefix.NewDirectory(prefix.Options{})
	if err != nil {
		return nil, eris.Wrap(err, "entry: directory")
	}
	budgets := retry.NewBudgets(retry.DefaultBudgetOptions())
	e := &Entry{
		options:        options,
		counts:         newCounts(options.Metrics),
		repairs:        make(chan ident.Upstream, maxRepairs),
		probes:         make(chan probe, maxProbes),
		recorded:       longanswer.NewReader(recordTurns),
		registry:       registry,
		planner:        planner,
		policy:         retry.NewPolicy(retry.DefaultOptions(), budgets),
		budgets:        budgets,
		tracker:        retry.NewTracker(options.MaxInFlight),
		pools:          make(map[poolKey]*pool),
		slots:          make(map[poolKey]int),
		cells:          make(map[ident.Cell]*prefix.Directory),
		stores:         stores,
		followed:       make(map[ident.Upstream]*followed),
		departures:     newDepartureRepeater(),
		crashes:        newCrashState(),
		centres:        make(map[poolKey][]ident.DataCentre),
		fetching:       newFetchingBytes(),
		inFlight:       route.NewInFlight(),
		pendingPrompts: make(map[ident.Request]*pendingPrompt),
		callTimes:      make(map[ident.Service]*callTimes),
	}
	e.drain.idle = make(chan struct{})
	e.keeper, err = newKeeper(e)
	return e, err
}

// Run does the entry's background work until ctx ends: expiry of upstream
// leases, snapshots that repair directories, probes of lost upstreams, and the
// operations on kept prompts.
func (e *Entry) Run(ctx context.Context) {
	var work sync.WaitGroup
	work.Go(func() { e.housekeeping(ctx) })
	for range repairWorkers {
		work.Go(func() { e.repairLoop(ctx) })
	}
	for range probeWorkers {
		work.Go(func() { e.probeLoop(ctx) })
	}
	work.Go(func() { e.keeper.runPlans(ctx) })
	for range keepWorkers {
		work.Go(func() { e.keeper.runWork(ctx) })
	}
	work.Wait()
}

// Authorize implements Service.
//
// An entry without a serving lease or configuration can't know that a token is
// invalid: a configuration that contains it may be in force elsewhere, and a
// caller that receives "unauthorized" would give up instead of using another
// entry. Such an entry returns the error of MayServe.
func (e *Entry) Authorize(digest config.TokenDigest) (Caller, error) {
	caller, ok := NewCaller(e.options.Control.Snapshot(), digest)
	if ok {
		return caller, nil
	}
	if err := e.mayServe(time.Now()); err != nil {
		return Caller{}, err
	}
	return Caller{}, &outcome.NotRun{
		Reason: outcome.ReasonUnauthorized,
		Detail: "the bearer token names no team",
	}
}

// MayServe returns an error with the reason while this entry has no serving
// lease or no configuration and therefore refuses new requests.
func (e *Entry) MayServe() error { return e.mayServe(time.Now()) }

// mayServe returns an error while this entry has no serving lease, since its
// configuration may then be older than the one in force elsewhere, or while it
// has no configuration.
func (e *Entry) mayServe(now time.Time) error {
	serving := e.options.Control.Serving(now)
	if serving && e.options.Control.Snapshot().Revision() > 0 {
		return nil
	}
	if serving {
		return &outcome.NotRun{
			Reason:     outcome.ReasonNoServingLease,
			Detail:     "this entry holds no configuration yet; use another entry" + e.listAlternates(),
			RetryAfter: time.Second,
		}
	}
	return &outcome.NotRun{
		Reason:     outcome.ReasonNoServingLease,
		Detail:     "this entry has no serving lease; use another entry" + e.listAlternates(),
		RetryAfter: time.Second,
	}
}

// refreshCaller resolves a caller again under the configuration in force.
// Sending a body may take a caller long. A request that used the revision of
// its first byte could act on a configuration that every entry has acknowledged
// as replaced, for example with a token that has been revoked meanwhile.
func (e *Entry) refreshCaller(caller Caller) (Caller, error) {
	if e.options.Control.Snapshot() == caller.snapshot {
		return caller, nil
	}
	return e.Authorize(caller.digest)
}

// classOf returns the class of a request: the requested one, or the first of
// the team's classes of that kind if none is requested.
func classOf(caller Caller, requested ident.Class, kind config.ClassKind) (*config.Class, error) {
	if requested != "" {
		class, ok := caller.snapshot.Class(requested)
		if !ok || !caller.team.Allows(requested) || class.Kind != kind {
			return nil, &outcome.NotRun{
				Reason: outcome.ReasonBadRequest,
				Detail: "the team may not use class \"" + limitName(string(requested)) + "\" for this request",
			}
		}
		return class, nil
	}
	for _, name := range caller.team.Classes {
		if class, ok := caller.snapshot.Class(name); ok && class.Kind == kind {
			return class, nil
		}
	}
	return nil, &outcome.NotRun{
		Reason: outcome.ReasonBadRequest,
		Detail: "the team has no class of kind " + string(kind),
	}
}

// maxNameEcho bounds, in bytes, how much of a caller's text an error repeats.
const maxNameEcho = 100

func limitName(name string) string {
	if len(name) <= maxNameEcho {
		return name
	}
	return name[:maxNameEcho] + "…"
}

// NewCaller returns the caller whose team has a token with the given digest in
// a configuration, and whether there is one.
func NewCaller(snapshot *config.Snapshot, digest config.TokenDigest) (Caller, bool) {
	team, ok := snapshot.TeamByToken(digest)
	return Caller{team: team, snapshot: snapshot, digest: digest}, ok
}
