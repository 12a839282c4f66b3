package config

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// A follower gets its updates from the state through two feeds. Each feed skips
// updates independently, so that deltas are merged twice and requested from
// revisions at which no kept delta ends. The follower must always equal the
// state's document of its revision.
func TestFollowerThroughFeedsMatchesState(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 1))
	state := NewState()
	state.deltas.kept.limit = 9
	first, second, follower := NewFeed(), NewFeed(), NewFollower()
	first.deltas.kept.limit, second.deltas.kept.limit = 5, 5
	documents := map[Revision]Document{}
	deltas := 0
	for step := range 600 {
		doc := randomTeamChange(state.Current().Document(), random)
		state.Apply(command(state, fmt.Sprint(step), state.Current().Revision(), doc))
		documents[state.Current().Revision()] = state.Current().Document()
		if random.IntN(2) == 0 {
			mustApply(t, first.Apply, state.Since(first.Current().Revision()))
		}
		if random.IntN(3) == 0 {
			mustApply(t, second.Apply, first.Since(second.Current().Revision()))
		}
		if random.IntN(3) == 0 {
			update := second.Since(follower.Current().Revision())
			if update.Delta != nil {
				deltas++
			}
			mustApply(t, follower.Apply, update)
		}
		held := follower.Current().Revision()
		checkView(t, follower.Current(), documents[held])
	}
	if deltas < 50 {
		t.Errorf("only %d deltas reached the follower", deltas)
	}
}

// randomTeamChange adds, removes or changes one of forty teams.
func randomTeamChange(doc Document, random *rand.Rand) Document {
	if len(doc.Classes) == 0 {
		return testDocument(20)
	}
	team := testTeam(random.IntN(40))
	team.Share.Guaranteed = Share(random.IntN(3)) * sharePerPercent
	doc.Teams = slices.DeleteFunc(slices.Clone(doc.Teams), func(t Team) bool { return t.Name == team.Name })
	if random.IntN(4) > 0 {
		doc.Teams = append(doc.Teams, team)
	}
	return doc
}

func mustApply(t *testing.T, apply func(Update) (bool, error), update Update) {
	t.Helper()
	if _, err := apply(update); err != nil {
		t.Fatal(err)
	}
}
