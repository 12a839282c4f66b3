package steward

import (
	"sync"
	"time"

	"github.com/charmbracelet/log"
)

const (
	// throttleWindow is the period over which the lines of one kind are counted, and
	// throttleMax the number of them that are written within it. When hosts and upstreams come
	// and go by the thousand, a line for each takes too much of a control host's processor and
	// of its operators' attention.
	throttleWindow = time.Second
	throttleMax    = 20
)

// throttledLog writes log lines of one kind, a bounded number of them a second. The first line
// of a second carries the number of lines that were left out before.
type throttledLog struct {
	log *log.Logger

	mu      sync.Mutex
	since   time.Time
	written int
	leftOut int
}

// info writes a line, or counts it as left out.
func (s *throttledLog) info(now time.Time, message string, fields ...any) {
	s.mu.Lock()
	if now.Sub(s.since) >= throttleWindow {
		s.since, s.written = now, 0
	}
	if s.written >= throttleMax {
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
