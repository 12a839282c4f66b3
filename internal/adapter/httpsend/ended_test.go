package httpsend

import (
	"context"
	"net"
	"testing"
)

// Only an address that refuses connections tells of an end.
func TestEnded(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	if Ended(context.Background(), address) {
		t.Error("a process that listens counts as ended")
	}
	_ = listener.Close()
	if !Ended(context.Background(), address) {
		t.Error("a process that refuses connections does not count as ended")
	}
	gone, cancel := context.WithCancel(context.Background())
	cancel()
	if Ended(gone, address) {
		t.Error("without an answer nothing is known")
	}
}
