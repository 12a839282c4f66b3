package capacity

import (
	"fmt"
	"time"

	"github.com/lovagereach/lovagereach/config"
	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/wire"
)

// teamSizes are the numbers of teams at which configuration is measured.
var teamSizes = []int{100, 1_000, 10_000, TargetTeams}

func sampleTeam(i, variant int) config.Team {
	name := fmt.Sprintf("team-%06d", i)
	return config.Team{
		Name:    ident.Team(name),
		Tokens:  []config.TokenDigest{config.DigestToken(fmt.Sprint(name, variant))},
		Classes: []ident.Class{"questions"},
	}
}

// SampleDocument returns a valid configuration with the given number of teams.
func SampleDocument(teams int) config.Document {
	doc := config.Document{
		Classes: []config.Class{{
			Name:       "questions",
			Kind:       config.KindModel,
			FirstToken: config.Target{Within: config.Duration(380 * time.Millisecond)},
			Deadline:   config.Duration(30 * time.Second),
			Repeatable: true,
		}},
	}
	for i := range TargetModels {
		doc.Models = append(doc.Models, config.Model{
			Name:     ident.Model(fmt.Sprintf("model-%02d", i)),
			Versions: []config.TargetVersion{{Version: "v1"}},
		})
	}
	for i := range teams {
		doc.Teams = append(doc.Teams, sampleTeam(i, 0))
	}
	doc.Normalize()
	return doc
}

// oneTeamDelta returns a delta that changes the token of one team.
func oneTeamDelta(from config.Revision, teams, variant int) config.Delta {
	return config.Delta{
		From:  from,
		To:    from + 1,
		Teams: config.Change[ident.Team, config.Team]{Put: []config.Team{sampleTeam(teams/2, variant)}},
	}
}

// ConfigProbes returns the probes of the cost of configuration for an entry or
// relay.
func ConfigProbes() []Probe {
	return []Probe{{
		Role: "entry", Name: "configuration held", SizeName: "teams", Unit: UnitBytes,
		Sizes: teamSizes, Target: TargetTeams, Measure: snapshotBytes,
	}, {
		Role: "entry", Name: "time to apply a change of one team", SizeName: "teams", Unit: UnitNanoseconds,
		Sizes: teamSizes, Target: TargetTeams, Measure: applyTime,
	}, {
		Role: "entry", Name: "message for a change of one team", SizeName: "teams", Unit: UnitBytes,
		Sizes: teamSizes, Target: TargetTeams, Measure: deltaBytes,
	}, {
		Role: "entry", Name: "whole configuration, encoded", SizeName: "teams", Unit: UnitBytes,
		Sizes: teamSizes, Target: TargetTeams, Measure: fullBytes,
	}}
}

func snapshotBytes(teams int) (float64, error) {
	var failed error
	bytes := HeapBytes(func() any {
		snapshot, err := config.NewSnapshot(1, SampleDocument(teams))
		failed = err
		return snapshot
	})
	return bytes, failed
}

func applyTime(teams int) (float64, error) {
	snapshot, err := config.NewSnapshot(1, SampleDocument(teams))
	if err != nil {
		return 0, err
	}
	delta := oneTeamDelta(1, teams, 1)
	return NanosecondsPerOp(func() { snapshot.Apply(delta) }), nil
}

func deltaBytes(teams int) (float64, error) {
	delta := oneTeamDelta(1_000_000, teams, 1)
	data, err := wire.Marshal(config.Update{Delta: &delta})
	return float64(len(data)), err
}

func fullBytes(teams int) (float64, error) {
	full := config.FullRevision{Revision: 1, Document: SampleDocument(teams)}
	data, err := wire.Marshal(config.Update{Full: &full})
	return float64(len(data)), err
}
