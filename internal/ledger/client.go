package ledger

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/internal/wait"
	"github.com/lovagereach/lovagereach/internal/wire"
	"github.com/lovagereach/lovagereach/once"
	"github.com/lovagereach/lovagereach/outcome"
)

// Options of a Client.
type Options struct {
	// Self returns this incarnation of the entry host. It is zero until it has
	// been assigned and never changes after; nothing is claimed or traced before.
	Self func() once.Owner
	// Control gives the addresses of the control hosts.
	Control map[ident.Host]string
	// Shards returns the history of the number of ledger shards in force.
	Shards func() once.Shards
	// Now is the clock; it only sets how long waits may take.
	Now func() time.Time
	// Timeout bounds one message to a control host; zero means one second.
	Timeout time.Duration
	// RecordWait bounds how long a caller's answer is held back until its
	// outcome is recorded; zero means two seconds.
	RecordWait time.Duration
	// MaxPending bounds the outcomes that wait for the ledger in the
	// background; zero means 1024.
	MaxPending int
}

// Defaults of Options.
const (
	defaultTimeout    = time.Second
	defaultSettleWait = 2 * time.Second
	defaultMaxPending = 1024
)

// Bounds of the pause between two tries at the ledger.
const (
	minPause = 10 * time.Millisecond
	maxPause = 250 * time.Millisecond
)

func (o Options) withDefaults() Options {
	if o.Timeout <= 0 {
		o.Timeout = defaultTimeout
	}
	if o.RecordWait <= 0 {
		o.RecordWait = defaultSettleWait
	}
	if o.MaxPending <= 0 {
		o.MaxPending = defaultMaxPending
	}
	return o
}

// Client reaches the ledger groups from an entry host. It is safe for
// concurrent use.
type Client struct {
	options Options
	peers   port.PeerClient
	hosts   []ident.Host

	mu      sync.Mutex
	leaders map[port.GroupID]ident.Host

	pending chan settlement
	// unsettled counts the calls under way and the settlements queued.
	unsettled atomic.Int64
	running   sync.WaitGroup
}

// NewClient returns a client. Run must be running for outcomes to be recorded
// that the ledger doesn't take at once.
func NewClient(peers port.PeerClient, options Options) (*Client, error) {
	switch {
	case len(options.Control) == 0:
		return nil, eris.New("ledger client: no control hosts")
	case options.Shards == nil || options.Now == nil:
		return nil, eris.New("ledger client: shards and clock are required")
	case options.Self == nil || options.Self().Host == "":
		return nil, eris.New("ledger client: the entry host's own identity is required")
	}
	c := &Client{
		options: options.withDefaults(),
		peers:   peers,
		leaders: make(map[port.GroupID]ident.Host),
	}
	for host := range options.Control {
		c.hosts = append(c.hosts, host)
	}
	slices.Sort(c.hosts)
	c.pending = make(chan settlement, c.options.MaxPending)
	return c, nil
}

// awaitSelf returns the owner that claims and reports name. It reports false
// when ctx ends before the incarnation is assigned.
func (c *Client) awaitSelf(ctx context.Context) (once.Owner, bool) {
	for {
		if self := c.options.Self(); self.Incarnation != 0 {
			return self, true
		}
		if !wait.For(ctx, minPause) {
			return once.Owner{}, false
		}
	}
}

// errNoAnswer reports that no control host gave a definite answer in time.
var errNoAnswer = errors.New("the ledger gave no answer in time")

// call sends a message to the group's leader until one definite answer comes
// or ctx ends. Every message is safe to repeat. doubtful reports that a copy
// left of which nobody knows what becomes of it: it may take effect yet.
func (c *Client) call(ctx context.Context, method port.Method, req Request) (reply Reply, doubtful bool, err error) {
	pause := minPause
	for try := 0; ; try++ {
		host := c.target(req.Group, try)
		reply, left, err := c.callHost(ctx, host, method, req)
		doubtful = doubtful || left && (err != nil || reply.Code == ReplyUncertain)
		if err == nil {
			switch reply.Code {
			case ReplyOK:
				c.setLeader(req.Group, host)
				return reply, doubtful, nil
			case ReplyBad:
				return reply, doubtful, eris.Errorf("control host %q can't take %s for group %d (code %d)", host, method, req.Group, reply.Code)
			}
		}
		hinted := err == nil && reply.Leader != "" && reply.Leader != host
		c.setLeader(req.Group, reply.Leader)
		if hinted && try < len(c.hosts) {
			continue
		}
		if !wait.For(ctx, jitter(pause)) {
			return Reply{}, doubtful, errNoAnswer
		}
		pause = min(2*pause, maxPause)
	}
}

func (c *Client) callHost(ctx context.Context, host ident.Host, method port.Method, req Request) (reply Reply, sent bool, err error) {
	wait := c.options.Timeout + time.Duration(req.WaitMillis)*time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	data, err := c.peers.Call(ctx, c.options.Control[host], method, wire.MustMarshal(req))
	if err != nil {
		return Reply{}, !errors.Is(err, port.ErrPeerNotSent), err
	}
	if err := wire.Unmarshal(data, &reply); err != nil {
		return Reply{}, true, err
	}
	return reply, true, nil
}

// target is the known leader first, then one control host after another.
func (c *Client) target(group port.GroupID, try int) ident.Host {
	c.mu.Lock()
	defer c.mu.Unlock()
	if leader, known := c.leaders[group]; known {
		return leader
	}
	return c.hosts[(int(group)+try)%len(c.hosts)]
}

func (c *Client) setLeader(group port.GroupID, host ident.Host) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, known := c.options.Control[host]; !known {
		delete(c.leaders, group)
		return
	}
	c.leaders[group] = host
}

func jitter(pause time.Duration) time.Duration {
	return pause/2 + rand.N(pause/2+1)
}

// claimed is how far a claim came: the group asked last, its answer, and
// whether a copy of the claim may take effect there yet.
type claimed struct {
	group    port.GroupID
	result   once.Result
	doubtful bool
}

// claim asks until the key is won or settled, at the older shard first.
func (c *Client) claim(ctx context.Context, claim once.Claim) (claimed, error) {
	var last claimed
	for _, shard := range c.options.Shards().ForKey(claim.Key.ID()) {
		var err error
		last, err = c.claimAt(ctx, GroupOf(shard), claim)
		if err != nil || last.result.Status != once.StatusMoved {
			return last, err
		}
	}
	return last, errMoved
}

// errMoved reports that this host does not know of the newest shards yet.
var errMoved = errors.New("the key has moved to a shard that this host does not know yet")

// claimAt asks one group. A duplicate waits as long as ctx allows.
func (c *Client) claimAt(ctx context.Context, group port.GroupID, claim once.Claim) (claimed, error) {
	req := Request{Group: group, Claim: &claim}
	last := claimed{group: group}
	for pause := minPause; ; pause = min(2*pause, maxPause) {
		reply, doubtful, err := c.call(ctx, MethodClaim, req)
		last.doubtful = last.doubtful || doubtful
		if err != nil {
			return last, err
		}
		if reply.Result == nil {
			return last, eris.New("the ledger answered a claim without a result")
		}
		last.result = *reply.Result
		if last.result.Status != once.StatusInFlight || !wait.For(ctx, jitter(pause)) {
			return last, nil
		}
		// Only now is it known to be a duplicate. A first claim that waited so
		// long for a silent host would miss its deadline.
		req.WaitMillis = c.duplicateWait(ctx)
	}
}

// duplicateWait is how long the server may hold a duplicate's claim.
func (c *Client) duplicateWait(ctx context.Context) int64 {
	deadline, ok := ctx.Deadline()
	if !ok {
		return maxWait.Milliseconds()
	}
	left := deadline.Sub(c.options.Now()) - c.options.Timeout
	return max(0, min(left, maxWait).Milliseconds())
}

// unavailable is the outcome of a call for which the ledger gave no answer.
// The call was not sent and will not be; but this request may be a resend, and
// without the ledger nobody can tell whether the key has run before.
func unavailable(err error) error {
	return &outcome.Unknown{
		Reason: outcome.ReasonLedgerDown,
		Detail: "this request was not sent; whether an earlier one under this key ran can't be told now: " + err.Error(),
	}
}
