package port

import (
	"time"

	"github.com/lovagereach/lovagereach/ident"
)

// UpstreamKind is the kind of an upstream.
type UpstreamKind string

// The kinds of upstream.
const (
	KindEngine  UpstreamKind = "engine"
	KindStore   UpstreamKind = "store"
	KindService UpstreamKind = "service"
)

// Announcement is an upstream's description of itself, repeated before its lease
// expires. It is sent as JSON to the announcement listener of an entry.
type Announcement struct {
	Upstream    ident.Upstream    `json:"upstream"`
	Incarnation ident.Incarnation `json:"incarnation"`
	Kind        UpstreamKind      `json:"kind"`
	// Address is an IP and port.
	Address    string           `json:"address"`
	DataCentre ident.DataCentre `json:"data_centre"`
	// Service is set for services, Models for engines.
	Service ident.Service   `json:"service,omitempty"`
	Models  []LoadedVersion `json:"models,omitempty"`
	// Software is the version of the upstream's software. Versions have no order.
	Software string `json:"software,omitempty"`
	// Leaving is set if the upstream accepts no new work.
	Leaving bool `json:"leaving,omitempty"`
	// LeaseMillis is how long the announcement is valid, in milliseconds.
	LeaseMillis int64 `json:"lease_ms"`
	// ChecksFence is set if an engine refuses old fencing tokens.
	ChecksFence bool `json:"checks_fence,omitempty"`
	// Slots is the number of requests that the upstream runs concurrently.
	Slots int `json:"slots,omitempty"`
	// BlockBytes is the size of one block of KV cache.
	BlockBytes int64 `json:"block_bytes,omitempty"`
}

// LoadReport is an upstream's report of its load. It lags behind the actual load.
type LoadReport struct {
	Upstream    ident.Upstream    `json:"upstream"`
	Incarnation ident.Incarnation `json:"incarnation"`
	// MeasuredAt is the time of the measurement by the upstream's own clock, in Unix
	// milliseconds; Age is the age of the measurement when it was sent, in milliseconds.
	MeasuredAt int64 `json:"measured_at"`
	Age        int64 `json:"age_ms"`
	Running    int   `json:"running"`
	Queued     int   `json:"queued"`
	// QueuedTokens is the number of prompt tokens of the queued requests.
	QueuedTokens int64 `json:"queued_tokens"`
	// FreeBlocks is the free capacity of the engine's cache, in blocks.
	FreeBlocks int64 `json:"free_blocks"`
	// LinkBusy is the share of the upstream's link in use, 0 to 1.
	LinkBusy float64      `json:"link_busy"`
	Tiers    []TierStatus `json:"tiers,omitempty"`
}

// MeasuredTime returns MeasuredAt as a time.
func (l LoadReport) MeasuredTime() time.Time {
	return time.UnixMilli(l.MeasuredAt)
}

// CacheEventKind is the kind of change of a block.
type CacheEventKind string

// The kinds of cache event.
const (
	CacheStored  CacheEventKind = "stored"
	CacheRemoved CacheEventKind = "removed"
	CacheCleared CacheEventKind = "cleared"
)

// CacheEvent is a change of an upstream's blocks.
type CacheEvent struct {
	Sequence uint64         `json:"sequence"`
	Kind     CacheEventKind `json:"kind"`
	Block    BlockID        `json:"block,omitempty"`
	// State describes the slot for events of store hosts.
	State *SlotState `json:"state,omitempty"`
}

// CacheEvents is a batch of events in order. Batches may be late, repeated or lost.
type CacheEvents struct {
	Upstream    ident.Upstream    `json:"upstream"`
	Incarnation ident.Incarnation `json:"incarnation"`
	Events      []CacheEvent      `json:"events"`
}
