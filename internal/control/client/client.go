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

// Client keeps an entry's configuration and serving lease. Its methods are
// safe for concurrent use; Run is called once.
type Client struct {
	opts    Options
	leader  *leaderFinder
	current atomic.Pointer[config.Snapshot]
	// acked is the revision that Options.Changed has taken.
	acked atomic.Uint64
	// incarnation is what the control hosts assigned, zero before.
	incarnation atomic.Uint64
	// renewNow asks for a renewal ahead of time.
	renewNow chan struct{}

	mu    sync.Mutex
	child *relay.Child
	// refused is why the last renewal was refused, empty if it was granted.
	refused lease.RefusalReason
	counts  Counts
}

// Counts are what a client has seen since it started.
type Counts struct {
	// Updates are the revisions taken, Fulls those that came as a whole, and
	// Gaps the deltas that did not fit what was held.
	Updates  uint64 `json:"updates"`
	Fulls    uint64 `json:"fulls"`
	Gaps     uint64 `json:"gaps"`
	Renewals uint64 `json:"renewals"`
	// Refusals are the renewals answered without a lease.
	Refusals    uint64 `json:"refusals"`
	FailedCalls uint64 `json:"failed_calls"`
	Redirects   uint64 `json:"redirects"`
	// StaleAnswers are the answers to renewals that were no longer awaited.
	StaleAnswers uint64 `json:"stale_answers"`
	// BytesSent and BytesReceived count message bodies.
	BytesSent     uint64 `json:"bytes_sent"`
	BytesReceived uint64 `json:"bytes_received"`
}

// New returns a client that holds no configuration and no lease.
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

// Run works until ctx ends.
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

// Incarnation returns the number of this life of the entry, zero until the
// control hosts have assigned it. No lease is granted before.
func (c *Client) Incarnation() ident.Incarnation {
	return ident.Incarnation(c.incarnation.Load())
}

// Snapshot returns the configuration held; revision zero before the first.
func (c *Client) Snapshot() *config.Snapshot { return c.current.Load() }

// Serving reports whether new requests may be served now. It is asked again
// right before each dispatch.
func (c *Client) Serving() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.child.Serving(c.opts.Clock())
}

// LeaseExpiry returns when the serving lease ends unless it is renewed.
func (c *Client) LeaseExpiry() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.child.Expiry()
}

// AvailableEntries returns the entries that callers may be sent to, those of the given
// data centre first.
func (c *Client) AvailableEntries(near ident.DataCentre) []member.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.child.Members().Alive(member.RoleEntry, near)
}

// RunningEntries lists the entries that are up, also those that are draining: they
// still serve who is there.
func (c *Client) RunningEntries() []member.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.child.Members().Present(member.RoleEntry, c.opts.Self.DataCentre)
}

// Lookup returns what is known of a process of the deployment.
func (c *Client) Lookup(host ident.Host) (member.Member, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.child.Members().Lookup(host)
}

// Drain tells the other entries that callers are not to be sent here any more.
// The lease goes on.
func (c *Client) Drain() {
	c.mu.Lock()
	c.child.Drain()
	c.mu.Unlock()
	c.askRenewal()
}

// Release stops serving at once and tells the leader, so that changes no
// longer wait for this entry. It is called while Run still runs, after the
// last new request was let in.
func (c *Client) Release(ctx context.Context) error {
	c.mu.Lock()
	c.child.Leave()
	c.mu.Unlock()
	target, _ := c.leader.current()
	var answer protocol.ReleaseAnswer
	return c.call(ctx, target, protocol.MethodRelease, protocol.ReleaseRequest{Incarnation: c.Incarnation()}, &answer)
}

// Status describes the client for dumps.
type Status struct {
	Revision config.Revision `json:"revision"`
	Serving  bool            `json:"serving"`
	Expiry   time.Time       `json:"lease_expiry"`
	// Refused is why the last renewal brought no lease, empty if it did.
	Refused lease.RefusalReason `json:"refused,omitempty"`
	Leader  string              `json:"leader"`
	// Incarnation is the one assigned, zero before.
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

// call sends one message to a control host. An error moves the client on to
// the next host.
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

// quickCall is call with CallTimeout.
func (c *Client) quickCall(ctx context.Context, target string, method port.Method, request, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, c.opts.CallTimeout)
	defer cancel()
	return c.call(ctx, target, method, request, answer)
}

func (c *Client) follow(target string, redirect *protocol.Redirect) {
	c.count(func(n *Counts) { n.Redirects++ })
	c.leader.redirected(target, redirect)
}
