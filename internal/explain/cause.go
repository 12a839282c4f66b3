package explain

import (
	"fmt"
	"strconv"
	"strings"
)

const (
	// minSlowdown is the least ratio of actual to predicted transfer time, and
	// minPendingTokens the least number of tokens pending prefill at the upstream,
	// that count as the cause of a late answer.
	minSlowdown      = 2.0
	minPendingTokens = 8000
	// minWaitMs is the shortest wait for capacity in milliseconds that counts as
	// the cause.
	minWaitMs = 100
	// minPrefillTokens is the least number of the request's own tokens to prefill
	// that counts as the cause; their prefill takes a quarter of a second.
	minPrefillTokens = 30000
)

// reason is why a request had its outcome: a label that is equal for all requests of
// that kind, and a sentence about the single request.
type reason struct{ label, sentence string }

// Cause returns a sentence about why the request had its outcome.
func (s *Timeline) Cause() string {
	last := s.Steps[len(s.Steps)-1].Line
	if last.Fields["cause"] != "" {
		return reasonOf(last).sentence
	}
	if slow := delayOf(last); slow.sentence != "" {
		return slow.sentence
	}
	switch {
	case strings.HasPrefix(last.Fields["status"], "5"):
		return fmt.Sprintf("upstream %s ran it and answered %s", last.Fields["upstream"], last.Fields["status"])
	case number(last, "first_ms") > number(last, "target_ms") && number(last, "target_ms") > 0:
		return fmt.Sprintf("upstream %s began late by more than was predicted (%s ms)", last.Fields["upstream"], last.Fields["cost_ms"])
	}
	return "it was answered in time"
}

// reasonOf returns why a request has no complete answer, from its last log line.
func reasonOf(last Line) reason {
	cause, upstream := last.Fields["cause"], last.Fields["upstream"]
	for _, known := range []struct {
		substring string
		reason
	}{
		{"(no-route)", reason{"no route", "no route led from its host and path in configuration " + last.Fields["config"]}},
		{"(no-configuration-yet)", reason{"no configuration yet", "the entry had no configuration yet"}},
		{"(unauthorized)", reason{"key not known", "its key was not known in configuration " + last.Fields["config"]}},
		{"(ends-upstreams)", reason{"held: it ends upstreams", "three upstreams had ended under earlier attempts of it; nothing was sent"}},
		{"(no-upstream)", reason{"no upstream", "no upstream of the service was known, or all had been tried"}},
		{"too many requests wait", reason{"too many wait", "no upstream had room, and as many requests as may waited at the entry already"}},
		{"(overloaded)", reason{"no room in time", fmt.Sprintf("no upstream had room within %s ms", last.Fields["waited_ms"])}},
		{"(refused-by-upstream)", reason{"refused by the upstream", fmt.Sprintf("upstream %s refused it without running it (%s)", upstream, after(cause, "upstream: "))}},
		{"(dial-failed)", reason{"no upstream reached", "no upstream could be reached; no byte was sent"}},
		{"(connection-lost)", reason{"the upstream broke off", fmt.Sprintf("upstream %s ended the connection; it may have run", upstream)}},
		{"(bad-answer)", reason{"bad answer", fmt.Sprintf("upstream %s sent what is not its answer, or broke off; it may have run", upstream)}},
	} {
		if strings.Contains(cause, known.substring) {
			return known.reason
		}
	}
	if slow := delayOf(last); slow.sentence != "" {
		return slow
	}
	if strings.Contains(cause, "(caller-gone)") {
		return reason{"the caller left", fmt.Sprintf("the caller left after %s ms; upstream %s had not answered", last.Fields["total_ms"], upstream)}
	}
	return reason{"no answer in the time left", fmt.Sprintf("upstream %s did not answer within the time left; it may have run", upstream)}
}

// delayOf returns what delayed an answer, or the zero reason if the answer was in
// time or the values logged with the routing decision don't explain the delay.
func delayOf(line Line) reason {
	late := line.Fields["cause"] != "" || number(line, "first_ms") > number(line, "target_ms")
	switch {
	case !late || line.Fields["target_ms"] == "":
		return reason{}
	case number(line, "pace") >= minSlowdown:
		return reason{"behind a slow fetch", fmt.Sprintf("it waited for a fetch from %s, whose transfers took %s times as long as usual", line.Fields["sources"], line.Fields["pace"])}
	case number(line, "waited_ms") >= minWaitMs:
		return reason{"waited for room", fmt.Sprintf("it waited %s ms for an upstream with room", line.Fields["waited_ms"])}
	case number(line, "unread") >= minPendingTokens:
		return reason{"behind unread tokens", fmt.Sprintf("it stood behind %s tokens that upstream %s had still to read", line.Fields["unread"], line.Fields["upstream"])}
	case number(line, "reads") >= minPrefillTokens:
		return reason{"much to read", fmt.Sprintf("upstream %s had %s tokens of it to read", line.Fields["upstream"], line.Fields["reads"])}
	}
	return reason{}
}

func number(line Line, field string) float64 {
	// A field that is missing or not a number counts as zero, which is below all
	// thresholds.
	n, _ := strconv.ParseFloat(line.Fields[field], 64)
	return n
}

func after(text, mark string) string {
	_, rest, _ := strings.Cut(text, mark)
	return rest
}
