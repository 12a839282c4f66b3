package quarantine

import (
	"iter"
	"slices"
	"time"
)

const (
	// unservedOthers is the number of other requests that must be served, over unservedWait or longer, before
	// a suspected part counts as served no more. The wait lets entries that see the part served clear it.
	unservedOthers = 5
	unservedWait   = 500 * time.Millisecond
	// maxLostParts bounds the parts whose service is remembered.
	maxLostParts = 4096
)

// UnservedParts finds suspected parts that are served no more, from what one entry sees served. The zero
// value is ready to use; it is not safe for concurrent use.
type UnservedParts struct {
	// services holds the service of each part that was in flight at a crash that this entry has noticed.
	services map[Fingerprint]string
	others   map[Fingerprint]otherRequests
}

// otherRequests are the requests without a suspected part that its service has served.
type otherRequests struct {
	count int
	first time.Time
	// reported indicates that the part was reported as served no more.
	reported bool
}

// RecordLost records parts that were in flight at a crash of a service's upstream.
func (u *UnservedParts) RecordLost(parts []Fingerprint, service string) {
	if u.services == nil || len(u.services)+len(parts) > maxLostParts {
		u.services = make(map[Fingerprint]string)
	}
	for _, part := range parts {
		u.services[part] = service
	}
}

// RecordServed records that a service has served a request with some parts, and returns those of the
// suspected parts of that service that are served no more, each once.
func (u *UnservedParts) RecordServed(service string, parts []Fingerprint, suspected iter.Seq[Fingerprint], now time.Time) (unserved []Fingerprint) {
	if len(parts) == 0 {
		return nil
	}
	before := u.others
	u.others = nil
	for part := range suspected {
		known := before[part]
		if u.services[part] == service && !slices.Contains(parts, part) {
			known.add(now)
		}
		if known.count == 0 {
			continue
		}
		if !known.reported && known.count >= unservedOthers && now.Sub(known.first) >= unservedWait {
			known.reported = true
			unserved = append(unserved, part)
		}
		if u.others == nil {
			u.others = make(map[Fingerprint]otherRequests)
		}
		u.others[part] = known
	}
	return unserved
}

func (o *otherRequests) add(now time.Time) {
	if o.count == 0 {
		o.first = now
	}
	o.count++
}
