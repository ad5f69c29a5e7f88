package disk

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
)

// A record consists of the magic number, the length of the payload (8 bytes), the
// payload, and the CRC-32C (RFC 3720, section 12.1) of all bytes before it. Numbers
// are big-endian.
const (
	magic         = "SSFRREG1"
	lengthBytes   = 8
	checksumBytes = 4
	headerBytes   = len(magic) + lengthBytes
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// encodeRecord returns the record that holds the payload.
func encodeRecord(payload []byte) []byte {
	record := make([]byte, 0, headerBytes+len(payload)+checksumBytes)
	record = append(record, magic...)
	record = binary.BigEndian.AppendUint64(record, uint64(len(payload)))
	record = append(record, payload...)
	return binary.BigEndian.AppendUint32(record, crc32.Checksum(record, castagnoli))
}

// decodeRecord returns the payload of a record; the error wraps ErrCorrupt.
func decodeRecord(record []byte) ([]byte, error) {
	if len(record) < headerBytes+checksumBytes {
		return nil, fmt.Errorf("%w: a length of %d bytes is too short for a record", ErrCorrupt, len(record))
	}
	body, checksum := record[:len(record)-checksumBytes], record[len(record)-checksumBytes:]
	if crc32.Checksum(body, castagnoli) != binary.BigEndian.Uint32(checksum) {
		return nil, fmt.Errorf("%w: checksum mismatch", ErrCorrupt)
	}
	if string(body[:len(magic)]) != magic {
		return nil, fmt.Errorf("%w: unknown format", ErrCorrupt)
	}
	payload := body[headerBytes:]
	if binary.BigEndian.Uint64(body[len(magic):headerBytes]) != uint64(len(payload)) {
		return nil, fmt.Errorf("%w: payload length mismatch", ErrCorrupt)
	}
	return payload, nil
}
