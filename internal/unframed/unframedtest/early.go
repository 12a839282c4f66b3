// Package unframedtest has an upstream for tests of answers without a length or chunks.
package unframedtest

import (
	"io"
	"net"
	"testing"
)

// requestRead is how much of a request is read before it is answered, in bytes.
const requestRead = 4 << 10

// AnswerEarly starts an upstream that writes an answer to each request after the first bytes of it, and then ends
// the connection by end. It returns the upstream's listener.
func AnswerEarly(t *testing.T, answer string, end func(c *net.TCPConn)) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if _, err := io.ReadFull(c, make([]byte, requestRead)); err != nil {
					return
				}
				if _, err := io.WriteString(c, answer); err != nil {
					return
				}
				end(c.(*net.TCPConn))
			}()
		}
	}()
	return listener
}
