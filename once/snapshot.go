package once

import (
	"bytes"
	"fmt"
	"maps"
	"slices"

	"github.com/lovagereach/lovagereach/internal/wire"
)

// image is the encoded form of a ledger's state. Its order depends on the state
// alone, so equal ledgers have equal snapshots.
type image struct {
	Options      Options `cbor:"1,keyasint"`
	Now          int64   `cbor:"2,keyasint"`
	Applied      uint64  `cbor:"3,keyasint"`
	Incarnations []Owner `cbor:"4,keyasint"`
	// Records holds the encoding of as many records as Keys states, see
	// appendRecord.
	Records     []byte       `cbor:"5,keyasint"`
	Layers      []layerImage `cbor:"6,keyasint"`
	LastReshard Reshard      `cbor:"7,keyasint"`
	MinCutoff   int64        `cbor:"8,keyasint"`
	Keys        int          `cbor:"9,keyasint"`
}

// layerImage is the encoded form of a filter layer.
type layerImage struct {
	Keys int64  `cbor:"1,keyasint"`
	Bits []byte `cbor:"2,keyasint"`
}

// typicalRecordBytes is the size in bytes that Snapshot preallocates for each
// record.
const typicalRecordBytes = 256

// Snapshot returns the complete state in encoded form.
func (l *Ledger) Snapshot() ([]byte, error) {
	img := image{
		Options: l.options, Now: l.now, Applied: l.applied, LastReshard: l.lastReshard, MinCutoff: l.minCutoff,
		Layers: l.expired.image(), Keys: len(l.records),
		Records: make([]byte, 0, len(l.records)*typicalRecordBytes),
	}
	for _, host := range slices.Sorted(maps.Keys(l.incarnations)) {
		img.Incarnations = append(img.Incarnations, Owner{Host: host, Incarnation: l.incarnations[host]})
	}
	ids := make([]KeyID, 0, len(l.records))
	for id := range l.records {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b KeyID) int { return bytes.Compare(a[:], b[:]) })
	for _, id := range ids {
		img.Records = appendRecord(img.Records, id, l.records[id])
	}
	return wire.Marshal(img)
}

// Restore replaces the complete state with that of a snapshot. After an error
// the state is undefined.
func (l *Ledger) Restore(snapshot []byte) error {
	var img image
	if err := wire.Unmarshal(snapshot, &img); err != nil {
		return fmt.Errorf("once: decode snapshot: %w", err)
	}
	if err := img.Options.Validate(); err != nil {
		return fmt.Errorf("once: snapshot: %w", err)
	}
	layers, err := decodeLayers(img.Layers)
	if err != nil {
		return err
	}
	l.reset()
	l.options, l.now, l.applied = img.Options, img.Now, img.Applied
	l.expired.layers = layers
	l.lastReshard, l.minCutoff = img.LastReshard, img.MinCutoff
	for _, known := range img.Incarnations {
		l.incarnations[known.Host] = known.Incarnation
	}
	reader := recordReader{data: img.Records}
	for range img.Keys {
		id, rec := reader.next()
		if reader.corrupt {
			return errCorruptRecords
		}
		l.restore(id, rec)
	}
	if len(reader.data) > 0 {
		return errCorruptRecords
	}
	return nil
}

// restore adds a decoded record and its entries in the queues.
func (l *Ledger) restore(id KeyID, rec *record) {
	l.records[id] = rec
	l.charge(rec, recordBytes+int64(len(rec.answer)+len(rec.abandoned)*len(ClaimID{})))
	l.expiries.add(l.expiresAt(rec), id)
	if rec.phase == phaseClaimed {
		l.holds.add(rec.holdEnd, id)
		l.trackOwner(rec.owner.Host, id)
	}
}

func (f *filter) image() []layerImage {
	var images []layerImage
	for _, l := range f.layers {
		img := layerImage{Keys: l.keys, Bits: make([]byte, 0, len(l.bits)*8)}
		for _, value := range l.bits {
			img.Bits = appendUint64(img.Bits, value)
		}
		images = append(images, img)
	}
	return images
}
