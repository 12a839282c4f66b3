package wire

import (
	"bytes"
	"testing"
)

type sample struct {
	Name  string            `cbor:"1,keyasint"`
	Attrs map[string]uint64 `cbor:"2,keyasint"`
}

func TestMarshalIsDeterministic(t *testing.T) {
	value := sample{Name: "a", Attrs: map[string]uint64{"x": 1, "y": 2, "z": 3}}
	first := MustMarshal(value)
	for range 20 {
		if again := MustMarshal(value); !bytes.Equal(first, again) {
			t.Fatalf("encodings differ: %x and %x", first, again)
		}
	}
}

// A message is empty, truncated, followed by extra bytes, or has an array length that
// exceeds the memory. Decoding must return an error in each case, and neither accept a
// partial message as complete nor make a huge allocation.
func TestUnmarshalRejects(t *testing.T) {
	complete := MustMarshal(sample{Name: "a"})
	cases := map[string][]byte{
		"empty":          {},
		"truncated":      complete[:len(complete)-1],
		"trailing bytes": append(bytes.Clone(complete), 0),
		"huge array":     {0x9a, 0xff, 0xff, 0xff, 0xff},
	}
	for name, data := range cases {
		t.Run(name, func(t *testing.T) {
			var got sample
			if err := Unmarshal(data, &got); err == nil {
				t.Fatalf("decoded %x as %+v", data, got)
			}
		})
	}
}

func FuzzUnmarshal(f *testing.F) {
	f.Add(MustMarshal(sample{Name: "a", Attrs: map[string]uint64{"x": 1}}))
	f.Fuzz(func(t *testing.T, data []byte) {
		var got sample
		if err := Unmarshal(data, &got); err != nil {
			return
		}
		if _, err := Marshal(got); err != nil {
			t.Fatalf("decoded value does not encode: %v", err)
		}
	})
}
