package gateway

import (
	"io"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/lovagereach/lovagereach/placement"
)

// rankedGateway returns a gateway whose routes stream and resume have ranks, and a function that
// returns the rank that a runner is told for a prompt.
func rankedGateway(t *testing.T, streamRank, resumeRank int) (*Gateway, func(path string, tokens int) int) {
	t.Helper()
	g, sender := testGateway(t, func(int, *Send) (*Answer, error) { return stream(io.EOF, "1"), nil })
	g.options.Load.UnevenUpstreams = true
	answer := testAnswer()
	answer.Document.Version = 8
	for i := range answer.Document.Routes {
		switch route := &answer.Document.Routes[i]; route.Name {
		case "stream":
			route.Priority = streamRank
		case "resume":
			route.Priority = resumeRank
		}
	}
	g.ApplyAnswer(answer, time.Now())
	return g, func(path string, tokens int) int {
		r := request(path)
		r.Prompt = prompt(placement.Part{ID: "p", Tokens: tokens})
		if rec := serve(g, r); rec.end != "done" {
			t.Fatalf("a prompt ends %q: %v", rec.end, rec.cause)
		}
		return sender.sends[len(sender.sends)-1].Rank
	}
}

// Sizes decide only between prompts of one rank. Where the configuration's ranks leave no room, and
// without the option, the rank is that of the configuration.
func TestSizeDecidesWithinRank(t *testing.T) {
	g, rankOf := rankedGateway(t, 1, 4)
	got := []int{rankOf("/stream/x", 300), rankOf("/stream/x", 20000), rankOf("/resume/x", 300), rankOf("/resume/x", 20000)}
	if !slices.Equal(got, []int{2, 3, 8, 9}) {
		t.Errorf("ranks %v, want 2, 3, 8 and 9", got)
	}
	g.options.Load.UnevenUpstreams = false
	if got := rankOf("/stream/x", 20000); got != 1 {
		t.Errorf("rank %d without the option, want 1", got)
	}
	for _, lowest := range []int{5, 9, 12} {
		_, rankOf := rankedGateway(t, 1, lowest)
		if short, long, last := rankOf("/stream/x", 300), rankOf("/stream/x", 20000), rankOf("/resume/x", 300); short != 1 || long != 1 || last != min(lowest, 9) {
			t.Errorf("ranks %d, %d and %d, want 1, 1 and %d", short, long, last, min(lowest, 9))
		}
	}
}

// Guards against short prompts that stand behind seconds of others' prefill: a runner that admits
// prompts by their rank gets 15 short ones of 4 ms and 1.5 long ones of 300 ms a second from entries
// that don't know of each other's. Some arrive while a long one is read; none waits for two.
func TestShortPromptsPassWaitingLongOnes(t *testing.T) {
	_, rankOf := rankedGateway(t, 1, 2)
	ranks := map[bool]int{true: rankOf("/stream/x", 300), false: rankOf("/stream/x", 20000)}
	type arrival struct {
		at    float64
		short bool
	}
	// longest returns the longest wait of a short prompt and the mean wait of long ones, in ms.
	longest := func(ranks map[bool]int) (short, long float64) {
		random := rand.New(rand.NewPCG(2, 9))
		var waiting []arrival
		now, next, longs := 0.0, 0.0, 0.0
		for next < 600_000 || len(waiting) > 0 {
			for next <= now && next < 600_000 {
				waiting = append(waiting, arrival{next, random.IntN(11) < 10})
				next += random.ExpFloat64() * 1000 / 16.5
			}
			if len(waiting) == 0 {
				now = next
				continue
			}
			first := slices.MinFunc(waiting, func(a, b arrival) int { return ranks[a.short] - ranks[b.short] })
			waiting = slices.Delete(waiting, slices.Index(waiting, first), slices.Index(waiting, first)+1)
			if first.short {
				short = max(short, now-first.at)
				now += 4
				continue
			}
			long += now - first.at
			longs++
			now += 300
		}
		return short, long / longs
	}
	before, longBefore := longest(map[bool]int{true: 1, false: 1})
	after, longAfter := longest(ranks)
	if before < 1000 || after > 400 {
		t.Errorf("a short prompt waits for up to %.0f ms, %.0f in the order of arrival", after, before)
	}
	if longAfter > 1.3*longBefore {
		t.Errorf("long prompts wait for %.0f ms, %.0f in the order of arrival", longAfter, longBefore)
	}
}
