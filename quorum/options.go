package quorum

import (
	"cmp"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/lovagereach/lovagereach/ident"
)

// Default values of Options, for a network latency of about 1.5 ms one way.
const (
	DefaultHeartbeat          = 50 * time.Millisecond
	DefaultElectionMin        = 200 * time.Millisecond
	DefaultElectionMax        = 400 * time.Millisecond
	DefaultClockDrift         = 0.01
	DefaultMaxCommandBytes    = 1 << 20
	DefaultMaxAppendBytes     = 256 << 10
	DefaultMaxInflightAppends = 64
	DefaultMaxInflightBytes   = 4 << 20
	DefaultMaxUncommitted     = 64 << 20
	DefaultMaxReads           = 4096
	DefaultSnapshotChunk      = 256 << 10
	DefaultMaxSnapshotBytes   = 1 << 30
)

// Options configures a Node. Zero values select the defaults above.
type Options struct {
	// Self is the name of this host.
	Self ident.Host
	// Rand is the source of election timeouts and of the random part of the
	// incarnation. Its seed must differ between hosts and between starts.
	Rand *rand.Rand
	// Heartbeat is the interval between the heartbeats of a leader.
	Heartbeat time.Duration
	// A follower starts an election after a random time between ElectionMin and
	// ElectionMax without contact with a leader, and does not vote for another
	// leader until ElectionMin after the last contact. All hosts of a group
	// must use the same values: the leader's lease depends on the ElectionMin
	// of every voter.
	ElectionMin, ElectionMax time.Duration
	// ClockDrift is the maximum error of each host's clock rate: a clock that
	// measures d has run for between d/(1+ClockDrift) and d/(1-ClockDrift). The
	// leader's lease is ElectionMin shortened accordingly.
	ClockDrift float64
	// NoLeaseReads makes every linearizable read wait for a heartbeat round. It
	// is intended for hosts whose clock stops while the machine is suspended.
	NoLeaseReads bool
	// QuickRestart allows an election within ElectionMin of a restart of all members, once each has
	// shown that it was restarted.
	QuickRestart bool
	// MaxCommandBytes is the maximum size of a command.
	MaxCommandBytes int
	// MaxAppendBytes is the maximum size of the entries in one append. A single
	// larger entry is sent alone.
	MaxAppendBytes int
	// MaxInflightAppends and MaxInflightBytes limit the unacknowledged appends
	// to one follower. MaxInflightBytes also limits unacknowledged snapshot
	// data.
	MaxInflightAppends, MaxInflightBytes int
	// MaxUncommitted is the maximum size of proposed but uncommitted entries,
	// in bytes.
	MaxUncommitted int
	// MaxReads is the maximum number of reads waiting for a heartbeat round.
	MaxReads int
	// SnapshotChunk is the size of a snapshot chunk and MaxSnapshotBytes the
	// maximum size of a snapshot that a follower accepts, both in bytes.
	SnapshotChunk, MaxSnapshotBytes int
}

// Validate fills in the defaults and returns an error for an invalid option.
func (o *Options) Validate() error {
	o.fill()
	switch {
	case o.Self == "":
		return errors.New("quorum: Options.Self is empty")
	case o.Rand == nil:
		return errors.New("quorum: Options.Rand is nil")
	case o.Heartbeat <= 0:
		return fmt.Errorf("quorum: Options.Heartbeat %v is not positive", o.Heartbeat)
	case o.ElectionMin < 2*o.Heartbeat:
		return fmt.Errorf("quorum: Options.ElectionMin %v is under two heartbeats of %v", o.ElectionMin, o.Heartbeat)
	case o.ElectionMax <= o.ElectionMin:
		return fmt.Errorf("quorum: Options.ElectionMax %v is not above ElectionMin %v", o.ElectionMax, o.ElectionMin)
	case o.ClockDrift < 0 || o.ClockDrift >= 0.5:
		return fmt.Errorf("quorum: Options.ClockDrift %v is outside [0, 0.5)", o.ClockDrift)
	}
	return nil
}

func (o *Options) fill() {
	o.Heartbeat = cmp.Or(o.Heartbeat, DefaultHeartbeat)
	o.ElectionMin = cmp.Or(o.ElectionMin, DefaultElectionMin)
	o.ElectionMax = cmp.Or(o.ElectionMax, DefaultElectionMax)
	o.ClockDrift = cmp.Or(o.ClockDrift, DefaultClockDrift)
	o.MaxCommandBytes = cmp.Or(o.MaxCommandBytes, DefaultMaxCommandBytes)
	o.MaxAppendBytes = cmp.Or(o.MaxAppendBytes, DefaultMaxAppendBytes)
	o.MaxInflightAppends = cmp.Or(o.MaxInflightAppends, DefaultMaxInflightAppends)
	o.MaxInflightBytes = cmp.Or(o.MaxInflightBytes, DefaultMaxInflightBytes)
	o.MaxUncommitted = cmp.Or(o.MaxUncommitted, DefaultMaxUncommitted)
	o.MaxReads = cmp.Or(o.MaxReads, DefaultMaxReads)
	o.SnapshotChunk = cmp.Or(o.SnapshotChunk, DefaultSnapshotChunk)
	o.MaxSnapshotBytes = cmp.Or(o.MaxSnapshotBytes, DefaultMaxSnapshotBytes)
}

// lease returns the duration, from the start of a heartbeat round acknowledged
// by a quorum, within which no other leader can be elected. Each voter of that
// quorum rejects other candidates for ElectionMin on its own clock. That is at
// least ElectionMin/(1+d) of real time, during which the leader's clock
// advances by at least (1-d) times as much.
func (o *Options) lease() time.Duration {
	d := o.ClockDrift
	return time.Duration(float64(o.ElectionMin) * (1 - d) / (1 + d))
}
