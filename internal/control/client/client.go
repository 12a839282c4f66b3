package client

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/lovagereach/lovagereach/config"
	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/control/protocol"
	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/internal/wire"
	"github.com/lovagereach/lovagereach/lease"
	"github.com/lovagereach/lovagereach/member"
	"github.com/lovagereach/lovagereach/relay"
)

// Client maintains an entry's configuration and serving lease. Its methods are
// safe for concurrent use. Run must be called once.
type Client struct {
	opts    Options
	leader  *leaderFinder
	current atomic.Pointer[config.Snapshot]
	// acked is the latest revision for which Options.OnRevision has returned.
	acked atomic.Uint64
	// incarnation is the one assigned by the control hosts, zero before.
	incarnation atomic.Uint64
	// renewNow triggers a renewal before RenewEvery has passed.
	renewNow chan struct{}

	mu    sync.Mutex
	child *relay.Child
	// refused is the reason why the last renewal was refused, empty if it was
	// granted.
	refused lease.RefusalReason
	counts  Counts
}

// Counts contains the counters of a client since its start.
type Counts struct {
	// Updates is the number of revisions applied, Fulls the number of full
	// configurations fetched, and Gaps the number of deltas that did not apply to
	// the current revision.
	Updates  uint64 `json:"updates"`
	Fulls    uint64 `json:"fulls"`
	Gaps     uint64 `json:"gaps"`
	Renewals uint64 `json:"renewals"`
	// Refusals is the number of renewals answered without a lease.
	Refusals    uint64 `json:"refusals"`
	FailedCalls uint64 `json:"failed_calls"`
	Redirects   uint64 `json:"redirects"`
	// StaleAnswers is the number of answers to superseded renewals.
	StaleAnswers uint64 `json:"stale_answers"`
	// BytesSent and BytesReceived count message bodies.
	BytesSent     uint64 `json:"bytes_sent"`
	BytesReceived uint64 `json:"bytes_received"`
}

// New returns a client without a configuration and a lease.
func New(opts Options) (*Client, error) {
	if err := opts.Validate(); err != nil {
		return nil, err
	}
	c := &Client{
		opts:     opts.withDefaults(),
		leader:   newLeaderFinder(opts.Addresses),
		child:    relay.NewChild(opts.Self),
		renewNow: make(chan struct{}, 1),
	}
	c.current.Store(c.child.Config())
	return c, nil
}

// Run watches the configuration, renews the lease and reports upstreams until
// ctx is done.
func (c *Client) Run(ctx context.Context) error {
	if !c.awaitIncarnation(ctx) {
		return nil
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return c.watchLoop(ctx) })
	group.Go(func() error { return c.renewLoop(ctx) })
	if c.opts.Upstreams != nil {
		group.Go(func() error { return c.reportLoop(ctx) })
	}
	return group.Wait()
}

// Incarnation returns the incarnation of this entry, zero until the control
// hosts have assigned it. No lease is granted before.
func (c *Client) Incarnation() ident.Incarnation {
	return ident.Incarnation(c.incarnation.Load())
}

// Snapshot returns the current configuration. Its revision is zero until the
// first one is received.
func (c *Client) Snapshot() *config.Snapshot { return c.current.Load() }

// Serving reports whether new requests may be served now. It must be checked
// again immediately before each dispatch.
func (c *Client) Serving() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.child.Serving(c.opts.Clock())
}

// LeaseExpiry returns the time at which the serving lease ends unless renewed.
func (c *Client) LeaseExpiry() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.child.Expiry()
}

// AvailableEntries returns the entries that callers may be directed to, those of
// the given data centre first.
func (c *Client) AvailableEntries(near ident.DataCentre) []member.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.child.Members().Alive(member.RoleEntry, near)
}

// RunningEntries returns the entries that are up. It includes draining entries,
// which still serve their connected callers.
func (c *Client) RunningEntries() []member.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.child.Members().Present(member.RoleEntry, c.opts.Self.DataCentre)
}

// Lookup returns the membership record of the process on a host.
func (c *Client) Lookup(host ident.Host) (member.Member, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.child.Members().Lookup(host)
}

// Drain announces to the other entries that no more callers may be directed to
// this one. The lease remains valid.
func (c *Client) Drain() {
	c.mu.Lock()
	c.child.Drain()
	c.mu.Unlock()
	c.requestRenewal()
}

// Release stops serving immediately and gives up the lease at the leader, so
// that changes no longer wait for this entry. It must be called while Run is
// running, after the last new request was admitted.
func (c *Client) Release(ctx context.Context) error {
	c.mu.Lock()
	c.child.Leave()
	c.mu.Unlock()
	target, _ := c.leader.current()
	var answer protocol.ReleaseAnswer
	return c.call(ctx, target, protocol.MethodRelease, protocol.ReleaseRequest{Incarnation: c.Incarnation()}, &answer)
}

// Status is the state of a client for dumps.
type Status struct {
	Revision config.Revision `json:"revision"`
	Serving  bool            `json:"serving"`
	Expiry   time.Time       `json:"lease_expiry"`
	// Refused is the reason why the last renewal was refused, empty if it was
	// granted.
	Refused lease.RefusalReason `json:"refused,omitempty"`
	Leader  string              `json:"leader"`
	// Incarnation is the assigned incarnation, zero before.
	Incarnation ident.Incarnation `json:"incarnation"`
	Counts      Counts            `json:"counts"`
}

// Status returns the client's state.
func (c *Client) Status() Status {
	target, _ := c.leader.current()
	c.mu.Lock()
	defer c.mu.Unlock()
	return Status{
		Revision: c.Snapshot().Revision(),
		Serving:  c.child.Serving(c.opts.Clock()),
		Expiry:   c.child.Expiry(),
		Refused:  c.refused,
		Leader:   target,
		Counts:   c.counts,

		Incarnation: c.Incarnation(),
	}
}

func (c *Client) count(change func(*Counts)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(&c.counts)
}

// call sends one message to a control host. After an error the caller selects
// the next host with leaderFinder.markFailed.
func (c *Client) call(ctx context.Context, target string, method port.Method, request, answer any) error {
	body := wire.MustMarshal(request)
	data, err := c.opts.Peers.Call(ctx, target, method, body)
	c.count(func(n *Counts) {
		n.BytesSent += uint64(len(body))
		n.BytesReceived += uint64(len(data))
		if err != nil {
			n.FailedCalls++
		}
	})
	if err != nil {
		return eris.Wrapf(err, "%s at %s", method, target)
	}
	return eris.Wrapf(wire.Unmarshal(data, answer), "%s at %s: decode answer", method, target)
}

// callWithTimeout is call limited by Options.CallTimeout.
func (c *Client) callWithTimeout(ctx context.Context, target string, method port.Method, request, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, c.opts.CallTimeout)
	defer cancel()
	return c.call(ctx, target, method, request, answer)
}

func (c *Client) followRedirect(target string, redirect *protocol.Redirect) {
	c.count(func(n *Counts) { n.Redirects++ })
	c.leader.handleRedirect(target, redirect)
}
