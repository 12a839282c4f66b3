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
	// maxBufferBytes is the maximum size of the lines that wait to be written. At 300
	// bytes per line and the budget's 120 lines per second it covers seven seconds.
	maxBufferBytes = 256 << 10
	// flushInterval is how long lines are collected for one write.
	flushInterval = 100 * time.Millisecond
)

// Writer buffers lines without blocking. Run writes them to the output in batches, the last
// one when its context ends.
type Writer struct {
	out     io.Writer
	mu      sync.Mutex
	pending []byte
	// unreported is the number of dropped lines not logged yet.
	unreported int
	dropped    atomic.Uint64
	wake       chan struct{}
}

// NewWriter returns a Writer whose output is out.
func NewWriter(out io.Writer) *Writer {
	return &Writer{out: out, wake: make(chan struct{}, 1)}
}

// Write appends one line to the buffer. It never fails: a line that exceeds the buffer is
// dropped and counted.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	if len(w.pending)+len(line) > maxBufferBytes {
		w.unreported++
		w.dropped.Add(1)
	} else {
		w.pending = append(w.pending, line...)
	}
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped since the start.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Run writes the buffered lines until ctx ends, and then those that remain.
func (w *Writer) Run(ctx context.Context) {
	var spare []byte
	for {
		select {
		case <-w.wake:
		case <-ctx.Done():
			w.flush(spare)
			return
		}
		timer := time.NewTimer(flushInterval)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
		}
		spare = w.flush(spare)
	}
}

// flush writes the buffered lines. spare becomes the new buffer; the old one is returned for
// reuse.
func (w *Writer) flush(spare []byte) []byte {
	w.mu.Lock()
	batch, unreported := w.pending, w.unreported
	w.pending, w.unreported = spare[:0], 0
	w.mu.Unlock()
	if unreported > 0 {
		batch = fmt.Appendf(batch, "level=warn msg=\"lines dropped\" count=%d\n", unreported)
	}
	if len(batch) > 0 {
		// A failed write can't be reported, since the report would go to the same output.
		_, _ = w.out.Write(batch)
	}
	return batch
}
