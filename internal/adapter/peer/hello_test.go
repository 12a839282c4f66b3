package peer

import (
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/port"
)

// A process of another deployment, with another key, or running concurrently with its
// successor dials a server. The call must fail with the typed reason and without a
// message sent, and the server's log must contain the same reason.
func TestRefusals(t *testing.T) {
	cases := map[string]struct {
		change func(o *Options)
		reason RefusalReason
		remote bool
	}{
		"other deployment": {
			change: func(o *Options) { o.Cluster = "other" },
			reason: RefusedCluster,
			remote: true,
		},
		"wrong key": {
			change: func(o *Options) { o.Key = []byte("guess") },
			reason: RefusedKey,
		},
		"concurrent process": {
			change: func(o *Options) { o.Self.Incarnation = 4 },
			reason: RefusedConcurrent,
			remote: true,
		},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newMemNet()
				server := testOptions(n, self("b", 1))
				var lines *syncBuffer
				server.Log, lines = bufferLog()
				start(t, n, "b", server, map[port.Method]port.PeerHandlerFunc{methodEcho: echo})
				for _, incarnation := range []ident.Incarnation{4, 5} {
					process := start(t, n, "", testOptions(n, self("a", incarnation)), nil)
					if _, err := process.Call(within(time.Second), "b", methodEcho, nil); err != nil {
						t.Fatal(err)
					}
				}
				options := testOptions(n, self("a", 5))
				test.change(&options)
				a := start(t, n, "", options, nil)
				_, err := a.Call(within(time.Second), "b", methodEcho, nil)
				var refused *RefusedError
				if !errors.As(err, &refused) || refused.Reason != test.reason || refused.ByRemote != test.remote {
					t.Fatalf("got %v", err)
				}
				if !errors.Is(err, port.ErrPeerRefused) || !errors.Is(err, port.ErrPeerNotSent) {
					t.Fatalf("%v must match port.ErrPeerRefused and port.ErrPeerNotSent", err)
				}
				synctest.Wait()
				if !strings.Contains(lines.String(), "reason="+string(test.reason)) {
					t.Fatalf("the server's log does not contain the reason: %s", lines)
				}
			})
		})
	}
}

// A host is replaced: the new incarnation connects while the previous one's
// connection is still open, for example after a healed partition. The old connection
// must be closed, or its messages could arrive after those of the successor.
func TestNewIncarnationSupersedesPrevious(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newMemNet()
		start(t, n, "b", testOptions(n, self("b", 1)), map[port.Method]port.PeerHandlerFunc{methodEcho: echo})
		old := start(t, n, "", testOptions(n, self("a", 1)), nil)
		session, err := old.Session(within(time.Second), "b")
		if err != nil {
			t.Fatal(err)
		}
		successor := start(t, n, "", testOptions(n, self("a", 2)), nil)
		if _, err := successor.Call(within(time.Second), "b", methodEcho, nil); err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		select {
		case <-session.Done():
		default:
			t.Fatal("the connection of the previous incarnation is still open")
		}
		time.Sleep(DefaultBackoffMax)
		_, err = old.Call(within(time.Second), "b", methodEcho, nil)
		var refused *RefusedError
		if !errors.As(err, &refused) || refused.Reason != RefusedConcurrent {
			t.Fatalf("call of the previous incarnation: got %v", err)
		}
	})
}

func TestOptionsValidate(t *testing.T) {
	good := Options{Cluster: "c", Self: self("a", 1), Key: testKey}
	cases := map[string]func(o *Options){
		"cluster":   func(o *Options) { o.Cluster = "" },
		"self.host": func(o *Options) { o.Self.Host = "" },
		"key, tls":  func(o *Options) { o.Key = nil },
		"max frame": func(o *Options) { o.MaxFrame = 1 },
	}
	if err := good.Validate(); err != nil {
		t.Fatal(err)
	}
	for field, change := range cases {
		bad := good
		change(&bad)
		if err := bad.Validate(); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("%s: got %v", field, err)
		}
	}
}
