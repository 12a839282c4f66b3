package steward

import "time"

const (
	// expiryMargin is how much earlier than its deadline an entry stops serving by old state:
	// requests that it has admitted are still to be sent.
	expiryMargin = 200 * time.Millisecond
	// leaderSeenWithin is the maximum time, without stalls, since the latest answer of a control
	// host that knows a leader.
	leaderSeenWithin = time.Second
)

// ConfigExpired reports whether this entry may no longer serve by the configuration that it
// holds: a later one may have been acknowledged so long ago that it must be in force. A leader
// waits no longer than watcherTTL for an entry that has stopped watching. now is a reading of
// Now.
//
// Only an entry that gets answers without new state from the control hosts must stop: they have
// no time for it, and other entries may have newer state. An entry that is cut off from them,
// or finds them without a leader, continues with its state. Time in which this process did not
// run doesn't count as cut off: it could not have received an answer.
func (f *Follower) ConfigExpired(now time.Time) bool {
	if f.options.ApplyWithin <= 0 {
		return false
	}
	if now.Sub(f.configTime()) < f.options.ApplyWithin+watcherTTL-expiryMargin {
		return false
	}
	unheard := f.running(now) - time.Duration(f.leaderSeen.Load())*time.Microsecond
	return unheard <= leaderSeenWithin
}

// running returns the time since the start of this follower without the stalls of this process.
func (f *Follower) running(now time.Time) time.Duration {
	return now.Sub(f.epoch) - f.stalls.Total(now)
}
