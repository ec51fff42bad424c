package snapshot

import (
	"encoding/binary"
	"fmt"
	"hash/crc64"

	"github.com/fxamacker/cbor/v2"
)

// A copy consists of a header and a body. The header holds, in big-endian byte order, the magic bytes, the format
// version (2 bytes), the checksum of the body (8) and its length (4). The body is CBOR.
const (
	magic         = "bts\x00"
	formatVersion = 1 // a version that is no longer written needs its own reader

	versionOffset  = len(magic)
	checksumOffset = versionOffset + 2
	lengthOffset   = checksumOffset + 8
	headerSize     = lengthOffset + 4

	maxCopySize  = 1 << 20         // bytes of a copy's file
	maxStoreSize = maxCopySize / 2 // bytes of all entries; far below maxCopySize, so that a copy of them fits
	entryCost    = 64              // bytes that an entry counts in addition to its kind and body
)

var checksumTable = crc64.MakeTable(crc64.ECMA)

// Entry is the stored state of one kind. Of two entries the one with the higher generation is newer, regardless of
// time.
type Entry struct {
	Generation uint64  `cbor:"1,keyasint"`
	StoredAt   float64 `cbor:"2,keyasint"` // Unix seconds, by this machine's clock
	Source     string  `cbor:"3,keyasint"` // origin of the entry, in the caller's terms
	Body       []byte  `cbor:"4,keyasint"`
}

// content is the content of a store, as encoded in a copy.
type content struct {
	Owner   string           `cbor:"1,keyasint"` // the router that the copy belongs to
	Number  uint64           `cbor:"2,keyasint"` // of the copy; the newest copy has the largest
	Entries map[string]Entry `cbor:"3,keyasint"`
}

// sizeWith returns the size in bytes that the store would have with an entry of a kind.
func (c content) sizeWith(kind string, entry Entry) int {
	size := len(entry.Body)
	for name, other := range c.Entries {
		if name != kind {
			size += len(other.Body) + len(name) + entryCost
		}
	}
	return size
}

// encode returns the bytes of a copy.
func encode(c content) ([]byte, error) {
	body, err := cbor.Marshal(c)
	if err != nil {
		return nil, err
	}
	data := binary.BigEndian.AppendUint16([]byte(magic), formatVersion)
	data = binary.BigEndian.AppendUint64(data, crc64.Checksum(body, checksumTable))
	data = binary.BigEndian.AppendUint32(data, uint32(len(body)))
	return append(data, body...), nil
}

// decode decodes the bytes of a copy. The error is ErrForeign, a VersionError, a DamagedError or an OwnerError.
func decode(data []byte, owner string) (content, error) {
	if len(data) < headerSize || string(data[:len(magic)]) != magic {
		return content{}, ErrForeign
	}
	version := binary.BigEndian.Uint16(data[versionOffset:])
	if version > formatVersion {
		return content{}, &VersionError{Version: version, Newest: formatVersion}
	}
	checksum := binary.BigEndian.Uint64(data[checksumOffset:])
	length := binary.BigEndian.Uint32(data[lengthOffset:])
	body := data[headerSize:]
	if int(length) != len(body) || crc64.Checksum(body, checksumTable) != checksum {
		return content{}, &DamagedError{}
	}
	var c content
	err := cbor.Unmarshal(body, &c)
	if err != nil {
		return content{}, &DamagedError{Reason: err}
	}
	if c.Owner != owner {
		return content{}, &OwnerError{Owner: c.Owner, Want: owner}
	}
	if c.Entries == nil {
		c.Entries = map[string]Entry{}
	}
	return c, nil
}

func tooLarge() error {
	return &DamagedError{Reason: fmt.Errorf("longer than %d bytes", maxCopySize)}
}
