package member

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"github.com/lovagereach/lovagereach/ident"
)

// Defaults of DirectoryOptions.
const (
	DefaultMaxMembers = 4096
	DefaultHistory    = 1024
	DefaultRetention  = time.Hour
)

// Version is a position in the sequence of changes of one root. A new root starts
// a new epoch, so sequence numbers of different roots are never compared.
type Version struct {
	// Epoch is the term of the control group's leader.
	Epoch    uint64 `cbor:"1,keyasint"`
	Sequence uint64 `cbor:"2,keyasint"`
}

// Compare orders versions by epoch, then sequence.
func (v Version) Compare(other Version) int {
	if order := cmp.Compare(v.Epoch, other.Epoch); order != 0 {
		return order
	}
	return cmp.Compare(v.Sequence, other.Sequence)
}

// Update advances a View to version To. A delta applies to a view at version From;
// a snapshot replaces the whole content.
type Update struct {
	From     Version  `cbor:"1,keyasint"`
	To       Version  `cbor:"2,keyasint"`
	Snapshot bool     `cbor:"3,keyasint,omitempty"`
	Members  []Member `cbor:"4,keyasint,omitempty"`
}

// DirectoryOptions configure a Directory.
type DirectoryOptions struct {
	// MaxMembers bounds the processes known, including those that are down.
	MaxMembers int
	// History is the number of changes kept for deltas.
	History int
	// Retention is the time for which a process that is down is kept, so that
	// stale claims about it are recognised.
	Retention time.Duration
}

// Validate returns an error if an option is not above zero.
func (o DirectoryOptions) Validate() error {
	if o.MaxMembers <= 0 || o.History <= 0 || o.Retention <= 0 {
		return errors.New("member: MaxMembers, History and Retention must be above zero")
	}
	return nil
}

// Directory is the root's merged list of all processes. It is not safe for
// concurrent use.
type Directory struct {
	opts    DirectoryOptions
	version Version
	members map[ident.Host]memberRecord
	// history[i] is the change with sequence number firstSequence+i.
	history       []Member
	firstSequence uint64
}

// memberRecord is a member with the parent that reported it.
type memberRecord struct {
	member    Member
	parent    ident.Host
	downSince time.Time
}

// NewDirectory returns an empty directory of the given epoch.
func NewDirectory(opts DirectoryOptions, epoch uint64) (*Directory, error) {
	if err := opts.Validate(); err != nil {
		return nil, err
	}
	directory := &Directory{
		opts:          opts,
		version:       Version{Epoch: epoch},
		members:       make(map[ident.Host]memberRecord),
		firstSequence: 1,
	}
	return directory, nil
}

// Version returns the current position in the sequence.
func (d *Directory) Version() Version { return d.version }

// Merge applies claims reported by a parent and returns the number that were new.
// Stale claims are ignored: a process that moved to another parent has a later
// session there, so a "down" from its old parent has no effect.
func (d *Directory) Merge(now time.Time, parent ident.Host, claims []Member) int {
	accepted := 0
	for _, claim := range claims {
		if d.mergeClaim(now, parent, claim) {
			accepted++
		}
	}
	return accepted
}

func (d *Directory) mergeClaim(now time.Time, parent ident.Host, claim Member) bool {
	if claim.Validate() != nil {
		return false
	}
	known, exists := d.members[claim.Host]
	if exists && !claim.supersedes(known.member) {
		return false
	}
	if !exists && len(d.members) >= d.opts.MaxMembers && !d.removeOldestDown(now) {
		return false
	}
	d.set(now, parent, claim)
	return true
}

func (d *Directory) set(now time.Time, parent ident.Host, claim Member) {
	next := memberRecord{member: claim, parent: parent}
	if claim.State == StateDown {
		next.downSince = now
	}
	d.members[claim.Host] = next
	d.appendChange(claim)
}

// appendChange adds a change to the history under the next sequence number. The
// history is truncated to its bound only when it reaches twice the bound, which
// amortizes the cost of the copy.
func (d *Directory) appendChange(claim Member) {
	d.version.Sequence++
	d.history = append(d.history, claim)
	if len(d.history) < 2*d.opts.History {
		return
	}
	excess := len(d.history) - d.opts.History
	d.history = slices.Clone(d.history[excess:])
	d.firstSequence += uint64(excess)
}

// remove removes a member from the directory and, by the next update, from every
// view.
func (d *Directory) remove(host ident.Host) {
	claim := d.members[host].member
	claim.State = StateForgotten
	delete(d.members, host)
	d.appendChange(claim)
}

// removeOldestDown removes the member that has been down longest. It returns false
// if none is down.
func (d *Directory) removeOldestDown(now time.Time) bool {
	var oldestHost ident.Host
	oldestTime := now.Add(1)
	for host, e := range d.members {
		if e.member.State == StateDown && e.downSince.Before(oldestTime) {
			oldestHost, oldestTime = host, e.downSince
		}
	}
	if oldestHost == "" {
		return false
	}
	d.remove(oldestHost)
	return true
}

// ParentLost marks the members of a parent that have not attached elsewhere as
// down and returns their number. The caller first waits for a grace period after
// the parent's lease expired, in which its children attach to another parent with
// a new session.
func (d *Directory) ParentLost(now time.Time, parent ident.Host) int {
	lostHosts := d.hostsWhere(func(e memberRecord) bool {
		return e.parent == parent && e.member.State != StateDown
	})
	for _, host := range lostHosts {
		claim := d.members[host].member
		claim.State = StateDown
		d.set(now, parent, claim)
	}
	return len(lostHosts)
}

// hostsWhere returns the matching hosts in sorted order, so that equal inputs give
// equal sequences of changes.
func (d *Directory) hostsWhere(match func(memberRecord) bool) []ident.Host {
	var hosts []ident.Host
	for host, e := range d.members {
		if match(e) {
			hosts = append(hosts, host)
		}
	}
	slices.Sort(hosts)
	return hosts
}

// Tick removes members that have been down for longer than Retention.
func (d *Directory) Tick(now time.Time) {
	expired := d.hostsWhere(func(e memberRecord) bool {
		return e.member.State == StateDown && now.Sub(e.downSince) > d.opts.Retention
	})
	for _, host := range expired {
		d.remove(host)
	}
}

// Since returns the update from the given version to the current one: a delta if
// the changes are still kept, otherwise a snapshot. The second result is false if
// that version is the current one or a later one. A later one means that this root
// has been replaced.
func (d *Directory) Since(have Version) (Update, bool) {
	if have.Compare(d.version) >= 0 {
		return Update{}, false
	}
	if have.Epoch != d.version.Epoch || have.Sequence+1 < d.firstSequence {
		return d.snapshot(), true
	}
	changes := d.history[have.Sequence+1-d.firstSequence:]
	return Update{From: have, To: d.version, Members: latestOnly(changes)}, true
}

// latestOnly returns the last claim about each host, in order. A process that has
// changed state several times thus takes one claim of an update.
func latestOnly(changes []Member) []Member {
	last := make(map[ident.Host]int, len(changes))
	for i, change := range changes {
		last[change.Host] = i
	}
	kept := make([]Member, 0, len(last))
	for i, change := range changes {
		if last[change.Host] == i {
			kept = append(kept, change)
		}
	}
	return kept
}

func (d *Directory) snapshot() Update {
	all := make([]Member, 0, len(d.members))
	for _, e := range d.members {
		all = append(all, e.member)
	}
	SortByHost(all)
	return Update{To: d.version, Snapshot: true, Members: all}
}
