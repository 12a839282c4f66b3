package decision

import (
	"time"

	"github.com/charmbracelet/log"
)

// Event is one kind of line.
type Event interface {
	// Class tells how much the line is worth.
	Class() Class
	// Message is the line's fixed text.
	Message() string
	// Fields are its keys and values in turn.
	Fields() []any
}

// Log writes events within the budget. It is safe for concurrent use.
type Log struct {
	logger *log.Logger
	budget *budget
}

// New returns a log over a logger whose output is a Writer.
func New(logger *log.Logger) *Log {
	return &Log{logger: logger, budget: newBudget(time.Now())}
}

// Emit writes an event, or counts it when its class has used up its part. The
// next line of the class tells how many were left out.
func (l *Log) Emit(e Event) {
	ok, skipped := l.budget.take(e.Class(), time.Now())
	if !ok {
		return
	}
	fields := e.Fields()
	if skipped > 0 {
		fields = append(fields, "left_out", skipped)
	}
	l.logger.Info(e.Message(), fields...)
}
