package quota

import (
	"encoding/binary"
	"hash/crc32"
	"iter"
)

// A demand message consists of messageTag, the router's index (2 bytes), the number of entries (1 byte), and the
// entries: the hash of a team's name (4 bytes) and its packed demand (2 bytes). Numbers are little-endian. A zero byte
// is appended if the length would be a multiple of 3, because the balancer's messages have such lengths.
const (
	messageTag         = 0xc7
	messageHeaderBytes = 4   // bytes
	entryBytes         = 6   // hash of the team's name, demand
	maxMessageBytes    = 256 // by the platform
	maxEntries         = (maxMessageBytes - messageHeaderBytes - 1) / entryBytes
	observationBytes   = 3 // of an entry in the balancer's messages
)

// teamHash identifies a team in messages.
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

// padDemandMessage completes a message: it appends a zero byte if the length is a multiple of 3.
func padDemandMessage(message []byte) []byte {
	if len(message)%observationBytes == 0 {
		message = append(message, 0)
	}
	return message
}

func isDemandMessage(datagram []byte) bool {
	return len(datagram) >= messageHeaderBytes && datagram[0] == messageTag && len(datagram)%observationBytes != 0
}

// demandMessage is a received demand message. Its entries alias the datagram.
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

// complete reports whether the message has as many entries as its header states, with at most one padding byte.
func (m demandMessage) complete() bool {
	surplus := len(m.entries) - m.count*entryBytes
	return surplus == 0 || surplus == 1
}

// demands decodes the entries: a team, and its demand in seconds of load per second.
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
