package config

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"

	"github.com/lovagereach/lovagereach/ident"
)

// Two operators apply a document on revision 1. The first command in the log
// creates revision 2; the second gets a conflict that names the first as the
// winner. Both answers are lost and both requests resent, also after a restore
// from a snapshot as on a leader change. Each must get its first answer again,
// and no third revision may be created.
func TestSameBaseConflictsAndResends(t *testing.T) {
	state := NewState()
	if got := state.Apply(command(state, "r1", 0, testDocument(1))); got.Verdict != VerdictApplied || got.Revision != 1 {
		t.Fatalf("first command got %+v, want revision 1 applied", got)
	}
	first := command(state, "r2", 1, testDocument(2))
	second := command(state, "r3", 1, testDocument(3))
	won := state.Apply(first)
	lost := state.Apply(second)
	if won.Verdict != VerdictApplied || won.Revision != 2 {
		t.Errorf("first command on revision 1 got %+v, want revision 2 applied", won)
	}
	if lost.Verdict != VerdictConflict || lost.Winner == nil || lost.Winner.RequestID != "r2" {
		t.Errorf("second command on revision 1 got %+v, want a conflict with winner r2", lost)
	}
	restored, err := FromImage(state.Image())
	if err != nil {
		t.Fatal(err)
	}
	for name, s := range map[string]*State{"same leader": state, "after a snapshot": restored} {
		t.Run(name, func(t *testing.T) {
			wantRepeat(t, s.Apply(first), won)
			wantRepeat(t, s.Apply(second), lost)
			other := first
			other.Content = second.Content
			if got := s.Apply(other); got.Verdict != VerdictReused {
				t.Errorf("same request ID with other content got %+v, want VerdictReused", got)
			}
			if s.Current().Revision() != 2 {
				t.Errorf("revision %d after resends, want 2", s.Current().Revision())
			}
		})
	}
}

func wantRepeat(t *testing.T, got, first Result) {
	t.Helper()
	if !got.Repeated {
		t.Errorf("resend got %+v, want Repeated set", got)
	}
	got.Repeated = false
	if !reflect.DeepEqual(got, first) {
		t.Errorf("resend got %+v, want the first answer %+v", got, first)
	}
}

// A request is resent after so many others that its first answer is no longer
// kept. It must get a conflict, because its base is an old revision by then,
// and its change must not be applied a second time.
func TestEvictedRequestIDConflicts(t *testing.T) {
	state := NewState()
	state.requestOrder.limit = 2
	old := command(state, "r1", 0, testDocument(1))
	state.Apply(old)
	for i := 2; i <= 4; i++ {
		state.Apply(command(state, fmt.Sprintf("r%d", i), Revision(i-1), testDocument(i)))
	}
	if len(state.requests) != 2 {
		t.Fatalf("%d request IDs kept, want 2", len(state.requests))
	}
	if got := state.Apply(old); got.Verdict != VerdictConflict || state.Current().Revision() != 4 {
		t.Errorf("resend with an evicted request ID got %+v at revision %d, want a conflict at 4", got, state.Current().Revision())
	}
}

// An operator applies a document that is invalid given the current revision. It
// must be refused as a whole with the path of the invalid field. Applying a
// part of it would put a configuration in force that no operator wrote.
func TestApplyRejectsInvalidDocuments(t *testing.T) {
	shards := testDocument(1)
	shards.LedgerShards = 8
	twoOwners := testDocument(2)
	twoOwners.Teams[1].Tokens = twoOwners.Teams[0].Tokens
	duplicate := testDocument(1)
	duplicate.Teams = append(duplicate.Teams, testTeam(7), testTeam(7))
	overcommitted := testDocument(3)
	for i := range overcommitted.Teams {
		overcommitted.Teams[i].Share.Guaranteed = FullShare / 2
	}
	noClass := testDocument(1)
	noClass.Classes = noClass.Classes[:1]
	otherKind := testDocument(1)
	otherKind.Classes[0].Kind = KindModel
	cases := []struct {
		name string
		base Revision
		doc  Document
		want string
	}{
		{"base after the latest revision", 9, testDocument(1), "the latest is 1"},
		{"ledger shards changed", 1, shards, "fixed at 4"},
		{"one token for two teams", 1, twoOwners, "every token names one team"},
		{"duplicate team", 1, duplicate, "is given twice"},
		{"guaranteed shares above 100%", 1, overcommitted, "add up to 150%"},
		{"removed class is in use by a team", 1, noClass, "teams[team-000000].classes"},
		{"class kind changed under a service", 1, otherKind, "services[clock].class"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			state := NewState()
			state.Apply(command(state, "r1", 0, testDocument(1)))
			got := state.Apply(command(state, "r2", c.base, c.doc))
			if got.Verdict != VerdictInvalid || !strings.Contains(got.Problems.Error(), c.want) {
				t.Errorf("got %+v, want VerdictInvalid with %q", got, c.want)
			}
			if state.Current().Revision() != 1 {
				t.Errorf("revision %d after a refused command, want 1", state.Current().Revision())
			}
		})
	}
}

// After each revision of a random sequence, followers get a random recent
// update: one that is late, repeated, merged or meant for another follower. A
// follower's revision must never decrease, and its view, including the indices,
// must equal the state's at that revision.
func TestFollowersMatchState(t *testing.T) {
	random := rand.New(rand.NewPCG(4, 1))
	state := NewState()
	state.deltas.kept.limit = 6
	var past []Update
	documents := map[Revision]Document{}
	followers := []*Follower{NewFollower(), NewFollower(), NewFollower()}
	for step := range 400 {
		doc := randomDocument(random)
		state.Apply(command(state, fmt.Sprint(step), state.Current().Revision(), doc))
		documents[state.Current().Revision()] = state.Current().Document()
		for _, follower := range followers {
			past = append(past, state.Since(follower.Current().Revision()))
			update := past[random.IntN(len(past))]
			before := follower.Current().Revision()
			moved, err := follower.Apply(update)
			if err != nil && err != ErrGap {
				t.Fatalf("step %d: %v", step, err)
			}
			after := follower.Current().Revision()
			if after < before || moved != (after > before) {
				t.Fatalf("step %d: moved %v from %d to %d", step, moved, before, after)
			}
			checkView(t, follower.Current(), documents[after])
		}
		past = past[max(0, len(past)-12):]
	}
	if followers[0].Current().Revision() < 100 {
		t.Errorf("follower reached only revision %d, want at least 100", followers[0].Current().Revision())
	}
}

func randomDocument(random *rand.Rand) Document {
	doc := testDocument(0)
	for i := range 12 {
		if random.IntN(3) == 0 {
			continue
		}
		team := testTeam(i)
		team.Share.Guaranteed = Share(random.IntN(5)) * sharePerPercent
		// Tokens move between teams.
		team.Tokens[0] = DigestToken(fmt.Sprint((i + random.IntN(2)*6) % 12))
		doc.Teams = append(doc.Teams, team)
	}
	seen := map[TokenDigest]bool{}
	kept := doc.Teams[:0]
	for _, team := range doc.Teams {
		if !seen[team.Tokens[0]] {
			seen[team.Tokens[0]] = true
			kept = append(kept, team)
		}
	}
	doc.Teams = kept
	return doc
}

func checkView(t *testing.T, view *Snapshot, want Document) {
	t.Helper()
	if got := view.Document(); !reflect.DeepEqual(got, want) {
		t.Fatalf("revision %d is %+v, want %+v", view.Revision(), got, want)
	}
	tokens, guaranteedSum := 0, uint64(0)
	for team := range view.Teams() {
		owner, found := view.TeamByToken(team.Tokens[0])
		if !found || owner.Name != team.Name {
			t.Fatalf("revision %d: TeamByToken for the token of %s returned %+v", view.Revision(), team.Name, owner)
		}
		tokens += len(team.Tokens)
		guaranteedSum += uint64(team.Share.Guaranteed)
	}
	if view.tokens.size != tokens || view.guaranteedSum != guaranteedSum {
		t.Fatalf("revision %d: %d tokens and guaranteed shares of %d, want %d and %d", view.Revision(), view.tokens.size, view.guaranteedSum, tokens, guaranteedSum)
	}
}

// After a lost answer a delta can reach a follower that lacks earlier
// revisions. The follower must refuse it and subscribe again. Applying it would
// give a configuration that was never in force.
func TestDeltaGapIsReported(t *testing.T) {
	follower := NewFollower()
	_, err := follower.Apply(Update{Delta: &Delta{From: 3, To: 4}})
	if err != ErrGap {
		t.Errorf("error is %v, want ErrGap", err)
	}
}

func TestRepeatableCall(t *testing.T) {
	service := Service{Repeatable: false, Paths: []PathRule{
		{Method: "GET", Prefix: "/", Repeatable: true},
		{Prefix: "/lots/", Repeatable: true},
		{Method: "POST", Prefix: "/lots", Repeatable: false},
	}}
	cases := []struct {
		method, path string
		want         bool
	}{
		{"GET", "/bids", true},
		{"POST", "/bids", false},
		{"PUT", "/lots/7", true},
		{"POST", "/lots/7", false},
		{"PUT", "/lotsale", false},
		{"PUT", "/lots?x=1", true},
	}
	for _, c := range cases {
		if got := service.RepeatableCall(c.method, c.path); got != c.want {
			t.Errorf("%s %s is %v, want %v", c.method, c.path, got, c.want)
		}
	}
}

// A snapshot whose parts are inconsistent, because of damage or a fault of its
// writer, must be refused. Otherwise a control host would answer from a state
// that its group never had.
func TestFromImageRejectsInconsistency(t *testing.T) {
	state := NewState()
	for i := range 3 {
		state.Apply(command(state, fmt.Sprint(i), Revision(i), testDocument(i+1)))
	}
	cases := map[string]func(*Image){
		"history gap":    func(i *Image) { i.History = i.History[1:2] },
		"delta gap":      func(i *Image) { i.Deltas = i.Deltas[:1] },
		"other document": func(i *Image) { i.Document.Classes[0].Name = ident.Class("?") },
	}
	for name, damage := range cases {
		t.Run(name, func(t *testing.T) {
			image := state.Image()
			damage(&image)
			if _, err := FromImage(image); err == nil {
				t.Error("inconsistent image was accepted")
			}
		})
	}
}

// A follower that lacks 10,000 changes must get the complete configuration in
// one message; one that lacks a few must get only those.
func TestSinceSendsFullRevisionWhenFarBehind(t *testing.T) {
	state := NewState()
	state.Apply(command(state, "first", 0, testDocument(50)))
	for n := range 10_000 {
		state.Apply(changeTeamCommand(state, 50, n))
	}
	latest := state.Current().Revision()
	cases := []struct {
		held Revision
		full bool
	}{
		{0, true},
		{1, true},
		{latest - DeltasKept - 1, true},
		{latest - 10, false},
	}
	for _, c := range cases {
		update := state.Since(c.held)
		if (update.Full != nil) != c.full || update.Empty() {
			t.Errorf("from revision %d of %d: full %v, want %v", c.held, latest, update.Full != nil, c.full)
		}
	}
	if got := state.Since(latest); !got.Empty() {
		t.Errorf("follower at the latest revision got %+v, want an empty update", got)
	}
}
