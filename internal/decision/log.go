package decision

import (
	"time"

	"github.com/charmbracelet/log"
)

// Event is the content of one line.
type Event interface {
	// Class returns the class whose budget the line uses.
	Class() Class
	// Message returns the line's fixed text.
	Message() string
	// Fields returns the line's alternating keys and values.
	Fields() []any
}

// Log writes events within a budget. It is safe for concurrent use.
type Log struct {
	logger *log.Logger
	budget *budget
}

// New returns a Log that writes to logger, whose output should be a Writer.
func New(logger *log.Logger) *Log {
	return &Log{logger: logger, budget: newBudget(time.Now())}
}

// Emit writes an event, or counts it as skipped if the budget of its class is used up. The
// next line of the class reports the count.
func (l *Log) Emit(e Event) {
	ok, skipped := l.budget.allow(e.Class(), time.Now())
	if !ok {
		return
	}
	fields := e.Fields()
	if skipped > 0 {
		fields = append(fields, "left_out", skipped)
	}
	l.logger.Info(e.Message(), fields...)
}
