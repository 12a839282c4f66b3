// Package admit decides which queued request may start next and which requests are
// refused.
//
// A Controller admits requests to one pool: the upstreams of one model, or one plain
// service, as far as this daemon sends to them. Requests that cannot start
// immediately wait in a Queue, which other callers of the package use by itself.
//
// A Queue serves what can still be in time before what is late already, small
// requests before large ones, and higher ranks before lower ones. Each of these
// precedences leaves a share of the work to what is behind, so that nothing starves.
// Within them, teams share the pool by start-time fair queueing over the requested
// work, within the pool's guaranteed and maximum shares; within a team the request
// that must start soonest goes first. Requests with slack wait behind all others
// until their own slack runs out. A request that cannot start in time is refused as
// soon as that is known, and a refusal guarantees that no part of the request was
// sent.
package admit

import (
	"time"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/outcome"
)

// Request is a request for a slot in the pool.
type Request struct {
	ID    ident.Request
	Team  ident.Team
	Class ident.Class
	// Rank is the request's priority from 0, the highest, to MaxRank.
	Rank int
	// Large marks a request whose work delays many small ones.
	Large bool
	// Cost is the requested work, in a unit that all teams of the pool share, for
	// example tokens to compute. Values below 1 count as 1.
	Cost float64
	// Target is the time by which the class target requires the first token. Zero means
	// that the request is never late.
	Target time.Time
	// Deadline is the time after which the first token is useless. Zero means MaxWait
	// plus Service after the offer.
	Deadline time.Time
	// Service is the predicted time from the start to the first token.
	Service time.Duration
	// WaitUntil is the latest start if it is before the one that the deadline allows;
	// zero means that only the deadline bounds the wait.
	WaitUntil time.Time
}

// MaxRank is the lowest rank; requests of lower ones count as of this rank.
const MaxRank = 9

// Share is the share of a pool that is guaranteed to a team and the maximum share
// that the team may use, as fractions of the pool's limit. A zero Maximum means 1.
type Share struct {
	Guaranteed, Maximum float64
}

// Grant permits a request to start.
type Grant struct {
	ID ident.Request
	// Priority is the request's priority in the engine's queue; lower values run
	// sooner.
	Priority int
	// Waited is the time from the offer to the grant.
	Waited time.Duration
}

// Refusal is the final outcome of a request that never started.
type Refusal struct {
	ID     ident.Request
	NotRun *outcome.NotRun
}

// Verdict is the immediate result of an offer.
type Verdict uint8

// Values of Verdict.
const (
	// Granted means the request may start now.
	Granted Verdict = iota + 1
	// Queued means that a later call of Next grants or refuses the request.
	Queued
	// Refused means that the request was not run and never will be.
	Refused
)

// ReasonQueueFull is the reason of a refusal because the pool's queues are full or
// too many teams are active.
const ReasonQueueFull outcome.Reason = "queue-full"

// Options configures a Controller. A zero field takes its default.
type Options struct {
	// MaxQueued bounds the queued requests of the pool, MaxQueuedPerTeam those of one
	// team.
	MaxQueued, MaxQueuedPerTeam int
	// MaxTeams bounds the teams with queued or running requests.
	MaxTeams int
	// MaxWait bounds the wait of a request without a deadline.
	MaxWait time.Duration
	// Relaxed is the slack above which a request counts as relaxed and waits behind
	// urgent ones.
	Relaxed time.Duration
	// RelaxedShare is the fraction of the limit that relaxed requests may fill, so
	// that an urgent request finds a free slot.
	RelaxedShare float64
	// Limit configures the limit on running requests.
	Limit LimitOptions
}

// Defaults of Options.
const (
	DefaultMaxQueued        = 4096
	DefaultMaxQueuedPerTeam = 1024
	DefaultMaxTeams         = 4096
	DefaultMaxWait          = 30 * time.Second
	DefaultRelaxed          = 5 * time.Second
	DefaultRelaxedShare     = 0.75
)

func (o Options) withDefaults() Options {
	if o.MaxQueued <= 0 {
		o.MaxQueued = DefaultMaxQueued
	}
	if o.MaxQueuedPerTeam <= 0 {
		o.MaxQueuedPerTeam = DefaultMaxQueuedPerTeam
	}
	if o.MaxTeams <= 0 {
		o.MaxTeams = DefaultMaxTeams
	}
	if o.MaxWait <= 0 {
		o.MaxWait = DefaultMaxWait
	}
	if o.Relaxed <= 0 {
		o.Relaxed = DefaultRelaxed
	}
	if o.RelaxedShare <= 0 || o.RelaxedShare > 1 {
		o.RelaxedShare = DefaultRelaxedShare
	}
	return o
}
