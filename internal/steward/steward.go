package steward

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/adapter/disk"
	"github.com/lovagereach/lovagereach/internal/adapter/peer"
	"github.com/lovagereach/lovagereach/internal/boottime"
	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/internal/replica"
	"github.com/lovagereach/lovagereach/internal/wait"
	"github.com/lovagereach/lovagereach/quorum"
)

const (
	// group is the only replicated group.
	group = port.GroupConfig
	// leaderPoll is how often this host looks whether it leads. It bounds how
	// long after an election nobody answers watches.
	leaderPoll = 25 * time.Millisecond
	// diskPoll is how often the data folder is looked at.
	diskPoll = 100 * time.Millisecond
	// stopTimeout bounds the handing over of leadership at a graceful stop.
	stopTimeout = 2 * time.Second
	// heartbeat and the election times are longer than quorum's defaults: a
	// control host has a quarter of a core, and each heartbeat costs both ends
	// a wake-up. An election ends within 1 s, half of the time in which a
	// configuration must be in force.
	heartbeat   = 80 * time.Millisecond
	electionMin = 350 * time.Millisecond
	electionMax = 600 * time.Millisecond
	// segmentBytes bounds one file of the log. Two of them and two snapshots
	// stand on the disk at most, of which a control host has 128 MB.
	segmentBytes = 16 << 20
	// reserveBytes is written ahead of the log at a time.
	reserveBytes = 256 << 10
)

// ErrDisk reports that the data folder is out of use. What the disk holds of
// the last writes is unknown; New reads it again, as after a crash.
var ErrDisk = errors.New("steward: the data folder is out of use")

// Steward is one control host.
type Steward struct {
	options   Options
	machine   *Machine
	transport *peer.Transport
	folder    *disk.Folder
	manager   *replica.Manager
	// opened is set once the group's log is open here.
	opened atomic.Pointer[port.Replica]
	// leading is set while this host leads and has caught up.
	leading  atomic.Pointer[leadership]
	follower *Follower
	joining  *joinQueue
	seeds    atomic.Pointer[[]ident.Host]
	// book holds the shelves, and branch the rest of what a host that doesn't
	// lead was told by the leader.
	book   *sharedBook
	branch *branch
	pace   pace
	// directory keeps what callers were told.
	directory directory
	// enrolling gathers what the leader commits of announcements, and forwarding those
	// that this host passes on to the leader.
	enrolling, forwarding *gatherer
	// later are announcements that are acknowledged and not yet taken in, and started is
	// when this host began.
	later   laterWords
	started time.Time
	meter   *meter
	// announced writes about upstreams that come or change.
	announced sparseLog
	// unforwarded writes about announcements that did not reach the leader.
	unforwarded sparseLog
}

// New puts a control host together; Run serves.
func New(options Options) (*Steward, error) {
	if err := options.Validate(); err != nil {
		return nil, err
	}
	if options.Clock == nil {
		if !boottime.CountsSuspension() {
			return nil, eris.New("steward: this system has no clock that goes on while it is suspended")
		}
		options.Clock = boottime.Now
	}
	machine, book := NewMachine(), newSharedBook()
	s := &Steward{
		options: options, machine: machine, joining: newJoinQueue(),
		book: book, branch: newBranch(machine, book, options.Log),
	}
	s.branch.clock = options.Clock
	s.started = time.Now()
	s.announced.log, s.unforwarded.log = options.Log, options.Log
	s.later.announcing = announcing(options.AnnounceEvery)
	s.branch.hearing.announcing = announcing(options.AnnounceEvery)
	s.enrolling, s.forwarding = newGatherer(s.commitWords), newGatherer(s.forwardWords)
	s.seeds.Store(&options.Seeds)
	s.meter = newMeter(s)
	if err := s.build(); err != nil {
		return nil, errors.Join(err, s.closeFolder(), options.Listener.Close())
	}
	return s, nil
}

func (s *Steward) build() error {
	o := &s.options
	if o.Incarnation == 0 {
		o.Incarnation = peer.NewIncarnation()
	}
	var err error
	peers := peerOptions(o.Cluster, o.Key, o.Log, port.Peer{
		Host: o.Self, DataCentre: o.DataCentre, Incarnation: o.Incarnation, Role: replica.RoleControl,
	})
	peers.Dial = o.dial
	s.transport, err = peer.New(peers)
	if err != nil {
		return eris.Wrap(err, "steward: peers")
	}
	open := o.Files
	if open == nil {
		open = disk.NewFS
	}
	files, err := open(o.Data)
	if err != nil {
		return errors.Join(ErrDisk, err)
	}
	s.folder, err = disk.Open(disk.Options{
		FS: files, Cluster: o.Cluster, Host: o.Self, SegmentBytes: segmentBytes, ReserveBytes: reserveBytes,
	})
	if err != nil {
		return dataFolderError(o.Data, err)
	}
	s.manager, err = replica.New(replica.Options{
		Self:     o.Self,
		Storage:  s.folder,
		Peers:    s.transport,
		Registry: s.transport,
		Address:  s.peerAddress,
		Workers:  1,
		// A snapshot is taken well before a segment is full.
		SnapshotBytes: segmentBytes / 4,
		Quorum: quorum.Options{
			Heartbeat: heartbeat, ElectionMin: electionMin, ElectionMax: electionMax,
		},
		Clock: o.Clock,
		Log:   o.Log,
	})
	if err != nil {
		return err
	}
	s.follower = NewFollower(FollowerOptions{
		Transport: s.transport, Seeds: o.Seeds, PeerPort: o.PeerPort, Log: o.Log, Self: o.Self, LeaderOnly: true,
		Clock: o.Clock,
	})
	s.transport.Handle(methodWatch, port.PeerHandlerFunc(s.handleWatch))
	s.transport.Handle(methodSubmit, port.PeerHandlerFunc(s.handleSubmit))
	s.transport.Handle(methodReport, port.PeerHandlerFunc(s.handleReport))
	s.transport.Handle(methodJoin, port.PeerHandlerFunc(s.handleJoin))
	return nil
}

// dataFolderError tells a folder that may be readable later, as after a full
// disk, from one that never will be.
func dataFolderError(folder string, err error) error {
	wrapped := eris.Wrapf(err, "steward: data folder %s", folder)
	var damaged *disk.DamageError
	if errors.Is(err, disk.ErrForeign) || errors.Is(err, disk.ErrLocked) || errors.As(err, &damaged) {
		return wrapped
	}
	return errors.Join(ErrDisk, wrapped)
}

// peerOptions are the options that all processes of a deployment share.
func peerOptions(cluster string, key []byte, logger *log.Logger, self port.Peer) peer.Options {
	// Connections come and go by the thousand; refused ones are what operators must know.
	warnings := logger.With()
	warnings.SetLevel(log.WarnLevel)
	return peer.Options{
		Cluster: cluster, Key: key, Self: self, Log: warnings,
		// A host behind a cut answers nothing; these bounds let a call turn to
		// another host well within the time for a configuration to be in force.
		DialTimeout:  700 * time.Millisecond,
		HelloTimeout: 700 * time.Millisecond,
		WriteTimeout: 2 * time.Second,
		PingInterval: time.Second,
		PingTimeout:  time.Second,
		BackoffMin:   20 * time.Millisecond,
		BackoffMax:   200 * time.Millisecond,
	}
}

// SetSeeds replaces the control hosts that are asked while no other is known.
func (s *Steward) SetSeeds(seeds []ident.Host) {
	s.seeds.Store(&seeds)
	s.follower.SetSeeds(seeds)
}

func (s *Steward) peerAddress(host ident.Host) string {
	return net.JoinHostPort(string(host), strconv.Itoa(s.options.PeerPort))
}

// leaseNow is the time by which leases count. It is read at the moment of a check, and
// compared with other readings of it only.
func (s *Steward) leaseNow() time.Time { return readClock(s.options.Clock) }

func readClock(clock func() time.Time) time.Time {
	if clock == nil {
		return time.Now()
	}
	return clock()
}

// replica returns the group on this host, nil before it is open.
func (s *Steward) replica() port.Replica {
	if r := s.opened.Load(); r != nil {
		return *r
	}
	return nil
}

// Run serves until ctx ends, or until drain is closed and the leadership is
// handed over.
func (s *Steward) Run(ctx context.Context, drain <-chan struct{}) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	tasks, ctx := errgroup.WithContext(ctx)
	tasks.Go(func() error { return s.transport.Serve(s.options.Listener) })
	tasks.Go(func() error { s.manager.Run(ctx); return nil })
	tasks.Go(func() error { return s.openAndFollow(ctx) })
	tasks.Go(func() error {
		select {
		case <-drain:
			bound, cancel := context.WithTimeout(ctx, stopTimeout)
			s.manager.Stop(bound)
			cancel()
			stop()
		case <-ctx.Done():
		}
		bound, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()
		if err := s.transport.Close(bound); err != nil {
			s.options.Log.Warn("peers cut off", "err", err)
		}
		return nil
	})
	return errors.Join(tasks.Wait(), s.closeFolder())
}

func (s *Steward) closeFolder() error {
	if s.folder == nil {
		return nil
	}
	return s.folder.Close()
}

func (s *Steward) openAndFollow(ctx context.Context) error {
	if err := s.open(ctx); err != nil {
		if ctx.Err() != nil {
			return nil
		}
		return err
	}
	tasks, ctx := errgroup.WithContext(ctx)
	tasks.Go(func() error { s.followLeadership(ctx); return nil })
	tasks.Go(func() error { s.followLeader(ctx); return nil })
	tasks.Go(func() error { s.askToJoin(ctx); return nil })
	tasks.Go(func() error { s.takeInLater(ctx); return nil })
	tasks.Go(func() error { newReachWatch(s).run(ctx); return nil })
	tasks.Go(func() error { return s.watchDisk(ctx) })
	return tasks.Wait()
}

// watchDisk returns an error once the data folder is out of use.
func (s *Steward) watchDisk(ctx context.Context) error {
	for wait.For(ctx, diskPoll) {
		if err := s.folder.Err(); err != nil {
			return errors.Join(ErrDisk, err)
		}
	}
	return nil
}

// jitter returns a duration between half of d and d.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d/2+1)
}
