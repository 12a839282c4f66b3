package config

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"

	"github.com/lovagereach/lovagereach/ident"
)

// Two operators read revision 1 and both apply. The first command in the log
// makes revision 2; the second operator sees a conflict that names the winner.
// Both lose their answers and resend the same request, also after a leader
// change and a snapshot: each gets its first answer, and no third revision
// comes to be.
func TestEqualBasesAndResends(t *testing.T) {
	state := NewState()
	if got := state.Apply(command(state, "r1", 0, testDocument(1))); got.Verdict != VerdictApplied || got.Revision != 1 {
		t.Fatalf("first apply gives %+v", got)
	}
	first := command(state, "r2", 1, testDocument(2))
	second := command(state, "r3", 1, testDocument(3))
	won := state.Apply(first)
	lost := state.Apply(second)
	if won.Verdict != VerdictApplied || won.Revision != 2 {
		t.Errorf("first of equal numbers gives %+v", won)
	}
	if lost.Verdict != VerdictConflict || lost.Winner == nil || lost.Winner.RequestID != "r2" {
		t.Errorf("second of equal numbers gives %+v", lost)
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
				t.Errorf("same id with other content gives %+v", got)
			}
			if s.Current().Revision() != 2 {
				t.Errorf("revision %d after resends", s.Current().Revision())
			}
		})
	}
}

func wantRepeat(t *testing.T, got, first Result) {
	t.Helper()
	if !got.Repeated {
		t.Errorf("resend is not marked as repeated: %+v", got)
	}
	got.Repeated = false
	if !reflect.DeepEqual(got, first) {
		t.Errorf("resend gives %+v, first answer was %+v", got, first)
	}
}

// A request id comes again after so many others that its answer is no longer
// kept. Its base is an old revision by then: the caller sees a conflict, and
// its change is not applied a second time.
func TestForgottenRequestIDIsHarmless(t *testing.T) {
	state := NewState()
	state.order.limit = 2
	old := command(state, "r1", 0, testDocument(1))
	state.Apply(old)
	for i := 2; i <= 4; i++ {
		state.Apply(command(state, fmt.Sprintf("r%d", i), Revision(i-1), testDocument(i)))
	}
	if len(state.requests) != 2 {
		t.Fatalf("%d request ids kept, want 2", len(state.requests))
	}
	if got := state.Apply(old); got.Verdict != VerdictConflict || state.Current().Revision() != 4 {
		t.Errorf("forgotten id gives %+v at revision %d", got, state.Current().Revision())
	}
}

// An operator applies a document that can't be in force beside the present one.
// It is refused as a whole and names the field at fault; part of it in force
// would be a configuration that nobody wrote.
func TestApplyRefuses(t *testing.T) {
	shards := testDocument(1)
	shards.LedgerShards = 8
	twoOwners := testDocument(2)
	twoOwners.Teams[1].Tokens = twoOwners.Teams[0].Tokens
	twice := testDocument(1)
	twice.Teams = append(twice.Teams, testTeam(7), testTeam(7))
	floors := testDocument(3)
	for i := range floors.Teams {
		floors.Teams[i].Share.Guaranteed = FullShare / 2
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
		{"base ahead", 9, testDocument(1), "the latest is 1"},
		{"ledger shards changed", 1, shards, "fixed at 4"},
		{"one token for two teams", 1, twoOwners, "every token names one team"},
		{"team given twice", 1, twice, "is given twice"},
		{"floors above the whole", 1, floors, "add up to 150%"},
		{"class dropped that a service names", 1, noClass, "teams[team-000000].classes"},
		{"class kind changed under a service", 1, otherKind, "services[clock].class"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			state := NewState()
			state.Apply(command(state, "r1", 0, testDocument(1)))
			got := state.Apply(command(state, "r2", c.base, c.doc))
			if got.Verdict != VerdictInvalid || !strings.Contains(got.Problems.Error(), c.want) {
				t.Errorf("%+v lacks %q", got, c.want)
			}
			if state.Current().Revision() != 1 {
				t.Errorf("revision %d after a refusal", state.Current().Revision())
			}
		})
	}
}

// A random walk of documents, each revision followed by several followers that
// skip updates, get merged deltas, late and repeated ones. A follower never
// goes back, and where it stands its view equals the state's at that revision,
// indices included.
func TestFollowersAgreeWithState(t *testing.T) {
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
		t.Errorf("follower only reached revision %d", followers[0].Current().Revision())
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
	tokens, floors := 0, uint64(0)
	for team := range view.Teams() {
		owner, found := view.TeamByToken(team.Tokens[0])
		if !found || owner.Name != team.Name {
			t.Fatalf("revision %d: token of %s names %+v", view.Revision(), team.Name, owner)
		}
		tokens += len(team.Tokens)
		floors += uint64(team.Share.Guaranteed)
	}
	if view.tokens.size != tokens || view.floors != floors {
		t.Fatalf("revision %d: %d tokens and floors %d, want %d and %d", view.Revision(), view.tokens.size, view.floors, tokens, floors)
	}
}

// A delta reaches a follower that lacks the revisions before it, after an answer
// was lost. The follower refuses it and asks anew: applied, it would give a
// configuration that never was in force.
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

// A snapshot comes in whose parts disagree, as after damage or a fault of its
// writer. It is refused, so that a control host never answers from a state that
// its group never had.
func TestImageRefusesContradiction(t *testing.T) {
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
				t.Error("image was accepted")
			}
		})
	}
}

// A follower that was away for 10,000 changes gets the whole configuration in
// one message; one that missed a few gets just those.
func TestFarBehindCatchesUpBySnapshot(t *testing.T) {
	state := NewState()
	state.Apply(command(state, "first", 0, testDocument(50)))
	for n := range 10_000 {
		state.Apply(changeTeam(state, 50, n))
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
		t.Errorf("up to date, yet got %+v", got)
	}
}
