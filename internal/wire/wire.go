// Package wire encodes and decodes the CBOR messages that the system's own
// processes exchange and store. Decoding is bounded: hostile or damaged input takes
// a bounded amount of memory and results in an error, never in a panic.
package wire

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// Bounds on decoded messages.
const (
	// MaxNesting is the maximum nesting depth of arrays and maps.
	MaxNesting = 16
	// MaxElements is the maximum number of elements in one array or map.
	MaxElements = 1 << 20
)

var (
	encMode    cbor.EncMode
	decMode    cbor.DecMode
	strictMode cbor.DecMode
)

func init() {
	enc := cbor.CoreDetEncOptions()
	enc.Time = cbor.TimeUnixMicro
	var err error
	if encMode, err = enc.EncMode(); err != nil {
		panic(eris.Wrap(err, "wire: encoder options"))
	}
	dec := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:  MaxNesting,
		MaxArrayElements: MaxElements,
		MaxMapPairs:      MaxElements,
		IndefLength:      cbor.IndefLengthForbidden,
	}
	if decMode, err = dec.DecMode(); err != nil {
		panic(eris.Wrap(err, "wire: decoder options"))
	}
	dec.ExtraReturnErrors = cbor.ExtraDecErrorUnknownField
	if strictMode, err = dec.DecMode(); err != nil {
		panic(eris.Wrap(err, "wire: strict decoder options"))
	}
}

// Marshal encodes v deterministically: equal values have equal encodings.
func Marshal(v any) ([]byte, error) {
	return encMode.Marshal(v)
}

// MustMarshal encodes a value of a type whose encoding can't fail. It panics on a
// failure, which is a programming error.
func MustMarshal(v any) []byte {
	data, err := encMode.Marshal(v)
	if err != nil {
		panic(eris.Wrapf(err, "wire: marshal %T", v))
	}
	return data
}

// Unmarshal decodes exactly one value from data; trailing bytes are an error.
func Unmarshal(data []byte, v any) error {
	return decMode.Unmarshal(data, v)
}

// UnmarshalStrict is Unmarshal for messages that may contain only known fields: a field
// that v lacks is an error.
func UnmarshalStrict(data []byte, v any) error {
	return strictMode.Unmarshal(data, v)
}
