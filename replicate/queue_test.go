package replicate

import (
	"testing"
	"time"
)

var start = time.Unix(1_000_000, 0)

func after(d time.Duration) time.Time { return start.Add(d) }

// Guards against transfers that count as queued until the answer begins: in a crowd the waits at
// the runner take far longer, idle stores look busy, and the parts they hold are read again.
func TestTransfersEndAsPredictedOrWithTheAnswer(t *testing.T) {
	var q Queue
	first := q.Add(12000, start, after(30*time.Millisecond))
	q.Add(300, start, after(time.Millisecond))
	if got := q.Tokens(start); got != 12300 {
		t.Errorf("%d tokens queued at the start", got)
	}
	if got := q.Tokens(after(2 * time.Millisecond)); got != 12000 {
		t.Errorf("%d tokens queued after the end of the short transfer", got)
	}
	q.End(first)
	q.End(first)
	if got := q.Tokens(after(3 * time.Millisecond)); got != 0 {
		t.Errorf("%d tokens queued after the answer", got)
	}
	q.Add(500, start, after(10*time.Millisecond))
	if got := q.Tokens(after(10 * time.Millisecond)); got != 0 {
		t.Errorf("%d tokens queued after the predicted end", got)
	}
}

// Guards against memory without bound at an entry whose transfers never end.
func TestQueueIsBounded(t *testing.T) {
	var q Queue
	for range 3 * maxTransfers {
		q.Add(1, start, after(time.Hour))
	}
	if len(q.transfers) != maxTransfers || q.Tokens(start) != maxTransfers {
		t.Errorf("%d transfers with %d tokens", len(q.transfers), q.Tokens(start))
	}
}

// Guards against transfers that count in full until they end, or twice: runners and stores look
// busier than they are, and parts are read again.
func TestTransfersBecomeShorter(t *testing.T) {
	var q Queue
	q.AddFrom(1000, start, start, after(10*time.Millisecond))
	second := q.AddFrom(1000, start, after(10*time.Millisecond), after(20*time.Millisecond))
	for i, want := range []int{2000, 1500, 1000, 500} {
		if got := q.Tokens(after(time.Duration(5*i) * time.Millisecond)); got != want {
			t.Errorf("%d tokens queued after %d ms, want %d", got, 5*i, want)
		}
	}
	q.End(second)
	if got := q.Tokens(after(15 * time.Millisecond)); got != 0 {
		t.Errorf("%d tokens queued after the answer", got)
	}
}
