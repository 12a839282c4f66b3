package lease

import (
	"testing"
	"time"

	"github.com/lovagereach/lovagereach/ident"
)

var start = time.Unix(1_000, 0)

func after(d time.Duration) time.Time { return start.Add(d) }

// granterWithTwoLeases returns a granter after the wait for earlier leases, with
// revision 1 in force and one lease for each of two entries.
func granterWithTwoLeases(t *testing.T) (g *Granter, a, b HolderID, now time.Time) {
	t.Helper()
	g = NewGranter(Options{}, start, 1)
	a, b = HolderID{Host: "a"}, HolderID{Host: "b"}
	now = after(GranterTerm(DefaultTerm))
	for _, id := range []HolderID{a, b} {
		if grant := g.Renew(now, id, 1); grant.Refused != "" {
			t.Fatalf("lease refused: %s", grant.Refused)
		}
	}
	if got := g.InForce(now); got != 1 {
		t.Fatalf("revision %d in force, want 1", got)
	}
	return g, a, b, now
}

// A change is committed while one of two entries is partitioned. The other
// acknowledges immediately. The revision must be in force exactly when the lease
// of the partitioned entry can no longer be in use.
func TestPartitionedEntryDelaysRevisionUntilItsLeaseExpires(t *testing.T) {
	g, a, b, now := granterWithTwoLeases(t)
	g.Committed(now, 2)
	g.Ack(a, 2)
	end := now.Add(GranterTerm(DefaultTerm))
	if next := g.NextExpiry(now); !next.Equal(end) {
		t.Errorf("next expiry %s, want %s", next, end)
	}
	if got := g.InForce(end.Add(-1)); got != 1 {
		t.Errorf("revision %d in force while %s may still serve by revision 1", got, b.Host)
	}
	if got := g.InForce(end); got != 2 {
		t.Errorf("revision %d in force after the lease ended, want 2", got)
	}
	if grant := g.Renew(end, b, 1); grant.Refused != RefusedBehind {
		t.Errorf("entry at revision 1 got a lease after 2 was in force: %+v", grant)
	}
	if grant := g.Renew(end, b, 2); grant.Refused != "" {
		t.Errorf("entry at revision 2 was refused: %+v", grant)
	}
}

// An entry keeps renewing but never applies the new revision. After AckGrace its
// renewals must be refused, so that the change is in force one lease later at the
// latest.
func TestEntryWithoutUpdatesDelaysRevisionForBoundedTime(t *testing.T) {
	g, a, b, now := granterWithTwoLeases(t)
	g.Committed(now, 2)
	g.Ack(a, 2)
	var last time.Time
	for at := now; at.Before(now.Add(20 * time.Second)); at = at.Add(500 * time.Millisecond) {
		g.Renew(at, a, 2)
		if g.Renew(at, b, 1).Refused == "" {
			last = at
		}
	}
	if last.After(now.Add(DefaultAckGrace)) {
		t.Errorf("lease of the entry behind renewed until %s after the commit", last.Sub(now))
	}
	if got := g.InForce(last.Add(GranterTerm(DefaultTerm))); got != 2 {
		t.Errorf("revision %d in force, want 2", got)
	}
}

// An entry shuts down gracefully and releases its lease without having
// acknowledged the latest revision. It no longer serves, so the revision must be
// in force without a wait for the lease to expire.
func TestReleasedLeaseNoLongerCounts(t *testing.T) {
	g, a, b, now := granterWithTwoLeases(t)
	g.Committed(now, 2)
	g.Ack(a, 2)
	g.Release(b)
	if got := g.InForce(now); got != 2 {
		t.Errorf("revision %d in force, want 2", got)
	}
}

// A leader is replaced right after it reported revision 5 in force. The new leader
// does not know the earlier leases. It must report no revision in force until they
// have expired, and grant no lease to an entry with an older revision.
func TestNewLeaderWaitsForEarlierLeases(t *testing.T) {
	g := NewGranter(Options{}, start, 5)
	id := HolderID{Host: "a"}
	if grant := g.Renew(start, id, 4); grant.Refused != RefusedBehind {
		t.Errorf("entry behind got %+v", grant)
	}
	if grant := g.Renew(start, id, 5); grant.Refused != "" {
		t.Errorf("entry up to date got %+v", grant)
	}
	end := after(GranterTerm(DefaultTerm))
	if got := g.InForce(end.Add(-1)); got != 0 {
		t.Errorf("revision %d reported in force while earlier leases may be in use", got)
	}
	if got := g.InForce(end); got != 5 {
		t.Errorf("revision %d in force, want 5", got)
	}
}

// More processes renew than MaxHolders, and revisions are committed faster than
// entries apply them. Another holder must be refused until a lease has expired,
// since a lease that is not tracked could not be waited for. Old commit times must
// be dropped, and an entry too far behind must catch up before it gets a lease.
func TestGranterIsBounded(t *testing.T) {
	g := NewGranter(Options{}, start, 1)
	for i := range MaxHolders {
		g.Renew(start, HolderID{Host: "a", Incarnation: ident.Incarnation(i)}, 1)
	}
	if grant := g.Renew(start, HolderID{Host: "b"}, 1); grant.Refused != RefusedFull {
		t.Errorf("holder %d got %+v", MaxHolders+1, grant)
	}
	if grant := g.Renew(after(time.Minute), HolderID{Host: "b"}, 1); grant.Refused != "" {
		t.Errorf("holder after the other leases expired got %+v", grant)
	}
	for revision := range Revision(3 * maxCommits) {
		g.Committed(after(time.Minute), revision+2)
	}
	if len(g.commits) > maxCommits {
		t.Errorf("%d commit times kept", len(g.commits))
	}
	if grant := g.Renew(after(time.Hour), HolderID{Host: "c"}, 2); grant.Refused != RefusedBehind {
		t.Errorf("entry far behind got %+v", grant)
	}
}

// Answers to renewals arrive late, twice or without a request. Only an expected
// answer may extend the lease, counted from before its request was sent. Any other
// would let the entry serve longer than the leader tracks the lease.
func TestHolderIgnoresUnexpectedAnswers(t *testing.T) {
	var h Holder
	first := h.Request(start)
	cases := []struct {
		name   string
		number uint64
		want   bool
	}{
		{"never requested", first + 1, false},
		{"zero", 0, false},
		{"expected", first, true},
	}
	for _, c := range cases {
		if got := h.Granted(c.number, DefaultTerm); got != c.want {
			t.Errorf("%s: accepted %v, want %v", c.name, got, c.want)
		}
	}
	if want := start.Add(HolderTerm(DefaultTerm)); !h.Expiry().Equal(want) {
		t.Errorf("lease expires %s, want %s", h.Expiry(), want)
	}
	h.Release()
	if h.Granted(first, DefaultTerm) || h.Valid(start) {
		t.Error("a released lease became valid again")
	}
	for range maxOutstanding {
		h.Request(start)
	}
	if h.Granted(first, DefaultTerm) {
		t.Error("an answer older than the outstanding renewals was accepted")
	}
}

// A leader that has been replaced without knowing it sends an order after its
// successor did. The fence of the upstream has received the later token and must
// refuse the earlier one, so that the old order can't undo the new one.
func TestFenceRefusesEarlierEpochs(t *testing.T) {
	epochs := RestoreEpochs(Epoch{Token: 7})
	older := epochs.Open("a", 0).Token
	newer := epochs.Open("b", 0).Token
	var fence Fence
	if !fence.Admit(older) || !fence.Admit(newer) || fence.Admit(older) || !fence.Admit(newer) {
		t.Errorf("fence at %d after %d and %d", fence.Highest(), older, newer)
	}
}
