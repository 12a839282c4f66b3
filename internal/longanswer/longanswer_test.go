package longanswer

import (
	"context"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against an answer that is cut, or that is longer than its limit, being decoded.
func TestOnlyWholeAnswersWithinLimitAreDecoded(t *testing.T) {
	broken := errors.New("broken")
	for name, c := range map[string]struct {
		size  int
		limit int64
		end   error
		want  error
	}{
		"empty": {0, 10, io.EOF, nil}, "at its limit": {10, 10, io.EOF, nil}, "over its limit": {11, 10, io.EOF, ErrTooLong}, "cut": {5, 10, broken, broken},
		"ordinary": {ordinary, 2 * ordinary, io.EOF, nil}, "long": {ordinary + 1, 2 * ordinary, io.EOF, nil}, "long, at its limit": {2 * ordinary, 2 * ordinary, io.EOF, nil},
		"long, over its limit": {2*ordinary + 1, 2 * ordinary, io.EOF, ErrTooLong}, "long, cut": {ordinary + 1, 2 * ordinary, broken, broken},
		"cut by a connection's end": {5, 10, io.ErrUnexpectedEOF, io.ErrUnexpectedEOF}, "long, cut by a connection's end": {ordinary + 1, 2 * ordinary, io.ErrUnexpectedEOF, io.ErrUnexpectedEOF},
		"several pieces": {3*pieceBytes + 5, 4 * pieceBytes, io.EOF, nil}, "several pieces, cut": {3 * pieceBytes, 4 * pieceBytes, io.ErrUnexpectedEOF, io.ErrUnexpectedEOF},
		"several pieces, over the limit": {4*pieceBytes + 1, 4 * pieceBytes, io.EOF, ErrTooLong},
	} {
		t.Run(name, func(t *testing.T) {
			body := io.MultiReader(strings.NewReader(strings.Repeat("x", c.size)), errorReader{c.end})
			decoded := -1
			err := NewReader(1).Read(t.Context(), body, c.limit, func(body []byte) error {
				decoded = len(body)
				return nil
			})
			if !errors.Is(err, c.want) || (err == nil) != (c.want == nil) || (decoded >= 0) != (c.want == nil) || err == nil && decoded != c.size {
				t.Errorf("%v, %d bytes decoded", err, decoded)
			}
		})
	}
}

type errorReader struct{ err error }

func (r errorReader) Read([]byte) (int, error) { return 0, r.err }

// Guards against long answers that take memory at the same time, and against ordinary ones, or a call whose time
// is up, that wait for one without end.
func TestLongAnswersAreReadInTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := NewReader(1)
		long := strings.Repeat("x", ordinary+1)
		decoded := func([]byte) error { return nil }
		first, end := io.Pipe()
		read := make(chan error, 1)
		go func() { read <- r.Read(t.Context(), first, 2*ordinary, decoded) }()
		if _, err := end.Write([]byte(long)); err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		if err := r.Read(t.Context(), strings.NewReader("short"), 2*ordinary, decoded); err != nil {
			t.Errorf("an ordinary answer: %v", err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if err := r.Read(ctx, strings.NewReader(long), 2*ordinary, decoded); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("a second long answer: %v", err)
		}
		_ = end.Close()
		if err := <-read; err != nil {
			t.Errorf("the first long answer: %v", err)
		}
		if err := r.Read(t.Context(), strings.NewReader(long), 2*ordinary, decoded); err != nil {
			t.Errorf("a long answer afterwards: %v", err)
		}
	})
}
