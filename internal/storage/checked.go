package storage

import (
	"encoding/binary"
	"hash/crc32"
)

// A checked file is a magic of 8 bytes, the CRC-32C of the content, and the
// content.
const checkedHeaderBytes = 12

func checkedHeader(magic string, content []byte) []byte {
	buf := make([]byte, checkedHeaderBytes)
	copy(buf, magic)
	binary.LittleEndian.PutUint32(buf[8:], crc32.Checksum(content, crcTable))
	return buf
}

// checkedContent returns the content of a checked file.
func checkedContent(path, magic string, data []byte) ([]byte, error) {
	if len(data) < checkedHeaderBytes {
		return nil, &CorruptionError{Path: path, Reason: "too short"}
	}
	if string(data[:8]) != magic {
		return nil, &CorruptionError{Path: path, Reason: "not a file of this kind"}
	}
	content := data[checkedHeaderBytes:]
	if crc32.Checksum(content, crcTable) != binary.LittleEndian.Uint32(data[8:]) {
		return nil, &CorruptionError{Path: path, Offset: checkedHeaderBytes, Reason: "checksum does not match"}
	}
	return content, nil
}
