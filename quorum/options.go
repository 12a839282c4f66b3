package quorum

import (
	"cmp"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/lovagereach/lovagereach/ident"
)

// Defaults of Options, for links of about 1.5 ms one way.
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

// Options configure a Node. Zero values take the defaults above.
type Options struct {
	// Self is this host.
	Self ident.Host
	// Rand draws election timeouts and the random part of the incarnation.
	// Its seed must differ between hosts and between starts.
	Rand *rand.Rand
	// Heartbeat is the time between two heartbeats of a leader.
	Heartbeat time.Duration
	// A follower campaigns after a silence drawn from ElectionMin to
	// ElectionMax, and refuses to elect another leader for ElectionMin after
	// it last heard from one. All hosts of a group must use the same values:
	// the leader's lease counts on every voter's ElectionMin.
	ElectionMin, ElectionMax time.Duration
	// ClockDrift bounds how far each host's clock rate is from true time: a
	// clock that shows d has run between d/(1+ClockDrift) and
	// d/(1-ClockDrift). The leader's lease is ElectionMin shortened by it.
	ClockDrift float64
	// NoLeaseReads makes every linearizable read take a round of heartbeats. It is for
	// hosts whose clock stands still while the machine is suspended.
	NoLeaseReads bool
	// MaxCommandBytes bounds one command.
	MaxCommandBytes int
	// MaxAppendBytes bounds the entries of one append; a single larger entry
	// still travels alone.
	MaxAppendBytes int
	// MaxInflightAppends and MaxInflightBytes bound the appends on their way
	// to one follower.
	MaxInflightAppends, MaxInflightBytes int
	// MaxUncommitted bounds the bytes proposed and not yet committed.
	MaxUncommitted int
	// MaxReads bounds the reads that wait for a round.
	MaxReads int
	// SnapshotChunk is the size of a chunk; MaxSnapshotBytes bounds what a
	// follower takes in.
	SnapshotChunk, MaxSnapshotBytes int
}

// Validate reports what is wrong with the options after defaults are filled.
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

// lease is how long after the start of a heartbeat round that a quorum
// acknowledged no other leader can have been elected. Each voter of that
// quorum refuses other candidates for ElectionMin on its own clock; that is at
// least ElectionMin/(1+d) of true time, in which the leader's own clock shows
// at least (1-d) as much.
func (o *Options) lease() time.Duration {
	d := o.ClockDrift
	return time.Duration(float64(o.ElectionMin) * (1 - d) / (1 + d))
}
