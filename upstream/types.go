package upstream

import (
	"errors"
	"fmt"
	"time"

	"github.com/lovagereach/lovagereach/ident"
)

// Kind is what an upstream is.
type Kind uint8

// The kinds of upstream.
const (
	Engine Kind = iota + 1
	Store
	Service
)

// Loaded is one weight version that an engine has loaded.
type Loaded struct {
	Model    ident.Model
	Version  ident.Version
	Adapters []ident.Adapter
}

// Announcement is an upstream's word about itself.
type Announcement struct {
	Upstream    ident.Upstream
	Incarnation ident.Incarnation
	Kind        Kind
	// Address is an IP and port.
	Address    string
	DataCentre ident.DataCentre
	// Shard divides the upstreams of one model in one data centre into cells.
	Shard uint16
	// Service is set for services, Models for engines.
	Service ident.Service
	Models  []Loaded
	// Leaving tells that the upstream takes no new work from now on.
	Leaving bool
	// Lease is how long the announcement holds.
	Lease       time.Duration
	ChecksFence bool
	// Slots is how many requests the upstream runs at once, at least one.
	Slots      int
	BlockBytes int64
}

// Bounds on one announcement.
const (
	// MaxNameLength bounds each name in an announcement, in bytes.
	MaxNameLength = 255
	// MaxPools bounds the pools one upstream is in: one for each loaded
	// version and one for each adapter on it.
	MaxPools = 32
	// MaxSlots bounds what an upstream may claim to run at once.
	MaxSlots = 1 << 16
	// MaxLease bounds the lease an upstream may ask for.
	MaxLease = time.Hour
)

// Validate reports the first field of an announcement that is out of range.
func (a *Announcement) Validate() error {
	if a.Upstream == "" {
		return errors.New("upstream: is empty")
	}
	if len(a.Upstream) > MaxNameLength {
		return fmt.Errorf("upstream: longer than %d bytes", MaxNameLength)
	}
	if a.Kind < Engine || a.Kind > Service {
		return fmt.Errorf("kind: %d is not engine, store or service", a.Kind)
	}
	if a.Kind == Service && a.Service == "" {
		return errors.New("service: is empty for an upstream of kind service")
	}
	if a.Lease <= 0 || a.Lease > MaxLease {
		return fmt.Errorf("lease: %v is not within 0 to %v", a.Lease, MaxLease)
	}
	if a.Slots < 0 || a.Slots > MaxSlots {
		return fmt.Errorf("slots: %d is not within 0 to %d", a.Slots, MaxSlots)
	}
	if count := a.poolCount(); count > MaxPools {
		return fmt.Errorf("models: %d versions and adapters are more than %d", count, MaxPools)
	}
	return nil
}

func (a *Announcement) poolCount() int {
	count := 0
	for _, loaded := range a.Models {
		count += 1 + len(loaded.Adapters)
	}
	return count
}

// Pool names the upstreams that may serve one kind of request. Fields that do
// not apply to the kind are empty.
type Pool struct {
	Kind       Kind
	Model      ident.Model
	Version    ident.Version
	Adapter    ident.Adapter
	Service    ident.Service
	DataCentre ident.DataCentre
	Shard      uint16
}

// EnginePool is the pool of the engines of a cell that have a version and,
// unless it is empty, an adapter loaded.
func EnginePool(cell ident.Cell, version ident.Version, adapter ident.Adapter) Pool {
	return Pool{
		Kind:       Engine,
		Model:      cell.Model,
		Version:    version,
		Adapter:    adapter,
		DataCentre: cell.DataCentre,
		Shard:      cell.Shard,
	}
}

// StorePool is the pool of the store hosts of a data centre.
func StorePool(dataCentre ident.DataCentre, shard uint16) Pool {
	return Pool{Kind: Store, DataCentre: dataCentre, Shard: shard}
}

// ServicePool is the pool of the replicas of a service in a data centre.
func ServicePool(service ident.Service, dataCentre ident.DataCentre, shard uint16) Pool {
	return Pool{Kind: Service, Service: service, DataCentre: dataCentre, Shard: shard}
}

// Report is an upstream's lagging account of its work.
type Report struct {
	Upstream    ident.Upstream
	Incarnation ident.Incarnation
	// MeasuredAt is on the upstream's own clock and only orders reports that
	// arrive within Options.Silence of one another.
	MeasuredAt time.Time
	// Age is how old the measurement was when it arrived.
	Age     time.Duration
	Running int
	Queued  int
	// QueuedTokens is the prompt work waiting, in tokens.
	QueuedTokens int64
	// FreeBlocks is the room in the engine's cache, in blocks.
	FreeBlocks int64
	// LinkBusy is the share of the upstream's link in use, 0 to 1.
	LinkBusy float64
}

// Attempt identifies one send of one request.
type Attempt struct {
	Request ident.Request
	Number  uint32
}

// Result is how an attempt ended, as far as it tells about the upstream.
type Result uint8

// The results of an attempt.
const (
	// Succeeded means that the upstream answered, also with an error that was
	// the caller's fault.
	Succeeded Result = iota + 1
	// Failed means that the upstream could not be reached, broke the
	// connection, answered badly or reported a failure of its own.
	Failed
	// Stalled means that the upstream accepted the work and made no progress
	// within its time.
	Stalled
	// Cancelled means that the caller left; it tells nothing.
	Cancelled
)

// Departure is the word that one incarnation of an upstream is leaving. It
// outlives the registration, so that a stale announcement that another entry
// still relays does not bring the upstream back.
type Departure struct {
	Upstream    ident.Upstream
	Incarnation ident.Incarnation
}

// Load is the estimate of an upstream's work at one moment.
type Load struct {
	// Requests is running and queued work, in requests.
	Requests float64
	// QueuedTokens is prompt work not yet prefilled, in tokens.
	QueuedTokens float64
	// Own is the work of this process in flight, in requests.
	Own int
	// Age is how long ago the last report was measured; Reported is false
	// when there is none.
	Age        time.Duration
	Reported   bool
	FreeBlocks int64
	LinkBusy   float64
}

// Candidate is an upstream offered for a request.
type Candidate struct {
	Upstream    ident.Upstream
	Incarnation ident.Incarnation
	Kind        Kind
	Address     string
	DataCentre  ident.DataCentre
	Slots       int
	BlockBytes  int64
	ChecksFence bool
	Load        Load
	// Weight is the share of its usual work the upstream should get, 0 to 1:
	// below one in slow start and on probation.
	Weight float64
	// Score orders candidates: expected work for each weighted slot. Less is
	// better.
	Score float64
}
