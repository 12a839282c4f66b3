package audited

import (
	"errors"
	"io"
	"sync"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/entry"
	"github.com/lovagereach/lovagereach/outcome"
)

// errCallerLeft is the outcome of an answer whose caller left before it was complete.
var errCallerLeft = &outcome.Unknown{Reason: outcome.ReasonCallerGone, Detail: "the caller left before the answer was whole"}

// auditedAnswer closes a prompt's audit record when its answer ends.
type auditedAnswer struct {
	entry.Answer
	service *Service
	request ident.Request
	closed  bool
}

// Next implements entry.Answer.
func (a *auditedAnswer) Next() (entry.Token, error) {
	token, err := a.Answer.Next()
	if err != nil || token.Done {
		a.end(err)
	}
	return token, err
}

// Close implements entry.Answer.
func (a *auditedAnswer) Close() {
	a.Answer.Close()
	a.end(errCallerLeft)
}

func (a *auditedAnswer) end(err error) {
	if a.closed {
		return
	}
	a.closed = true
	a.service.close(a.request, a.Provenance(), err)
}

// auditedBody closes a service call's audit record when its body was read or closed.
type auditedBody struct {
	io.ReadCloser
	once sync.Once
	end  func(error)
}

// Read implements io.Reader.
func (b *auditedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case errors.Is(err, io.EOF):
		b.once.Do(func() { b.end(nil) })
	case err != nil:
		b.once.Do(func() { b.end(&outcome.Unknown{Reason: outcome.ReasonStreamBroken, Detail: err.Error()}) })
	}
	return n, err
}

// Close implements io.Closer.
func (b *auditedBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(func() { b.end(errCallerLeft) })
	return err
}
