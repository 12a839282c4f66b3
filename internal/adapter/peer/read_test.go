package peer

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"github.com/lovagereach/lovagereach/internal/port"
)

// Guards against messages of a previous incarnation that were read before its connection
// ended and are handled after those of its successor.
func TestMessagesReadBeforeConnectionEndAreDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newMemNet()
		var handled atomic.Int64
		count := func(context.Context, port.Peer, port.Method, []byte) ([]byte, error) {
			handled.Add(1)
			return nil, nil
		}
		b, err := New(testOptions(n, self("b", 1)))
		if err != nil {
			t.Fatal(err)
		}
		const methodInline = "inline"
		b.Handle(methodEcho, port.PeerHandlerFunc(count))
		b.HandleInline(methodInline, port.PeerHandlerFunc(count))
		c := newConn(b, nil, self("a", 1))
		c.fail(&RefusedError{Reason: RefusedIncarnation})
		c.dispatch(frame{Kind: frameRequest, ID: 1, Method: methodEcho})
		for _, method := range []port.Method{methodEcho, methodInline} {
			c.dispatch(frame{Kind: frameOneWay, Method: method})
		}
		synctest.Wait()
		if got := handled.Load(); got != 0 {
			t.Fatalf("%d messages were handled", got)
		}
	})
}
