package config

import "slices"

// Limits on what State keeps. At 13,000 changes a day the history and the
// request IDs reach back 30 hours.
const (
	HistoryKept  = 16384
	RequestsKept = 16384
	// DeltasKept and DeltaItemsKept limit the deltas kept for followers. A
	// follower too far behind for them gets a full revision.
	DeltasKept     = 2048
	DeltaItemsKept = 65536
)

// State is the replicated configuration. It is deterministic: the same commands
// in the same order give the same states and results on every replica. It is
// not safe for concurrent use.
//
// A command whose request ID is no longer kept can be resent without harm: its
// base is an old revision by then, so the command results in a conflict and
// never in a second revision.
type State struct {
	current      *Snapshot
	history      ring[RevisionMeta]
	deltas       deltaLog
	requests     map[string]recordedResult
	requestOrder ring[string]
}

// recordedResult is the first answer to a request ID.
type recordedResult struct {
	content ContentDigest
	result  Result
}

// NewState returns the state before the first command.
func NewState() *State {
	return &State{
		current:      Empty(),
		history:      ring[RevisionMeta]{limit: HistoryKept},
		deltas:       newDeltaLog(),
		requests:     make(map[string]recordedResult),
		requestOrder: ring[string]{limit: RequestsKept},
	}
}

// Current returns the latest committed revision.
func (s *State) Current() *Snapshot { return s.current }

// Answered returns the answer to a request ID if one is still kept. With it a
// leader recognises a resend without a proposal.
func (s *State) Answered(id string, content ContentDigest) (Result, bool) {
	first, found := s.requests[id]
	if !found {
		return Result{}, false
	}
	if first.content != content {
		return Result{Verdict: VerdictReused, Revision: s.current.revision}, true
	}
	result := first.result
	result.Repeated = true
	return result, true
}

// Apply executes a command and returns its result.
func (s *State) Apply(cmd Command) Result {
	result, isNew := s.evaluate(cmd)
	if !isNew {
		return result
	}
	if result.Verdict == VerdictApplied {
		s.accept(cmd)
	}
	s.recordResult(cmd, result)
	return result
}

// DryRun returns the result that Apply would return, without changing the
// state.
func (s *State) DryRun(cmd Command) Result {
	result, _ := s.evaluate(cmd)
	return result
}

// evaluate returns the result of a command without applying it, and reports
// whether the command is well formed and its request ID new.
func (s *State) evaluate(cmd Command) (Result, bool) {
	if problems := cmd.check(); problems != nil {
		return Result{Verdict: VerdictInvalid, Revision: s.current.revision, Problems: problems}, false
	}
	if result, found := s.Answered(cmd.RequestID, cmd.Content); found {
		return result, false
	}
	return s.decide(cmd), true
}

// check returns the problems of the command's texts.
func (c *Command) check() Problems {
	var check checker
	if c.RequestID == "" || len(c.RequestID) > MaxRequestID {
		check.addf("request_id", "must be 1 to %d bytes", MaxRequestID)
	}
	if c.Author == "" || len(c.Author) > MaxAuthor {
		check.addf("author", "must be 1 to %d bytes", MaxAuthor)
	}
	if len(c.Note) > MaxNote {
		check.addf("note", "must be at most %d bytes", MaxNote)
	}
	return check.problems
}

// decide returns the result of a command with a new request ID without applying
// it.
func (s *State) decide(cmd Command) Result {
	latest := s.current.revision
	if cmd.Base > latest {
		var check checker
		check.addf("base", "is revision %d, but the latest is %d", cmd.Base, latest)
		return Result{Verdict: VerdictInvalid, Revision: latest, Problems: check.problems}
	}
	// Of two commands with the same base, the first in the log created revision
	// Base+1, so the second no longer starts at the latest revision.
	if cmd.Base < latest {
		return Result{Verdict: VerdictConflict, Revision: latest, Winner: s.Meta(cmd.Base + 1)}
	}
	if cmd.Delta.Size() == 0 {
		return Result{Verdict: VerdictUnchanged, Revision: latest}
	}
	if err := s.current.Check(cmd.Delta); err != nil {
		return Result{Verdict: VerdictInvalid, Revision: latest, Problems: problemsOf(err)}
	}
	return Result{Verdict: VerdictApplied, Revision: latest + 1}
}

func problemsOf(err error) Problems {
	if problems, ok := err.(Problems); ok {
		return problems
	}
	return Problems{{Path: "document", Reason: err.Error()}}
}

// accept applies the command's delta as the next revision.
func (s *State) accept(cmd Command) {
	delta := cmd.Delta
	delta.From = s.current.revision
	delta.To = delta.From + 1
	s.current = s.current.Apply(delta)
	s.history.push(RevisionMeta{
		Revision:  delta.To,
		Author:    cmd.Author,
		RequestID: cmd.RequestID,
		At:        cmd.At,
		Items:     delta.Size(),
		Note:      cmd.Note,
	})
	s.deltas.push(delta)
}

// recordResult stores the first answer to a request ID and evicts the oldest.
func (s *State) recordResult(cmd Command, result Result) {
	s.requests[cmd.RequestID] = recordedResult{content: cmd.Content, result: result}
	for _, evicted := range s.requestOrder.push(cmd.RequestID) {
		delete(s.requests, evicted)
	}
}

// Meta returns the description of a revision, or nil if it is no longer kept.
func (s *State) Meta(revision Revision) *RevisionMeta {
	metas := s.history.items
	if len(metas) == 0 || revision < metas[0].Revision || revision > s.current.revision {
		return nil
	}
	meta := metas[revision-metas[0].Revision]
	return &meta
}

// History returns up to limit revisions before the given one, newest first. If
// before is zero, it starts at the latest.
func (s *State) History(before Revision, limit int) []RevisionMeta {
	var list []RevisionMeta
	for _, meta := range slices.Backward(s.history.items) {
		if len(list) == limit {
			break
		}
		if before == 0 || meta.Revision < before {
			list = append(list, meta)
		}
	}
	return list
}

// DeltaBetween returns the changes from one revision to a later one. The error
// is a *RangeError.
func (s *State) DeltaBetween(from, to Revision) (Delta, error) {
	return s.deltas.between(from, to)
}

// Since returns the update that takes a follower from revision held to the
// latest.
func (s *State) Since(held Revision) Update {
	return s.deltas.since(s.current, held)
}
