package replicate

import "time"

// maxTransfers bounds the transfers of one Queue; each takes about 40 bytes. A source with more
// under way is queued for seconds, and beyond the bound the oldest no longer count.
const maxTransfers = 1024

// Transfer is a transfer that was requested of a source.
type Transfer struct {
	tokens int
	// begin is the time from which on it becomes shorter, until its predicted end.
	begin, until time.Time
}

// Queue estimates the tokens that a source still has to send for the requests of one entry. A
// transfer counts until its predicted end at the latest: the answer, which proves that it has
// ended, begins only after the waits and the prefill at the runner.
type Queue struct {
	transfers []*Transfer
	tokens    int
}

// Add records a transfer that was requested now and is predicted to end by until.
func (q *Queue) Add(tokens int, now, until time.Time) *Transfer {
	return q.AddFrom(tokens, now, until, until)
}

// AddFrom records a transfer that was requested now and is predicted to take from begin to until. Of
// what it transfers the rest counts.
func (q *Queue) AddFrom(tokens int, now, begin, until time.Time) *Transfer {
	q.prune(now)
	if len(q.transfers) >= maxTransfers {
		q.tokens -= q.transfers[0].tokens
		q.transfers[0].tokens = 0
		q.transfers = q.transfers[1:]
	}
	t := &Transfer{tokens: tokens, begin: begin, until: until}
	q.transfers = append(q.transfers, t)
	q.tokens += tokens
	return t
}

// End records that a transfer has ended. It may be called more than once.
func (q *Queue) End(t *Transfer) {
	q.tokens -= t.tokens
	t.tokens = 0
}

// Tokens returns the tokens that are still to be sent.
func (q *Queue) Tokens(now time.Time) int {
	q.prune(now)
	tokens := q.tokens
	for _, t := range q.transfers {
		tokens -= t.sent(now)
	}
	return tokens
}

// sent returns the tokens that have been transferred by now.
func (t *Transfer) sent(now time.Time) int {
	if !now.After(t.begin) || !t.until.After(t.begin) {
		return 0
	}
	return int(float64(t.tokens) * min(float64(now.Sub(t.begin))/float64(t.until.Sub(t.begin)), 1))
}

// prune drops the transfers that have ended.
func (q *Queue) prune(now time.Time) {
	kept := q.transfers[:0]
	for _, t := range q.transfers {
		if t.tokens == 0 || !now.Before(t.until) {
			q.End(t)
			continue
		}
		kept = append(kept, t)
	}
	clear(q.transfers[len(kept):])
	q.transfers = kept
}
