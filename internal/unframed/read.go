package unframed

import (
	"errors"
	"io"
	"net/http"

	"github.com/rotisserie/eris"
)

// Is reports whether an answer's body ends with its connection.
func Is(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody
}

// body is the body of an answer without a length or chunks.
type body struct {
	io.ReadCloser
	awaitWritten func() error
}

// NewBody returns the body of such an answer. Its end is an error if the request could not be written, which
// awaitWritten waits for, within the request's deadline: a write that fails takes the error of a reset from the
// socket, and the reader gets a regular end.
func NewBody(inner io.ReadCloser, awaitWritten func() error) io.ReadCloser {
	return &body{ReadCloser: inner, awaitWritten: awaitWritten}
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if writeErr := b.awaitWritten(); writeErr != nil {
		return n, eris.Wrap(writeErr, "the answer ended before the request was written")
	}
	return n, io.EOF
}
