package lease

import "time"

// maxOutstanding bounds the renewals that await an answer. Answers to older ones
// are ignored.
const maxOutstanding = 4

// Holder is an entry's side of its serving lease. It is not safe for
// concurrent use.
type Holder struct {
	expiry     time.Time
	lastNumber uint64 // of the last renewal
	sentAt     [maxOutstanding]time.Time
}

// Request records that a renewal is about to be sent and returns the number
// that its answer must repeat.
//
// The lease starts at this call. The granter can't have received the request
// earlier, so its own period for the lease starts and ends later.
func (h *Holder) Request(now time.Time) uint64 {
	h.lastNumber++
	h.sentAt[h.lastNumber%maxOutstanding] = now
	return h.lastNumber
}

// Granted applies the answer to a renewal and reports whether the answer was
// expected. The term counts from the time of that request, so a late answer
// extends the lease by less.
func (h *Holder) Granted(number uint64, term time.Duration) bool {
	if number == 0 || number > h.lastNumber || number+maxOutstanding <= h.lastNumber {
		return false
	}
	sentAt := h.sentAt[number%maxOutstanding]
	if sentAt.IsZero() {
		return false
	}
	if expiry := sentAt.Add(HolderTerm(term)); expiry.After(h.expiry) {
		h.expiry = expiry
	}
	return true
}

// Release gives the lease up. Answers to earlier renewals are then ignored.
func (h *Holder) Release() {
	h.expiry = time.Time{}
	h.sentAt = [maxOutstanding]time.Time{}
}

// Valid reports whether new requests may be served. The entry checks again right
// before each dispatch, because the lease may have expired while the process was
// paused.
func (h *Holder) Valid(now time.Time) bool {
	return now.Before(h.expiry)
}

// Expiry returns the time at which the lease expires unless it is renewed.
func (h *Holder) Expiry() time.Time { return h.expiry }
