package once

import (
	"encoding/binary"
	"errors"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/outcome"
)

// The records of a snapshot are encoded one after the other as fixed-size and
// length-prefixed fields. A general codec took 5 us per record, half a second
// for the keys of a busy day, during which no command could be applied.

var errCorruptRecords = errors.New("once: snapshot records are corrupt")

// Flags of an encoded record.
const (
	flagDated = 1 << iota
	flagOwnerLost
)

// appendRecord appends the encoding of one record to data.
func appendRecord(data []byte, id KeyID, r *record) []byte {
	flags := byte(0)
	if r.dated {
		flags |= flagDated
	}
	if r.ownerLost {
		flags |= flagOwnerLost
	}
	data = append(data, id[:]...)
	data = append(data, byte(r.phase), flags)
	data = append(data, r.digest[:]...)
	data = append(data, r.claim[:]...)
	data = append(data, r.request[:]...)
	data = binary.BigEndian.AppendUint64(data, uint64(r.holdEnd))
	data = binary.BigEndian.AppendUint64(data, uint64(r.retainFrom))
	data = binary.BigEndian.AppendUint64(data, uint64(r.owner.Incarnation))
	data = appendLengthPrefixed(data, string(r.owner.Host))
	data = appendLengthPrefixed(data, string(r.team))
	data = appendLengthPrefixed(data, string(r.reason))
	data = appendLengthPrefixed(data, r.answer)
	data = binary.AppendUvarint(data, uint64(len(r.abandoned)))
	for _, claim := range r.abandoned {
		data = append(data, claim[:]...)
	}
	return data
}

func appendLengthPrefixed[T string | []byte](data []byte, text T) []byte {
	data = binary.AppendUvarint(data, uint64(len(text)))
	return append(data, text...)
}

// recordReader decodes records written by appendRecord. Once it finds corrupt
// data, it sets corrupt and returns only zero values.
type recordReader struct {
	data    []byte
	corrupt bool
}

func (r *recordReader) next() (KeyID, *record) {
	var id KeyID
	rec := &record{}
	copy(id[:], r.read(len(id)))
	rec.phase = phase(r.byte())
	flags := r.byte()
	rec.dated, rec.ownerLost = flags&flagDated != 0, flags&flagOwnerLost != 0
	copy(rec.digest[:], r.read(len(rec.digest)))
	copy(rec.claim[:], r.read(len(rec.claim)))
	copy(rec.request[:], r.read(len(rec.request)))
	rec.holdEnd = int64(r.uint64())
	rec.retainFrom = int64(r.uint64())
	rec.owner.Incarnation = ident.Incarnation(r.uint64())
	rec.owner.Host = ident.Host(r.lengthPrefixed())
	rec.team = ident.Team(r.lengthPrefixed())
	rec.reason = outcome.Reason(r.lengthPrefixed())
	if answer := r.lengthPrefixed(); len(answer) > 0 {
		rec.answer = append([]byte(nil), answer...)
	}
	for range min(r.uvarint(), maxAbandoned) {
		rec.abandoned = append(rec.abandoned, ClaimID(r.read(len(ClaimID{}))))
	}
	if rec.phase < phaseClaimed || rec.phase > phaseAnswered {
		r.corrupt = true
	}
	return id, rec
}

// read returns the next n bytes. If the data is corrupt or shorter, it returns
// zero bytes, at most maxFixed of them.
func (r *recordReader) read(n int) []byte {
	if r.corrupt || n > len(r.data) {
		r.corrupt = true
		return make([]byte, min(n, maxFixed))
	}
	field := r.data[:n]
	r.data = r.data[n:]
	return field
}

// maxFixed is the size of the largest fixed-size field in bytes.
const maxFixed = len(Digest{})

func (r *recordReader) byte() byte { return r.read(1)[0] }

func (r *recordReader) uint64() uint64 { return binary.BigEndian.Uint64(r.read(8)) }

func (r *recordReader) uvarint() uint64 {
	value, n := binary.Uvarint(r.data)
	if n <= 0 || r.corrupt {
		r.corrupt = true
		return 0
	}
	r.data = r.data[n:]
	return value
}

func (r *recordReader) lengthPrefixed() []byte {
	n := r.uvarint()
	if n > uint64(len(r.data)) {
		r.corrupt = true
		return nil
	}
	return r.read(int(n))
}
