package httpsend

import (
	"context"
	"net"
	"testing"
)

// Only refused connections count as the end of a process; a cancelled dial does not.
func TestEnded(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	if ConnectionRefused(context.Background(), address) {
		t.Error("a listening process is reported as ended")
	}
	_ = listener.Close()
	if !ConnectionRefused(context.Background(), address) {
		t.Error("an address that refuses connections is not reported as ended")
	}
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	if ConnectionRefused(cancelled, address) {
		t.Error("a cancelled dial is reported as the end of the process")
	}
}
