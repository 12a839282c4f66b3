package decision

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// bufferBytes bounds the lines that wait to be written. At 300 bytes a
	// line and the budget's 120 lines a second it covers seven seconds.
	bufferBytes = 256 << 10
	// writeEvery is how long lines are gathered for one write.
	writeEvery = 100 * time.Millisecond
)

// Writer takes lines without ever blocking and passes them on in batches. Run
// must be running for lines to leave; Flush writes what waits at the end.
type Writer struct {
	out     io.Writer
	mu      sync.Mutex
	waiting []byte
	lost    int
	dropped atomic.Uint64
	wake    chan struct{}
}

// NewWriter returns a writer to out.
func NewWriter(out io.Writer) *Writer {
	return &Writer{out: out, wake: make(chan struct{}, 1)}
}

// Write takes one line. It never fails: a line without room is counted.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	if len(w.waiting)+len(line) > bufferBytes {
		w.lost++
		w.dropped.Add(1)
	} else {
		w.waiting = append(w.waiting, line...)
	}
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Dropped returns how many lines found no room since the start.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Run writes until ctx ends, and then what waits.
func (w *Writer) Run(ctx context.Context) {
	var spare []byte
	for {
		select {
		case <-w.wake:
		case <-ctx.Done():
			w.flush(spare)
			return
		}
		timer := time.NewTimer(writeEvery)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
		}
		spare = w.flush(spare)
	}
}

// flush writes what waits and returns the buffer for the next batch.
func (w *Writer) flush(spare []byte) []byte {
	w.mu.Lock()
	batch, lost := w.waiting, w.lost
	w.waiting, w.lost = spare[:0], 0
	w.mu.Unlock()
	if lost > 0 {
		batch = fmt.Appendf(batch, "level=warn msg=\"lines dropped\" count=%d\n", lost)
	}
	if len(batch) > 0 {
		// Nothing can be reported about a log that can't be written.
		_, _ = w.out.Write(batch)
	}
	return batch
}
