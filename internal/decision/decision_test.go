package decision

import (
	"bytes"
	"context"
	"errors"
	"io"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
)

// The log's reader hangs, as a collector may. Writes must not block, since requests would wait
// for them, and lines that exceed the buffer must be counted.
func TestWriteDoesNotBlockOnHungReader(t *testing.T) {
	reader, blocked, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	w := NewWriter(blocked)
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() { w.Run(ctx) })
	line := []byte(strings.Repeat("x", 999) + "\n")
	for range 4 * maxBufferBytes / len(line) {
		if n, err := w.Write(line); n != len(line) || err != nil {
			t.Fatal(n, err)
		}
	}
	if w.Dropped() == 0 {
		t.Fatal("more than the buffer size was written and no line was counted as dropped")
	}
	cancel()
	go io.Copy(io.Discard, reader)
	done.Wait()
	blocked.Close()
}

// The number of dropped lines must be in the log itself.
func TestDroppedLinesAreLogged(t *testing.T) {
	var out bytes.Buffer
	w := NewWriter(&out)
	w.Write(make([]byte, maxBufferBytes))
	w.Write([]byte("lost"))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	w.Run(ctx)
	if !strings.Contains(out.String(), `msg="lines dropped" count=1`) {
		t.Fatal("the number of dropped lines is not logged")
	}
}

// countEmitted emits each of the events the given number of times per second and returns how
// many lines of each message and class the budget allowed.
func countEmitted(t *testing.T, each int, seconds int, events ...Event) map[string]int {
	t.Helper()
	now := time.Unix(1000, 0)
	b := newBudget(now)
	counts := make(map[string]int)
	for range seconds {
		for range each {
			now = now.Add(time.Second / time.Duration(each))
			for _, e := range events {
				if ok, _ := b.allow(e.Class(), now); ok {
					counts[e.Message()+string(rune('0'+e.Class()))]++
				}
			}
		}
	}
	return counts
}

// At ten times the load the volume must stay about constant, and successes must not displace
// failures.
func TestVolumeIsIndependentOfLoad(t *testing.T) {
	success, failure := &RequestEnded{}, &RequestEnded{Cause: errors.New("x")}
	few, many := countEmitted(t, 30, 20, success, failure), countEmitted(t, 300, 20, success, failure)
	total := func(counts map[string]int) (n int) {
		for _, c := range counts {
			n += c
		}
		return n
	}
	if total(many) > total(few)*3/2 {
		t.Fatalf("%d lines at ten times the load, %d before", total(many), total(few))
	}
	if got := few["request"+string(rune('0'+Failure))]; got != 600 {
		t.Fatalf("%d of 600 failures at 30 per second are in the log", got)
	}
}

func TestSkippedLinesAreCounted(t *testing.T) {
	now := time.Unix(1000, 0)
	b := newBudget(now)
	for range int(burstSeconds*linesPerSecond[Success]) + 7 {
		b.allow(Success, now)
	}
	if ok, skipped := b.allow(Success, now.Add(time.Second)); !ok || skipped != 7 {
		t.Fatalf("written %t, %d skipped", ok, skipped)
	}
}

func TestRequestLineContainsInputs(t *testing.T) {
	var out bytes.Buffer
	New(log.NewWithOptions(&out, log.Options{Formatter: log.LogfmtFormatter})).Emit(&RequestEnded{
		Request: "r1", Route: "a", Outcome: "unknown", Cause: errors.New("reset"), Sends: 1, Waited: 40 * time.Millisecond,
		Choice: Choice{Upstream: "i-1", Candidates: 18, PendingPrefill: 5000, Sources: "s:1", Slowdown: 3.14159, Version: 2},
		View:   View{Config: 7, Term: 3, Age: 15 * time.Millisecond},
	})
	for _, want := range []string{"request=r1", "cause=reset", "upstream=i-1", "candidates=18", "unread=5000", "sources=s:1", "pace=3.1", "config=7", "term=3", "view_age_ms=15", "waited_ms=40"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("line lacks %s: %s", want, out.String())
		}
	}
}

func BenchmarkEmit(b *testing.B) {
	l := New(log.NewWithOptions(NewWriter(io.Discard), log.Options{Formatter: log.LogfmtFormatter}))
	e := &RequestEnded{Request: "r1", Route: "a", Outcome: "done", Choice: Choice{Upstream: "i-1", Candidates: 18}}
	for b.Loop() {
		l.Emit(e)
	}
}
