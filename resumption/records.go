package resumption

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxRecords bounds the records of one generation, of which two are kept. A record takes
	// about 100 bytes.
	maxRecords = 1 << 15
	// Copies is the number of control hosts that hold a record: with three, one may have been
	// restarted and one may be slow.
	Copies = 3
)

// Key identifies a stream across its attempts and entries. It is part of a cryptographic digest,
// so that no caller can construct the key of another team's stream.
type Key [16]byte

// NewKey returns the key of the stream whose first event was brought by an attempt of a team's
// caller.
func NewKey(team, attempt string) Key {
	digest := sha256.New()
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(team)))
	// Write on a hash never returns an error.
	_, _ = digest.Write(append(append(length[:], team...), attempt...))
	var k Key
	copy(k[:], digest.Sum(nil))
	return k
}

// String returns the first 8 bytes in hexadecimal.
func (k Key) String() string { return hex.EncodeToString(k[:8]) }

// Origin is what began a stream.
type Origin struct {
	Service string `cbor:"1,keyasint"`
	// Software is the software version, empty if the upstreams announce none.
	Software string `cbor:"2,keyasint,omitempty"`
	// Uncertain is set if the upstream may have been restarted with another version before the
	// stream began. Such a stream must not go on.
	Uncertain bool `cbor:"3,keyasint,omitempty"`
}

// Record is the origin of one stream.
type Record struct {
	Key    Key    `cbor:"1,keyasint"`
	Origin Origin `cbor:"2,keyasint"`
	// Send counts the sends of the attempt. A record of an earlier send, which brought no
	// event, changes nothing.
	Send int `cbor:"3,keyasint,omitempty"`
}

// Records holds the origins of recent streams.
type Records struct {
	// life is the minimum time for which a record is kept.
	life time.Duration
	// current and previous are generations; current began at began.
	current, previous map[Key]Record
	began             time.Time
}

// NewRecords returns an empty set.
func NewRecords() *Records { return &Records{life: minLife, current: make(map[Key]Record)} }

// SetLife sets the minimum time for which a record is kept, as Versions.Life returns it.
func (r *Records) SetLife(life time.Duration) { r.life = life }

// rotate starts a new generation if the current one is old or full.
func (r *Records) rotate(now time.Time) {
	if r.began.IsZero() {
		r.began = now
	}
	if age := now.Sub(r.began); age >= r.life || len(r.current) >= maxRecords {
		r.previous = r.current
		if age >= 2*r.life {
			r.previous = nil
		}
		r.current, r.began = make(map[Key]Record), now
	}
}

// Put adds a record.
func (r *Records) Put(record Record, now time.Time) {
	r.rotate(now)
	if known, found := r.find(record.Key); found && known.Send > record.Send {
		return
	}
	r.current[record.Key] = record
}

// Get returns the origin of a stream.
func (r *Records) Get(key Key, now time.Time) (Record, bool) {
	r.rotate(now)
	return r.find(key)
}

func (r *Records) find(key Key) (Record, bool) {
	if record, found := r.current[key]; found {
		return record, true
	}
	record, found := r.previous[key]
	return record, found
}

// Delete removes the record of a stream that is complete.
func (r *Records) Delete(key Key) {
	delete(r.current, key)
	delete(r.previous, key)
}

// OfService lists the records of a service's streams.
func (r *Records) OfService(service string) []Record {
	var list []Record
	for _, generation := range []map[Key]Record{r.previous, r.current} {
		for _, record := range generation {
			if record.Origin.Service == service {
				list = append(list, record)
			}
		}
	}
	return list
}

// Holders chooses the hosts that hold the record of a stream, at most Copies.
func Holders(key Key, hosts []string) []string {
	var chosen [Copies]string
	var scores [Copies]uint64
	n := 0
	for _, host := range hosts {
		score := xxhash.Sum64String(host + string(key[:]))
		at := n
		for at > 0 && score > scores[at-1] {
			at--
		}
		if at == Copies {
			continue
		}
		n = min(n+1, Copies)
		copy(chosen[at+1:n], chosen[at:])
		copy(scores[at+1:n], scores[at:])
		chosen[at], scores[at] = host, score
	}
	return append([]string(nil), chosen[:n]...)
}
