package zonefailover

import (
	"encoding/binary"
	"hash/crc32"
	"math"
	"slices"
)

// A message carries one router's reports of up to maxZonesPerMessage zones to the other routers, in at most 256 bytes.
//
// Other kinds of messages use the same socket. Builds that don't support this kind read each three bytes of a datagram
// as the end of a server's id and a time. Therefore only every third byte carries data, and the two bytes before it,
// the marker, equal the end of no server's id.
//
// The data consist of a header, the zones' reports and a checksum, all little-endian:
//
//	header   kind(1) router(2) incarnation(2) sequence(4) flags(1) zones(1) unused(1)
//	report   name hash(3) state(1) share(1) last answer(1) failing since(1) last step(1)
//	checksum the low 16 bits of a CRC-32
const (
	maxMessageBytes    = 256
	bytesPerData       = 3 // bytes of the datagram for a byte of data: the marker and the byte itself
	headerBytes        = 12
	reportBytes        = 8
	checksumBytes      = 2
	maxZonesPerMessage = (maxMessageBytes/bytesPerData - headerBytes - checksumBytes) / reportBytes

	messageKind  = 0x5a
	isolatedFlag = 1
	overrideFlag = 0x80 // in the byte of the state
	stateMask    = 0x7f
	shareSteps   = 128 // encodes a share of 1
	maxStepCount = 15
	stepBits     = 4

	// ageStep is the unit of encoded ages in seconds. maxAge steps are 5 s; greater ages make no difference.
	ageStep  = 0.02
	maxAge   = 254
	neverAge = 255
)

// markers are the possible markers before a byte of data.
var markers = [...][2]byte{{0xc7, 0xff}, {0x5a, 0xfe}, {0xb1, 0xfd}, {0x3e, 0xfc}}

// header holds the fields of a message that describe its sender.
type header struct {
	router      int
	incarnation uint16
	sequence    uint32 // a later message has a larger one, modulo 2^32
	isolated    bool
	zones       int // number of reports that follow
}

// report is one router's report of a zone. Times are by the clock of the router that holds the report.
type report struct {
	hash             uint32 // of the zone's name
	state            State
	operatorOverride bool
	share            float64
	lastAnswer       float64 // 0: never
	failingSince     float64 // 0: the zone doesn't fail
	lastStep         stepCounts
}

func (h header) appendTo(data []byte) []byte {
	var flags byte
	if h.isolated {
		flags = isolatedFlag
	}
	data = append(data, messageKind)
	data = binary.LittleEndian.AppendUint16(data, uint16(h.router))
	data = binary.LittleEndian.AppendUint16(data, h.incarnation)
	data = binary.LittleEndian.AppendUint32(data, h.sequence)
	return append(data, flags, byte(h.zones), 0)
}

// decodeHeader decodes the header of data that unpack has checked.
func decodeHeader(data []byte) header {
	return header{
		router:      int(binary.LittleEndian.Uint16(data[1:])),
		incarnation: binary.LittleEndian.Uint16(data[3:]),
		sequence:    binary.LittleEndian.Uint32(data[5:]),
		isolated:    data[9] == isolatedFlag,
		zones:       int(data[10]),
	}
}

func (r report) appendTo(data []byte, now float64) []byte {
	state := byte(r.state)
	if r.operatorOverride {
		state |= overrideFlag
	}
	step := byte(min(maxStepCount, r.lastStep.answered) | min(maxStepCount, r.lastStep.degraded)<<stepBits)
	return append(data,
		byte(r.hash), byte(r.hash>>8), byte(r.hash>>16),
		state,
		byte(math.Round(r.share*shareSteps)),
		encodeAge(now, r.lastAnswer),
		encodeAge(now, r.failingSince),
		step)
}

// decodeReport decodes a report of reportBytes bytes.
func decodeReport(data []byte, now float64) report {
	return report{
		hash:             uint32(data[0]) | uint32(data[1])<<8 | uint32(data[2])<<16,
		state:            State(data[3] & stateMask),
		operatorOverride: data[3]&overrideFlag != 0,
		share:            min(float64(data[4])/shareSteps, 1),
		lastAnswer:       decodeAge(now, data[5]),
		failingSince:     decodeAge(now, data[6]),
		lastStep:         stepCounts{answered: int(data[7] & maxStepCount), degraded: int(data[7] >> stepBits)},
	}
}

// encodeAge returns the age of a time in steps, or neverAge for the time 0.
func encodeAge(now, at float64) byte {
	if at == 0 {
		return neverAge
	}
	return byte(min(maxAge, max(0, math.Round((now-at)/ageStep))))
}

// decodeAge returns the time that has an encoded age, or 0 for neverAge.
func decodeAge(now float64, age byte) float64 {
	if age == neverAge {
		return 0
	}
	return now - float64(age)*ageStep
}

// pack returns the datagram of data: it appends the checksum and puts the marker before each byte.
func pack(data []byte, marker [2]byte) []byte {
	data = binary.LittleEndian.AppendUint16(data, uint16(crc32.ChecksumIEEE(data)))
	datagram := make([]byte, 0, bytesPerData*len(data))
	for _, b := range data {
		datagram = append(datagram, marker[0], marker[1], b)
	}
	return datagram
}

// unpack returns the data of a datagram without the checksum, or nil if the datagram is of another kind or damaged.
func unpack(datagram []byte) []byte {
	if len(datagram)%bytesPerData != 0 || len(datagram) < bytesPerData*(headerBytes+checksumBytes) {
		return nil
	}
	marker := [2]byte(datagram[:2])
	if !slices.Contains(markers[:], marker) {
		return nil
	}
	data := make([]byte, 0, len(datagram)/bytesPerData)
	for i := 0; i < len(datagram); i += bytesPerData {
		if [2]byte(datagram[i:i+2]) != marker {
			return nil
		}
		data = append(data, datagram[i+2])
	}
	end := len(data) - checksumBytes
	if data[0] != messageKind || binary.LittleEndian.Uint16(data[end:]) != uint16(crc32.ChecksumIEEE(data[:end])) {
		return nil
	}
	if end != headerBytes+decodeHeader(data).zones*reportBytes {
		return nil
	}
	return data[:end]
}
