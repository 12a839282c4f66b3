package apiclient

import (
	"errors"
	"net"
	"net/http"
	"net/url"
	"testing"
)

// A change gets no answer. Only after a refused connection is it certain that nothing was
// sent and that another host may be tried. If isNotSent matched the error's text, the name
// of a server could make a change that was sent count as not sent, and the change could be
// made twice.
func TestIsNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed := "http://" + listener.Addr().String()
	listener.Close()
	_, refused := http.Get(closed)
	cases := []struct {
		name string
		err  error
		want bool
	}{
		{"connection refused", refused, true},
		{"connection lost, with connect in the URL", &url.Error{Op: "Post", URL: "http://connect: 1/", Err: errors.New("EOF")}, false},
		{"connection lost", &url.Error{Op: "Post", URL: closed, Err: net.ErrClosed}, false},
	}
	for _, c := range cases {
		if got := isNotSent(c.err); got != c.want {
			t.Errorf("%s: %v: not sent %v, want %v", c.name, c.err, got, c.want)
		}
	}
}
