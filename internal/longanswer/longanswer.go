// Package longanswer bounds the memory that a process takes for answers of upstreams that it reads whole.
// Upstreams in trouble may send bytes without end, all of them at the same time.
package longanswer

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/rotisserie/eris"
)

// ordinary is the length of an answer in bytes up to which any number is read at the same time.
const ordinary = 64 << 10

// ErrTooLong reports an answer beyond its limit.
var ErrTooLong = errors.New("the answer is too long")

// Reader reads answers. Those longer than ordinary ones are read one after another.
type Reader struct{ turn chan struct{} }

// NewReader returns a Reader.
func NewReader() *Reader { return &Reader{turn: make(chan struct{}, 1)} }

// Read reads the body of resp, of at most limit bytes, and passes it to decode. A long one waits for its turn,
// which it has until it is decoded, while ctx is not done. An error is ErrTooLong, or that of ctx, of the body or
// of decode.
func (r *Reader) Read(ctx context.Context, resp *http.Response, limit int64, decode func([]byte) error) error {
	if resp.ContentLength > limit {
		return tooLong(limit)
	}
	body, err := readUpTo(resp.Body, min(limit, ordinary))
	if err == nil {
		return decode(body)
	}
	if !errors.Is(err, ErrTooLong) || limit <= ordinary {
		return err
	}
	select {
	case r.turn <- struct{}{}:
		defer func() { <-r.turn }()
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "other long answers are read")
	}
	body, err = readUpTo(io.MultiReader(bytes.NewReader(body), resp.Body), limit)
	if err != nil {
		return err
	}
	return decode(body)
}

// readUpTo reads all of body. If that is more than limit bytes, it returns the first limit + 1 and ErrTooLong.
func readUpTo(body io.Reader, limit int64) ([]byte, error) {
	read, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err == nil && int64(len(read)) > limit {
		err = tooLong(limit)
	}
	return read, err
}

func tooLong(limit int64) error { return fmt.Errorf("%w: over %d bytes", ErrTooLong, limit) }
