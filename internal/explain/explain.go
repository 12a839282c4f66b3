// Package explain finds the outcome of a request in the logs of several processes,
// together with the state that the entry had when it decided about the request.
//
// Lines are never ordered by their timestamps, since clocks may have stepped. The
// request's own lines have the order of the log of the entry that wrote them. Each is
// preceded by the state changes that were current at that entry. Lines of control
// hosts about the same upstreams follow, by process. Logs are read as streams.
package explain

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"

	"github.com/go-logfmt/logfmt"
	"github.com/rotisserie/eris"
)

const (
	// maxLine bounds the length of a line in bytes; the writer of a log truncates
	// longer lines.
	maxLine = 1 << 20
	// maxRelated bounds the number of lines kept from other processes.
	maxRelated = 40
)

// Line is one line of a process's log.
type Line struct {
	Process string
	Message string
	Fields  map[string]string
	Text    string
}

// parse parses a line; ok is false if text is not a log line. If text precedes the
// time, as in a collected log, its last field is the name of the process.
func parse(process, text string) (line Line, ok bool) {
	at := strings.Index(text, "time=")
	if at < 0 {
		at = strings.Index(text, "level=")
	}
	if at < 0 {
		return line, false
	}
	if before := strings.Fields(text[:at]); len(before) > 0 {
		process = before[len(before)-1]
	}
	line = Line{Process: process, Fields: make(map[string]string), Text: text[at:]}
	decoder := logfmt.NewDecoder(strings.NewReader(text[at:]))
	for decoder.ScanRecord() {
		for decoder.ScanKeyval() {
			line.Fields[string(decoder.Key())] = string(decoder.Value())
		}
	}
	line.Message = line.Fields["msg"]
	return line, line.Message != ""
}

// stateFields are the log fields that identify the upstream or store of a state change.
var stateFields = []string{"upstream", "store"}

// stateMessages are the log messages that report a change in a process's local view.
var stateMessages = []string{"configuration in force", "leader followed", "leader lost", "store pace", "upstream trust", "started", "leaving"}

// Step is one log line of the request with the state changes that were current in its
// process at that line.
type Step struct {
	Line         Line
	StateChanges []Line
}

// Timeline is what the logs contain about one request.
type Timeline struct {
	Request string
	Steps   []Step
	// Related are lines of other processes about the same upstreams and stores.
	Related []Line
	// LeftOut is the number of lines that the entries report to have left out.
	LeftOut uint64
	names   map[string]bool
}

// NewTimeline returns an empty timeline of a request.
func NewTimeline(request string) *Timeline {
	return &Timeline{Request: request, names: make(map[string]bool)}
}

func scan(process string, r io.Reader, each func(Line)) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 64<<10), maxLine)
	for scanner.Scan() {
		if line, ok := parse(process, scanner.Text()); ok {
			each(line)
		}
	}
	return eris.Wrap(scanner.Err(), process)
}

// ReadRequest adds the request's own lines from one log.
func (s *Timeline) ReadRequest(process string, r io.Reader) error {
	latest := make(map[string]Line)
	return scan(process, r, func(line Line) {
		if skipped, err := strconv.ParseUint(line.Fields["left_out"], 10, 64); err == nil {
			s.LeftOut += skipped
		}
		if line.Fields["request"] == s.Request {
			s.addStep(line, latest)
			return
		}
		if slices.Contains(stateMessages, line.Message) {
			latest[line.Process+"\x00"+line.Message+"\x00"+line.Fields["upstream"]+line.Fields["store"]] = line
		}
	})
}

func (s *Timeline) addStep(line Line, latest map[string]Line) {
	step := Step{Line: line}
	s.names[line.Fields["upstream"]] = true
	for _, source := range strings.Split(line.Fields["sources"], ",") {
		s.names[source] = true
	}
	delete(s.names, "")
	for _, change := range latest {
		if change.Process != line.Process {
			continue
		}
		if s.concerns(change) || (change.Fields["upstream"] == "" && change.Fields["store"] == "") {
			step.StateChanges = append(step.StateChanges, change)
		}
	}
	slices.SortFunc(step.StateChanges, func(a, b Line) int { return strings.Compare(a.Message+a.Text, b.Message+b.Text) })
	s.Steps = append(s.Steps, step)
}

func (s *Timeline) concerns(line Line) bool {
	return slices.ContainsFunc(stateFields, func(field string) bool { return s.names[line.Fields[field]] })
}

// ReadRelated adds the lines of other processes about the request's upstreams and
// stores from one log. It is called after ReadRequest has read all logs.
func (s *Timeline) ReadRelated(process string, r io.Reader) error {
	return scan(process, r, func(line Line) {
		if line.Fields["request"] != "" || !s.concerns(line) || slices.ContainsFunc(s.Steps, func(step Step) bool { return step.Line.Process == line.Process }) {
			return
		}
		s.Related = append(s.Related, line)
		if len(s.Related) > maxRelated {
			s.Related = s.Related[1:]
		}
	})
}

// Write prints the timeline and the cause.
func (s *Timeline) Write(w io.Writer) error {
	var out bytes.Buffer
	if len(s.Steps) == 0 {
		fmt.Fprintf(&out, "no line names request %s", s.Request)
		if s.LeftOut > 0 {
			fmt.Fprintf(&out, "; %d lines were left out within the budget, successes first", s.LeftOut)
		}
		fmt.Fprintln(&out)
	}
	for i, step := range s.Steps {
		fmt.Fprintf(&out, "%d. at %s\n   %s\n", i+1, step.Line.Process, step.Line.Text)
		for _, change := range step.StateChanges {
			fmt.Fprintf(&out, "   believed: %s\n", change.Text)
		}
	}
	for _, line := range s.Related {
		fmt.Fprintf(&out, "   %s: %s\n", line.Process, line.Text)
	}
	if len(s.Steps) > 0 {
		fmt.Fprintf(&out, "cause: %s\n", s.Cause())
	}
	_, err := w.Write(out.Bytes())
	return eris.Wrap(err, "write")
}
