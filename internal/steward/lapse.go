package steward

import "time"

const (
	// lapseMargin is how much earlier than it must an entry stops serving by an old word:
	// requests that it has admitted are still to be sent.
	lapseMargin = 200 * time.Millisecond
	// ledWithin is how recently a control host must have answered that knows of a leader.
	ledWithin = time.Second
)

// ConfigExpired reports whether this entry may no longer serve by the configuration that it
// holds: a later one may have been acknowledged so long ago that it must be in force. A
// leader waits for an entry that has stopped asking no longer than watcherKept.
//
// Only an entry that the control hosts answer, and tell nothing new, is to stop: they have
// no time for it, and other entries may have a younger word. One that is cut off from them,
// or finds them without a leader, goes on with what it knows.
func (f *Follower) ConfigExpired(now time.Time) bool {
	if f.options.ApplyWithin <= 0 {
		return false
	}
	led := f.epoch.Add(time.Duration(f.led.Load()) * time.Microsecond)
	return now.Sub(f.wordTime()) >= f.options.ApplyWithin+watcherKept-lapseMargin && now.Sub(led) <= ledWithin
}
