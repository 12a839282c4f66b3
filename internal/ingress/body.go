package ingress

import (
	"bytes"
	"context"
	"errors"
	"io"
)

const (
	// chunk is the number of bytes by which a body of unknown length is read, and growth what a buffer
	// takes that grows with it, as a multiple of the bytes read.
	chunk  = 32 << 10
	growth = 2
)

// ReadBody reads a body of the given length, -1 if unknown. Its memory is reserved before it is read, with the
// request that ctx belongs to. An error is that of Reserve or of from.
func ReadBody(ctx context.Context, from io.Reader, length int64) ([]byte, error) {
	var body bytes.Buffer
	if length >= 0 {
		if err := Reserve(ctx, length); err != nil {
			return nil, err
		}
		body.Grow(int(length) + bytes.MinRead)
		_, err := body.ReadFrom(from)
		return body.Bytes(), err
	}
	for {
		if err := Reserve(ctx, growth*chunk); err != nil {
			return nil, err
		}
		switch _, err := io.CopyN(&body, from, chunk); {
		case errors.Is(err, io.EOF):
			return body.Bytes(), nil
		case err != nil:
			return nil, err
		}
	}
}
