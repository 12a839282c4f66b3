package steward

import (
	"time"

	"github.com/lovagereach/lovagereach/cacheindex"
	"github.com/lovagereach/lovagereach/catalog"
	"github.com/lovagereach/lovagereach/evacuation"
	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/quarantine"
	"github.com/lovagereach/lovagereach/roster"
	"github.com/lovagereach/lovagereach/warmup"
)

// Methods between processes.
const (
	methodWatch  port.Method = "steward.watch"
	methodSubmit port.Method = "steward.submit"
	methodJoin   port.Method = "steward.join"
	methodReport port.Method = "steward.report"
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
	// Rate are the requests a second that it serves, and Most those that it serves
	// well, 0 if it can't tell.
	Rate int `cbor:"5,keyasint,omitempty"`
	Most int `cbor:"6,keyasint,omitempty"`
	// Evacuation is the revision of the evacuations that it goes by, and Document the
	// version of the configuration, 0 for none.
	Evacuation uint64          `cbor:"7,keyasint,omitempty"`
	Document   catalog.Version `cbor:"8,keyasint,omitempty"`
}

// WatchRequest asks the leader for what the caller lacks.
type WatchRequest struct {
	// Entry describes the caller; nil on control hosts.
	Entry *EntryView `cbor:"1,keyasint,omitempty"`
	// Document, Weights and Roster are what the caller holds.
	Document catalog.Version `cbor:"2,keyasint"`
	Weights  uint64          `cbor:"3,keyasint"`
	Roster   uint64          `cbor:"4,keyasint"`
	// Inventories asks for what the caller lacks of the shelves, nil for nothing.
	Inventories *cacheindex.Query `cbor:"5,keyasint,omitempty"`
	Loads       []Load            `cbor:"6,keyasint,omitempty"`
	// Term is that of the answer before, zero for the first call.
	Term uint64 `cbor:"7,keyasint"`
	// Relay tells that the caller is a control host that answers watches itself,
	// Below are the entries that ask it, and Loads their sum.
	// Below is left out where the leader holds the list of number BelowAt.
	Relay           bool        `cbor:"8,keyasint,omitempty"`
	RelayedEntries  []EntryView `cbor:"9,keyasint,omitempty"`
	RelayedRevision uint64      `cbor:"20,keyasint,omitempty"`
	// Direct tells that the caller, an entry, reaches none of the hosts that it
	// was told to ask instead of the leader.
	Direct bool `cbor:"10,keyasint,omitempty"`
	// Overdue tells that what the caller was last told of the configuration is
	// so old that the leader must answer, whoever else could.
	Overdue bool `cbor:"11,keyasint,omitempty"`
	// Entries is the number of entries that the caller was last told, zero for
	// none. A leader that has just started knows by it how many will call.
	Entries int `cbor:"12,keyasint,omitempty"`
	// Idle tells that the caller, an entry, has had no request lately: it needs the
	// configuration in time, and the rest only to begin with.
	Idle bool `cbor:"13,keyasint,omitempty"`
	// Quarantine is the revision of the quarantine that the caller holds.
	Quarantine uint64 `cbor:"15,keyasint,omitempty"`
	// Evacuation is the revision of the evacuations that the caller holds.
	Evacuation uint64 `cbor:"16,keyasint,omitempty"`
	// Grants is the revision of the grants that the caller, a control host, holds.
	Grants uint64 `cbor:"17,keyasint,omitempty"`
	// LastContacts are the upstreams that announced themselves to the caller, a control
	// host, since its latest question that was answered.
	LastContacts []LastContact `cbor:"14,keyasint,omitempty"`
	// SilentAt is the revision of the silent upstreams that the caller was told in Term.
	SilentAt uint64 `cbor:"19,keyasint,omitempty"`
	// Listing tells that the caller is being told the whole roster, page by page.
	Listing bool `cbor:"18,keyasint,omitempty"`
}

// RelayView is a control host that answers the watches of entries.
type RelayView struct {
	Host       string `cbor:"1,keyasint"`
	DataCentre string `cbor:"2,keyasint"`
}

// WeightsView is the newest weight version of each model.
type WeightsView struct {
	Revision uint64          `cbor:"1,keyasint"`
	Newest   []roster.Loaded `cbor:"2,keyasint"`
}

// RosterView is a page of the upstreams that changed after revision Since, up to
// Revision, those that are gone among them. Pages from 0 on list the whole roster: what
// none of them names up to the last one is gone. To a control host, which has the roster
// from the log, only Revision is told.
type RosterView struct {
	Revision  uint64            `cbor:"1,keyasint"`
	Upstreams []roster.Upstream `cbor:"2,keyasint"`
	Since     uint64            `cbor:"3,keyasint,omitempty"`
	// More tells that another page follows.
	More bool `cbor:"4,keyasint,omitempty"`
	// encoded is the message where several callers are told it.
	encoded []byte
}

// QuarantineView is which requests are to be sent to no upstream, and of which further
// ones one more end decides.
type QuarantineView struct {
	Revision    uint64                   `cbor:"1,keyasint"`
	Quarantined []quarantine.Fingerprint `cbor:"2,keyasint,omitempty"`
	Suspects    []quarantine.Fingerprint `cbor:"3,keyasint,omitempty"`
}

// Report is what an entry has seen of requests that end upstreams.
type Report struct {
	Crashes []quarantine.Crash `cbor:"1,keyasint,omitempty"`
	// Served are requests that ran to a good end and were suspected.
	Served []quarantine.Fingerprint `cbor:"2,keyasint,omitempty"`
}

// Empty reports whether there is nothing to tell.
func (r *Report) Empty() bool { return len(r.Crashes)+len(r.Served) == 0 }

// StoreState is whether one store may be used.
type StoreState struct {
	Address     string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	Open        bool   `cbor:"3,keyasint"`
}

// WatchAnswer is what the caller lacked.
type WatchAnswer struct {
	// Redirect tells to ask another host: one of Relays or, if there are none,
	// Leader. The rest is empty then, but for Members.
	Redirect bool `cbor:"1,keyasint,omitempty"`
	// Shed tells that the host leads and has no time for the caller.
	Shed bool `cbor:"34,keyasint,omitempty"`
	// Leader is the host that leads, empty if none is known.
	Leader string `cbor:"2,keyasint,omitempty"`
	// Members are the control hosts of the group.
	Members  []string          `cbor:"3,keyasint,omitempty"`
	Term     uint64            `cbor:"4,keyasint"`
	Document *catalog.Document `cbor:"5,keyasint,omitempty"`
	Weights  *WeightsView      `cbor:"6,keyasint,omitempty"`
	Roster   *RosterView       `cbor:"7,keyasint,omitempty"`
	// Silent are the upstreams that have not announced themselves lately, of revision
	// SilentAt in Term. They are left out where the caller holds that revision.
	Silent   []string `cbor:"8,keyasint,omitempty"`
	SilentAt uint64   `cbor:"30,keyasint,omitempty"`
	// Loading are the runners that are being ordered to load weights.
	Loading []string `cbor:"16,keyasint,omitempty"`
	// Inventories is what the caller lacked of the shelves, and States which stores
	// may be used once the shelves are complete.
	Inventories *cacheindex.Update `cbor:"9,keyasint,omitempty"`
	StoreStates []StoreState       `cbor:"11,keyasint,omitempty"`
	// Clock is the upstreams' clock in milliseconds, at the earliest; zero
	// while unknown.
	Clock int64 `cbor:"13,keyasint,omitempty"`
	// Loads are the other entries' work under way.
	Loads []Load `cbor:"14,keyasint,omitempty"`
	// Entries lists the entries, for control hosts; entries get their number. Counting
	// tells that the leader does not know yet how many there are.
	Entries    []EntryView `cbor:"15,keyasint,omitempty"`
	EntryCount int         `cbor:"17,keyasint"`
	Counting   bool        `cbor:"35,keyasint,omitempty"`
	// RelayedRevision is the number of the list of entries that the caller, a control host, told.
	RelayedRevision uint64 `cbor:"33,keyasint,omitempty"`
	// ActiveEntries is the number of the entries that took requests lately.
	ActiveEntries int `cbor:"32,keyasint,omitempty"`
	// Relaying tells that there are more entries than the leader answers by
	// itself, and Relays the hosts that entries are to ask instead.
	Relaying bool        `cbor:"18,keyasint,omitempty"`
	Relays   []RelayView `cbor:"19,keyasint,omitempty"`
	// InventoryAge is how old the word on the shelves is, in nanoseconds: from the leader the
	// time since the end of its lease, zero within it, and from another host the time
	// since it asked the leader and that age.
	InventoryAge time.Duration `cbor:"20,keyasint,omitempty"`
	// MinVersions lists the oldest weights on which a prompt may begin, for the models
	// where older ones are past their bound.
	MinVersions []roster.Loaded `cbor:"21,keyasint,omitempty"`
	// StateAge is the same for Document, Weights, Roster, Quarantine and Evacuation.
	StateAge time.Duration `cbor:"22,keyasint,omitempty"`
	// OpenFor is for how long the watch was kept open before what it tells was looked up.
	OpenFor time.Duration `cbor:"31,keyasint,omitempty"`
	// Pause is how long the caller should wait before it asks again.
	Pause      time.Duration   `cbor:"23,keyasint,omitempty"`
	Quarantine *QuarantineView `cbor:"24,keyasint,omitempty"`
	// Evacuation lists the data centres whose upstreams get no new work.
	Evacuation *evacuation.View `cbor:"25,keyasint,omitempty"`
	// Grants are what the caller may send to cold upstreams or, for a control host that
	// holds another revision, what all entries may. GrantsAt is their revision, 0 where
	// none are confirmed.
	Grants   []warmup.Grant `cbor:"26,keyasint,omitempty"`
	GrantsAt uint64         `cbor:"27,keyasint,omitempty"`
	// GrantsAge is how long before the answer the leader confirmed them, at most.
	GrantsAge time.Duration `cbor:"28,keyasint,omitempty"`
	// EntriesUnchanged tells that Entries are left out, and as the caller, a control host, was
	// told them last.
	EntriesUnchanged bool `cbor:"29,keyasint,omitempty"`
	// Partial answers came after another one was taken in that was asked for
	// later, or about as late: only Document, Weights, Roster, Quarantine and
	// Evacuation, which have revisions, still hold.
	Partial bool `cbor:"-"`
	// waited is for how long the watch was kept open.
	waited time.Duration
}

// orders reports whether the answer tells anything that operators want, or which requests
// are to be sent to no upstream.
func (a *WatchAnswer) orders() bool {
	return a.Document != nil || a.Weights != nil || a.Evacuation != nil || a.Quarantine != nil
}

// revisions returns how far the parts of the answer have come that the caller
// lacked; zero for the others.
func (a *WatchAnswer) revisions() revisions {
	var r revisions
	if a.Document != nil {
		r.document = a.Document.Version
	}
	if a.Weights != nil {
		r.weights = a.Weights.Revision
	}
	if a.Roster != nil {
		r.roster = a.Roster.Revision
	}
	if a.Quarantine != nil {
		r.quarantine = a.Quarantine.Revision
	}
	if a.Evacuation != nil {
		r.evacuation = a.Evacuation.Revision
	}
	return r
}

// submission carries an operator's or upstream's message to the leader.
type submission struct {
	Command *command `cbor:"1,keyasint,omitempty"`
	// Words are upstreams' announcements.
	Words []roster.Upstream `cbor:"2,keyasint,omitempty"`
	// Read asks for the configuration.
	Read bool `cbor:"3,keyasint,omitempty"`
	// Report is an entry's.
	Report *Report `cbor:"4,keyasint,omitempty"`
	// Evacuate is an operator's order.
	Evacuate *evacuation.Order `cbor:"5,keyasint,omitempty"`
}

type submitted struct {
	NotLeader bool              `cbor:"1,keyasint,omitempty"`
	Uncertain bool              `cbor:"2,keyasint,omitempty"`
	Verdict   verdict           `cbor:"3,keyasint"`
	Document  *catalog.Document `cbor:"4,keyasint,omitempty"`
	// Words are what became of the announcements, in their order.
	Words []wordVerdict `cbor:"5,keyasint,omitempty"`
	// Reason is why it is uncertain, maxReason bytes at most.
	Reason string `cbor:"6,keyasint,omitempty"`
}

// maxReason bounds the reason that a leader sends along.
const maxReason = 200

// joinRequest asks the leader to take a control host in.
type joinRequest struct {
	Host string `cbor:"1,keyasint"`
}

type joinAnswer struct {
	Leader  string   `cbor:"1,keyasint,omitempty"`
	Members []string `cbor:"2,keyasint,omitempty"`
}
