package httpsend

import (
	"context"
	"errors"
	"net"
	"syscall"
)

// Ended reports whether nothing listens at an address, as after the end of a process.
// Without a clear answer it reports false.
func Ended(ctx context.Context, address string) bool {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	// Nothing was sent, and nothing can be done about a failure to close.
	_ = conn.Close()
	return false
}
