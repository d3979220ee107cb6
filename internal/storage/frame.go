package storage

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
)

// CorruptionError reports that a file differs from what was synced to it.
type CorruptionError struct {
	Path string
	// Offset is where the damage starts, in bytes.
	Offset int64
	Reason string
}

func (e *CorruptionError) Error() string {
	return fmt.Sprintf("storage: %s is damaged at offset %d: %s", e.Path, e.Offset, e.Reason)
}

// A frame is the encoding of one record in a segment:
//
//	length of the payload   uint32
//	CRC-32C of the payload  uint32
//	record number           uint64
//	CRC-32C of the above    uint32
//	payload
//
// All integers are little-endian.
const frameHeaderBytes = 20

// A segment starts with:
//
//	magic                   8 bytes
//	incarnation             uint64
//	first record number     uint64
//	CRC-32C of the above    uint32
const (
	segmentMagic       = "WXCWAL01"
	segmentHeaderBytes = 28
)

// maxRecordBytes limits the size of one record with its header.
const maxRecordBytes = 1 << 30

var crcTable = crc32.MakeTable(crc32.Castagnoli)

// putFrameHeader writes the header at the start of buf for the payload that
// follows it.
func putFrameHeader(buf []byte, number uint64) {
	payload := buf[frameHeaderBytes:]
	binary.LittleEndian.PutUint32(buf[0:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(buf[4:], crc32.Checksum(payload, crcTable))
	binary.LittleEndian.PutUint64(buf[8:], number)
	binary.LittleEndian.PutUint32(buf[16:], crc32.Checksum(buf[:16], crcTable))
}

// parseFrame returns the payload and record number of the frame at the start of
// data. It returns false if the frame is incomplete or damaged.
func parseFrame(data []byte) (payload []byte, number uint64, ok bool) {
	if len(data) < frameHeaderBytes {
		return nil, 0, false
	}
	if crc32.Checksum(data[:16], crcTable) != binary.LittleEndian.Uint32(data[16:]) {
		return nil, 0, false
	}
	length := uint64(binary.LittleEndian.Uint32(data[0:]))
	rest := data[frameHeaderBytes:]
	if length > uint64(len(rest)) {
		return nil, 0, false
	}
	payload = rest[:length]
	if crc32.Checksum(payload, crcTable) != binary.LittleEndian.Uint32(data[4:]) {
		return nil, 0, false
	}
	return payload, binary.LittleEndian.Uint64(data[8:]), true
}

// containsFrame reports whether data holds an intact frame with a record number
// greater than after, at any offset. Such a frame was written only after all
// frames before it were synced.
func containsFrame(data []byte, after uint64) bool {
	for len(data) >= frameHeaderBytes {
		if _, number, ok := parseFrame(data); ok && number > after {
			return true
		}
		data = data[1:]
	}
	return false
}

func segmentHeader(incarnation, first uint64) []byte {
	buf := make([]byte, segmentHeaderBytes)
	copy(buf, segmentMagic)
	binary.LittleEndian.PutUint64(buf[8:], incarnation)
	binary.LittleEndian.PutUint64(buf[16:], first)
	binary.LittleEndian.PutUint32(buf[24:], crc32.Checksum(buf[:24], crcTable))
	return buf
}

func parseSegmentHeader(data []byte) (incarnation, first uint64, ok bool) {
	if len(data) < segmentHeaderBytes || string(data[:8]) != segmentMagic {
		return 0, 0, false
	}
	if crc32.Checksum(data[:24], crcTable) != binary.LittleEndian.Uint32(data[24:]) {
		return 0, 0, false
	}
	return binary.LittleEndian.Uint64(data[8:]), binary.LittleEndian.Uint64(data[16:]), true
}
