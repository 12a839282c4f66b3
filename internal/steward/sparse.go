package steward

import (
	"sync"
	"time"

	"github.com/charmbracelet/log"
)

const (
	// sparseEvery is the time over which the lines of one kind are counted, and sparseMost
	// how many of them are written meanwhile. Where hosts and upstreams come and go by the
	// thousand, a line each takes a control host's processor and its operators' patience.
	sparseEvery = time.Second
	sparseMost  = 20
)

// sparseLog writes lines of one kind, a bounded number of them a second. The first line of
// a second tells how many were left out before.
type sparseLog struct {
	log *log.Logger

	mu      sync.Mutex
	since   time.Time
	written int
	leftOut int
}

// info writes a line, or counts it as left out.
func (s *sparseLog) info(now time.Time, message string, fields ...any) {
	s.mu.Lock()
	if now.Sub(s.since) >= sparseEvery {
		s.since, s.written = now, 0
	}
	if s.written >= sparseMost {
		s.leftOut++
		s.mu.Unlock()
		return
	}
	s.written++
	if s.leftOut > 0 {
		fields = append(fields, "left_out", s.leftOut)
		s.leftOut = 0
	}
	s.mu.Unlock()
	s.log.Info(message, fields...)
}
