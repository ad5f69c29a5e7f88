package disk

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
)

// A record is the magic, the length of the payload (8 bytes), the payload, and
// the CRC-32C (RFC 3720, section 12.1) of all that, big-endian.
const (
	magic       = "SSFRREG1"
	lengthBytes = 8
	sumBytes    = 4
	headBytes   = len(magic) + lengthBytes
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func encodeRecord(payload []byte) []byte {
	record := make([]byte, 0, headBytes+len(payload)+sumBytes)
	record = append(record, magic...)
	record = binary.BigEndian.AppendUint64(record, uint64(len(payload)))
	record = append(record, payload...)
	return binary.BigEndian.AppendUint32(record, crc32.Checksum(record, castagnoli))
}

// decodeRecord returns the payload of a record; the error wraps ErrCorrupt.
func decodeRecord(record []byte) ([]byte, error) {
	if len(record) < headBytes+sumBytes {
		return nil, fmt.Errorf("%w: %d bytes are too few", ErrCorrupt, len(record))
	}
	body, sum := record[:len(record)-sumBytes], record[len(record)-sumBytes:]
	if crc32.Checksum(body, castagnoli) != binary.BigEndian.Uint32(sum) {
		return nil, fmt.Errorf("%w: checksum differs", ErrCorrupt)
	}
	if string(body[:len(magic)]) != magic {
		return nil, fmt.Errorf("%w: another format", ErrCorrupt)
	}
	payload := body[headBytes:]
	if binary.BigEndian.Uint64(body[len(magic):headBytes]) != uint64(len(payload)) {
		return nil, fmt.Errorf("%w: length differs", ErrCorrupt)
	}
	return payload, nil
}
