package explain

import (
	"fmt"
	"strconv"
	"strings"
)

const (
	// slowPace is the pace from which a fetch counts as the cause of a late
	// answer, and longUnread the unread tokens that count as such.
	slowPace   = 2.0
	longUnread = 8000
	// longWait is the wait for room in milliseconds that does.
	longWait = 100
	// longRead are the tokens whose reading takes a quarter of a second.
	longRead = 30000
)

// Cause tells in a sentence why the request ended as it did.
func (s *Story) Cause() string {
	last := s.Steps[len(s.Steps)-1].Line
	cause := last.Fields["cause"]
	for _, known := range []struct{ has, tells string }{
		{"(no-route)", "no route led from its host and path in configuration " + last.Fields["config"]},
		{"(no-configuration-yet)", "the entry had no configuration yet"},
		{"(unauthorized)", "its key was not known in configuration " + last.Fields["config"]},
		{"(no-upstream)", "no upstream of the service was known, or all had been tried"},
		{"too many requests wait", "no upstream had room, and as many requests as may waited at the entry already"},
		{"(overloaded)", fmt.Sprintf("no upstream had room within %s ms", last.Fields["waited_ms"])},
		{"(refused-by-upstream)", fmt.Sprintf("upstream %s refused it without running it (%s)", last.Fields["upstream"], after(cause, "upstream: "))},
		{"(dial-failed)", "no upstream could be reached; no byte was sent"},
		{"(connection-lost)", fmt.Sprintf("upstream %s ended the connection; it may have run", last.Fields["upstream"])},
		{"(bad-answer)", fmt.Sprintf("upstream %s sent what is not its answer, or broke off; it may have run", last.Fields["upstream"])},
	} {
		if strings.Contains(cause, known.has) {
			return known.tells
		}
	}
	if slow := delay(last); slow != "" {
		return slow
	}
	switch {
	case strings.Contains(cause, "(caller-gone)"):
		return fmt.Sprintf("the caller left after %s ms; upstream %s had not answered", last.Fields["total_ms"], last.Fields["upstream"])
	case cause != "":
		return fmt.Sprintf("upstream %s did not answer within the time left; it may have run", last.Fields["upstream"])
	case strings.HasPrefix(last.Fields["status"], "5"):
		return fmt.Sprintf("upstream %s ran it and answered %s", last.Fields["upstream"], last.Fields["status"])
	case number(last, "first_ms") > number(last, "target_ms") && number(last, "target_ms") > 0:
		return fmt.Sprintf("upstream %s began late by more than was predicted (%s ms)", last.Fields["upstream"], last.Fields["cost_ms"])
	}
	return "it was answered in time"
}

// delay tells what an answer waited for, when the choice knew it.
func delay(line Line) string {
	late := line.Fields["cause"] != "" || number(line, "first_ms") > number(line, "target_ms")
	switch {
	case !late || line.Fields["target_ms"] == "":
		return ""
	case number(line, "pace") >= slowPace:
		return fmt.Sprintf("it waited for a fetch from %s, whose transfers took %s times as long as usual", line.Fields["sources"], line.Fields["pace"])
	case number(line, "waited_ms") >= longWait:
		return fmt.Sprintf("it waited %s ms for an upstream with room", line.Fields["waited_ms"])
	case number(line, "unread") >= longUnread:
		return fmt.Sprintf("it stood behind %s tokens that upstream %s had still to read", line.Fields["unread"], line.Fields["upstream"])
	case number(line, "reads") >= longRead:
		return fmt.Sprintf("upstream %s had %s tokens of it to read", line.Fields["upstream"], line.Fields["reads"])
	}
	return ""
}

func number(line Line, field string) float64 {
	// A field that is absent or no number counts as zero: it then explains
	// nothing.
	n, _ := strconv.ParseFloat(line.Fields[field], 64)
	return n
}

func after(text, mark string) string {
	_, rest, _ := strings.Cut(text, mark)
	return rest
}
