package control

import (
	"cmp"
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/control/protocol"
	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/lease"
	"github.com/lovagereach/lovagereach/member"
	"github.com/lovagereach/lovagereach/relay"
)

// Default values of Options.
const (
	DefaultPollEvery      = 20 * time.Millisecond
	DefaultProposeTimeout = 5 * time.Second
	DefaultBarrierTimeout = time.Second
)

// Options configure a Server. Zero durations mean the defaults.
type Options struct {
	// Replica is group port.GroupConfig with Machine as its state machine.
	Replica port.Replica
	Machine *Machine
	// Addresses are the peer addresses of the control hosts, for redirects.
	Addresses map[ident.Host]string
	Lease     lease.Options
	// LedgerGroups is the number of ledger groups on the control hosts. A
	// configuration with more shards is refused. Zero means no limit.
	LedgerGroups int
	// OnEntryReplaced is called with an entry's previous incarnation when a newer
	// one requests a lease. It may be nil and must not block.
	OnEntryReplaced func(host ident.Host, previous ident.Incarnation)
	// MaxCommandBytes limits the encoded size of one command. Zero means no
	// limit.
	MaxCommandBytes int
	Log             *log.Logger
	// PollEvery is the interval at which the replica's leadership is polled.
	PollEvery      time.Duration
	ProposeTimeout time.Duration
	BarrierTimeout time.Duration
}

func (o Options) withDefaults() Options {
	o.PollEvery = cmp.Or(o.PollEvery, DefaultPollEvery)
	o.ProposeTimeout = cmp.Or(o.ProposeTimeout, DefaultProposeTimeout)
	o.BarrierTimeout = cmp.Or(o.BarrierTimeout, DefaultBarrierTimeout)
	return o
}

// Server answers entries and operators on a control host. Its methods are safe
// for concurrent use.
type Server struct {
	opts       Options
	leadership atomic.Pointer[leadership]
	updates    updateCache
	reports    *reportTable
	stats      *stats
}

// leadership is the state of this host while it leads in one term.
type leadership struct {
	term      uint64
	epoch     lease.Epoch
	startedAt time.Time
	// leadCtx is done when the leadership has ended.
	leadCtx context.Context
	cancel  context.CancelFunc

	mu        sync.Mutex
	parent    *relay.Parent
	directory *member.Directory
	self      ident.Host
	// incarnations contains the highest known incarnation of each entry.
	incarnations map[ident.Host]ident.Incarnation
	// progress is signaled when a revision may have come into force.
	progress *broadcast
}

// NewServer returns a server. Register installs its handlers and Run starts it.
func NewServer(opts Options) *Server {
	s := &Server{opts: opts.withDefaults(), reports: newReportTable()}
	s.stats = newStats(s)
	return s
}

// Register installs the handlers of the messages of entries.
func (s *Server) Register(registry port.PeerRegistry) {
	registry.Handle(protocol.MethodWatch, handler(s.watch))
	registry.Handle(protocol.MethodPart, handler(s.part))
	registry.Handle(protocol.MethodRenew, handler(s.renew))
	registry.Handle(protocol.MethodRelease, handler(s.release))
	registry.Handle(protocol.MethodReport, handler(s.report))
	registry.Handle(protocol.MethodAssign, handler(s.assign))
}

// Run tracks whether this host leads. It returns when ctx is done.
func (s *Server) Run(ctx context.Context) error {
	ticker := time.NewTicker(s.opts.PollEvery)
	defer ticker.Stop()
	defer s.endLeadership()
	for {
		s.followLeadership(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (s *Server) followLeadership(ctx context.Context) {
	status := s.opts.Replica.Status()
	current := s.leadership.Load()
	if current != nil && status.IsLeader && status.Term == current.term {
		current.tick(time.Now())
		return
	}
	s.endLeadership()
	if !status.IsLeader {
		return
	}
	if err := s.beginLeadership(ctx, status); err != nil {
		s.opts.Log.Warn("epoch not opened", "term", status.Term, "err", err)
	}
}

func (s *Server) endLeadership() {
	if old := s.leadership.Swap(nil); old != nil {
		old.cancel()
		s.opts.Log.Info("leadership ended", "term", old.term, "epoch", old.epoch.Token)
	}
}

// beginLeadership commits an epoch. When its command is applied, this host has
// applied every revision that an earlier leader can have committed.
func (s *Server) beginLeadership(ctx context.Context, status port.ReplicaStatus) error {
	answer, err := s.propose(ctx, command{Epoch: &openEpoch{Leader: status.Self, At: time.Now().UnixMicro()}})
	if err != nil {
		return err
	}
	if answer.Epoch == nil {
		return &refusedCommandError{reason: answer.Refused}
	}
	next, err := s.newLeadership(time.Now(), status.Term, *answer.Epoch)
	if err != nil {
		return err
	}
	next.leadCtx, next.cancel = context.WithCancel(ctx)
	s.leadership.Store(next)
	s.stats.epochs.Inc()
	s.opts.Log.Info("leadership began", "term", next.term, "epoch", next.epoch.Token)
	return nil
}

// newLeadership returns the initial state of a leader. The wait for the leases
// of earlier leaders is skipped in a group's first epoch, since no earlier
// leader can have granted a lease.
func (s *Server) newLeadership(now time.Time, term uint64, epoch lease.Epoch) (*leadership, error) {
	directory, err := member.NewDirectory(member.DirectoryOptions{
		MaxMembers: member.DefaultMaxMembers,
		History:    member.DefaultHistory,
		Retention:  member.DefaultRetention,
	}, uint64(epoch.Token))
	if err != nil {
		return nil, err
	}
	options := relay.RootOptions()
	options.Lease = s.opts.Lease
	options.Lease.NoEarlierLeases = epoch.Token == 1
	parent, err := relay.NewParent(options, now, configSource{s}, directory)
	if err != nil {
		return nil, err
	}
	l := &leadership{
		term:         term,
		epoch:        epoch,
		startedAt:    now,
		progress:     newBroadcast(),
		incarnations: make(map[ident.Host]ident.Incarnation),
		self:         s.opts.Replica.Status().Self,
		parent:       parent,
		directory:    directory,
	}
	return l, nil
}

// errNotLeading is returned when this host can't confirm that it leads.
var errNotLeading = errors.New("this host does not lead the control group")

// withLeadership records the latest revision and calls f, both with the lock of
// the current leadership held.
//
// The term is compared after the latest revision is read. If this host lost and
// regained the leadership in between, the granter of the earlier term would not
// know the leases of the leader in between, and might report a revision in force
// that a holder of such a lease has not received.
func (s *Server) withLeadership(f func(*leadership, time.Time)) error {
	current := s.leadership.Load()
	if current == nil {
		return errNotLeading
	}
	revision := s.opts.Machine.Current().Revision()
	status := s.opts.Replica.Status()
	if !status.IsLeader || status.Term != current.term {
		return errNotLeading
	}
	current.mu.Lock()
	defer current.mu.Unlock()
	now := time.Now()
	current.parent.Committed(now, revision)
	f(current, now)
	return nil
}

// barrier confirms that this host led at some time after the call.
func (s *Server) barrier(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, s.opts.BarrierTimeout)
	defer cancel()
	return s.opts.Replica.ReadBarrier(ctx)
}

// redirect returns a redirect to the leader.
func (s *Server) redirect() *protocol.Redirect {
	s.stats.redirects.Inc()
	status := s.opts.Replica.Status()
	if status.IsLeader {
		// This host leads but has not opened its epoch yet.
		return &protocol.Redirect{}
	}
	return &protocol.Redirect{Host: status.Leader, Address: s.opts.Addresses[status.Leader]}
}
