package eventstream

import (
	"bufio"
	"errors"
	"io"
)

// bufferBytes is the size of a stream's read buffer, in which most events fit.
const bufferBytes = 2 << 10

// Reader reads the events of a stream.
type Reader struct {
	lines *bufio.Reader
	limit int
	raw   []byte
	block block
	// dropComments indicates that raw holds no comments before an event.
	dropComments bool
	// reserve is called before raw grows beyond reserved bytes; nil for no bound.
	reserve  func(bytes int) error
	reserved int
	// failed is returned by Next after an error.
	failed error
}

// NewReader returns a reader of events of at most limit bytes each, with the comments before them. An
// event may begin with the field extraField and a number, if that isn't empty.
func NewReader(r io.Reader, limit int, extraField string) *Reader {
	return &Reader{lines: bufio.NewReaderSize(r, bufferBytes), limit: limit, block: block{extraField: extraField}}
}

// DropComments makes Next leave comments and empty lines before an event out of Raw and of the limit.
func (r *Reader) DropComments() { r.dropComments = true }

// ReserveBy makes Next call reserve before it holds more bytes of an event than ever before. It returns the
// error of reserve.
func (r *Reader) ReserveBy(reserve func(bytes int) error) {
	r.reserve, r.reserved = reserve, bufferBytes
}

// Next returns the next event, valid until the next call. It returns io.EOF if the stream ends between
// events, ErrTruncated if it ends within one, ErrTooLong, a *SyntaxError or an error of the underlying
// reader. After an error it returns the same one again: what follows bytes that are no event is none.
func (r *Reader) Next() (Event, error) {
	if r.failed != nil {
		return Event{}, r.failed
	}
	r.raw = r.raw[:0]
	r.block.reset()
	for {
		begin := len(r.raw)
		if err := r.readLine(); err != nil {
			r.failed = r.classify(err, len(r.raw) > begin)
			return Event{}, r.failed
		}
		ends, err := r.block.add(r.raw[begin:])
		if err != nil {
			r.failed = err
			return Event{}, err
		}
		if ends {
			return Event{Raw: r.raw, ID: string(r.block.id), Data: r.block.data}, nil
		}
		if r.dropComments && !r.block.hasFields {
			r.raw = r.raw[:0]
		}
	}
}

// Trailing returns the comments and empty lines that came after the last event, once Next has returned
// io.EOF.
func (r *Reader) Trailing() []byte { return r.raw }

// readLine appends a line with its line end to raw.
func (r *Reader) readLine() error {
	for {
		part, err := r.lines.ReadSlice('\n')
		if failed := r.reserveFor(len(r.raw) + len(part)); failed != nil {
			return failed
		}
		r.raw = append(r.raw, part...)
		switch {
		case len(r.raw) > r.limit:
			return ErrTooLong
		case !errors.Is(err, bufio.ErrBufferFull):
			return err
		}
	}
}

// reserveFor reserves what raw takes with a number of bytes; its capacity doubles as it grows.
func (r *Reader) reserveFor(bytes int) error {
	if r.reserve == nil || bytes <= r.reserved {
		return nil
	}
	more := 2*bytes - r.reserved
	if err := r.reserve(more); err != nil {
		return err
	}
	r.reserved += more
	return nil
}

// classify returns the error of a stream whose next line can't be read. cut indicates that a part of
// the line has come.
func (r *Reader) classify(err error, cut bool) error {
	if errors.Is(err, io.EOF) && (cut || r.block.hasFields) {
		return ErrTruncated
	}
	return err
}
