package httpsend

import (
	"context"
	"errors"
	"net"
	"syscall"
)

// ConnectionRefused reports whether connections to address are refused, as after the end of the
// listening process. After any other error, such as a timeout, it returns false.
func ConnectionRefused(ctx context.Context, address string) bool {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	// Nothing was sent, so an error of Close is irrelevant.
	_ = conn.Close()
	return false
}
