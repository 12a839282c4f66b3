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
	"github.com/lovagereach/lovagereach/internal/stall"
	"github.com/lovagereach/lovagereach/internal/wait"
	"github.com/lovagereach/lovagereach/quorum"
	"github.com/lovagereach/lovagereach/resumption"
)

const (
	// group is the only replicated group.
	group = port.GroupConfig
	// leaderPoll is the interval at which this host checks whether it leads. It bounds the time
	// after an election in which no host answers watches.
	leaderPoll = 25 * time.Millisecond
	// diskPoll is the interval at which the state of the data folder is checked.
	diskPoll = 100 * time.Millisecond
	// stopTimeout bounds the handover of leadership at a graceful stop.
	stopTimeout = 2 * time.Second
	// heartbeat and the election times are longer than quorum's defaults: a control host has a
	// quarter of a core, and each heartbeat costs both ends a wake-up. An election ends within
	// 1 s, half of the time in which a configuration must be in force.
	heartbeat   = 80 * time.Millisecond
	electionMin = 350 * time.Millisecond
	electionMax = 600 * time.Millisecond
	// redialAfter is several round trips within a region, and a fraction of electionMin: an election
	// after a loss of power needs the connections to the hosts that get it last.
	redialAfter = 100 * time.Millisecond
	// segmentBytes bounds one file of the log. At most two of them and two snapshots are on the
	// disk, of which a control host has 128 MB.
	segmentBytes = 16 << 20
	// maxCommandBytes bounds a command of the log, which other hosts receive in one frame; the rest of the
	// frame is for the message around it.
	maxCommandBytes = peer.DefaultMaxFrame - 64<<10
	// reserveBytes is the size of the steps in which disk space is reserved ahead of the log.
	reserveBytes = 256 << 10
)

// ErrDisk reports that the data folder is unusable. Whether the last writes reached the disk is
// unknown; New reads the folder again, as after a crash.
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
	joining  *memberRequests
	// leaving are the members that stop, as told to the leader; stopping is set while this host does.
	leaving  *memberRequests
	stopping atomic.Bool
	seeds    atomic.Pointer[[]ident.Host]
	// index holds the inventories, and relay the other state that a host that doesn't lead has
	// from the leader.
	index *sharedIndex
	relay *relayState
	// origins are the software versions that began streams, as told by entries.
	origins originRecords
	// learned holds what entries have learned.
	learned learnedReports
	pacer   pacer
	// stalls measures for how long this process did not run, by the monotonic clock.
	stalls stall.Meter
	// directory caches the answers to callers.
	directory directory
	// commitBatcher gathers the announcements that the leader commits, and forwardBatcher those
	// that this host forwards to the leader.
	commitBatcher, forwardBatcher *batcher
	// deferred holds the announcements that are acknowledged and not delivered yet. startedAt
	// is the start time of this host.
	deferred  deferredAnnouncements
	startedAt time.Time
	counters  *controlMetrics
	// upstreamLog logs upstreams that come or change.
	upstreamLog throttledLog
	// forwardLog logs announcements that did not reach the leader.
	forwardLog throttledLog
}

// New creates a control host; Run serves.
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
	machine, index := NewMachine(), newSharedIndex()
	s := &Steward{
		options: options, machine: machine, joining: newMemberRequests(), leaving: newMemberRequests(),
		index: index, relay: newRelayState(machine, index, options.Log),
	}
	s.relay.clock = options.Clock
	s.origins.records = resumption.NewRecords()
	s.startedAt = time.Now()
	s.upstreamLog.log, s.forwardLog.log, s.learned.log.log = options.Log, options.Log, options.Log
	s.deferred.announceEvery = announceInterval(options.AnnounceEvery)
	s.relay.contacts.announceEvery = announceInterval(options.AnnounceEvery)
	s.commitBatcher, s.forwardBatcher = newBatcher(s.commitAnnouncements), newBatcher(s.forwardAnnouncements)
	s.seeds.Store(&options.Seeds)
	s.counters = newControlMetrics(s)
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
	peers.Guard = o.Guard
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
			Heartbeat: heartbeat, ElectionMin: electionMin, ElectionMax: electionMax, QuickRestart: o.Handover,
			MaxCommandBytes: maxCommandBytes,
		},
		Clock: o.Clock,
		Log:   o.Log,
	})
	if err != nil {
		return err
	}
	s.follower = NewFollower(FollowerOptions{
		Transport: s.transport, Seeds: o.Seeds, PeerPort: o.PeerPort, Log: o.Log, Self: o.Self, LeaderOnly: true,
		KnownLeader: s.knownLeader, Clock: o.Clock,
	})
	s.relay.watchers.clock = s.follower.stalls.Total
	s.transport.Handle(methodWatch, port.PeerHandlerFunc(s.handleWatch))
	s.transport.Handle(methodSubmit, port.PeerHandlerFunc(s.handleSubmit))
	s.transport.Handle(methodReport, port.PeerHandlerFunc(s.handleReport))
	s.transport.Handle(methodOrigin, port.PeerHandlerFunc(s.handleOrigin))
	s.transport.Handle(methodWithdraw, port.PeerHandlerFunc(s.handleWithdraw))
	s.transport.Handle(methodTrial, port.PeerHandlerFunc(s.handleTrial))
	s.transport.Handle(methodJoin, port.PeerHandlerFunc(s.handleJoin))
	s.transport.Handle(methodLeave, port.PeerHandlerFunc(s.handleLeave))
	return nil
}

// dataFolderError adds ErrDisk to errors of a folder that may be readable later, as after a
// full disk, but not to permanent ones.
func dataFolderError(folder string, err error) error {
	wrapped := eris.Wrapf(err, "steward: data folder %s", folder)
	var damaged *disk.DamageError
	if errors.Is(err, disk.ErrForeign) || errors.Is(err, disk.ErrLocked) || errors.As(err, &damaged) {
		return wrapped
	}
	return errors.Join(ErrDisk, wrapped)
}

// peerOptions returns the options that all processes of a deployment share.
func peerOptions(cluster string, key []byte, logger *log.Logger, self port.Peer) peer.Options {
	// Connections come and go by the thousand; operators need only the refused ones.
	warnings := logger.With()
	warnings.SetLevel(log.WarnLevel)
	return peer.Options{
		Cluster: cluster, Key: key, Self: self, Log: warnings,
		// A host behind a network partition answers nothing; these bounds let a call turn to
		// another host well within the time for a configuration to be in force.
		DialTimeout:  700 * time.Millisecond,
		RedialAfter:  redialAfter,
		HelloTimeout: 700 * time.Millisecond,
		WriteTimeout: 2 * time.Second,
		PingInterval: time.Second,
		PingTimeout:  time.Second,
		BackoffMin:   20 * time.Millisecond,
		BackoffMax:   200 * time.Millisecond,
	}
}

// SetSeeds replaces the control hosts that are queried while no other is known.
func (s *Steward) SetSeeds(seeds []ident.Host) {
	s.seeds.Store(&seeds)
	s.follower.SetSeeds(seeds)
}

func (s *Steward) peerAddress(host ident.Host) string {
	return net.JoinHostPort(string(host), strconv.Itoa(s.options.PeerPort))
}

// leaseNow returns the time by which leases count. It must be read at the moment of a check,
// and compared with other readings of it only.
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

// Run serves until ctx ends, or until drain is closed and the leadership is handed over.
func (s *Steward) Run(ctx context.Context, drain <-chan struct{}) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	tasks, ctx := errgroup.WithContext(ctx)
	tasks.Go(func() error { return s.transport.Serve(s.options.Listener) })
	tasks.Go(func() error { s.manager.Run(ctx); return nil })
	tasks.Go(func() error { s.stalls.Run(ctx, time.Now); return nil })
	tasks.Go(func() error { return s.openAndFollow(ctx) })
	tasks.Go(func() error {
		select {
		case <-drain:
			s.leave(ctx)
			bound, cancel := context.WithTimeout(ctx, stopTimeout)
			s.manager.Stop(bound)
			cancel()
			stop()
		case <-ctx.Done():
		}
		bound, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()
		if err := s.transport.Close(bound); err != nil {
			s.options.Log.Warn("peer connections closed before they were drained", "err", err)
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
	tasks.Go(func() error { s.requestJoin(ctx); return nil })
	tasks.Go(func() error { s.deliverDeferred(ctx); return nil })
	tasks.Go(func() error { s.logWeights(ctx); return nil })
	tasks.Go(func() error { newReachMonitor(s).run(ctx); return nil })
	tasks.Go(func() error { return s.watchDisk(ctx) })
	return tasks.Wait()
}

// watchDisk returns an error once the data folder is unusable.
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
