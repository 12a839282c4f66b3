package steward

import (
	"math"
	"time"

	"github.com/lovagereach/lovagereach/cacheindex"
	"github.com/lovagereach/lovagereach/catalog"
	"github.com/lovagereach/lovagereach/evacuation"
	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/quarantine"
	"github.com/lovagereach/lovagereach/ratelimit"
	"github.com/lovagereach/lovagereach/resumption"
	"github.com/lovagereach/lovagereach/roster"
	"github.com/lovagereach/lovagereach/warmup"
)

// Methods between processes.
const (
	methodWatch  port.Method = "steward.watch"
	methodSubmit port.Method = "steward.submit"
	methodJoin   port.Method = "steward.join"
	methodLeave  port.Method = "steward.leave"
	methodReport port.Method = "steward.report"
	methodOrigin port.Method = "steward.origin"
	methodTrial  port.Method = "steward.trial"
	// methodWithdraw withdraws the loads that an entry has reported to a control host which it has
	// left. A method of its own: a host that doesn't know it must not take the caller for an entry
	// without a configuration.
	methodWithdraw port.Method = "steward.withdraw"
)

// Load is one entry's work in progress at an upstream, or its outstanding reads from a store.
type Load struct {
	// Upstream is the upstream's ID or, for a store, its address.
	Upstream string `cbor:"1,keyasint"`
	Requests int    `cbor:"2,keyasint"`
	// Tokens is the number of prompt tokens in progress.
	Tokens int `cbor:"3,keyasint,omitempty"`
	// Unread is the number of tokens pending prefill at the runners before the answers begin.
	Unread int `cbor:"4,keyasint,omitempty"`
}

// EntryView is the state of one entry as reported to others.
type EntryView struct {
	Host       string `cbor:"1,keyasint"`
	DataCentre string `cbor:"2,keyasint"`
	// Callers is the address of its listener for callers.
	Callers string `cbor:"3,keyasint"`
	// Ready is false while the entry has no configuration or is leaving.
	Ready bool `cbor:"4,keyasint"`
	// Rate is the number of requests a second that the entry serves, and Most the number that
	// it can serve well, 0 if unknown.
	Rate int `cbor:"5,keyasint,omitempty"`
	Most int `cbor:"6,keyasint,omitempty"`
	// Evacuation is the revision of the evacuations in force at the entry, and Document the
	// version of the oldest configuration that it may serve by, 0 for none.
	Evacuation uint64          `cbor:"7,keyasint,omitempty"`
	Document   catalog.Version `cbor:"8,keyasint,omitempty"`
	// Unreached is the share of the upstreams that the entry doesn't reach, in percent.
	Unreached int `cbor:"9,keyasint,omitempty"`
	// Starting is set while the entry has not had a configuration yet, and isn't leaving. Callers may
	// use it: their requests wait until it has.
	Starting bool `cbor:"10,keyasint,omitempty"`
}

// WatchRequest requests the state that the caller lacks.
type WatchRequest struct {
	// Entry describes the caller; nil on control hosts.
	Entry *EntryView `cbor:"1,keyasint,omitempty"`
	// Document, Weights and Roster are the revisions that the caller holds.
	Document catalog.Version `cbor:"2,keyasint"`
	Weights  uint64          `cbor:"3,keyasint"`
	Roster   uint64          `cbor:"4,keyasint"`
	// Inventories is the position of the caller in the inventories, nil to request none.
	Inventories *cacheindex.Query `cbor:"5,keyasint,omitempty"`
	Loads       []Load            `cbor:"6,keyasint,omitempty"`
	// Term is the term of the previous answer, zero for the first call.
	Term uint64 `cbor:"7,keyasint"`
	// Relay is set by a control host that answers watches itself. RelayedEntries are then the
	// entries that watch it, and Loads their sum. RelayedEntries is left out if the leader
	// holds the list of revision RelayedRevision.
	Relay           bool        `cbor:"8,keyasint,omitempty"`
	RelayedEntries  []EntryView `cbor:"9,keyasint,omitempty"`
	RelayedRevision uint64      `cbor:"20,keyasint,omitempty"`
	// Direct is set by an entry that reaches none of the relays.
	Direct bool `cbor:"10,keyasint,omitempty"`
	// Overdue is set if the caller's configuration state is so old that the leader must answer,
	// even if relays exist.
	Overdue bool `cbor:"11,keyasint,omitempty"`
	// Entries is the number of entries in the caller's latest answer, zero for none. A leader
	// that has just started takes from it how many will call.
	Entries int `cbor:"12,keyasint,omitempty"`
	// Idle is set by an entry that has had no request recently: it needs the configuration in
	// time, and the rest only at its start.
	Idle bool `cbor:"13,keyasint,omitempty"`
	// Quarantine is the revision of the quarantine that the caller holds.
	Quarantine uint64 `cbor:"15,keyasint,omitempty"`
	// Evacuation is the revision of the evacuations that the caller holds.
	Evacuation uint64 `cbor:"16,keyasint,omitempty"`
	// Grants is the revision of the grants and shares that the caller, a control host, holds.
	Grants uint64 `cbor:"17,keyasint,omitempty"`
	// LastContacts are the upstreams that announced themselves to the caller, a control host,
	// since its latest answered request.
	LastContacts []LastContact `cbor:"14,keyasint,omitempty"`
	// SilentRevision is the revision of the list of silent upstreams that the caller received in
	// Term.
	SilentRevision uint64 `cbor:"19,keyasint,omitempty"`
	// Limits are limits of upstreams that the caller knows and that the list of revision
	// LimitsRevision, received in Term, lacks.
	Limits         []ratelimit.Observation `cbor:"21,keyasint,omitempty"`
	LimitsRevision uint64                  `cbor:"22,keyasint,omitempty"`
	// Learned is a report on what the caller has learned, left out if it has changed little since
	// its latest one, and LearnedRevision the revision of what it holds of others.
	Learned         []byte `cbor:"23,keyasint,omitempty"`
	LearnedRevision uint64 `cbor:"24,keyasint,omitempty"`
	// Directory is set by an entry that answers callers' queries for addresses, and
	// AddressesRevision is the revision of the addresses that it holds.
	Directory         bool   `cbor:"50,keyasint,omitempty"`
	AddressesRevision uint64 `cbor:"51,keyasint,omitempty"`
	// ReadingRoster is set while the caller receives the complete roster, page by page.
	ReadingRoster bool `cbor:"18,keyasint,omitempty"`
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
	// Ages holds, for each of Newest, how long ago the answering host learnt of it; empty in an answer
	// of an earlier release.
	Ages []time.Duration `cbor:"3,keyasint,omitempty"`
	// Namings holds, for each of Newest, when and where it was named; empty in an answer of an earlier
	// release.
	Namings []Naming `cbor:"4,keyasint,omitempty"`
}

// Naming returns when and where one of Newest was named, nil if that isn't known.
func (v *WeightsView) Naming(i int) *Naming {
	if i >= len(v.Namings) || v.Namings[i].AtMs == 0 {
		return nil
	}
	return &v.Namings[i]
}

// Age returns how long ago the answering host learnt of one of Newest, 0 if that isn't known.
func (v *WeightsView) Age(i int) time.Duration {
	if i >= len(v.Ages) {
		return 0
	}
	return max(v.Ages[i], 0)
}

// RosterView is a page of the upstreams that changed after revision Since, up to Revision,
// including those that are gone. Pages from 0 on list the complete roster: an upstream that is
// on none of them up to the last one is gone. A control host, which has the roster from the
// log, receives Revision only.
type RosterView struct {
	Revision  uint64            `cbor:"1,keyasint"`
	Upstreams []roster.Upstream `cbor:"2,keyasint"`
	Since     uint64            `cbor:"3,keyasint,omitempty"`
	// More is set if another page follows.
	More bool `cbor:"4,keyasint,omitempty"`
	// encoded is the encoded message, kept since several callers receive it.
	encoded []byte
}

// QuarantineView lists the requests that must be sent to no upstream, and the suspects, which
// one more crash would quarantine; the same for parts of prompts.
type QuarantineView struct {
	Revision     uint64                   `cbor:"1,keyasint"`
	Quarantined  []quarantine.Fingerprint `cbor:"2,keyasint,omitempty"`
	Suspects     []quarantine.Fingerprint `cbor:"3,keyasint,omitempty"`
	Parts        []PartView               `cbor:"4,keyasint,omitempty"`
	PartSuspects []PartView               `cbor:"5,keyasint,omitempty"`
}

// PartView is a quarantined or suspected part of prompts.
type PartView struct {
	_    struct{} `cbor:",toarray"`
	Part quarantine.Fingerprint
	// FirstCrashMs is the time in ms since the first crash that counts against it, zero if unknown. A
	// part of which a request was served since is sound.
	FirstCrashMs uint32
	// DueMs is the time in ms until the next trial of a quarantined part with no other such part,
	// DueSharedMs until that with others. They are zero if it is overdue.
	DueMs, DueSharedMs uint32
}

// millis converts a time to ms; negative times are zero.
func millis(d time.Duration) uint32 { return uint32(min(max(d.Milliseconds(), 0), math.MaxUint32)) }

// Report is an entry's report on requests that crash upstreams.
type Report struct {
	Crashes []quarantine.Crash `cbor:"1,keyasint,omitempty"`
	// Served are suspected or quarantined requests that completed successfully, and parts of such.
	Served []quarantine.Fingerprint `cbor:"2,keyasint,omitempty"`
	// Unused are trials, by their parts, that were granted and reached no upstream.
	Unused [][]quarantine.Fingerprint `cbor:"3,keyasint,omitempty"`
	// Unserved are suspected parts of which this entry has seen no request served for a while, although
	// it has seen others.
	Unserved []quarantine.Fingerprint `cbor:"4,keyasint,omitempty"`
	// Refuted are upstreams whose crash was reported though they ran on.
	Refuted []quarantine.Refuted `cbor:"5,keyasint,omitempty"`
}

// Empty reports whether there is nothing to send.
func (r *Report) Empty() bool {
	return len(r.Crashes)+len(r.Served)+len(r.Unused)+len(r.Unserved)+len(r.Refuted) == 0
}

// StoreState is the state of one store; it may be used while Open.
type StoreState struct {
	Address     string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	Open        bool   `cbor:"3,keyasint"`
}

// PeerView is an entry that reaches upstreams and takes requests of entries that don't.
type PeerView struct {
	Host       string `cbor:"1,keyasint"`
	DataCentre string `cbor:"2,keyasint"`
	// Callers is the address of its listener for callers.
	Callers string `cbor:"3,keyasint"`
}

// WatchAnswer holds the state that the caller lacked.
type WatchAnswer struct {
	// Redirect directs the caller to another host: one of Relays or, if there are none, Leader.
	// The other fields are empty then, except Members.
	Redirect bool `cbor:"1,keyasint,omitempty"`
	// Shed is set if the host leads and has no time for the caller.
	Shed bool `cbor:"34,keyasint,omitempty"`
	// Leader is the host that leads, empty if unknown.
	Leader string `cbor:"2,keyasint,omitempty"`
	// Members are the control hosts of the group.
	Members  []string          `cbor:"3,keyasint,omitempty"`
	Term     uint64            `cbor:"4,keyasint"`
	Document *catalog.Document `cbor:"5,keyasint,omitempty"`
	Weights  *WeightsView      `cbor:"6,keyasint,omitempty"`
	Roster   *RosterView       `cbor:"7,keyasint,omitempty"`
	// Silent are the upstreams that have not announced themselves recently, of revision
	// SilentRevision in Term. They are left out if the caller holds that revision.
	Silent         []string `cbor:"8,keyasint,omitempty"`
	SilentRevision uint64   `cbor:"30,keyasint,omitempty"`
	// Loading are the runners with an order to load weights.
	Loading []string `cbor:"16,keyasint,omitempty"`
	// Inventories is what the caller lacked of the inventories. StoreStates are the states of
	// the stores once the inventories are complete.
	Inventories *cacheindex.Update `cbor:"9,keyasint,omitempty"`
	StoreStates []StoreState       `cbor:"11,keyasint,omitempty"`
	// Clock is the earliest time that the upstreams' clock can show, in milliseconds; zero
	// while unknown.
	Clock int64 `cbor:"13,keyasint,omitempty"`
	// Loads is the work in progress of the other entries.
	Loads []Load `cbor:"14,keyasint,omitempty"`
	// Entries lists the entries, for control hosts; entries receive EntryCount only. Counting
	// is set while the leader doesn't know the number yet.
	Entries    []EntryView `cbor:"15,keyasint,omitempty"`
	EntryCount int         `cbor:"17,keyasint"`
	Counting   bool        `cbor:"35,keyasint,omitempty"`
	// RelayedRevision is the revision of the entry list that the leader has from the caller, a
	// control host.
	RelayedRevision uint64 `cbor:"33,keyasint,omitempty"`
	// ActiveEntries is the number of the entries that received requests recently.
	ActiveEntries int `cbor:"32,keyasint,omitempty"`
	// Relaying is set if there are more entries than the leader answers itself. Relays are the
	// hosts that entries should query instead.
	Relaying bool        `cbor:"18,keyasint,omitempty"`
	Relays   []RelayView `cbor:"19,keyasint,omitempty"`
	// InventoryAge is the age of the inventories, in nanoseconds: from the leader the time
	// since the end of its lease, zero within it, and from a relay the time since its request
	// to the leader plus that age.
	InventoryAge time.Duration `cbor:"20,keyasint,omitempty"`
	// MinVersions lists the minimum weight versions on which a prompt may begin, for the models
	// whose older versions are past their time bound.
	MinVersions []roster.Loaded `cbor:"21,keyasint,omitempty"`
	// MinAges holds, for each of MinVersions, how long it has been a target at least; empty in an
	// answer of an earlier release.
	MinAges []time.Duration `cbor:"52,keyasint,omitempty"`
	// StateAge is the age of Document, Weights, Roster, Quarantine and Evacuation, measured in
	// the same way.
	StateAge time.Duration `cbor:"22,keyasint,omitempty"`
	// OpenFor is the time for which the watch was kept open before the state in the answer was
	// read.
	OpenFor time.Duration `cbor:"31,keyasint,omitempty"`
	// Pause is the time that the caller should wait before its next request.
	Pause      time.Duration   `cbor:"23,keyasint,omitempty"`
	Quarantine *QuarantineView `cbor:"24,keyasint,omitempty"`
	// Evacuation lists the data centres whose upstreams get no new work.
	Evacuation *evacuation.View `cbor:"25,keyasint,omitempty"`
	// Grants are the caller's permits for cold upstreams or, for a control host that holds
	// another revision, those of all entries. GrantsRevision is the revision of the grants and
	// shares, 0 if none are confirmed.
	Grants         []warmup.Grant `cbor:"26,keyasint,omitempty"`
	GrantsRevision uint64         `cbor:"27,keyasint,omitempty"`
	// GrantsAge is the maximum time between the leader's confirmation of the grants and the
	// answer.
	GrantsAge time.Duration `cbor:"28,keyasint,omitempty"`
	// Shares are the caller's shares of upstreams' limits or, for a control host that holds
	// another revision, those of all entries. They are confirmed together with the grants.
	Shares []ratelimit.Share `cbor:"36,keyasint,omitempty"`
	// Limits are the limits that upstreams named, of revision LimitsRevision in Term. They are
	// left out if the caller holds that revision.
	Limits         []ratelimit.Observation `cbor:"37,keyasint,omitempty"`
	LimitsRevision uint64                  `cbor:"38,keyasint,omitempty"`
	// Peers are entries to which the caller, an entry that doesn't reach all upstreams, may
	// forward requests.
	Peers []PeerView `cbor:"39,keyasint,omitempty"`
	// Learned is what entries have learned together, of revision LearnedRevision. It is left out if
	// the caller holds that revision.
	Learned         []byte `cbor:"40,keyasint,omitempty"`
	LearnedRevision uint64 `cbor:"41,keyasint,omitempty"`
	// Addresses are the listeners that callers in the data centre of the caller, an entry, should
	// use, of revision AddressesRevision (0 if this host has no list). They are left out if the
	// caller holds that revision.
	Addresses         []string `cbor:"50,keyasint,omitempty"`
	AddressesRevision uint64   `cbor:"51,keyasint,omitempty"`
	// EntriesUnchanged is set if Entries is left out because the list last sent to the caller,
	// a control host, still holds.
	EntriesUnchanged bool `cbor:"29,keyasint,omitempty"`
	// Incarnation is the incarnation of the leader, and Led the time for which the group has been led,
	// over changes of leader that no lost host caused. Only a leader's answers to control hosts have
	// them; they are zero in those of an earlier release.
	Incarnation ident.Incarnation `cbor:"53,keyasint,omitempty"`
	Led         time.Duration     `cbor:"54,keyasint,omitempty"`
	// Partial is set on an answer that was applied after another one that was requested later,
	// or about as late: only Document, Weights, Roster, Quarantine and Evacuation, which have
	// revisions, are still valid.
	Partial bool `cbor:"-"`
	// waited is the time for which the watch was kept open.
	waited time.Duration
}

// boundTimes limits the times in an answer to what can be: it was read after its request was sent, which
// is elapsed ago, and before it came.
func (a *WatchAnswer) boundTimes(elapsed time.Duration) {
	a.OpenFor = min(max(a.OpenFor, 0), elapsed)
	for _, age := range []*time.Duration{&a.StateAge, &a.InventoryAge, &a.GrantsAge, &a.Led} {
		*age = max(*age, 0)
	}
	for i := range a.MinAges {
		a.MinAges[i] = max(a.MinAges[i], 0)
	}
}

// orders reports whether the answer carries anything that operators ordered, or a change of the
// quarantine.
func (a *WatchAnswer) orders() bool {
	return a.Document != nil || a.Weights != nil || a.Evacuation != nil || a.Quarantine != nil
}

// revisions returns the revisions of the parts that the caller lacked; zero for the others.
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

// OriginRequest tells a control host which software versions began streams, and asks it for that
// of a stream.
type OriginRequest struct {
	Records []resumption.Record `cbor:"1,keyasint,omitempty"`
	// Find is the stream whose record is requested, nil for none. Service is the service that
	// is to go on with it.
	Find    *resumption.Key `cbor:"2,keyasint,omitempty"`
	Service string          `cbor:"3,keyasint,omitempty"`
}

// OriginAnswer is what a control host knows of a stream.
type OriginAnswer struct {
	// Found is the stream's record, nil if the host has none.
	Found *resumption.Record `cbor:"1,keyasint,omitempty"`
	// Only is the version at which all streams of the service began, if Known.
	Only  string `cbor:"2,keyasint,omitempty"`
	Known bool   `cbor:"3,keyasint,omitempty"`
}

// submission is an operator's, upstream's or entry's message to the leader.
type submission struct {
	Command *command `cbor:"1,keyasint,omitempty"`
	// Announcements are upstreams' announcements.
	Announcements []roster.Upstream `cbor:"2,keyasint,omitempty"`
	// Read requests the configuration.
	Read bool `cbor:"3,keyasint,omitempty"`
	// Report is an entry's report.
	Report *Report `cbor:"4,keyasint,omitempty"`
	// Evacuate is an operator's order.
	Evacuate *evacuation.Order `cbor:"5,keyasint,omitempty"`
	// Trial are the quarantined parts of a request that an entry asks to send.
	Trial []quarantine.Fingerprint `cbor:"6,keyasint,omitempty"`
}

type submitted struct {
	NotLeader bool              `cbor:"1,keyasint,omitempty"`
	Uncertain bool              `cbor:"2,keyasint,omitempty"`
	Verdict   verdict           `cbor:"3,keyasint"`
	Document  *catalog.Document `cbor:"4,keyasint,omitempty"`
	// Results are the outcomes of the announcements, in their order.
	Results []announceResult `cbor:"5,keyasint,omitempty"`
	// Reason is the cause of Uncertain, at most maxReason bytes.
	Reason string `cbor:"6,keyasint,omitempty"`
	// Granted indicates that the request may be sent, as a trial.
	Granted bool `cbor:"7,keyasint,omitempty"`
	// TooLarge is ErrTooLarge. Uncertain is set with it, for hosts of an earlier release.
	TooLarge bool `cbor:"8,keyasint,omitempty"`
}

// maxReason bounds the reason in a leader's answer.
const maxReason = 200

// joinRequest requests the leader to admit a control host.
type joinRequest struct {
	Host string `cbor:"1,keyasint"`
}

type joinAnswer struct {
	Leader  string   `cbor:"1,keyasint,omitempty"`
	Members []string `cbor:"2,keyasint,omitempty"`
}

// leaveRequest requests the leader to replace the control host that sends it, which stops.
type leaveRequest struct{}

type leaveAnswer struct {
	// Left is set once the group needs nothing more of the host: it is no member, or no other host
	// can take its place.
	Left bool `cbor:"1,keyasint,omitempty"`
}
