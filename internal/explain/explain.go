// Package explain finds what became of a request in the logs of several
// processes, and the beliefs that it was decided by.
//
// Lines are ordered by what they name, never by their clocks, which may have
// jumped: a request's own lines stand in the order of the entry that wrote them;
// before each come the beliefs that this entry held then; what control hosts
// wrote of the same upstreams follows, by process. Logs are read as streams.
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
	// maxLine bounds one line; longer ones are cut by their writer.
	maxLine = 1 << 20
	// maxRelated bounds the lines of other processes that are kept.
	maxRelated = 40
)

// Line is one line of a process's log.
type Line struct {
	Process string
	Message string
	Fields  map[string]string
	Text    string
}

// parse reads a line; ok is false for text that is none. Whatever stands before
// the time, as the name of the process in a collected log, is its process.
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

// about are the fields by which a belief concerns a request's choice.
var about = []string{"upstream", "store"}

// beliefs are the messages that tell what a process believes.
var beliefs = []string{"configuration in force", "leader followed", "leader lost", "store pace", "upstream trust", "started", "leaving"}

// Step is one line of the request with the beliefs of its process before it.
type Step struct {
	Line    Line
	Beliefs []Line
}

// Story is what the logs tell of one request.
type Story struct {
	Request string
	Steps   []Step
	// Related are lines of other processes on the same upstreams and stores.
	Related []Line
	// LeftOut is how many lines the entries say they left out.
	LeftOut uint64
	names   map[string]bool
}

// NewStory returns an empty story of a request.
func NewStory(request string) *Story {
	return &Story{Request: request, names: make(map[string]bool)}
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

// Find takes in the request's own lines from one log.
func (s *Story) Find(process string, r io.Reader) error {
	latest := make(map[string]Line)
	return scan(process, r, func(line Line) {
		if skipped, err := strconv.ParseUint(line.Fields["left_out"], 10, 64); err == nil {
			s.LeftOut += skipped
		}
		if line.Fields["request"] == s.Request {
			s.take(line, latest)
			return
		}
		if slices.Contains(beliefs, line.Message) {
			latest[line.Process+"\x00"+line.Message+"\x00"+line.Fields["upstream"]+line.Fields["store"]] = line
		}
	})
}

func (s *Story) take(line Line, latest map[string]Line) {
	step := Step{Line: line}
	s.names[line.Fields["upstream"]] = true
	for _, source := range strings.Split(line.Fields["sources"], ",") {
		s.names[source] = true
	}
	delete(s.names, "")
	for _, belief := range latest {
		if belief.Process != line.Process {
			continue
		}
		if s.concerns(belief) || (belief.Fields["upstream"] == "" && belief.Fields["store"] == "") {
			step.Beliefs = append(step.Beliefs, belief)
		}
	}
	slices.SortFunc(step.Beliefs, func(a, b Line) int { return strings.Compare(a.Message+a.Text, b.Message+b.Text) })
	s.Steps = append(s.Steps, step)
}

func (s *Story) concerns(line Line) bool {
	return slices.ContainsFunc(about, func(field string) bool { return s.names[line.Fields[field]] })
}

// Relate takes in what other processes wrote of the request's upstreams and
// stores. It is called after Find has seen all logs.
func (s *Story) Relate(process string, r io.Reader) error {
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

// Write prints the story.
func (s *Story) Write(w io.Writer) error {
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
		for _, belief := range step.Beliefs {
			fmt.Fprintf(&out, "   believed: %s\n", belief.Text)
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
