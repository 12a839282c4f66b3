package steward

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/internal/wait"
	"github.com/lovagereach/lovagereach/internal/wire"
)

// workingHost answers watches immediately, one after the other, each with the given processor
// time.
type workingHost struct {
	processor chan struct{}
	each      time.Duration
	pacer     pacer
	watchers  int

	mu     sync.Mutex
	worked time.Duration
	// lastAnswer is the time at which each entry was last answered, and longest its longest
	// gap.
	lastAnswer []time.Time
	longest    []time.Duration
}

// answered records an answer to one entry.
func (h *workingHost) answered(entry int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.longest[entry] = max(h.longest[entry], time.Since(h.lastAnswer[entry]))
	h.lastAnswer[entry] = time.Now()
}

// reset clears the measurements.
func (h *workingHost) reset() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.worked = 0
	clear(h.longest)
}

func (h *workingHost) Call(context.Context, string, port.Method, []byte) ([]byte, error) {
	began := time.Now()
	h.processor <- struct{}{}
	time.Sleep(h.each)
	h.mu.Lock()
	h.worked += h.each
	h.mu.Unlock()
	answer := &WatchAnswer{Term: 1, Leader: "c1", EntryCount: h.watchers, Pause: h.pacer.pause(h.watchers)}
	<-h.processor
	h.pacer.record(time.Since(began))
	return wire.MustMarshal(answer), nil
}

func (h *workingHost) Send(string, port.Method, []byte) bool { return false }

// State changes all the time while callers send new prompts. Guards against entries that send
// their next request as soon as they were answered: seventy of them take all of a control
// host's processor, so that configurations, announcements and elections wait, and the
// inventories that entries receive are too old to use. The host must keep half of its time,
// whatever an answer costs, and every entry must get two answers within InventoryMaxAge.
func TestPacerBoundsTimeSpentOnWatches(t *testing.T) {
	for _, c := range []struct {
		watchers int
		each     time.Duration
	}{{4, 500 * time.Microsecond}, {70, 500 * time.Microsecond}, {70, 2 * time.Millisecond}} {
		synctest.Test(t, func(t *testing.T) {
			ctx, stop := context.WithCancel(t.Context())
			defer func() {
				stop()
				time.Sleep(lateTimeout)
			}()
			h := &workingHost{
				processor: make(chan struct{}, 1), each: c.each, watchers: c.watchers,
				lastAnswer: make([]time.Time, c.watchers), longest: make([]time.Duration, c.watchers),
			}
			for i := range c.watchers {
				f := NewFollower(FollowerOptions{
					Transport: h, Seeds: []ident.Host{"c1"}, PeerPort: 1, Self: ident.Host(fmt.Sprint("e", i)), Log: log.New(io.Discard),
				})
				h.answered(i)
				go f.Run(ctx, func() *WatchRequest { return &WatchRequest{Entry: &EntryView{Host: fmt.Sprint("e", i)}} },
					func(*WatchAnswer, time.Time) { h.answered(i) })
			}
			wait.For(ctx, 2*time.Second)
			h.reset()
			wait.For(ctx, 5*time.Second)
			h.mu.Lock()
			defer h.mu.Unlock()
			if share := float64(h.worked) / float64(5*time.Second); share > 0.5 {
				t.Errorf("%d watchers at %v each take %.2f of the host", c.watchers, c.each, share)
			}
			for i, gap := range h.longest {
				if gap > InventoryMaxAge/2 {
					t.Errorf("%d watchers at %v each: entry %d got no answer for %v", c.watchers, c.each, i, gap)
				}
			}
			t.Logf("%d watchers at %v each take %.2f of the host", c.watchers, c.each, float64(h.worked)/float64(5*time.Second))
		})
	}
}
