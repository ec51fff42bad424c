package snapshot

import (
	"encoding/binary"
	"fmt"
	"hash/crc64"

	"github.com/fxamacker/cbor/v2"
)

// A copy is a header and a body. The header has, in big-endian byte order, the magic bytes, the version of the form (2
// bytes), the checksum of the body (8) and its length (4). The body is CBOR.
const (
	magic         = "bts\x00"
	formatVersion = 1 // an older one that is no longer written is read by its own reader

	versionOffset  = len(magic)
	checksumOffset = versionOffset + 2
	lengthOffset   = checksumOffset + 8
	headerSize     = lengthOffset + 4

	maxCopySize  = 1 << 20         // bytes of a file
	maxStoreSize = maxCopySize / 2 // bytes of the entries, so that a copy of them is far below its bound
	entryCost    = 64              // bytes that an entry is counted with beside its kind and body
)

var checksumTable = crc64.MakeTable(crc64.ECMA)

// Entry is what is kept of one kind. Its generation decides what is newer, never a time.
type Entry struct {
	Generation uint64  `cbor:"1,keyasint"`
	StoredAt   float64 `cbor:"2,keyasint"` // Unix seconds, by this machine's clock
	Source     string  `cbor:"3,keyasint"` // where it came from, in words of the caller's
	Body       []byte  `cbor:"4,keyasint"`
}

// content is a whole store, as a copy has it.
type content struct {
	Owner   string           `cbor:"1,keyasint"` // the router it belongs to
	Number  uint64           `cbor:"2,keyasint"` // of the copy: the largest is the newest
	Entries map[string]Entry `cbor:"3,keyasint"`
}

// sizeWith returns the bytes of the store once it has an entry of this kind.
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
	text := binary.BigEndian.AppendUint16([]byte(magic), formatVersion)
	text = binary.BigEndian.AppendUint64(text, crc64.Checksum(body, checksumTable))
	text = binary.BigEndian.AppendUint32(text, uint32(len(body)))
	return append(text, body...), nil
}

// decode reads the bytes of a copy. The error is ErrForeign, a VersionError, a DamagedError or an OwnerError.
func decode(text []byte, owner string) (content, error) {
	if len(text) < headerSize || string(text[:len(magic)]) != magic {
		return content{}, ErrForeign
	}
	version := binary.BigEndian.Uint16(text[versionOffset:])
	if version > formatVersion {
		return content{}, &VersionError{Version: version, Newest: formatVersion}
	}
	checksum := binary.BigEndian.Uint64(text[checksumOffset:])
	length := binary.BigEndian.Uint32(text[lengthOffset:])
	body := text[headerSize:]
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
	return &DamagedError{Reason: fmt.Errorf("over %d bytes", maxCopySize)}
}
