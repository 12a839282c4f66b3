package porttest

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync"

	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/internal/standin"
)

// FakeService is an in-memory port.Service. It answers with the call's body and
// counts how often it ran a call with each idempotency key.
type FakeService struct {
	faults *standin.Faults

	mu   sync.Mutex
	runs map[string]int
}

var _ port.Service = (*FakeService)(nil)

// NewFakeService returns a replica that has run no calls.
func NewFakeService() *FakeService {
	return &FakeService{faults: standin.NewFaults(0), runs: make(map[string]int)}
}

// Faults returns the faults to inject. Their paths are those of the calls.
func (s *FakeService) Faults() *standin.Faults { return s.faults }

// Runs returns how often the replica ran a call with the given idempotency key.
func (s *FakeService) Runs(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[key]
}

// Forward implements port.Service.
func (s *FakeService) Forward(ctx context.Context, call port.ServiceCall) (port.ServiceAnswer, error) {
	if err := beforeCall(ctx, s.faults, call.Path); err != nil {
		return port.ServiceAnswer{}, err
	}
	s.mu.Lock()
	s.runs[call.Key]++
	s.mu.Unlock()
	if _, ok := s.faults.Take(standin.FaultError, call.Path); ok {
		return answer(http.StatusInternalServerError, nil), nil
	}
	if err := afterCall(s.faults, call.Path); err != nil {
		return port.ServiceAnswer{}, err
	}
	return answer(http.StatusOK, call.Body), nil
}

func answer(status int, body []byte) port.ServiceAnswer {
	return port.ServiceAnswer{
		Status: status,
		Header: http.Header{"Content-Type": {"application/octet-stream"}},
		Body:   io.NopCloser(bytes.NewReader(body)),
		Length: int64(len(body)),
	}
}
