package disk

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"
)

// A frame on disk is
//
//	magic     uint32
//	length    uint32  of the payload
//	sequence  uint64  grows by one with each frame
//	sum       uint32  CRC-32C of the payload
//	check     uint32  CRC-32C of the header before it
//	payload
//	end       byte, not zero
//
// in big-endian order. The header has a checksum of its own, so that a damaged
// length isn't mistaken for a frame truncated by a crash. The checksums start from
// a seed that is specific to the folder, so that stored payload bytes can't be
// mistaken for a frame.
const (
	frameMagic      = 0x4c475746
	frameHeaderSize = 24
	// frameEnd and the first byte of the magic are not zero, so that the part of a
	// sector at either end of a frame reads as zero only if it was not written.
	frameEnd     = 0xa5
	frameEndSize = 1
	// maxPayload is the maximum payload size of a frame, checked before writing.
	maxPayload = 256 << 20
	// sectorSize is the unit that a disk writes atomically.
	sectorSize = 512
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// checksumSeed is the initial value of the checksums of a folder's frames.
type checksumSeed uint32

func (s checksumSeed) sum(data []byte) uint32 { return crc32.Update(uint32(s), castagnoli, data) }

// appendFrame appends a frame to dst.
func (s checksumSeed) appendFrame(dst []byte, sequence uint64, payload []byte) []byte {
	start := len(dst)
	dst = binary.BigEndian.AppendUint32(dst, frameMagic)
	dst = binary.BigEndian.AppendUint32(dst, uint32(len(payload)))
	dst = binary.BigEndian.AppendUint64(dst, sequence)
	dst = binary.BigEndian.AppendUint32(dst, s.sum(payload))
	dst = binary.BigEndian.AppendUint32(dst, s.sum(dst[start:]))
	dst = append(dst, payload...)
	return append(dst, frameEnd)
}

// frameState is the result of parsing a frame.
type frameState int

const (
	frameComplete frameState = iota
	frameTorn
	frameDamaged
)

// parsedFrame is a frame read from a file. size includes header and end; reason
// describes a torn or damaged frame.
type parsedFrame struct {
	state    frameState
	sequence uint64
	payload  []byte
	size     int
	reason   string
}

// parseFrame parses the frame at offset, which must be below len(data). It
// distinguishes a frame torn by a crash from a damaged one: a crash truncates the
// file, or leaves sectors or the end of the frame unwritten, which read as zero. Any
// other checksum mismatch means that the data changed after it was written.
func (s checksumSeed) parseFrame(data []byte, offset int) parsedFrame {
	rest := data[offset:]
	if len(rest) < frameHeaderSize {
		return parsedFrame{state: frameTorn, reason: "file ends within a frame header"}
	}
	header := rest[:frameHeaderSize]
	checkOffset := frameHeaderSize - 4
	if s.sum(header[:checkOffset]) != binary.BigEndian.Uint32(header[checkOffset:]) || binary.BigEndian.Uint32(header) != frameMagic {
		if unwritten(data, offset, offset+frameHeaderSize) || allZero(rest[frameHeaderSize:]) {
			return parsedFrame{state: frameTorn, reason: "frame header was not written"}
		}
		return parsedFrame{state: frameDamaged, reason: "frame header checksum mismatch"}
	}
	size := frameHeaderSize + int(binary.BigEndian.Uint32(header[4:])) + frameEndSize
	if len(rest) < size {
		return parsedFrame{state: frameTorn, reason: "file ends within a frame"}
	}
	payload := rest[frameHeaderSize : size-frameEndSize]
	if s.sum(payload) != binary.BigEndian.Uint32(header[16:]) || rest[size-1] != frameEnd {
		if unwritten(data, offset, offset+size) || rest[size-1] == 0 {
			return parsedFrame{state: frameTorn, reason: "part of the frame was not written"}
		}
		return parsedFrame{state: frameDamaged, reason: "frame checksum mismatch"}
	}
	return parsedFrame{
		state:    frameComplete,
		sequence: binary.BigEndian.Uint64(header[8:]),
		payload:  payload,
		size:     size,
	}
}

func allZero(data []byte) bool { return len(bytes.TrimLeft(data, "\x00")) == 0 }

// unwritten reports whether data[from:to] contains a sector, or part of one, that is
// all zero.
func unwritten(data []byte, from, to int) bool {
	for start := from; start < to; {
		end := min(to, (start/sectorSize+1)*sectorSize)
		part := data[start:end]
		if allZero(part) {
			return true
		}
		start = end
	}
	return false
}

// findFrame searches for a complete frame behind offset with a sequence number above
// after. Such a frame proves that the frame at offset had been synced.
func (s checksumSeed) findFrame(data []byte, offset int, after uint64) (int, bool) {
	magic := binary.BigEndian.AppendUint32(nil, frameMagic)
	for at := offset + 1; at < len(data); at++ {
		next := bytes.Index(data[at:], magic)
		if next < 0 {
			return 0, false
		}
		at += next
		if f := s.parseFrame(data, at); f.state == frameComplete && f.sequence > after {
			return at, true
		}
	}
	return 0, false
}

// walkFrames calls visit for each frame from offset on, in order. It returns the
// offset behind the last complete frame, which is below len(data) if the last frame
// is torn, and the sequence number of that frame, or a DamageError.
func (s checksumSeed) walkFrames(file string, data []byte, offset int, visit func(payload []byte) error) (int, uint64, error) {
	var last uint64
	for offset < len(data) {
		f := s.parseFrame(data, offset)
		if f.state != frameComplete {
			next, follows := s.findFrame(data, offset, last)
			if f.state == frameTorn && !follows {
				return offset, last, nil
			}
			reason := f.reason
			if follows {
				reason = fmt.Sprintf("%s, and a later frame follows at %d", reason, next)
			}
			return 0, 0, &DamageError{File: file, Offset: int64(offset), Reason: reason}
		}
		if last != 0 && f.sequence != last+1 {
			reason := fmt.Sprintf("frame %d follows frame %d", f.sequence, last)
			return 0, 0, &DamageError{File: file, Offset: int64(offset), Reason: reason}
		}
		if err := visit(f.payload); err != nil {
			return 0, 0, &DamageError{File: file, Offset: int64(offset), Reason: err.Error()}
		}
		last = f.sequence
		offset += f.size
	}
	return offset, last, nil
}
