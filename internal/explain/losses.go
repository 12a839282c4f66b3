package explain

import (
	"bytes"
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"
)

// Loss is the way in which a request was not served as required.
type Loss string

const (
	// NotServed requests have no complete answer, or a status of 500 or above from
	// the upstream.
	NotServed Loss = "not served"
	// Late answers started after their route's target.
	Late Loss = "late"
)

const (
	// maxLossRows bounds the number of kinds of losses with a row of their own.
	maxLossRows = 4096
	// momentSpan is the duration of one moment of the table.
	momentSpan = 2 * time.Second
	// noRoute is the route of requests that ended before they were routed.
	noRoute = "-"
)

// lossKey identifies one row of the table.
type lossKey struct {
	route  string
	loss   Loss
	reason string
}

// lossRow counts one kind of loss, in total and by moment.
type lossRow struct {
	count int
	at    map[int64]int
}

// Losses counts the requests that were lost or late by route, reason and moment, from
// the logs of any number of entries. Lines that a log left out to stay within its
// budget have a row of their own, so that the rows add up to the total.
type Losses struct {
	rows     map[lossKey]*lossRow
	requests int
}

// NewLosses returns an empty table.
func NewLosses() *Losses { return &Losses{rows: make(map[lossKey]*lossRow)} }

// Read adds the requests of one log.
func (l *Losses) Read(process string, r io.Reader) error {
	return scan(process, r, l.addLine)
}

func (l *Losses) addLine(line Line) {
	if line.Message != "request" {
		return
	}
	l.requests++
	loss, reason := lossOf(line)
	route := cmp.Or(line.Fields["route"], noRoute)
	at := int64(0)
	if t, err := time.Parse(time.RFC3339Nano, line.Fields["time"]); err == nil {
		at = t.UnixNano() / int64(momentSpan)
	}
	if loss != "" {
		l.count(lossKey{route, loss, reason}, at, 1)
	}
	// The lines counted in left_out have the same class as this line, but may
	// have any route.
	if skipped, err := strconv.Atoi(line.Fields["left_out"]); err == nil && skipped > 0 {
		l.requests += skipped
		if loss != "" {
			l.count(lossKey{noRoute, loss, "left out of the log"}, at, skipped)
		}
	}
}

func (l *Losses) count(key lossKey, at int64, n int) {
	row := l.rows[key]
	if row == nil {
		if len(l.rows) >= maxLossRows {
			key = lossKey{noRoute, key.loss, "others"}
		}
		if row = l.rows[key]; row == nil {
			row = &lossRow{at: make(map[int64]int)}
			l.rows[key] = row
		}
	}
	row.count += n
	row.at[at] += n
}

// lossOf returns the way in which a request was lost, empty if it wasn't, and the
// reason.
func lossOf(line Line) (Loss, string) {
	switch {
	case line.Fields["cause"] != "" && line.Fields["cause"] != "null":
		return NotServed, reasonOf(line).label
	case strings.HasPrefix(line.Fields["status"], "5"):
		return NotServed, "the upstream ran it and failed"
	case number(line, "first_ms") > number(line, "target_ms") && number(line, "target_ms") > 0:
		return Late, cmp.Or(delayOf(line).label, "began later than predicted")
	}
	return "", ""
}

// Write prints the table, the largest losses first. The worst moment of a row is given
// as the time since the first moment of all rows.
func (l *Losses) Write(w io.Writer) error {
	var out bytes.Buffer
	table := tabwriter.NewWriter(&out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "route\tloss\treason\tcount\tper 1,000\tworst moment")
	keys := slices.SortedFunc(maps.Keys(l.rows), func(a, b lossKey) int {
		return cmp.Or(l.rows[b].count-l.rows[a].count, cmp.Compare(a.route+a.reason, b.route+b.reason))
	})
	first := l.firstMoment()
	totals := make(map[Loss]int)
	for _, key := range keys {
		row := l.rows[key]
		totals[key.loss] += row.count
		at, most := row.worstMoment()
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%.1f\t%d in %v from %v on\n", key.route, key.loss, key.reason, row.count,
			l.perThousand(row.count), most, momentSpan, time.Duration(at-first)*momentSpan)
	}
	for _, loss := range []Loss{NotServed, Late} {
		fmt.Fprintf(table, "all\t%s\t\t%d\t%.1f\tof %d requests\n", loss, totals[loss], l.perThousand(totals[loss]), l.requests)
	}
	if err := table.Flush(); err != nil {
		return eris.Wrap(err, "table")
	}
	_, err := w.Write(out.Bytes())
	return eris.Wrap(err, "write")
}

func (l *Losses) perThousand(count int) float64 {
	return 1000 * float64(count) / float64(max(l.requests, 1))
}

func (l *Losses) firstMoment() int64 {
	first := int64(0)
	for _, row := range l.rows {
		for at := range row.at {
			if first == 0 || at < first {
				first = at
			}
		}
	}
	return first
}

func (r *lossRow) worstMoment() (at int64, count int) {
	for _, moment := range slices.Sorted(maps.Keys(r.at)) {
		if r.at[moment] > count {
			at, count = moment, r.at[moment]
		}
	}
	return at, count
}
