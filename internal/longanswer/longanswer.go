// Package longanswer bounds the memory that a process takes for answers of upstreams that it reads whole.
// Upstreams in trouble may send bytes without end, all of them at the same time.
package longanswer

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/rotisserie/eris"
)

// ordinary is the length of an answer in bytes up to which any number is read at the same time.
const ordinary = 64 << 10

// ErrTooLong reports an answer beyond its limit.
var ErrTooLong = errors.New("the answer is too long")

// Reader reads answers. Of those longer than ordinary ones it reads a number at the same time.
type Reader struct{ turns chan struct{} }

// NewReader returns a Reader that reads so many long answers at the same time.
func NewReader(turns int) *Reader { return &Reader{turns: make(chan struct{}, turns)} }

// Read reads the body of an answer, of at most limit bytes, and passes it to decode. A long one waits for its
// turn, which it has until it is decoded, while ctx is not done. An error is ErrTooLong, or that of ctx, of the
// body or of decode.
func (r *Reader) Read(ctx context.Context, from io.Reader, limit int64, decode func([]byte) error) error {
	body, err := readUpTo(from, min(limit, ordinary))
	if err == nil {
		return decode(body)
	}
	if !errors.Is(err, ErrTooLong) || limit <= ordinary {
		return err
	}
	select {
	case r.turns <- struct{}{}:
		defer func() { <-r.turns }()
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "other long answers are read")
	}
	body, err = readUpTo(io.MultiReader(bytes.NewReader(body), from), limit)
	if err != nil {
		return err
	}
	return decode(body)
}

// readUpTo reads all of body. If that is more than limit bytes, it returns the first limit + 1 and ErrTooLong.
func readUpTo(body io.Reader, limit int64) ([]byte, error) {
	read, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err == nil && int64(len(read)) > limit {
		err = fmt.Errorf("%w: over %d bytes", ErrTooLong, limit)
	}
	return read, err
}
