package httpsend

import (
	"errors"
	"net"
	"net/http"
	"sync"

	"github.com/lovagereach/lovagereach/internal/httphead"
)

// errClosedUnwritten is the error of a write to a connection whose request was reported
// as not sent.
var errClosedUnwritten = errors.New("httpsend: connection was closed before its request was written")

// countedConn counts writes. HTTP/1.1 sends one request at a time on a connection, so a
// write after a request got the connection belongs to that request.
type countedConn struct {
	net.Conn
	mu     sync.Mutex
	writes uint64
	closed bool
	// writing is held during a write, and guards failed, the error of the write that failed.
	writing sync.Mutex
	failed  error
	// reading guards lines, the head of the latest answer.
	reading sync.Mutex
	lines   httphead.Lines
}

// Read implements io.Reader.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.reading.Lock()
	defer c.reading.Unlock()
	c.lines.Scan(p[:n])
	return n, err
}

// expectHead makes the next bytes those of a head.
func (c *countedConn) expectHead() {
	c.reading.Lock()
	defer c.reading.Unlock()
	c.lines = httphead.Lines{}
}

// checkEncoding returns an error if the answer whose head was read last has a body that can't be read.
func (c *countedConn) checkEncoding(resp *http.Response) error {
	c.reading.Lock()
	defer c.reading.Unlock()
	return c.lines.CheckEncoding(resp)
}

// Write implements io.Writer. It counts the write before it sends the bytes, because a
// failed write may have sent some of them.
func (c *countedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return 0, errClosedUnwritten
	}
	c.writes++
	c.mu.Unlock()
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if err != nil {
		c.failed = err
	}
	return n, err
}

// writeError returns the error of a write that failed, nil if none did. It waits for a write in progress.
func (c *countedConn) writeError() error {
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.failed
}

// count returns the number of writes.
func (c *countedConn) count() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// closeIfUnwritten reports whether nothing was written since the count was start. If so,
// it closes the connection and makes later writes fail. Otherwise the goroutine of
// http.Transport could still write the request after Do reported it as not sent.
func (c *countedConn) closeIfUnwritten(start uint64) bool {
	c.mu.Lock()
	unwritten := c.writes == start
	if unwritten {
		c.closed = true
	}
	c.mu.Unlock()
	if unwritten {
		c.Conn.Close()
	}
	return unwritten
}
