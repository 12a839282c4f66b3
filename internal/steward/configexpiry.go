package steward

import "time"

const (
	// expiryMargin is how much earlier than its deadline an entry stops serving by old state:
	// requests that it has admitted are still to be sent.
	expiryMargin = 200 * time.Millisecond
	// leaderSeenWithin is the maximum time since the latest answer of a control host that knows
	// a leader.
	leaderSeenWithin = time.Second
)

// ConfigExpired reports whether this entry may no longer serve by the configuration that it
// holds: a later one may have been acknowledged so long ago that it must be in force. A leader
// waits no longer than watcherTTL for an entry that has stopped watching.
//
// Only an entry that gets answers without new state from the control hosts must stop: they have
// no time for it, and other entries may have newer state. An entry that is cut off from them,
// or finds them without a leader, continues with its state.
func (f *Follower) ConfigExpired(now time.Time) bool {
	if f.options.ApplyWithin <= 0 {
		return false
	}
	led := f.epoch.Add(time.Duration(f.leaderSeen.Load()) * time.Microsecond)
	return now.Sub(f.configTime()) >= f.options.ApplyWithin+watcherTTL-expiryMargin && now.Sub(led) <= leaderSeenWithin
}
