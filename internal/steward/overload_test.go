package steward

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
)

// Guards against a leader that a thousand entries query together because the relays are late:
// it answers as many as it has time for and sheds the others, and none of them queries it again
// immediately.
func TestLeaderShedsWatchesBeyondItsBudget(t *testing.T) {
	const took, length = 2 * time.Millisecond, 5 * time.Second
	for _, entries := range []int{50, 1000, 4000} {
		synctest.Test(t, func(t *testing.T) {
			var p pacer
			for range 1000 {
				p.record(took)
			}
			answered, requests := 0, 0
			next := make([]time.Time, entries)
			follower := make([]*Follower, entries)
			for i := range follower {
				follower[i] = NewFollower(FollowerOptions{Self: hostName(i)})
			}
			time.Sleep(time.Second)
			for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(followPause) {
				for i, f := range follower {
					if time.Now().Before(next[i]) {
						continue
					}
					requests++
					if p.mayAnswer(time.Now()) {
						answered++
						next[i] = time.Now().Add(overdueAfter)
						continue
					}
					f.redirected("c1", &WatchAnswer{Leader: "c1", Shed: true, Relays: []RelayView{{Host: "c2"}}})
					next[i] = f.avoided["c1"].until
				}
			}
			worked := time.Duration(answered) * took
			if most := time.Duration(answerShare*float64(length+budgetWindow)) + maxDirectEntries*took; worked > most {
				t.Errorf("%d entries take %v of the leader's %v, %v is their share", entries, worked, length, most)
			}
			if perEntry := float64(requests) / float64(entries) / length.Seconds(); perEntry > 4 {
				t.Errorf("%d entries send %.1f requests a second each", entries, perEntry)
			}
		})
	}
}

// Guards against logs that grow with the fleet: hosts and upstreams come and go by the
// thousand.
func TestLogLinesAreThrottled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		s := throttledLog{log: log.New(&out)}
		for i := range 5000 {
			s.info(time.Now(), "upstream", "upstream", fmt.Sprint(i))
		}
		if lines := strings.Count(out.String(), "\n"); lines != throttleMax {
			t.Errorf("%d lines at one time", lines)
		}
		time.Sleep(throttleWindow)
		s.info(time.Now(), "upstream", "upstream", "last")
		if !strings.Contains(out.String(), fmt.Sprint("left_out=", 5000-throttleMax)) {
			t.Error("the number of lines left out is not logged")
		}
	})
}

// Guards against a leader that checks thousands of runners twenty times a second while all have
// the target weights.
func TestSettledLoaderChecksRarely(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := testLeadership(1, 1)
		looks := func(length time.Duration) (n int) {
			for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(loadEvery) {
				if !l.loader.settled(l.steward.machine.currentRevisions(), time.Now()) {
					n++
					l.loader.next(l.steward.machine.live(), time.Now())
				}
			}
			return n
		}
		if n := looks(time.Minute); n != 0 {
			t.Errorf("%d checks though there is no target version", n)
		}
		announceUpstreams(l.steward.machine, 1)
		l.steward.machine.weights["m"], l.steward.machine.weightsRevision = 1, 1
		if n := looks(time.Minute); n < 55 || n > 65 {
			t.Errorf("%d checks in a minute", n)
		}
	})
}
