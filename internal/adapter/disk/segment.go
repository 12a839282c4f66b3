package disk

import (
	"encoding/binary"
	"fmt"
	"strings"

	"github.com/lovagereach/lovagereach/internal/wire"
)

const (
	segmentSuffix = ".log"
	tempSuffix    = ".tmp"
	segmentMagic  = "LVRSEG01"
	// segmentHeaderSize is the size of magic, number, folder identity and checksum.
	segmentHeaderSize = 8 + 8 + 8 + 4
)

func segmentName(number uint64) string {
	return fmt.Sprintf("segment-%016x%s", number, segmentSuffix)
}

func parseSegmentName(name string) (uint64, bool) {
	var number uint64
	_, err := fmt.Sscanf(name, "segment-%016x", &number)
	return number, err == nil && name == segmentName(number)
}

func segmentHeader(number, identity uint64) []byte {
	header := []byte(segmentMagic)
	header = binary.BigEndian.AppendUint64(header, number)
	header = binary.BigEndian.AppendUint64(header, identity)
	return binary.BigEndian.AppendUint32(header, seedOf(identity).sum(header))
}

// seedOf returns the checksum seed of a folder.
func seedOf(identity uint64) checksumSeed { return checksumSeed(identity ^ identity>>32) }

// readSegment checks the header of a segment and calls visit for each record. It
// returns the sequence number of the last frame.
func readSegment(number, identity uint64, data []byte, visit func(*record) error) (uint64, error) {
	name := segmentName(number)
	want := segmentHeader(number, identity)
	if !strings.HasPrefix(string(data), string(want)) {
		return 0, &DamageError{File: name, Reason: "segment header does not match this folder"}
	}
	complete := false
	end, sequence, err := seedOf(identity).walkFrames(name, data, len(want), func(payload []byte) error {
		var records []record
		if err := wire.Unmarshal(payload, &records); err != nil {
			return err
		}
		for i := range records {
			if records[i].End {
				complete = true
				continue
			}
			if err := visit(&records[i]); err != nil {
				return err
			}
		}
		return nil
	})
	if err == nil && !complete {
		err = &DamageError{File: name, Offset: int64(end), Reason: "the checkpoint is incomplete"}
	}
	return sequence, err
}
