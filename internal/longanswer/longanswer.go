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

// pieceBytes is the size of the pieces in which the rest of a longer one is read.
const pieceBytes = 256 << 10

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
	body, err := io.ReadAll(io.LimitReader(from, min(limit, ordinary)+1))
	switch {
	case err != nil:
		return err
	case int64(len(body)) > limit:
		return tooLong(limit)
	case len(body) <= ordinary:
		return decode(body)
	}
	select {
	case r.turns <- struct{}{}:
		defer func() { <-r.turns }()
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "other long answers are read")
	}
	if body, err = readRest(body, from, limit); err != nil {
		return err
	}
	return decode(body)
}

// readRest reads the rest of a body. It copies only one within the limit: one without end takes no more memory
// than its limit.
func readRest(begun []byte, from io.Reader, limit int64) ([]byte, error) {
	pieces, read := [][]byte{begun}, int64(len(begun))
	for {
		piece := make([]byte, pieceBytes)
		n, err := fill(piece, from)
		pieces, read = append(pieces, piece[:n]), read+int64(n)
		switch {
		case read > limit:
			return nil, tooLong(limit)
		case err == io.EOF:
			return bytes.Join(pieces, nil), nil
		case err != nil:
			return nil, err
		}
	}
}

// fill reads into piece until it is full, or an error, which is io.EOF at the end of from only.
func fill(piece []byte, from io.Reader) (n int, err error) {
	for n < len(piece) && err == nil {
		var read int
		read, err = from.Read(piece[n:])
		n += read
	}
	return n, err
}

func tooLong(limit int64) error { return fmt.Errorf("%w: over %d bytes", ErrTooLong, limit) }
