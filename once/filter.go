package once

import (
	"encoding/binary"
	"errors"
)

var errLayerSize = errors.New("once: snapshot filter layer has an unexpected size")

// Parameters of one filter layer. With 2^21 keys in 2^25 bits and eleven probes
// per key, about 5 of 10,000 lookups of absent keys are false positives.
const (
	layerBits   = 1 << 25
	layerKeys   = 1 << 21
	layerProbes = 11
)

// filter is the set of expired undated keys: a Bloom filter that grows by
// layers. A false positive refuses a claim whose call never ran; the call isn't
// sent, and the caller can use another key. There are no false negatives.
type filter struct {
	layers []layer
}

// layer is one fixed-size Bloom filter.
type layer struct {
	keys int64
	bits []uint64
}

func (f *filter) count() int64 {
	total := int64(0)
	for i := range f.layers {
		total += f.layers[i].keys
	}
	return total
}

func (f *filter) add(id KeyID) {
	if len(f.layers) == 0 || f.layers[len(f.layers)-1].keys >= layerKeys {
		f.layers = append(f.layers, layer{bits: make([]uint64, layerBits/64)})
	}
	last := &f.layers[len(f.layers)-1]
	last.keys++
	h := newProbe(id)
	for range layerProbes {
		bit := h.next()
		last.bits[bit/64] |= 1 << (bit % 64)
	}
}

func (f *filter) has(id KeyID) bool {
	for i := range f.layers {
		if f.layers[i].has(id) {
			return true
		}
	}
	return false
}

func (l *layer) has(id KeyID) bool {
	h := newProbe(id)
	for range layerProbes {
		bit := h.next()
		if l.bits[bit/64]&(1<<(bit%64)) == 0 {
			return false
		}
	}
	return true
}

// probe generates the bit positions of one key by double hashing.
type probe struct {
	pos, step uint64
}

func newProbe(id KeyID) probe {
	// The first half of the ID also selects the shard, so the keys of one shard
	// share some of its bits. The second half still spreads them evenly.
	first := binary.BigEndian.Uint64(id[:8])
	second := binary.BigEndian.Uint64(id[8:])
	return probe{pos: second, step: first | 1}
}

func (p *probe) next() uint64 {
	bit := (p.pos >> 16) % layerBits
	p.pos += p.step
	return bit
}

func appendUint64(data []byte, value uint64) []byte {
	return binary.BigEndian.AppendUint64(data, value)
}

func decodeLayers(images []layerImage) ([]layer, error) {
	layers := make([]layer, 0, len(images))
	for _, img := range images {
		if len(img.Bits) != layerBits/8 {
			return nil, errLayerSize
		}
		l := layer{keys: img.Keys, bits: make([]uint64, layerBits/64)}
		for i := range l.bits {
			l.bits[i] = binary.BigEndian.Uint64(img.Bits[i*8:])
		}
		layers = append(layers, l)
	}
	return layers, nil
}
