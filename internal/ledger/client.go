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
	// Self returns the host and incarnation of this entry host. The incarnation
	// is zero until it is assigned and doesn't change afterwards. No calls are
	// claimed or traced while it is zero.
	Self func() once.Owner
	// Control gives the addresses of the control hosts.
	Control map[ident.Host]string
	// Shards returns the history of the number of ledger shards in force.
	Shards func() once.Shards
	// Now is the clock. It is used to compute the duration of waits and the
	// times in trace records.
	Now func() time.Time
	// Timeout limits one message to a control host. Zero means one second.
	Timeout time.Duration
	// RecordWait limits how long the answer to a caller is delayed until its
	// outcome is recorded. Zero means two seconds.
	RecordWait time.Duration
	// MaxPending limits the outcomes queued for recording in the background.
	// Zero means 1024.
	MaxPending int
}

// Default values of Options.
const (
	defaultTimeout    = time.Second
	defaultRecordWait = 2 * time.Second
	defaultMaxPending = 1024
)

// Bounds of the exponential backoff between two attempts to reach the ledger.
const (
	minBackoff = 10 * time.Millisecond
	maxBackoff = 250 * time.Millisecond
)

func (o Options) withDefaults() Options {
	if o.Timeout <= 0 {
		o.Timeout = defaultTimeout
	}
	if o.RecordWait <= 0 {
		o.RecordWait = defaultRecordWait
	}
	if o.MaxPending <= 0 {
		o.MaxPending = defaultMaxPending
	}
	return o
}

// Client is an entry host's client of the ledger groups. It is safe for
// concurrent use.
type Client struct {
	options Options
	peers   port.PeerClient
	hosts   []ident.Host

	mu      sync.Mutex
	leaders map[port.GroupID]ident.Host

	pending chan resolution
	// unresolved is the number of calls in progress and of queued resolutions.
	unresolved atomic.Int64
	running    sync.WaitGroup
}

// NewClient returns a client. Outcomes that the ledger doesn't commit within
// RecordWait are recorded only while Run is running.
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
	c.pending = make(chan resolution, c.options.MaxPending)
	return c, nil
}

// awaitSelf returns the owner of this client's claims and trace reports. It
// returns false if ctx is done before the incarnation is assigned.
func (c *Client) awaitSelf(ctx context.Context) (once.Owner, bool) {
	for {
		if self := c.options.Self(); self.Incarnation != 0 {
			return self, true
		}
		if !wait.For(ctx, minBackoff) {
			return once.Owner{}, false
		}
	}
}

// errNoAnswer is returned when no control host gave a definite answer in time.
var errNoAnswer = errors.New("the ledger gave no answer in time")

// call sends a message to the group's leader and retries until it receives a
// definite answer or ctx is done. All messages are idempotent. doubtful reports
// whether a copy with an unknown result was sent, which may still take effect.
func (c *Client) call(ctx context.Context, method port.Method, req Request) (reply Reply, doubtful bool, err error) {
	backoff := minBackoff
	for attempt := 0; ; attempt++ {
		host := c.target(req.Group, attempt)
		reply, sent, err := c.callHost(ctx, host, method, req)
		doubtful = doubtful || sent && (err != nil || reply.Code == ReplyUncertain)
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
		if hinted && attempt < len(c.hosts) {
			continue
		}
		if !wait.For(ctx, jitter(backoff)) {
			return Reply{}, doubtful, errNoAnswer
		}
		backoff = min(2*backoff, maxBackoff)
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

// target returns the group's leader if it is known, and otherwise a control
// host in round-robin order.
func (c *Client) target(group port.GroupID, attempt int) ident.Host {
	c.mu.Lock()
	defer c.mu.Unlock()
	if leader, known := c.leaders[group]; known {
		return leader
	}
	return c.hosts[(int(group)+attempt)%len(c.hosts)]
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

func jitter(backoff time.Duration) time.Duration {
	return backoff/2 + rand.N(backoff/2+1)
}

// claimAttempt is the result of claiming a key: the last group queried, its
// result, and whether a copy of the claim may still take effect there.
type claimAttempt struct {
	group    port.GroupID
	result   once.Result
	doubtful bool
}

// claim sends the claim until the key is granted or resolved. It tries the
// shards in order, oldest first.
func (c *Client) claim(ctx context.Context, claim once.Claim) (claimAttempt, error) {
	var last claimAttempt
	for _, shard := range c.options.Shards().ForKey(claim.Key.ID()) {
		var err error
		last, err = c.claimAt(ctx, GroupOf(shard), claim)
		if err != nil || last.result.Status != once.StatusMoved {
			return last, err
		}
	}
	return last, errMoved
}

// errMoved is returned when a key has moved to a shard that is not yet in this
// host's configuration.
var errMoved = errors.New("the key has moved to a shard that this host does not know yet")

// claimAt sends a claim to one group. A duplicate waits until the call in
// flight is resolved or ctx is done.
func (c *Client) claimAt(ctx context.Context, group port.GroupID, claim once.Claim) (claimAttempt, error) {
	req := Request{Group: group, Claim: &claim}
	last := claimAttempt{group: group}
	for backoff := minBackoff; ; backoff = min(2*backoff, maxBackoff) {
		reply, doubtful, err := c.call(ctx, MethodClaim, req)
		last.doubtful = last.doubtful || doubtful
		if err != nil {
			return last, err
		}
		if reply.Result == nil {
			return last, eris.New("the ledger answered a claim without a result")
		}
		last.result = *reply.Result
		if last.result.Status != once.StatusInFlight || !wait.For(ctx, jitter(backoff)) {
			return last, nil
		}
		// The claim is a duplicate, so the server may delay its reply. The first
		// attempt doesn't request a wait: with the longer timeout, a first claim
		// sent to an unresponsive host would miss its deadline.
		req.WaitMillis = c.duplicateWait(ctx)
	}
}

// duplicateWait returns how long the server may delay its reply to the claim of
// a duplicate, in milliseconds.
func (c *Client) duplicateWait(ctx context.Context) int64 {
	deadline, ok := ctx.Deadline()
	if !ok {
		return maxWait.Milliseconds()
	}
	remaining := deadline.Sub(c.options.Now()) - c.options.Timeout
	return max(0, min(remaining, maxWait).Milliseconds())
}

// unavailable returns the outcome of a call for which the ledger gave no
// answer. The call was not and will not be sent, but the request may be a
// resend: without the ledger it is unknown whether an earlier request under the
// key ran.
func unavailable(err error) error {
	return &outcome.Unknown{
		Reason: outcome.ReasonLedgerDown,
		Detail: "this request was not sent; whether an earlier one under this key ran can't be told now: " + err.Error(),
	}
}
