package replica

import "github.com/VictoriaMetrics/metrics"

type stats struct {
	set           *metrics.Set
	proposals     *metrics.Counter
	uncertain     *metrics.Counter
	applied       *metrics.Counter
	messages      *metrics.Counter
	bodies        *metrics.Counter
	sendDrops     *metrics.Counter
	badMessages   *metrics.Counter
	forged        *metrics.Counter
	inboxDrops    *metrics.Counter
	snapshots     *metrics.Counter
	installs      *metrics.Counter
	readRounds    *metrics.Counter
	leaderChanges *metrics.Counter
	// stalls counts the iterations of workers that began over a heartbeat interval late, and
	// stalled is the time by which they were late, in seconds.
	stalls  *metrics.Counter
	stalled *metrics.FloatCounter
}

func newStats() *stats {
	set := metrics.NewSet()
	counter := func(part string) *metrics.Counter {
		return set.NewCounter("lovagereach_replica_" + part + "_total")
	}
	return &stats{
		set:           set,
		proposals:     counter("proposals"),
		uncertain:     counter("uncertain_proposals"),
		applied:       counter("applied_entries"),
		messages:      counter("sent_messages"),
		bodies:        counter("sent_bodies"),
		sendDrops:     counter("send_drops"),
		badMessages:   counter("bad_messages"),
		forged:        counter("forged_messages"),
		inboxDrops:    counter("inbox_drops"),
		snapshots:     counter("snapshots"),
		installs:      counter("installed_snapshots"),
		readRounds:    counter("read_rounds"),
		leaderChanges: counter("leader_changes"),
		stalls:        counter("stalls"),
		stalled:       set.NewFloatCounter("lovagereach_replica_stalled_seconds_total"),
	}
}
