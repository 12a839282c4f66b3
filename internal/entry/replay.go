package entry

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"

	"github.com/lovagereach/lovagereach/internal/longanswer"
	"github.com/lovagereach/lovagereach/once"
	"github.com/lovagereach/lovagereach/outcome"
)

// recordAnswer reads the answer to its end, so that the record is complete, and
// replaces its body by an in-memory copy for the caller.
func (e *Entry) recordAnswer(ctx context.Context, answer *ServiceAnswer) (once.Answer, error) {
	var body []byte
	err := e.recorded.Read(ctx, answer.Body, maxServiceAnswer, func(whole []byte) error {
		body = whole
		return nil
	})
	_ = answer.Body.Close()
	if errors.Is(err, longanswer.ErrTooLong) {
		return once.Answer{}, &outcome.Unknown{
			Reason: outcome.ReasonBadAnswer,
			Detail: fmt.Sprintf("the answer is larger than %d bytes", maxServiceAnswer),
		}
	}
	if err != nil {
		return once.Answer{}, &outcome.Unknown{Reason: outcome.ReasonConnectionLost, Detail: "the answer broke off: " + err.Error()}
	}
	answer.Body = io.NopCloser(bytes.NewReader(body))
	if !answer.Unframed {
		answer.Length = int64(len(body))
	}
	record := once.Answer{
		Status:   answer.Status,
		Body:     body,
		Upstream: answer.Provenance.Upstream,
	}
	for name, values := range answer.Header {
		for _, value := range values {
			record.Header = append(record.Header, once.HeaderField{Name: name, Value: value})
		}
	}
	slices.SortFunc(record.Header, func(a, b once.HeaderField) int {
		return strings.Compare(a.Name+a.Value, b.Name+b.Value)
	})
	if answer.Unframed {
		// First, since the ledger shortens long headers.
		record.Header = slices.Insert(record.Header, 0, unframedField)
	}
	return record, nil
}

// unframedField is in the header of a recorded answer whose body ended with the upstream's connection. It
// is in no upstream's header: the HTTP client removes or refuses it.
var unframedField = once.HeaderField{Name: "Transfer-Encoding", Value: "identity"}

// replayAnswer converts a recorded answer to one for the caller.
func (e *Entry) replayAnswer(j *serviceJob, record once.Answer) (ServiceAnswer, error) {
	if record.BodyOmitted {
		return ServiceAnswer{}, &outcome.Failed{
			Reason: outcome.ReasonBadAnswer,
			Detail: fmt.Sprintf("the call ran once as request %s; its answer of %d bytes was too large to be kept", record.Request, record.BodyLength),
			Status: http.StatusConflict,
		}
	}
	answer := ServiceAnswer{
		Status:   record.Status,
		Header:   make(http.Header, len(record.Header)),
		Body:     io.NopCloser(bytes.NewReader(record.Body)),
		Length:   int64(len(record.Body)),
		Repeated: true,
		Provenance: Provenance{
			Request:  j.call.Request,
			Outcome:  outcome.KindDone,
			Class:    j.class.Name,
			Upstream: record.Upstream,
		},
	}
	for _, field := range record.Header {
		if field == unframedField {
			answer.Unframed, answer.Length = true, -1
			continue
		}
		answer.Header.Add(field.Name, field.Value)
	}
	return answer, nil
}

// releasingBody releases the request when its body is closed.
type releasingBody struct {
	io.ReadCloser
	release func()
}

// Close implements io.Closer.
func (b *releasingBody) Close() error {
	if b.release == nil {
		return nil
	}
	err := b.ReadCloser.Close()
	b.release()
	b.release = nil
	return err
}
