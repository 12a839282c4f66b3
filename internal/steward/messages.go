package steward

import (
	"github.com/lovagereach/lovagereach/catalog"
	"github.com/lovagereach/lovagereach/holdings"
	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/roster"
)

// Methods between processes.
const (
	methodWatch  port.Method = "steward.watch"
	methodSubmit port.Method = "steward.submit"
	methodJoin   port.Method = "steward.join"
)

// Load is the work that one entry has under way at an upstream, or what it
// waits for from a store.
type Load struct {
	// Upstream is the upstream's name or, for a store, its address.
	Upstream string `cbor:"1,keyasint"`
	Requests int    `cbor:"2,keyasint"`
	// Tokens are those of the prompts under way.
	Tokens int `cbor:"3,keyasint,omitempty"`
	// Unread are the tokens that runners have still to read before the answers
	// begin.
	Unread int `cbor:"4,keyasint,omitempty"`
}

// EntryView is one entry as others see it.
type EntryView struct {
	Host       string `cbor:"1,keyasint"`
	DataCentre string `cbor:"2,keyasint"`
	// Callers is the address of its listener for callers.
	Callers string `cbor:"3,keyasint"`
	// Ready is false while the entry has no configuration or is leaving.
	Ready bool `cbor:"4,keyasint"`
}

// WatchRequest asks the leader for what the caller lacks.
type WatchRequest struct {
	// Entry describes the caller; nil on control hosts.
	Entry *EntryView `cbor:"1,keyasint,omitempty"`
	// Document, Weights and Roster are what the caller holds.
	Document catalog.Version `cbor:"2,keyasint"`
	Weights  uint64          `cbor:"3,keyasint"`
	Roster   uint64          `cbor:"4,keyasint"`
	// Shelves is how far the caller has followed the journal of the shelves.
	Shelves Position `cbor:"5,keyasint"`
	Loads   []Load   `cbor:"6,keyasint,omitempty"`
	// Term is that of the answer before, zero for the first call.
	Term uint64 `cbor:"7,keyasint"`
}

// Position is a place in the journal of shelf changes of one leader.
type Position struct {
	Term uint64 `cbor:"1,keyasint"`
	Next uint64 `cbor:"2,keyasint"`
}

// WeightsView is the newest weight version of each model.
type WeightsView struct {
	Revision uint64          `cbor:"1,keyasint"`
	Newest   []roster.Loaded `cbor:"2,keyasint"`
}

// RosterView is the roster without those who are gone.
type RosterView struct {
	Revision  uint64            `cbor:"1,keyasint"`
	Upstreams []roster.Upstream `cbor:"2,keyasint"`
}

// ShelfState is whether one store may be used.
type ShelfState struct {
	Address string `cbor:"1,keyasint"`
	Life    uint64 `cbor:"2,keyasint"`
	Open    bool   `cbor:"3,keyasint"`
}

// ShelfChange is a part that became whole in a store or runner, or ceased to
// be.
type ShelfChange struct {
	Address string `cbor:"1,keyasint"`
	// Cleared tells that all earlier changes of the store are void.
	Cleared bool            `cbor:"2,keyasint,omitempty"`
	Change  holdings.Change `cbor:"3,keyasint,omitempty"`
}

// WatchAnswer is what the caller lacked.
type WatchAnswer struct {
	// Leader is where to ask instead; the rest is empty then.
	NotLeader bool   `cbor:"1,keyasint,omitempty"`
	Leader    string `cbor:"2,keyasint,omitempty"`
	// Members are the control hosts of the group.
	Members  []string          `cbor:"3,keyasint,omitempty"`
	Term     uint64            `cbor:"4,keyasint"`
	Document *catalog.Document `cbor:"5,keyasint,omitempty"`
	Weights  *WeightsView      `cbor:"6,keyasint,omitempty"`
	Roster   *RosterView       `cbor:"7,keyasint,omitempty"`
	// Silent are the upstreams that have not announced themselves lately.
	Silent []string `cbor:"8,keyasint,omitempty"`
	// Loading are the runners that are being ordered to load weights.
	Loading []string `cbor:"16,keyasint,omitempty"`
	// Shelves is the position after Changes. Reset tells that Changes begin
	// from empty shelves.
	Shelves Position      `cbor:"9,keyasint"`
	Reset   bool          `cbor:"10,keyasint,omitempty"`
	States  []ShelfState  `cbor:"11,keyasint,omitempty"`
	Changes []ShelfChange `cbor:"12,keyasint,omitempty"`
	// Clock is the upstreams' clock in milliseconds, at the earliest; zero
	// while unknown.
	Clock int64 `cbor:"13,keyasint,omitempty"`
	// Loads are the other entries' work under way.
	Loads []Load `cbor:"14,keyasint,omitempty"`
	// Entries lists the entries.
	Entries []EntryView `cbor:"15,keyasint,omitempty"`
}

// submission carries an operator's or upstream's message to the leader.
type submission struct {
	Command *command `cbor:"1,keyasint,omitempty"`
	// Beat is an upstream's announcement.
	Beat *roster.Upstream `cbor:"2,keyasint,omitempty"`
	// Read asks for the configuration.
	Read bool `cbor:"3,keyasint,omitempty"`
}

type submitted struct {
	NotLeader bool              `cbor:"1,keyasint,omitempty"`
	Uncertain bool              `cbor:"2,keyasint,omitempty"`
	Verdict   verdict           `cbor:"3,keyasint"`
	Document  *catalog.Document `cbor:"4,keyasint,omitempty"`
}

// joinRequest asks the leader to take a control host in.
type joinRequest struct {
	Host string `cbor:"1,keyasint"`
}

type joinAnswer struct {
	Leader  string   `cbor:"1,keyasint,omitempty"`
	Members []string `cbor:"2,keyasint,omitempty"`
}
