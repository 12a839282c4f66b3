package httphead

import "testing"

// Guards against a folded line that is missed, or seen in a body, because the head comes in pieces.
func TestFoldsAreFoundInPieces(t *testing.T) {
	for name, c := range map[string]struct {
		bytes  string
		folded bool
	}{
		"sound": {"HTTP/1.1 200 OK\r\nA: b c\r\nB:\r\n\r\n", false}, "a body with blanks": {"HTTP/1.1 200 OK\r\nA: b\r\n\r\n x\r\n\ty\r\n", false},
		"bare line feeds": {"HTTP/1.1 200 OK\nA: b\n\n x\n", false}, "a blank": {"HTTP/1.1 200 OK\r\nA: b\r\n c\r\n\r\n", true},
		"a tab": {"HTTP/1.1 200 OK\nA: b\n\tc\n\n", true}, "blanks only": {"HTTP/1.1 200 OK\r\nA: b\r\n  \r\n\r\n", true},
		"without an end": {"HTTP/1.1 200 OK\r\nA: b\r\n c", true},
	} {
		for split := range len(c.bytes) + 1 {
			var f Folds
			f.Scan([]byte(c.bytes[:split]))
			f.Scan([]byte(c.bytes[split:]))
			if (f.Check() != nil) != c.folded {
				t.Errorf("%s, split at %d: %v", name, split, f.Check())
			}
		}
	}
}
