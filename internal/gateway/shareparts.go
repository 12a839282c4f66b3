package gateway

import (
	"time"

	"github.com/lovagereach/lovagereach/cacheindex"
	"github.com/lovagereach/lovagereach/internal/steward"
	"github.com/lovagereach/lovagereach/placement"
	"github.com/lovagereach/lovagereach/replicate"
)

// othersDrain is the share of a link's rate at which the transfers that other entries have reported
// are taken to become fewer: as if the link were half used by those that they request meanwhile.
const othersDrain = 0.5

// queued returns the tokens that prompts of all entries still have to fetch from a store whose link
// has a rate of linkMbps. What the other entries reported has been sent in part since, and they have
// requested more.
func (st *storeState) queued(s *state, linkMbps float64, tokenBytes int, now time.Time) int {
	others := st.others
	if s.shareParts && tokenBytes > 0 {
		sent := linkMbps * 1000 / 8 / float64(tokenBytes) * milliseconds(now.Sub(s.loadsAt)) * othersDrain
		others = max(others-int(sent), 0)
	}
	return st.ownQueued(s, now) + others
}

// ownQueued is queued for the prompts of this entry.
func (st *storeState) ownQueued(s *state, now time.Time) int {
	if s.shareParts {
		return st.queue.Tokens(now)
	}
	return st.own
}

// plannedTransfer is the predicted transfer of a part after its send.
type plannedTransfer struct {
	// tokens is the size of a transfer within the data centre that takes the source's link as long.
	tokens int
	// wait is the time until it begins, time that until it ends.
	wait, time time.Duration
	// linkTokens are those of a transfer that takes the runner's link as long, 0 if it isn't accounted
	// for.
	linkTokens int
}

// beginsAt is the time from which on the transfer becomes shorter, from its send.
func (t *plannedTransfer) beginsAt() time.Duration {
	if t.linkTokens == 0 {
		return t.time
	}
	return t.wait
}

// planTransfers predicts the transfers of a choice, part by part.
func planTransfers(rates *placement.Rates, p *placement.Prompt, choice placement.Choice, dataCentre string, stores []placement.Store) []plannedTransfer {
	transfers := make([]plannedTransfer, len(choice.Fetch))
	for part, at := range choice.Fetch {
		if at < 0 {
			continue
		}
		store, extra := stores[at], 0
		if store.DataCentre != dataCentre {
			extra = int((rates.CrossFactor - 1) * float64(p.Parts[part].Tokens))
		}
		store.Queued += extra
		transfers[part] = plannedTransfer{tokens: p.Parts[part].Tokens + extra, time: time.Duration(placement.TransferMs(p, part, &store) * float64(time.Millisecond))}
	}
	return transfers
}

// startTransfer accounts for a fetch of a plan.
func (s *state) startTransfer(p *plan, part int, source *storeState, tokens int, now time.Time) {
	source.own += tokens
	if s.shareParts && part < len(p.planned) {
		planned := p.planned[part]
		p.transfers = append(p.transfers, sourceTransfer{source, source.queue.AddFrom(planned.tokens, now, now.Add(planned.beginsAt()), now.Add(planned.time))})
	}
}

// endTransfers ends the accounting of the fetches of a plan.
func (p *plan) endTransfers() {
	for i, source := range p.sources {
		if source != nil {
			source.own -= p.send.Prompt.Fetch[i].Tokens
		}
	}
	for _, t := range p.transfers {
		t.source.queue.End(t.transfer)
	}
	p.transfers = nil
}

// sourceTransfer is a transfer in the queue of its source.
type sourceTransfer struct {
	source   *storeState
	transfer *replicate.Transfer
}

// readersOf returns the runners that are reading the parts of a prompt, part by part, nil if none
// is known.
func (s *state) readersOf(parts []placement.Part, keys []cacheindex.Key, now time.Time) []string {
	if !s.shareParts || !s.reads.Any() {
		return nil
	}
	var readers []string
	for i := range parts[:max(len(parts)-1, 0)] {
		if parts[i].Tokens < replicate.MinReadTokens {
			continue
		}
		if reader := s.reads.Reader(replicate.HashPart(keys[i].Salt, keys[i].Part), now); reader != "" {
			if readers == nil {
				readers = make([]string, len(parts))
			}
			readers[i] = reader
		}
	}
	return readers
}

// waitForReader bounds the work in front of a part at the runner that reads it, as a multiple of
// the part: with more, another runner has it sooner.
const waitForReader = 2

// soonReads reports whether a prompt of the given size gets a part of the given tokens sooner at
// this runner, which is reading it, than at one that begins to.
func (u *upstreamState) soonReads(part, size, memory int) bool {
	unread, tokens := u.own.Unread+u.others.Unread, u.own.Tokens+u.others.Tokens
	return unread <= waitForReader*part && (memory == 0 || tokens+size <= memory)
}

// planReads finds the parts that the runner of a choice is expected to read.
func (s *state) planReads(p *plan, view *promptView, choice placement.Choice, now time.Time) {
	parts := view.prompt.Parts
	for i := range parts[:max(len(parts)-1, 0)] {
		if choice.Fetch[i] >= 0 || view.prompt.Cached(choice.Runner, i) {
			continue
		}
		p.sharedRead += parts[i].Tokens
		if len(view.prompt.Complete[i]) > 0 || s.recent.knows(view.keys[i], now) {
			p.readAgain += parts[i].Tokens
		}
		if len(view.prompt.Complete[i]) > 0 {
			p.readHeld += parts[i].Tokens
		}
		if s.shareParts && parts[i].Tokens >= replicate.MinReadTokens {
			p.toRead = append(p.toRead, i)
		}
	}
}

// beginReads records the parts that the runner of a plan is about to read.
func (s *state) beginReads(p *plan, now time.Time) {
	for _, i := range p.toRead {
		key := p.keys[i]
		p.reads = append(p.reads, s.reads.Begin(replicate.Read{
			Part: replicate.HashPart(key.Salt, key.Part), Runner: p.upstream.record.ID, Tokens: p.send.Request.Prompt.Parts[i].Tokens,
		}, now))
	}
}

// endReads records that the runner of a plan has read its parts.
func (p *plan) endReads(now time.Time) {
	for _, read := range p.reads {
		read.Done(now)
	}
}

// failReads records that the runner of a plan has given no answer.
func (p *plan) failReads() {
	for _, read := range p.reads {
		read.Fail()
	}
}

// appendReads adds the reads of this entry to a report of loads. Hosts add up equal names, as for
// upstreams, and processes that know no reads ignore them.
func (s *state) appendReads(loads []steward.Load, now time.Time) []steward.Load {
	for _, read := range s.reads.Own(now) {
		loads = append(loads, steward.Load{Upstream: read.Name(), Unread: read.Tokens})
	}
	return loads
}

// applyReads applies the reads in a report of the other entries' loads.
func (s *state) applyReads(loads []steward.Load) {
	if !s.shareParts {
		return
	}
	var reads []replicate.Read
	for i := range loads {
		if read, ok := replicate.ParseName(loads[i].Upstream); ok {
			reads = append(reads, read)
		}
	}
	s.reads.SetOthers(reads)
}
