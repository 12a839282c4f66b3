package handover

import "time"

const (
	// reportEvery is the minimum time between two reports. An entry that has just started learns
	// most within seconds, and those that start next need it.
	reportEvery = 2 * time.Second
	// repeatEvery is the time after which a report is repeated although little has changed: the host
	// that got it may have been restarted, or another one be queried now.
	repeatEvery = 20 * time.Second
)

// Reporter decides when what was learned is reported. The zero value is ready to use.
type Reporter struct {
	last Estimates
	// at is the time of the latest report, checkedAt that of the latest check.
	at, checkedAt time.Time
}

// Report returns the snapshot to send now, nil for none. learned is called only if one may be due.
func (r *Reporter) Report(learned func() Estimates, now, wall time.Time) []byte {
	if !r.checkedAt.IsZero() && now.Sub(r.checkedAt) < reportEvery {
		return nil
	}
	r.checkedAt = now
	e := learned()
	if e.Empty() || !Changed(r.last, e) && now.Sub(r.at) < repeatEvery {
		return nil
	}
	r.last, r.at = e, now
	return Encode(e, wall)
}
