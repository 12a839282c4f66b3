package upstream

import (
	"errors"
	"fmt"
	"time"

	"github.com/lovagereach/lovagereach/ident"
)

// Kind is the kind of an upstream.
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

// Announcement describes an upstream as the upstream itself reports it.
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
	// Software is the version of the upstream's software, empty if not announced.
	Software string
	// Leaving means that the upstream accepts no new work from now on.
	Leaving bool
	// Lease is how long the announcement is valid.
	Lease time.Duration
	// ChecksFence means that the upstream refuses orders with a fencing token
	// below the largest it has received.
	ChecksFence bool
	// Slots is the number of requests that the upstream runs concurrently;
	// zero counts as one.
	Slots int
	// BlockBytes is the size of one KV block.
	BlockBytes int64
}

// Bounds on one announcement.
const (
	// MaxNameLength bounds the name of an upstream and that of its software, in bytes.
	MaxNameLength = 255
	// MaxPools bounds the pools of one upstream: one for each loaded version
	// and one for each adapter on it.
	MaxPools = 32
	// MaxSlots bounds the concurrent requests that an upstream may announce.
	MaxSlots = 1 << 16
	// MaxLease bounds the lease that an upstream may request.
	MaxLease = time.Hour
)

// Validate returns an error that names the first field out of range.
func (a *Announcement) Validate() error {
	if a.Upstream == "" {
		return errors.New("upstream: is empty")
	}
	if len(a.Upstream) > MaxNameLength {
		return fmt.Errorf("upstream: longer than %d bytes", MaxNameLength)
	}
	if len(a.Software) > MaxNameLength {
		return fmt.Errorf("software: longer than %d bytes", MaxNameLength)
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

// Pool is the key of the set of upstreams that may serve one kind of request.
// Fields that do not apply to the kind are empty.
type Pool struct {
	Kind       Kind
	Model      ident.Model
	Version    ident.Version
	Adapter    ident.Adapter
	Service    ident.Service
	DataCentre ident.DataCentre
	Shard      uint16
}

// EnginePool returns the pool of the engines of a cell that have a version and,
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

// StorePool returns the pool of the store hosts of a data centre.
func StorePool(dataCentre ident.DataCentre, shard uint16) Pool {
	return Pool{Kind: Store, DataCentre: dataCentre, Shard: shard}
}

// ServicePool returns the pool of the replicas of a service in a data centre.
func ServicePool(service ident.Service, dataCentre ident.DataCentre, shard uint16) Pool {
	return Pool{Kind: Service, Service: service, DataCentre: dataCentre, Shard: shard}
}

// Report is a load report of an upstream. It describes the load at an earlier
// time.
type Report struct {
	Upstream    ident.Upstream
	Incarnation ident.Incarnation
	// MeasuredAt is on the upstream's clock. It only orders reports that arrive
	// within Options.ContactTimeout of one another.
	MeasuredAt time.Time
	// Age is the age of the measurement on arrival.
	Age time.Duration
	// Running and Queued are numbers of requests.
	Running int
	Queued  int
	// QueuedTokens is the pending prefill, in tokens.
	QueuedTokens int64
	// FreeBlocks is the free capacity of the engine's cache, in blocks.
	FreeBlocks int64
	// LinkBusy is the utilization of the upstream's link, 0 to 1.
	LinkBusy float64
}

// Attempt identifies one send of one request.
type Attempt struct {
	Request ident.Request
	Number  uint32
}

// Result is the outcome of an attempt as far as it concerns the upstream's
// health.
type Result uint8

// The results of an attempt.
const (
	// Succeeded means that the upstream answered. This includes errors caused
	// by the caller.
	Succeeded Result = iota + 1
	// Failed means that the upstream could not be reached, closed the
	// connection, sent an invalid answer or reported an internal failure.
	Failed
	// Stalled means that the upstream accepted the work and made no progress
	// before the timeout.
	Stalled
	// Cancelled means that the caller disconnected; it does not count for or
	// against the upstream.
	Cancelled
)

// Departure records that one incarnation of an upstream is leaving. It is kept
// longer than the registration, so that a stale announcement relayed by another
// entry does not register the upstream again.
type Departure struct {
	Upstream    ident.Upstream
	Incarnation ident.Incarnation
}

// Load is the estimated load of an upstream at one time.
type Load struct {
	// Requests is the number of running and queued requests.
	Requests float64
	// QueuedTokens is the pending prefill, in tokens.
	QueuedTokens float64
	// Own is the number of this process's requests in flight.
	Own int
	// Age is the time since the last report was measured. Reported is false
	// when there is no report; then Age, FreeBlocks and LinkBusy are zero.
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
	Software    string
	Load        Load
	// Weight is the share of its usual work that the upstream should get, 0 to
	// 1. It is below one in slow start and on probation.
	Weight float64
	// Score orders candidates: the expected requests per weighted slot. Lower
	// is better.
	Score float64
}
