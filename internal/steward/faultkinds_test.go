package steward

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/lovagereach/lovagereach/catalog"
	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/wait"
)

// injectFault injects one random fault. A disk may be lost only if spare is set; it reports
// whether one was.
func (g *faultyGroup) injectFault(spare, clocks bool) bool {
	h := g.any()
	kinds := 18
	if clocks {
		kinds = 23
	}
	switch kind := g.random.IntN(kinds); kind {
	case 0, 1:
		g.logf("kill %s", h.name)
		h.end(false)
	case 2:
		times := 1 + g.random.IntN(6)
		g.logf("kill %s %d times", h.name, times)
		least := []time.Duration{5, 50, 500}[g.random.IntN(3)] * time.Millisecond
		for range times {
			g.restart(h, g.random.IntN(4) == 0)
			g.pause(least)
		}
	case 3:
		g.logf("%s loses power", h.name)
		h.end(true)
	case 4, 5:
		power := kind == 5
		g.logf("all end, power lost: %v", power)
		if power && g.random.IntN(2) == 0 {
			// The last operations of the disks are cut short at any point.
			for _, h := range g.hosts {
				if h.process.Load() == nil {
					continue
				}
				h.files.CrashAfter(g.random.IntN(20))
			}
			g.pause(100 * time.Millisecond)
		}
		for _, h := range g.hosts {
			h.end(power)
		}
		g.pause(time.Second)
		for _, h := range g.hosts {
			h.start(false)
			g.pause(200 * time.Millisecond)
		}
	case 6:
		g.logf("stop %s", h.name)
		h.drain()
	case 7:
		g.logf("start all hosts")
		g.up()
	case 8:
		other := g.any()
		g.logf("cut %s to %s", h.name, other.name)
		both := g.random.IntN(2) == 0
		g.net.change(func() {
			g.net.cut[[2]ident.Host{h.name, other.name}] = true
			if both {
				g.net.cut[[2]ident.Host{other.name, h.name}] = true
			}
		})
	case 9:
		g.logf("cut off %s", h.name)
		g.net.change(func() {
			for _, other := range g.hosts {
				g.net.cut[[2]ident.Host{h.name, other.name}] = true
				g.net.cut[[2]ident.Host{other.name, h.name}] = true
			}
		})
	case 10:
		g.logf("network restored")
		g.net.change(func() { clear(g.net.cut); clear(g.net.suspended) })
	case 11:
		g.logf("suspend %s", h.name)
		g.net.change(func() { g.net.suspended[h.name] = true })
	case 12:
		g.logf("disk of %s", h.name)
		switch g.random.IntN(4) {
		case 0:
			h.files.LimitFreeBytes(0)
		case 1:
			h.files.SlowSync(time.Duration(100+g.random.IntN(900)) * time.Millisecond)
		case 2:
			if h.gate == nil {
				h.gate = make(chan struct{})
				h.files.Stall(h.gate)
			}
		case 3:
			h.files.FailSync(g.random.IntN(5))
		}
	case 13:
		g.logf("connections silent")
		g.net.silence()
	case 14:
		g.logf("connections of %s reset", h.name)
		g.net.reset(h.name)
	case 15:
		busy := time.Duration(g.random.IntN(400)) * time.Millisecond
		g.logf("links slower by up to %s", busy)
		g.net.change(func() { g.net.busy = busy })
	case 16, 17:
		if spare {
			g.loseDisk(h)
			return true
		}
	default:
		ahead := time.Duration(g.random.IntN(2)*g.random.IntN(5000)) * time.Millisecond
		again := g.random.IntN(2) == 0
		g.logf("clock of %s ahead by %s, started again: %v", h.name, ahead, again)
		h.ahead.Store(int64(ahead))
		if again {
			g.restart(h, false)
		}
	}
	return false
}

// loseDisk wipes a host's disk, or replaces the host permanently by a new one.
func (g *faultyGroup) loseDisk(h *faultyHost) {
	others := g.random.IntN(3)
	if g.random.IntN(3) == 0 {
		g.logf("%s removed permanently", h.name)
		h.end(g.random.IntN(2) == 0)
		g.mu.Lock()
		g.hosts = slices.DeleteFunc(g.hosts, func(x *faultyHost) bool { return x == h })
		g.mu.Unlock()
		h = g.add()
	} else {
		g.logf("%s loses its disk", h.name)
		h.end(true)
		h.wipe()
	}
	for _, other := range g.hosts {
		if other != h && others > 0 {
			g.logf("%s ends beside it, power lost: %v", other.name, others == 1)
			other.end(others == 1)
		}
	}
	g.pause(time.Second)
	g.seeds = nil
	for _, h := range g.hosts {
		g.seeds = append(g.seeds, h.name)
	}
	for _, h := range g.hosts {
		if s := h.steward(); s != nil {
			s.SetSeeds(slices.Clone(g.seeds))
		}
		if h.process.Load() == nil && (others > 0 || h.name == g.hosts[len(g.hosts)-1].name || g.random.IntN(4) > 0) {
			h.start(false)
			g.pause(200 * time.Millisecond)
		}
	}
}

// endFaults clears all faults.
func (g *faultyGroup) endFaults() {
	g.logf("faults end")
	g.net.change(func() { clear(g.net.cut); clear(g.net.suspended); g.net.busy = 0 })
	for _, h := range g.hosts {
		h.heal()
		h.ahead.Store(0)
	}
	g.up()
}

// put tries a change at one host and reports whether it was acknowledged.
func (g *faultyGroup) put(ctx context.Context, h *faultyHost) bool {
	s := h.steward()
	if s == nil {
		return false
	}
	g.mu.Lock()
	g.version++
	version := g.version
	g.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	d := &catalog.Document{Version: version, Source: []byte(fmt.Sprint(version, strings.Repeat("x", g.padded)))}
	if _, err := s.PutDocument(ctx, d); err != nil {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.acked = max(g.acked, version)
	return true
}

// operate sends changes to one host after the other until ctx ends.
func (g *faultyGroup) operate(ctx context.Context, every time.Duration) {
	for i := 0; wait.For(ctx, every); i++ {
		g.mu.Lock()
		hosts := slices.Clone(g.hosts)
		g.mu.Unlock()
		g.put(ctx, hosts[i%len(hosts)])
	}
}

// check returns the failure that remains some time after the last fault, empty if there is
// none.
func (g *faultyGroup) check() string {
	began := time.Now()
	for _, h := range g.hosts {
		for {
			s := h.steward()
			if s != nil {
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				g.mu.Lock()
				acked := g.acked
				g.mu.Unlock()
				d, err := s.Document(ctx)
				cancel()
				if err == nil && acked > 0 && (d == nil || d.Version < acked) {
					return fmt.Sprintf("%s reads %v, %d is acknowledged", h.name, d, acked)
				}
				if err == nil {
					break
				}
			}
			if time.Since(began) > answeredWithin {
				return fmt.Sprintf("%s answers no read", h.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	for !g.put(context.Background(), g.any()) {
		if time.Since(began) > answeredWithin {
			return "nothing is committed"
		}
		time.Sleep(50 * time.Millisecond)
	}
	for !g.complete() {
		if time.Since(began) > completeWithin {
			return "the group is not complete"
		}
		time.Sleep(100 * time.Millisecond)
	}
	return ""
}

// complete reports whether all hosts vote and follow closely.
func (g *faultyGroup) complete() bool {
	for _, h := range g.hosts {
		s := h.steward()
		if s == nil || s.replica() == nil || s.leading.Load() == nil {
			continue
		}
		detail, err := s.manager.QuorumStatus(group)
		if err != nil || len(detail.Members.Voters) != len(g.hosts) || len(detail.Peers) != len(g.hosts)-1 {
			return false
		}
		for _, p := range detail.Peers {
			if !p.Active || p.PresentedDisk != 0 || p.Revoked || p.Synced < detail.Commit {
				return false
			}
		}
		return true
	}
	return false
}

// describe returns the state of each host.
func (g *faultyGroup) describe() string {
	var b strings.Builder
	for _, h := range g.hosts {
		s := h.steward()
		if s == nil || s.replica() == nil {
			fmt.Fprintf(&b, "%s: no group open\n", h.name)
			continue
		}
		detail, _ := s.manager.QuorumStatus(group)
		fmt.Fprintf(&b, "%s: leading %v, suspended %q, %+v\n", h.name, s.leading.Load() != nil, s.replica().Status().Suspended, detail)
	}
	return b.String()
}

func (g *faultyGroup) close() {
	for _, h := range g.hosts {
		h.end(false)
	}
	g.net.stop()
	g.processes.Wait()
	// Calls that the processes left in flight end within their own bounds.
	time.Sleep(10 * time.Second)
	// Finished scenarios stay reachable until the whole test has ended.
	for _, h := range g.hosts {
		h.files = nil
	}
}
