package gateway

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

func runnerAddress(i int) string { return fmt.Sprintf("r%d:1", i) }

// startRunners starts runners of one software version at consecutive addresses.
func (f *versionFleet) startRunners(from, to int, software string) {
	for i := from; i < to; i++ {
		f.start(fmt.Sprintf("i-%d-%s", i, software), runnerAddress(i), software, 1000)
	}
}

// release replaces runners of one version by those of another, one after the other: the new one
// starts a second before the old one leaves.
func (f *versionFleet) release(from, to, first int, software string) {
	for i := from; i < to; i++ {
		f.startRunners(first+i-from, first+i-from+1, software)
		time.Sleep(400 * time.Millisecond)
		if i >= from+2 {
			f.leave(runnerAddress(i - 2))
		}
	}
}

// restart replaces the process of a runner by one of another version under the same ID. The control
// hosts are told some time after it serves.
func (f *versionFleet) restart(address, software string) {
	f.crash(address)
	time.Sleep(700 * time.Millisecond)
	f.mu.Lock()
	record := f.runners[address].record
	record.StartedMs++
	record.Software = software
	f.runners[address] = &versionRunner{record: record}
	f.mu.Unlock()
	time.Sleep(250 * time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.list(record)
}

// setEntry changes an entry.
func (f *versionFleet) setEntry(i int, change func(*versionEntry)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f.entries[i])
}

// versionFaults are faults beside which streams must go on at their version.
var versionFaults = map[string]func(*versionFleet){
	"crashes and killed entries": func(f *versionFleet) {
		f.release(0, 7, 20, "v2")
		for round := range 3 {
			time.Sleep(time.Second)
			f.crash(runnerAddress(20 + round))
			f.crash(runnerAddress(5 + round))
			go f.killEntry(2*round, 700*time.Millisecond)
			go f.killEntry(2*round+1, 700*time.Millisecond)
			time.Sleep(time.Second)
			f.startRunners(20+round, 21+round, "v3")
			f.startRunners(5+round, 6+round, "v1b")
		}
	},
	"entries killed as a version appears": func(f *versionFleet) {
		for i := range 3 {
			f.startRunners(20+3*i, 23+3*i, fmt.Sprintf("w%d", i))
			time.Sleep(time.Duration(i*60+20) * time.Millisecond)
			go f.killEntry(2*i, 700*time.Millisecond)
			f.killEntry(2*i+1, 700*time.Millisecond)
			time.Sleep(time.Second)
		}
	},
	"entries and control hosts cut off": func(f *versionFleet) {
		f.mu.Lock()
		f.silent["c0"], f.silent["c3"] = true, true
		f.mu.Unlock()
		f.setEntry(0, func(e *versionEntry) { e.cutUntil = time.Now().Add(6 * time.Second) })
		f.setEntry(1, func(e *versionEntry) { e.cutUntil = time.Now().Add(3 * time.Second) })
		f.release(0, 7, 20, "v2")
		for round := range 4 {
			time.Sleep(800 * time.Millisecond)
			f.crash(runnerAddress(20 + round))
			f.killEntry(2+round, 300*time.Millisecond)
		}
	},
	"requests forwarded by entries without upstreams": func(f *versionFleet) {
		f.release(0, 5, 20, "v2")
		for i := range 3 {
			f.setEntry(i, func(e *versionEntry) { e.unreached = true })
		}
		for round := range 4 {
			time.Sleep(1200 * time.Millisecond)
			f.crash(runnerAddress(20 + round))
			f.killEntry(3+round, 700*time.Millisecond)
		}
	},
	"runners restarted under their IDs": func(f *versionFleet) {
		for i := range 8 {
			f.restart(runnerAddress(i), []string{"v2", "v3"}[i%2])
			go f.killEntry(i%7, 700*time.Millisecond)
		}
	},
}

// Guards against streams that are resumed at an upstream of another software version than the one
// that began them, after upstreams crashed and entries were killed.
func TestStreamsGoOnAtTheVersionThatBeganThem(t *testing.T) {
	t.Parallel()
	for name, faults := range versionFaults {
		for _, seed := range []uint64{1, 2, 3} {
			t.Run(fmt.Sprintf("%s %d", name, seed), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					f := newVersionFleet(t, 7, seed)
					f.startRunners(0, 9, "v1")
					r := f.run(120, 14*time.Second, func() {
						time.Sleep(time.Second)
						faults(f)
					})
					r.check(t)
				})
			})
		}
	}
}

// Guards against messages about each stream while a service has one software version.
func TestOneSoftwareVersionNeedsNoRecords(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newVersionFleet(t, 7, 1)
		f.startRunners(0, 9, "v1")
		// An entry that has just started asks the control hosts whether there were others.
		time.Sleep(31 * time.Second)
		r := f.run(120, 8*time.Second, func() {
			for i := range 4 {
				time.Sleep(time.Second)
				f.crash(runnerAddress(i))
			}
		})
		r.check(t)
		if f.exchanges > 0 {
			t.Errorf("%d messages to control hosts", f.exchanges)
		}
	})
}
