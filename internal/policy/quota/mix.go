package quota

import (
	"encoding/binary"
	"hash/crc32"
)

// mix hashes a number. crc32 alone is affine, so its bits are stirred.
func mix(seed uint32, x uint64) uint32 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], x)
	h := crc32.Update(seed, crc32.IEEETable, b[:]) ^ seed
	h = (h ^ h>>16) * 0x85ebca6b
	h = (h ^ h>>13) * 0xc2b2ae35
	return h ^ h>>16
}
