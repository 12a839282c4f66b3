package httpsend

import (
	"context"
	"errors"
	"net"
	"syscall"

	"github.com/lovagereach/lovagereach/internal/crash"
)

// CheckProcess checks the process that listens at address: connections are refused after its end.
func CheckProcess(ctx context.Context, address string) crash.State {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return crash.Refused
	case err != nil:
		return crash.Unclear
	}
	// Nothing was sent, so an error of Close is irrelevant.
	_ = conn.Close()
	return crash.Running
}
