//go:build !race

// In virtual time the race detector's runtime sometimes ends the process in a select on a timer
// (runtime.(*timer).maybeRunChan, address 0; or a failed CHECK of its own), and this test has
// by far the most of these. .ci/run runs it without the detector.

package steward

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/lovagereach/lovagereach/ident"
)

// Guards against callers that are served by an old configuration while the host that their
// entry queries is slow, behind or cut off, or the leader or the entry itself is: the answers
// arrive after the calls' timeouts, or only redirect to hosts in the same state. Each such call
// looks normal or recovers by itself, and none brings the new configuration.
func TestConfigurationIsInForceInTime(t *testing.T) {
	relays := []ident.Host{"c2", "c3", "c4", "c5", "c6"}
	cases := []struct {
		name   string
		every  time.Duration
		after  func(n *virtualNet)
		silent bool
	}{
		{"calm", time.Second, func(*virtualNet) {}, false},
		{"one relay is late", time.Second, func(n *virtualNet) { n.slow("c2", 500*time.Millisecond) }, false},
		{"one relay is later than calls wait", time.Second, func(n *virtualNet) { n.slow("c2", 700*time.Millisecond) }, false},
		{"all relays are late", time.Second, func(n *virtualNet) {
			for _, relay := range relays {
				n.slow(relay, 350*time.Millisecond)
			}
		}, false},
		{"the leader is late", time.Second, func(n *virtualNet) { n.slow("c1", 450*time.Millisecond) }, false},
		{"the leader is later than calls wait", time.Second, func(n *virtualNet) { n.slow("c1", 700*time.Millisecond) }, false},
		{"all control hosts are late", time.Second, func(n *virtualNet) {
			for _, host := range append(relays, "c1") {
				n.slow(host, 330*time.Millisecond)
			}
		}, false},
		{"the logs of all relays are behind", 150 * time.Millisecond, func(n *virtualNet) {
			for _, relay := range relays {
				n.lags(relay, 145*time.Millisecond)
			}
		}, false},
		{"the log of one relay is far behind", time.Second, func(n *virtualNet) { n.lags("c3", 20*time.Second) }, false},
		{"the leader and one entry are late", time.Second, func(n *virtualNet) {
			n.slow("c1", 450*time.Millisecond)
			n.slow("e0", 450*time.Millisecond)
		}, false},
		{"one relay is cut off from the leader", time.Second, func(n *virtualNet) { n.cutLink("c1", "c2") }, false},
		{"all relays are cut off from the leader", time.Second, func(n *virtualNet) {
			for _, relay := range relays {
				n.cutLink("c1", relay)
			}
		}, false},
		{"the near relays are cut off from the other control hosts", time.Second, func(n *virtualNet) {
			for _, near := range []ident.Host{"c2", "c3"} {
				for _, far := range []ident.Host{"c1", "c4", "c5", "c6"} {
					n.cutLink(near, far)
				}
			}
		}, false},
		{"the same, and the leader is lost", 300 * time.Millisecond, func(n *virtualNet) {
			for _, near := range []ident.Host{"c2", "c3"} {
				for _, far := range []ident.Host{"c1", "c4", "c5", "c6"} {
					n.cutLink(near, far)
				}
			}
			go n.lose("c4")
		}, false},
		{"all relays are cut off from one entry", time.Second, func(n *virtualNet) {
			for _, relay := range relays {
				n.cutLink("e0", relay)
			}
		}, true},
		{"two relays are suspended", time.Second, func(n *virtualNet) { n.suspend("c2"); n.suspend("c3") }, true},
		{"all relays are suspended", time.Second, func(n *virtualNet) {
			for _, relay := range relays {
				n.suspend(relay)
			}
		}, true},
		{"one entry is late", time.Second, func(n *virtualNet) { n.slow("e0", 700*time.Millisecond) }, false},
		{"one entry is new", time.Second, func(n *virtualNet) { n.startEntry("e99") }, false},
		{"one entry was suspended", time.Second, func(n *virtualNet) {
			n.suspend("e0")
			n.run(time.Second, 4*time.Second)
			n.resume("e0")
			n.entries[0].startedAt = time.Now()
		}, false},
		{"the leader is lost", 300 * time.Millisecond, func(n *virtualNet) { go n.lose("c4") }, false},
		{"a leader is deposed and does not know", 50 * time.Millisecond, func(n *virtualNet) { go n.depose("c4") }, false},
		{"two leaders are lost in a row", 300 * time.Millisecond, func(n *virtualNet) {
			go func() {
				n.lose("c4")
				time.Sleep(300 * time.Millisecond)
				n.lose("c5")
			}()
		}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newVirtualNet(t)
				c.after(n)
				worst, at := n.run(c.every, 10*time.Second)
				t.Logf("in force after %v at most, at %s", worst, at)
				if worst > inForce || (c.silent && worst > oneSilent) {
					t.Errorf("in force after %v only, at %s", worst, at)
				}
			})
		})
	}
}
