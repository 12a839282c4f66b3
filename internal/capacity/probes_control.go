package capacity

import (
	"fmt"
	"time"

	"github.com/lovagereach/lovagereach/config"
	"github.com/lovagereach/lovagereach/member"
	"github.com/lovagereach/lovagereach/relay"
	"github.com/lovagereach/lovagereach/rollout"
	"github.com/lovagereach/lovagereach/roster"
)

// childSizes are numbers of children of one parent.
var childSizes = []int{9, 14, 49, 200}

// ControlProbes returns the probes of the control group's state machine, of a
// parent's work per child, and of the work of operators' tools on a configuration.
func ControlProbes() []Probe {
	return []Probe{{
		Role: "control voter", Name: "configuration state held", SizeName: "teams", Unit: UnitBytes,
		Sizes: teamSizes, Target: TargetTeams, Measure: stateBytes,
	}, {
		Role: "control voter", Name: "time to commit a change of one team", SizeName: "teams", Unit: UnitNanoseconds,
		Sizes: teamSizes, Target: TargetTeams, Measure: commitTime,
	}, {
		Role: "leader or relay", Name: "time to answer a renewal", SizeName: "children", Unit: UnitNanoseconds,
		Sizes: childSizes, Target: 49, Measure: renewTime,
	}, {
		Role: "operator tool", Name: "time to find the change between two documents", SizeName: "teams", Unit: UnitNanoseconds,
		Sizes: teamSizes, Target: TargetTeams, Measure: diffTime,
	}, {
		Role: "leader", Name: "time of one look for runners whose turn it is to load", SizeName: "runners", Unit: UnitNanoseconds,
		Sizes: runnerSizes, Target: TargetRunners, Measure: scheduleTime,
	}, {
		Role: "leader", Name: "time of one look at the oldest weights allowed", SizeName: "models", Unit: UnitNanoseconds,
		Sizes: []int{1, 4, 17}, Target: TargetModels, Measure: minimumVersionTime,
	}}
}

// runnerSizes are numbers of model runners to which one leader sends orders.
var runnerSizes = []int{18, 57, 1_000, 12_000}

// outdatedFleet returns runners of one model that have not loaded the newest
// version, and two target versions set 8 s apart.
func outdatedFleet(runners int) ([]roster.Upstream, *rollout.TargetVersions) {
	targets := rollout.NewTargetVersions()
	targets.Record("m", 2, probeStart)
	targets.Record("m", 3, probeStart.Add(8*time.Second))
	live := make([]roster.Upstream, runners)
	for i := range live {
		live[i] = roster.Upstream{
			ID: fmt.Sprintf("runner-%05d", i), State: roster.Serving,
			Loaded: []roster.Loaded{{Model: "m", Version: uint64(1 + i%2)}},
		}
	}
	return live, targets
}

func scheduleTime(runners int) (float64, error) {
	live, targets := outdatedFleet(runners)
	schedule := rollout.NewSchedule(rollout.Options{MaxConcurrent: 3, Bound: 15 * time.Second, Notice: 200 * time.Millisecond})
	return NanosecondsPerOp(func() { schedule.Next(live, targets, probeStart.Add(9*time.Second)) }), nil
}

func minimumVersionTime(models int) (float64, error) {
	targets, minimum := rollout.NewTargetVersions(), rollout.NewMinimumVersions()
	for model := range models {
		for version := uint64(2); version < 66; version++ {
			targets.Record(fmt.Sprint("model-", model), version, probeStart)
		}
	}
	now := probeStart.Add(time.Minute)
	none := func() []rollout.Runner { return nil }
	return NanosecondsPerOp(func() { minimum.Raise(targets.Clone(), none, probeStart, 15*time.Second, now) }), nil
}

func stateOf(teams int) (*config.State, error) {
	state, doc := config.NewState(), SampleDocument(teams)
	first := config.Command{RequestID: "first", Author: "capacity", Delta: config.Diff(state.Current(), &doc)}
	if result := state.Apply(first); result.Verdict != config.VerdictApplied {
		return nil, fmt.Errorf("first configuration: %v", result.Problems)
	}
	return state, nil
}

func stateBytes(teams int) (float64, error) {
	var failed error
	bytes := HeapBytes(func() any {
		state, err := stateOf(teams)
		failed = err
		return state
	})
	return bytes, failed
}

func commitTime(teams int) (float64, error) {
	state, err := stateOf(teams)
	if err != nil {
		return 0, err
	}
	variant, refused := 0, 0
	cost := NanosecondsPerOp(func() {
		variant++
		base := state.Current().Revision()
		result := state.Apply(config.Command{
			RequestID: fmt.Sprint("change-", variant), Author: "capacity", Base: base,
			Delta: oneTeamDelta(base, teams, variant),
		})
		if result.Verdict != config.VerdictApplied {
			refused++
		}
	})
	if refused > 0 {
		return 0, fmt.Errorf("%d of %d changes refused", refused, variant)
	}
	return cost, nil
}

func renewTime(children int) (float64, error) {
	state, err := stateOf(100)
	if err != nil {
		return 0, err
	}
	directory, err := member.NewDirectory(member.DirectoryOptions{
		MaxMembers: member.DefaultMaxMembers, History: member.DefaultHistory, Retention: member.DefaultRetention,
	}, 1)
	if err != nil {
		return 0, err
	}
	parent, err := relay.NewParent(relay.RootOptions(), probeStart, state, directory)
	if err != nil {
		return 0, err
	}
	var links []*relay.Child
	for i := range children {
		links = append(links, relay.NewChild(sampleMember(i)))
	}
	now, step, refused := probeStart, 0, 0
	renew := func() {
		child := links[step%children]
		step++
		now = now.Add(relay.RenewEvery / time.Duration(children))
		answer := parent.Renew(now, child.Renewal(now, child.Revision()), relay.DefaultTerm)
		if answer.Verdict != member.VerdictAccepted {
			refused++
		}
		child.Renewed(answer)
	}
	cost := NanosecondsPerOp(renew)
	if refused > 0 {
		return 0, fmt.Errorf("%d of %d renewals refused", refused, step)
	}
	return cost, nil
}

func diffTime(teams int) (float64, error) {
	snapshot, err := config.NewSnapshot(1, SampleDocument(teams))
	if err != nil {
		return 0, err
	}
	changed := SampleDocument(teams)
	changed.Teams[teams/2] = sampleTeam(teams/2, 1)
	return NanosecondsPerOp(func() { config.Diff(snapshot, &changed) }), nil
}
