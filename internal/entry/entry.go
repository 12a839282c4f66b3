package entry

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/lovagereach/lovagereach/config"
	"github.com/lovagereach/lovagereach/ident"
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
	// looks are upstreams at which attempts broke off.
	looks chan look
	drain drainState

	// mu guards the decision state below. It is never held during I/O.
	mu       sync.Mutex
	registry *upstream.Registry
	planner  *route.Planner
	policy   *retry.Policy
	budgets  *retry.Budgets
	tracker  *retry.Tracker
	pools    map[poolKey]*pool
	shares   teamShares
	// slots adds up the slots of the upstreams of each model and service.
	slots map[poolKey]int
	// cells holds the directory of each cell's engines, stores that of the
	// store hosts.
	cells    map[ident.Cell]*prefix.Directory
	stores   *prefix.Directory
	followed map[ident.Upstream]*followed
	// departures are told to the other entries.
	departures departureNews
	// ends are of upstreams, and the requests that may have brought them about.
	ends ends
	// centres lists the data centres where a model, a service or (under the
	// empty name) a store host was announced.
	centres map[poolKey][]ident.DataCentre
	// fetching is what own imports still move.
	fetching underWay
	// inFlight tells where prompts are about to be, and bringing of each request
	// that takes one there what it brings.
	inFlight *route.InFlight
	bringing map[ident.Request]*bringing
	// callTimes is what is learned of each service's calls.
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
		options:    options,
		counts:     newCounts(options.Metrics),
		repairs:    make(chan ident.Upstream, maxRepairs),
		looks:      make(chan look, maxLooks),
		registry:   registry,
		planner:    planner,
		policy:     retry.NewPolicy(retry.DefaultOptions(), budgets),
		budgets:    budgets,
		tracker:    retry.NewTracker(options.MaxInFlight),
		pools:      make(map[poolKey]*pool),
		slots:      make(map[poolKey]int),
		cells:      make(map[ident.Cell]*prefix.Directory),
		stores:     stores,
		followed:   make(map[ident.Upstream]*followed),
		departures: newDepartureNews(),
		ends:       newEnds(),
		centres:    make(map[poolKey][]ident.DataCentre),
		fetching:   newUnderWay(),
		inFlight:   route.NewInFlight(),
		bringing:   make(map[ident.Request]*bringing),
		callTimes:  make(map[ident.Service]*callTimes),
	}
	e.drain.idle = make(chan struct{})
	e.keeper, err = newKeeper(e)
	return e, err
}

// Run does the entry's background work until ctx ends: leases that run out,
// snapshots that repair directories, looks at upstreams that were lost, and exports.
func (e *Entry) Run(ctx context.Context) {
	var work sync.WaitGroup
	work.Go(func() { e.housekeeping(ctx) })
	for range repairWorkers {
		work.Go(func() { e.repairLoop(ctx) })
	}
	for range lookWorkers {
		work.Go(func() { e.lookLoop(ctx) })
	}
	work.Go(func() { e.keeper.runPlans(ctx) })
	for range keepWorkers {
		work.Go(func() { e.keeper.runWork(ctx) })
	}
	work.Wait()
}

// Authorize implements Service.
//
// An entry that may not serve can't say that a token is unknown: the
// configuration that names it may be in force elsewhere, and a caller that is
// told "unauthorized" would give up instead of using another entry.
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

// MayServe refuses new requests while this entry has no serving lease or no
// configuration; it says why.
func (e *Entry) MayServe() error { return e.mayServe(time.Now()) }

// mayServe refuses new requests while this entry has no serving lease: it may
// then be behind a configuration that is in force elsewhere. It refuses them
// too while it holds no configuration, under which nothing can be served.
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

// renew brings a caller up to the configuration in force. A caller may take
// long to send its body; a request that went by the revision of its first byte
// could act on a configuration that every entry has acknowledged to be over,
// for example with a token that was taken back meanwhile.
func (e *Entry) renew(caller Caller) (Caller, error) {
	if e.options.Control.Snapshot() == caller.snapshot {
		return caller, nil
	}
	return e.Authorize(caller.digest)
}

// classOf finds the class of a request: the one asked for, else the first of
// the team's classes of that kind.
func classOf(caller Caller, asked ident.Class, kind config.ClassKind) (*config.Class, error) {
	if asked != "" {
		class, ok := caller.snapshot.Class(asked)
		if !ok || !caller.team.Allows(asked) || class.Kind != kind {
			return nil, &outcome.NotRun{
				Reason: outcome.ReasonBadRequest,
				Detail: "the team may not use class \"" + limitName(string(asked)) + "\" for this request",
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

// maxNameEcho bounds how much of a caller's own text an error repeats.
const maxNameEcho = 100

func limitName(name string) string {
	if len(name) <= maxNameEcho {
		return name
	}
	return name[:maxNameEcho] + "…"
}

// NewCaller finds the team that a bearer token's digest names in a
// configuration.
func NewCaller(snapshot *config.Snapshot, digest config.TokenDigest) (Caller, bool) {
	team, ok := snapshot.TeamByToken(digest)
	return Caller{team: team, snapshot: snapshot, digest: digest}, ok
}
