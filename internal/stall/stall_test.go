package stall

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a stall that counts only once the process has run for a while: its first
// decisions after the stall are the wrong ones.
func TestStallCountsBeforeNextBeat(t *testing.T) {
	var m Meter
	start := time.Now()
	if got := m.Total(start.Add(time.Hour)); got != 0 {
		t.Errorf("before the first beat: %v", got)
	}
	m.Beat(start)
	woken := start.Add(3 * time.Second)
	if got, want := m.Total(woken), 3*time.Second-maxBeat; got != want {
		t.Errorf("at the end of the stall: %v, want %v", got, want)
	}
	m.Beat(woken)
	m.Beat(woken.Add(maxBeat))
	if got, want := m.Total(woken.Add(2*maxBeat)), 3*time.Second-maxBeat; got != want {
		t.Errorf("after the stall: %v, want %v", got, want)
	}
}

// Guards against a suspension of the machine that is taken for time in which the process ran.
func TestRunCountsSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var m Meter
		var suspended atomic.Int64
		clock := func() time.Time { return time.Now().Add(time.Duration(suspended.Load())) }
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		go m.Run(ctx, clock)
		time.Sleep(time.Second)
		if got := m.Total(clock()); got != 0 {
			t.Errorf("stalled for %v without a suspension", got)
		}
		suspended.Store(int64(5 * time.Second))
		time.Sleep(time.Second)
		if got := m.Total(clock()); got < 5*time.Second-maxBeat || got > 5*time.Second {
			t.Errorf("stalled for %v, want about 5 s", got)
		}
	})
}
