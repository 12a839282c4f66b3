// Package admit decides which waiting request may start next and which is
// refused.
//
// A Controller guards one pool: the upstreams of one model, or one plain
// service, as far as this daemon sends to them. Requests that can't start at
// once wait in bounded queues, one for each team. Between teams it keeps
// start-time fair queueing over the work that they ask for, with floors and
// ceilings as shares of the pool; within a team the request that must start
// soonest goes first. Requests with slack wait behind those without until their
// own slack runs out. Whatever can't start in time is refused as soon as that
// is known, and a refusal is always true: nothing of it was sent.
package admit

import (
	"time"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/outcome"
)

// Request asks for a place.
type Request struct {
	ID    ident.Request
	Team  ident.Team
	Class ident.Class
	// Cost is the work asked for, in any unit that is the same for all teams
	// of a pool, for example tokens to compute. Less than one counts as one.
	Cost float64
	// Target is when the class target wants the first token.
	Target time.Time
	// Deadline is when the first token is of no more use; zero means MaxWait
	// after the offer.
	Deadline time.Time
	// Service is the predicted time from the start to the first token.
	Service time.Duration
}

// Share is the part of a pool that a team may count on and may use at most, as
// fractions of the pool's limit. A zero Ceiling means 1.
type Share struct {
	Guaranteed, Maximum float64
}

// Grant lets a request start.
type Grant struct {
	ID ident.Request
	// Priority is for the engine's queue; a lower value runs sooner.
	Priority int
	// Waited is the time since the offer.
	Waited time.Duration
}

// Refusal ends a request that never started.
type Refusal struct {
	ID     ident.Request
	NotRun *outcome.NotRun
}

// Verdict is the immediate answer to an offer.
type Verdict uint8

// The verdicts.
const (
	// Granted means the request may start now.
	Granted Verdict = iota + 1
	// Queued means that a later call of Next grants or refuses it.
	Queued
	// Refused means that it was not run and never will be.
	Refused
)

// ReasonQueueFull says that the queues of the pool are full, whatever the team.
const ReasonQueueFull outcome.Reason = "queue-full"

// Options configure a Controller. The zero value of each field takes the
// default.
type Options struct {
	// MaxQueued and MaxQueuedPerTeam bound the waiting requests.
	MaxQueued, MaxQueuedPerTeam int
	// MaxTeams bounds the teams that wait or run at one time.
	MaxTeams int
	// MaxWait bounds the wait of a request without a deadline.
	MaxWait time.Duration
	// Relaxed is the slack beyond which a request waits behind those with less.
	Relaxed time.Duration
	// RelaxedShare is the part of the limit that requests with slack may fill,
	// so that one without slack finds room.
	RelaxedShare float64
	// Limit configures how many requests run at once.
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
