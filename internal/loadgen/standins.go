package loadgen

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/rotisserie/eris"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/adapter/httpcall"
	"github.com/lovagereach/lovagereach/internal/adapter/httpsend"
	"github.com/lovagereach/lovagereach/internal/standin"
)

// maxStatsBytes bounds the size of a stand-in's answer.
const maxStatsBytes = 64 << 20

// standinStats holds the counters of a stand-in of any kind. Counters that its
// kind doesn't have are zero.
type standinStats struct {
	Upstream      ident.Upstream `json:"upstream"`
	WrittenBytes  uint64         `json:"written_bytes"`
	ReadBytes     uint64         `json:"read_bytes"`
	ImportedBytes uint64         `json:"imported_bytes"`
	ExportedBytes uint64         `json:"exported_bytes"`
	WrongBlocks   uint64         `json:"wrong_blocks"`
	Rejected      uint64         `json:"imports_rejected"`
}

// readAll requests path from every stand-in and returns the answers by address.
// The error joins those of the failed requests.
func readAll[T any](ctx context.Context, transport *httpsend.Transport, addresses []string, path string) (map[string]T, error) {
	found := make(map[string]T, len(addresses))
	var failures []error
	for _, address := range addresses {
		var got T
		if err := httpcall.NewCaller(transport, address).Get(ctx, path, maxStatsBytes, &got); err != nil {
			failures = append(failures, err)
			continue
		}
		found[address] = got
	}
	return found, errors.Join(failures...)
}

func readStats(ctx context.Context, transport *httpsend.Transport, addresses []string) (map[string]standinStats, error) {
	return readAll[standinStats](ctx, transport, addresses, standin.PathStats)
}

// readRuns returns the sum of the runs on all stand-ins. It ignores errors, since
// store hosts run nothing and answer with an error status.
func readRuns(ctx context.Context, transport *httpsend.Transport, addresses []string) Ran {
	found, _ := readAll[standin.Runs](ctx, transport, addresses, standin.PathRuns)
	ran := NewRan()
	for _, runs := range found {
		for key, count := range runs.Keys {
			ran.Keys[key] += count
		}
		for _, id := range runs.Begun {
			ran.Requests[id] = true
		}
	}
	return ran
}

// ReadRunLog reads a log written by standin.RunLog. An incomplete last line is
// ignored: it was written by a process that was killed during the write, before it
// started the run.
func ReadRunLog(r io.Reader) (Ran, error) {
	ran := NewRan()
	reader := bufio.NewReader(r)
	for number := 1; ; number++ {
		line, err := reader.ReadString('\n')
		if err == io.EOF {
			return ran, nil
		}
		if err != nil {
			return ran, eris.Wrap(err, "run log")
		}
		if err := ran.addLine(line); err != nil {
			return ran, eris.Wrapf(err, "run log, line %d", number)
		}
	}
}

func (r Ran) addLine(line string) error {
	var kind, value string
	if _, err := fmt.Sscanf(line, "%s %q\n", &kind, &value); err != nil {
		return err
	}
	switch kind {
	case standin.RunKey:
		r.Keys[value]++
	case standin.RunRequest:
		id, err := ident.ParseRequest(value)
		if err != nil {
			return err
		}
		r.Requests[id] = true
	default:
		return fmt.Errorf("unknown kind %q", kind)
	}
	return nil
}

// Ran holds the runs that upstreams recorded: the number of runs of each
// idempotency key, and the requests that engines started.
type Ran struct {
	Keys     map[string]int
	Requests map[ident.Request]bool
}

// NewRan returns an empty Ran.
func NewRan() Ran {
	return Ran{Keys: make(map[string]int), Requests: make(map[ident.Request]bool)}
}
