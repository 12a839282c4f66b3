package peer

import "github.com/VictoriaMetrics/metrics"

// stats holds the counters of a transport.
type stats struct {
	set *metrics.Set
	// lateAnswers counts answers that matched no pending call, because they were
	// late, repeated, sent for another call or forged.
	lateAnswers *metrics.Counter
	duplicates  *metrics.Counter
	sendDrops   *metrics.Counter
	oneWayDrops *metrics.Counter
	busy        *metrics.Counter
	badFrames   *metrics.Counter
	refusals    *metrics.Counter
	superseded  *metrics.Counter
	dials       *metrics.Counter
	dialErrors  *metrics.Counter
	sentBytes   *metrics.Counter
	recvBytes   *metrics.Counter
	sentFrames  *metrics.Counter
	recvFrames  *metrics.Counter
	reloads     *metrics.Counter
	reloadFails *metrics.Counter
}

func newStats() *stats {
	set := metrics.NewSet()
	counter := func(part string) *metrics.Counter {
		return set.NewCounter("lovagereach_peer_" + part + "_total")
	}
	return &stats{
		set:         set,
		lateAnswers: counter("late_answers"),
		duplicates:  counter("duplicate_requests"),
		sendDrops:   counter("send_drops"),
		oneWayDrops: counter("one_way_drops"),
		busy:        counter("busy_answers"),
		badFrames:   counter("bad_frames"),
		refusals:    counter("refusals"),
		superseded:  counter("superseded_connections"),
		dials:       counter("dials"),
		dialErrors:  counter("dial_errors"),
		sentBytes:   counter("sent_bytes"),
		recvBytes:   counter("received_bytes"),
		sentFrames:  counter("sent_frames"),
		recvFrames:  counter("received_frames"),
		reloads:     counter("certificate_reloads"),
		reloadFails: counter("certificate_reload_errors"),
	}
}
