package order

import (
	"fmt"
	"time"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/lease"
)

// Kind is the kind of change that an order requests.
type Kind string

// The kinds of order.
const (
	LoadVersion   Kind = "load-version"
	UnloadVersion Kind = "unload-version"
	LoadAdapter   Kind = "load-adapter"
	SetRole       Kind = "set-role"
)

// Order is an instruction to one engine.
type Order struct {
	Upstream    ident.Upstream
	Incarnation ident.Incarnation
	Address     string
	// Fence is the fencing token of the leader's epoch.
	Fence lease.Token
	// Number counts the orders of one epoch. It makes orders with the same content
	// distinct, so that an engine that deduplicates orders doesn't drop a later one as
	// a repeat.
	Number  uint64
	Kind    Kind
	Model   ident.Model
	Version ident.Version
	Adapter ident.Adapter
	Role    string
}

// ID returns the order's unique ID, made of its fence and number.
func (o Order) ID() string {
	return fmt.Sprintf("%d-%d", o.Fence, o.Number)
}

// Version is a version of a model's weights with its adapters.
type Version struct {
	Model    ident.Model
	Version  ident.Version
	Adapters []ident.Adapter
}

// Wanted is the target state of one model.
type Wanted struct {
	Model ident.Model
	// Versions are to be loaded on every engine of the model; the first is preferred.
	Versions []Version
	// MaxLoading is how many of the model's engines may load at the same time.
	MaxLoading int
	Roles      []RoleCount
}

// RoleCount is a role with the fraction of a model's engines that should have it.
type RoleCount struct {
	Role string
	// Fraction is between 0 and 1.
	Fraction float64
}

// State is an engine's state as read back from it.
type State struct {
	// ReadAt is the time at which the state was requested.
	ReadAt  time.Time
	Loaded  []Version
	Loading []Version
	Role    string
}

// Engine is the planner's view of one engine.
type Engine struct {
	ID          ident.Upstream
	Incarnation ident.Incarnation
	Address     string
	// Reported are the versions in its last announcement, which may lag behind the
	// engine's actual state.
	Reported []Version
	Leaving  bool
	// ChecksFence is true if the engine refuses orders with an old fencing token.
	ChecksFence bool
	// Slots is how many requests the engine can run concurrently; Running and Queued
	// are the request counts of its last load report.
	Slots   int
	Running int
	Queued  int
	// State is nil until it has been read in the current epoch.
	State *State
}

// serves reports whether the engine's announcement lists the model.
func (e *Engine) serves(model ident.Model) bool {
	for i := range e.Reported {
		if e.Reported[i].Model == model {
			return true
		}
	}
	return false
}

// slots returns Slots, at least 1.
func (e *Engine) slots() int { return max(e.Slots, 1) }

// requests returns how many requests the engine runs or has queued.
func (e *Engine) requests() int { return e.Running + e.Queued }

// find returns the entry of a model's version, nil if the list has none.
func find(list []Version, model ident.Model, version ident.Version) *Version {
	for i := range list {
		if list[i].Model == model && list[i].Version == version {
			return &list[i]
		}
	}
	return nil
}
