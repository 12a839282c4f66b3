package upstreamapi

import (
	"strings"
	"testing"
)

func TestDecodeBounded(t *testing.T) {
	cases := map[string]struct {
		in    string
		limit int64
		ok    bool
	}{
		"fits":          {`{"a":1}`, 7, true},
		"over":          {`{"a":1} `, 7, false},
		"cut":           {`{"a":`, 100, false},
		"twice":         {`{"a":1}{"a":2}`, 100, false},
		"nothing":       {``, 100, false},
		"another shape": {`[1]`, 100, false},
	}
	for name, c := range cases {
		var into struct{ A int }
		if err := DecodeBounded(strings.NewReader(c.in), c.limit, &into); (err == nil) != c.ok {
			t.Errorf("%s: %v", name, err)
		}
	}
}
