package quota

import (
	"encoding/binary"
	"hash/crc32"
	"iter"
)

// A demand message has messageTag, the router's index (2 bytes), the number of entries, and entries of a team's hash
// (4 bytes) and its packed demand (2 bytes). Numbers are little-endian. Its length is never a multiple of 3, as that
// of the balancer's messages is; a byte 0 is added where it would be.
const (
	messageTag         = 0xc7
	messageHeaderBytes = 4   // bytes
	entryBytes         = 6   // hash of the team's name, demand
	maxMessageBytes    = 256 // by the platform
	maxEntries         = (maxMessageBytes - messageHeaderBytes - 1) / entryBytes
	observationBytes   = 3 // of an entry in the balancer's messages
)

// teamHash names a team in messages.
type teamHash uint32

func hashOfTeam(team string) teamHash { return teamHash(crc32.ChecksumIEEE([]byte(team))) }

func newDemandMessage(from, entries int) []byte {
	message := binary.LittleEndian.AppendUint16([]byte{messageTag}, uint16(from))
	return append(message, byte(entries))
}

func appendDemand(message []byte, team string, rate float64) []byte {
	message = binary.LittleEndian.AppendUint32(message, uint32(hashOfTeam(team)))
	return binary.LittleEndian.AppendUint16(message, packDemand(rate))
}

// padDemandMessage ends a message.
func padDemandMessage(message []byte) []byte {
	if len(message)%observationBytes == 0 {
		message = append(message, 0)
	}
	return message
}

func isDemandMessage(datagram []byte) bool {
	return len(datagram) >= messageHeaderBytes && datagram[0] == messageTag && len(datagram)%observationBytes != 0
}

// demandMessage is one that was received. Its entries are part of the datagram.
type demandMessage struct {
	from    int // index of the router
	count   int
	entries []byte
}

func parseDemandMessage(datagram []byte) demandMessage {
	return demandMessage{
		from:    int(binary.LittleEndian.Uint16(datagram[1:])),
		count:   int(datagram[3]),
		entries: datagram[messageHeaderBytes:],
	}
}

// complete tells whether as many entries follow as the header says, with at most one byte more.
func (m demandMessage) complete() bool {
	surplus := len(m.entries) - m.count*entryBytes
	return surplus == 0 || surplus == 1
}

// demands reads the entries: a team, and its demand in seconds of load a second.
func (m demandMessage) demands() iter.Seq2[teamHash, float64] {
	return func(yield func(teamHash, float64) bool) {
		rest := m.entries
		for range m.count {
			team := teamHash(binary.LittleEndian.Uint32(rest))
			rate := unpackDemand(binary.LittleEndian.Uint16(rest[4:]))
			if !yield(team, rate) {
				return
			}
			rest = rest[entryBytes:]
		}
	}
}
