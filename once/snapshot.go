package once

import (
	"bytes"
	"fmt"
	"maps"
	"slices"

	"github.com/lovagereach/lovagereach/internal/wire"
)

// image is the ledger's state in a snapshot, in an order that depends on the
// state alone.
type image struct {
	Options      Options `cbor:"1,keyasint"`
	Now          int64   `cbor:"2,keyasint"`
	Applied      uint64  `cbor:"3,keyasint"`
	Incarnations []Owner `cbor:"4,keyasint"`
	// Records holds Keys records, see appendRecord.
	Records []byte       `cbor:"5,keyasint"`
	Layers  []layerImage `cbor:"6,keyasint"`
	Seal    Reshard      `cbor:"7,keyasint"`
	Floor   int64        `cbor:"8,keyasint"`
	Keys    int          `cbor:"9,keyasint"`
}

type layerImage struct {
	Keys int64  `cbor:"1,keyasint"`
	Bits []byte `cbor:"2,keyasint"`
}

// typicalRecord is the size of a record for which a snapshot makes room.
const typicalRecord = 256

// Snapshot returns the whole state.
func (l *Ledger) Snapshot() ([]byte, error) {
	img := image{
		Options: l.options, Now: l.now, Applied: l.applied, Seal: l.seal, Floor: l.floor,
		Layers: l.expired.image(), Keys: len(l.records),
		Records: make([]byte, 0, len(l.records)*typicalRecord),
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

// Restore replaces the whole state with a snapshot's. On an error the state is
// undefined.
func (l *Ledger) Restore(snapshot []byte) error {
	var img image
	if err := wire.Unmarshal(snapshot, &img); err != nil {
		return fmt.Errorf("once: snapshot can't be read: %w", err)
	}
	if err := img.Options.Validate(); err != nil {
		return fmt.Errorf("once: snapshot: %w", err)
	}
	layers, err := layersOf(img.Layers)
	if err != nil {
		return err
	}
	l.reset()
	l.options, l.now, l.applied = img.Options, img.Now, img.Applied
	l.expired.layers = layers
	l.seal, l.floor = img.Seal, img.Floor
	for _, known := range img.Incarnations {
		l.incarnations[known.Host] = known.Incarnation
	}
	reader := recordReader{data: img.Records}
	for range img.Keys {
		id, rec := reader.next()
		if reader.damaged {
			return errRecords
		}
		l.restore(id, rec)
	}
	if len(reader.data) > 0 {
		return errRecords
	}
	return nil
}

func (l *Ledger) restore(id KeyID, rec *record) {
	l.records[id] = rec
	l.charge(rec, recordBytes+int64(len(rec.answer)+len(rec.dead)*len(ClaimID{})))
	l.forgets.add(l.forgetAt(rec), id)
	if rec.phase == phaseClaimed {
		l.holds.add(rec.holdEnd, id)
		l.trackOwner(rec.owner.Host, id)
	}
}

func (f *filter) image() []layerImage {
	var images []layerImage
	for _, l := range f.layers {
		img := layerImage{Keys: l.keys, Bits: make([]byte, 0, len(l.bits)*8)}
		for _, word := range l.bits {
			img.Bits = appendWord(img.Bits, word)
		}
		images = append(images, img)
	}
	return images
}
