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

// Defaults of Options.
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
	// LedgerGroups is how many ledger groups the control hosts keep; a
	// configuration that asks for more is refused. Zero means no bound.
	LedgerGroups int
	// OnEntryReplaced is told an entry's former incarnation once a later one has
	// asked for a lease; it may be nil and must not block.
	OnEntryReplaced func(host ident.Host, former ident.Incarnation)
	// MaxCommandBytes bounds one change. Zero means no bound.
	MaxCommandBytes int
	Log             *log.Logger
	// PollEvery is how often the replica is asked whether this host leads.
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

// Server is one control host's part. Its methods are safe for concurrent use.
type Server struct {
	opts       Options
	leadership atomic.Pointer[leadership]
	updates    updateCache
	reports    *reportTable
	stats      *stats
}

// leadership is the time in which this host leads under one term.
type leadership struct {
	term  uint64
	epoch lease.Epoch
	began time.Time
	// done is closed when the leadership has ended.
	done context.Context
	end  context.CancelFunc

	mu        sync.Mutex
	parent    *relay.Parent
	directory *member.Directory
	self      ident.Host
	// incarnations are the latest known incarnations of the entries.
	incarnations map[ident.Host]ident.Incarnation
	// progress is signalled when a revision may have come into force.
	progress *broadcast
}

// NewServer returns a server; Register and Run start it.
func NewServer(opts Options) *Server {
	s := &Server{opts: opts.withDefaults(), reports: newReportTable()}
	s.stats = newStats(s)
	return s
}

// Register installs the handlers for entries.
func (s *Server) Register(registry port.PeerRegistry) {
	registry.Handle(protocol.MethodWatch, handler(s.watch))
	registry.Handle(protocol.MethodPart, handler(s.part))
	registry.Handle(protocol.MethodRenew, handler(s.renew))
	registry.Handle(protocol.MethodRelease, handler(s.release))
	registry.Handle(protocol.MethodReport, handler(s.report))
	registry.Handle(protocol.MethodAssign, handler(s.assign))
}

// Run follows the leadership of this host until ctx ends.
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
		old.end()
		s.opts.Log.Info("leadership ended", "term", old.term, "epoch", old.epoch.Token)
	}
}

// beginLeadership commits an epoch. Once its command is applied here, this host
// knows every revision that an earlier leader can have committed.
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
	next.done, next.end = context.WithCancel(ctx)
	s.leadership.Store(next)
	s.stats.terms.Inc()
	s.opts.Log.Info("leadership began", "term", next.term, "epoch", next.epoch.Token)
	return nil
}

// newLeadership prepares the tables of a leader. The quiet time is skipped in a
// group's first epoch: no earlier leader can have granted anything.
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
		began:        now,
		progress:     newBroadcast(),
		incarnations: make(map[ident.Host]ident.Incarnation),
		self:         s.opts.Replica.Status().Self,
		parent:       parent,
		directory:    directory,
	}
	return l, nil
}

// errNotLeading tells that this host can't prove that it leads.
var errNotLeading = errors.New("this host does not lead the control group")

// leading runs f under the lock of the current leadership with the latest
// revision noted.
//
// The term is compared after the latest revision was read: had this host lost
// and regained the leadership in between, the granter of the earlier term would
// not know the leases of the leader between, and might report in force what one
// of their holders has never seen.
func (s *Server) leading(f func(*leadership, time.Time)) error {
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

// barrier proves that this host led at some moment after the call.
func (s *Server) barrier(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, s.opts.BarrierTimeout)
	defer cancel()
	return s.opts.Replica.ReadBarrier(ctx)
}

// redirect tells an entry where the leader is.
func (s *Server) redirect() *protocol.Redirect {
	s.stats.redirects.Inc()
	status := s.opts.Replica.Status()
	if status.IsLeader {
		// This host leads and has not opened its epoch yet.
		return &protocol.Redirect{}
	}
	return &protocol.Redirect{Host: status.Leader, Address: s.opts.Addresses[status.Leader]}
}
