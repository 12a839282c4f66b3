package intake

import "bytes"

// What a head takes in memory grows with its lines more than with its bytes: each line becomes an entry of
// a map with a name and a list of values, once as it was received and once as it is sent.
const (
	lineBytes      = 320
	byteMultiplier = 3
)

// HeadCost returns what a head of some lines and bytes takes in memory, in bytes.
func HeadCost(lines, bytes int) int64 { return lineBytes*int64(lines) + byteMultiplier*int64(bytes) }

// Head counts the lines and bytes of a head as they arrive. The zero value is ready to use.
type Head struct {
	Lines, Bytes int
	// Ended indicates that its last line has arrived: what follows is not counted.
	Ended bool
	// lineLength is that of the line so far, without its end.
	lineLength int
}

// Add counts bytes that have arrived.
func (h *Head) Add(arrived []byte) {
	for len(arrived) > 0 && !h.Ended {
		line, rest, ends := bytes.Cut(arrived, []byte{'\n'})
		h.Bytes += len(arrived) - len(rest)
		if len(line) > 1 || len(line) == 1 && line[0] != '\r' {
			h.lineLength += len(line)
		}
		if ends {
			h.Lines++
			h.Ended = h.lineLength == 0
			h.lineLength = 0
		}
		arrived = rest
	}
}

// Cost returns what the head takes in memory so far, in bytes.
func (h *Head) Cost() int64 { return HeadCost(h.Lines, h.Bytes) }
