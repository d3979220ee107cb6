package storage

import (
	"encoding/binary"
	"hash/crc32"
)

// A checksummed file consists of an 8-byte magic, the CRC-32C of the content, and
// the content.
const checksummedHeaderBytes = 12

func checksummedHeader(magic string, content []byte) []byte {
	buf := make([]byte, checksummedHeaderBytes)
	copy(buf, magic)
	binary.LittleEndian.PutUint32(buf[8:], crc32.Checksum(content, crcTable))
	return buf
}

// checksummedContent verifies a checksummed file and returns its content.
func checksummedContent(path, magic string, data []byte) ([]byte, error) {
	if len(data) < checksummedHeaderBytes {
		return nil, &CorruptionError{Path: path, Reason: "too short"}
	}
	if string(data[:8]) != magic {
		return nil, &CorruptionError{Path: path, Reason: "wrong magic number"}
	}
	content := data[checksummedHeaderBytes:]
	if crc32.Checksum(content, crcTable) != binary.LittleEndian.Uint32(data[8:]) {
		return nil, &CorruptionError{Path: path, Offset: checksummedHeaderBytes, Reason: "checksum does not match"}
	}
	return content, nil
}
