package steward

import (
	"context"
	"time"

	"github.com/charmbracelet/log"

	"github.com/lovagereach/lovagereach/internal/wait"
	"github.com/lovagereach/lovagereach/rollout"
)

// weightsLogEvery is the minimum time between two looks at the target versions for the log: a log that
// is replayed after a start holds many in a row.
const weightsLogEvery = 50 * time.Millisecond

// WeightsLog logs what a process takes for the newest target and the minimum version of each model,
// whenever that changes. The first line after a start tells what the process knew then. It is not safe
// for concurrent use.
type WeightsLog struct {
	log    *log.Logger
	logged map[string][2]uint64
}

// NewWeightsLog returns a WeightsLog that has logged nothing.
func NewWeightsLog(logger *log.Logger) *WeightsLog {
	return &WeightsLog{log: logger, logged: make(map[string][2]uint64)}
}

// Log logs the models whose newest target or minimum version has changed.
func (w *WeightsLog) Log(v *WeightsView, minimum func(model string) uint64, fields ...any) {
	for i, newest := range v.Newest {
		versions := [2]uint64{newest.Version, minimum(newest.Model)}
		if w.logged[newest.Model] == versions {
			continue
		}
		w.logged[newest.Model] = versions
		line := append([]any{"model", newest.Model, "target", newest.Version, "minimum", versions[1], "age", v.Age(i)}, fields...)
		if named := v.Naming(i); named != nil {
			line = append(line, "named_by", named.Host, "named_at", time.UnixMilli(named.AtMs).UTC().Format(time.RFC3339Nano))
		}
		w.log.Info("target weights", line...)
	}
}

// logWeights logs the target versions of the replicated state and the minimum versions that this host
// knows.
func (s *Steward) logWeights(ctx context.Context) {
	weights := NewWeightsLog(s.options.Log)
	for wait.For(ctx, weightsLogEvery) {
		known, term := rollout.NewMinimumVersions(), s.relay.term()
		known.Adopt(s.machine.minimumVersions())
		if l := s.leading.Load(); l != nil {
			term = l.elected
			known.Adopt(l.raiseMinVersions(time.Now()))
		} else {
			known.Adopt(s.relay.minimumVersions())
		}
		weights.Log(s.machine.weightsView(time.Now()), known.Of, "term", term)
	}
}
