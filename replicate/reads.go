package replicate

import (
	"encoding/base64"
	"encoding/binary"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// MinReadTokens is the size in tokens from which on a part that is being read is reported:
	// smaller ones are read before a report arrives.
	MinReadTokens = 1000
	// MaxReads bounds the reads that one entry reports, at some 35 bytes each in each report. It
	// reads fewer large parts at a time.
	MaxReads = 16
	// maxOthers bounds the reads of other entries that are known.
	maxOthers = 1024
	// ReadTTL is how long a part counts as being read at the most. A runner that takes longer is
	// hardly sooner than another one.
	ReadTTL = 3 * time.Second
	// savedWithin is how long after the answer has begun a part counts as cached at its reader.
	// Within it the part is saved, and the entries know of the store that holds it.
	savedWithin = 600 * time.Millisecond
	// marker begins the names of reads in reports, and separator ends the part.
	marker, separator = "+", "@"
)

// PartHash identifies a part under one salt in reports. Equal hashes of two parts shift choices
// between runners and break no guarantee.
type PartHash uint64

// HashPart returns the hash of a part.
func HashPart(salt, part string) PartHash { return PartHash(xxhash.Sum64String(salt + "/" + part)) }

// Read is a part that a runner is reading, or has just read.
type Read struct {
	Part   PartHash
	Runner string
	Tokens int
}

// Name returns the name by which the read is reported.
func (r *Read) Name() string {
	return marker + base64.RawURLEncoding.EncodeToString(binary.BigEndian.AppendUint64(nil, uint64(r.Part))) + separator + r.Runner
}

// ParseName returns the read of a name; ok is false if the name is that of something else.
func ParseName(name string) (read Read, ok bool) {
	encoded, runner, found := strings.Cut(strings.TrimPrefix(name, marker), separator)
	if !strings.HasPrefix(name, marker) || !found || runner == "" {
		return Read{}, false
	}
	hash, err := base64.RawURLEncoding.DecodeString(encoded)
	if err != nil || len(hash) != 8 {
		return Read{}, false
	}
	return Read{Part: PartHash(binary.BigEndian.Uint64(hash)), Runner: runner}, true
}

// Reads records the parts that runners are reading for the entries.
type Reads struct {
	// own are this entry's, oldest first.
	own    []*ownRead
	others map[PartHash]string
}

type ownRead struct {
	Read
	until time.Time
}

// Begin records that a runner begins to read a part for this entry. The result ends it.
func (r *Reads) Begin(read Read, now time.Time) *Ongoing {
	r.prune(now)
	if len(r.own) >= MaxReads {
		r.own = r.own[1:]
	}
	o := &ownRead{Read: read, until: now.Add(ReadTTL)}
	r.own = append(r.own, o)
	return &Ongoing{o}
}

// Ongoing is a read of this entry.
type Ongoing struct{ read *ownRead }

// Done records that the part has been read.
func (o *Ongoing) Done(now time.Time) { o.read.until = now.Add(savedWithin) }

// Fail records that the runner won't read the part: another one must.
func (o *Ongoing) Fail() { o.read.until = time.Time{} }

// SetOthers replaces the reads of the other entries. Of several of one part, the first by runner
// counts, at all entries alike.
func (r *Reads) SetOthers(reads []Read) {
	clear(r.others)
	if r.others == nil && len(reads) > 0 {
		r.others = make(map[PartHash]string)
	}
	for _, read := range reads {
		runner, known := r.others[read.Part]
		if len(r.others) < maxOthers && (!known || read.Runner < runner) {
			r.others[read.Part] = read.Runner
		}
	}
}

// Reader returns the runner that is reading a part, empty for none known.
func (r *Reads) Reader(part PartHash, now time.Time) string {
	for _, o := range r.own {
		if o.Part == part && now.Before(o.until) {
			return o.Runner
		}
	}
	return r.others[part]
}

// Any reports whether any read is known.
func (r *Reads) Any() bool { return len(r.own) > 0 || len(r.others) > 0 }

// Own returns the reads to report.
func (r *Reads) Own(now time.Time) []Read {
	r.prune(now)
	list := make([]Read, 0, len(r.own))
	for _, o := range r.own {
		list = append(list, o.Read)
	}
	return list
}

func (r *Reads) prune(now time.Time) {
	r.own = slices.DeleteFunc(r.own, func(o *ownRead) bool { return !now.Before(o.until) })
}
