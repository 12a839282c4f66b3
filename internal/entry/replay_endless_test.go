package entry

import (
	"io"
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
)

// stuckBody is a body of as many bytes as are recorded, whose end doesn't come until it is closed.
type stuckBody struct {
	left   int
	closed chan struct{}
	once   sync.Once
}

func (b *stuckBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		<-b.closed
		return 0, io.ErrUnexpectedEOF
	}
	n := min(len(p), b.left)
	b.left -= n
	return n, nil
}

func (b *stuckBody) Close() error {
	b.once.Do(func() { close(b.closed) })
	return nil
}

// Guards against answers without end to calls that are recorded, all of which are kept at the same time.
func TestRecordedAnswersWithoutEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const calls, maxHeap = 64, 2 * recordTurns * maxServiceAnswer
		e := newTestEntry(t)
		var before, during runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		var recording sync.WaitGroup
		var bodies []*stuckBody
		for range calls {
			body := &stuckBody{left: maxServiceAnswer, closed: make(chan struct{})}
			bodies = append(bodies, body)
			recording.Go(func() {
				if _, err := e.recordAnswer(t.Context(), &ServiceAnswer{Body: body}); err == nil {
					t.Error("recorded")
				}
			})
		}
		synctest.Wait()
		runtime.GC()
		runtime.ReadMemStats(&during)
		if grown := int64(during.HeapAlloc) - int64(before.HeapAlloc); grown > maxHeap {
			t.Errorf("the heap grew by %d MiB", grown>>20)
		}
		for _, body := range bodies {
			_ = body.Close()
		}
		recording.Wait()
	})
}
