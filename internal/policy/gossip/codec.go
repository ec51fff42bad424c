package gossip

import (
	"encoding/binary"
	"hash/crc32"
	"iter"
	"math"
)

// Datagrams differ from all else that routers send by their length and first byte: the balancer's messages
// and those of zones have a length that is a multiple of three, and no other message begins with messageTag. Builds
// that do not know this package would take them for observations: so they are sent to those routers alone that have
// sent a probe or an acknowledgement, one byte each, which holds no observation.
//
//	probe            probeByte
//	acknowledgement  probeAckByte
//	message          messageTag, kind, body, checksum (CRC-32, its lower 2 bytes)
//
// All numbers are little-endian.
const (
	messageTag   = 0x67
	probeByte    = 0x68 // this router understands the protocol; does the receiver?
	probeAckByte = 0x69 // this router understands the protocol

	kindObservations = 1 // to an owner: observations
	kindGroupSums    = 2 // from owner to owner: group sums
	kindSummaries    = 3 // within a group: summaries
	kindPull         = 4 // within a group: servers whose summaries are missing

	messageHeaderBytes = 2
	checksumBytes      = 2
	minMessageBytes    = messageHeaderBytes + checksumBytes

	observationBytes = 3 // server, relative time
	pullEntryBytes   = 3 // server, a byte without meaning
	summaryBytes     = 9 // server, flags, incarnation, version, age, load, mean
	maxSummaries     = (maxDatagramBytes - minMessageBytes) / summaryBytes

	refusalByte = 255 // in the place of a relative time; the balancer has the same
)

// Units and bounds of the numbers in a summary.
const (
	rankMask      = 15
	refusingFlag  = 16
	answeringFlag = 32
	urgentFlag    = 64

	ageUnit  = 0.05 // seconds, rounded up
	maxAge   = math.MaxUint8
	loadUnit = 16 // of a relative time of 1
	maxLoad  = math.MaxUint16
	maxMean  = refusalByte - 1

	maxRelativeTime = 8 // of one observation
)

// form is what kind of datagram one is.
type form int

const (
	formForeign form = iota // of no kind of this package
	formProbe
	formProbeAck
	formMessage
)

func formOf(datagram []byte) form {
	if len(datagram) == 1 {
		switch datagram[0] {
		case probeByte:
			return formProbe
		case probeAckByte:
			return formProbeAck
		}
	}
	if len(datagram)%observationBytes == 0 || len(datagram) < minMessageBytes || datagram[0] != messageTag {
		return formForeign
	}
	return formMessage
}

// receivedMessage is one whose checksum is right.
type receivedMessage struct {
	kind byte
	body []byte
}

// parseMessage reads the header of a message; false if its checksum is wrong. The body is part of the datagram.
func parseMessage(datagram []byte) (received receivedMessage, intact bool) {
	end := len(datagram) - checksumBytes
	checksum := binary.LittleEndian.Uint16(datagram[end:])
	if checksum != checksumOf(datagram[:end]) {
		return receivedMessage{}, false
	}
	return receivedMessage{kind: datagram[1], body: datagram[messageHeaderBytes:end]}, true
}

// newMessage begins a message.
func newMessage(kind byte) []byte { return []byte{messageTag, kind} }

// appendChecksum ends a message.
func appendChecksum(message []byte) []byte {
	return binary.LittleEndian.AppendUint16(message, checksumOf(message))
}

func checksumOf(message []byte) uint16 { return uint16(crc32.ChecksumIEEE(message)) }

// observation is what a router saw of a server: the time of an attempt over the mean of its traffic class, times
// timeUnit, or a refusal.
type observation struct {
	server       uint16 // the low 16 bits of its identifier
	relativeTime byte
}

func (o observation) refusal() bool { return o.relativeTime == refusalByte }

func parseObservation(b []byte) observation {
	return observation{server: binary.LittleEndian.Uint16(b), relativeTime: b[2]}
}

func newObservationMessage(o observation) []byte {
	message := binary.LittleEndian.AppendUint16(newMessage(kindObservations), o.server)
	return appendChecksum(append(message, o.relativeTime))
}

// observations reads the body of a message of kindObservations.
func (m receivedMessage) observations() iter.Seq[observation] {
	return func(yield func(observation) bool) {
		for body := m.body; len(body) >= observationBytes; body = body[observationBytes:] {
			if !yield(parseObservation(body)) {
				return
			}
		}
	}
}

func appendPulledServer(message []byte, server uint16) []byte {
	return append(binary.LittleEndian.AppendUint16(message, server), 0)
}

// pulledServers reads the body of a message of kindPull.
func (m receivedMessage) pulledServers() iter.Seq[uint16] {
	return func(yield func(uint16) bool) {
		for body := m.body; len(body) >= pullEntryBytes; body = body[pullEntryBytes:] {
			if !yield(binary.LittleEndian.Uint16(body)) {
				return
			}
		}
	}
}

func newGroupSumMessage(server uint16, sum summary, now float64) []byte {
	return appendChecksum(appendSummary(newMessage(kindGroupSums), server, sum, now))
}

// summaries reads the body of a message of kindGroupSums or kindSummaries.
func (m receivedMessage) summaries(now float64) iter.Seq2[uint16, summary] {
	return func(yield func(uint16, summary) bool) {
		for body := m.body; len(body) >= summaryBytes; body = body[summaryBytes:] {
			if !yield(parseSummary(body, now)) {
				return
			}
		}
	}
}

// summariesDatagramBytes is what a datagram with so many summaries costs, with headers.
func summariesDatagramBytes(summaries int) int {
	return summaries*summaryBytes + minMessageBytes + datagramOverhead
}

// appendSummary adds a summary or group sum to a message. It carries the age, not the time: routers have clocks of
// their own.
func appendSummary(message []byte, server uint16, s summary, now float64) []byte {
	flags := s.rank & rankMask
	if s.refusing {
		flags |= refusingFlag
	}
	if s.answering {
		flags |= answeringFlag
	}
	if s.urgent {
		flags |= urgentFlag
	}
	age := byte(min(maxAge, max(0, math.Ceil((now-s.originatedAt)/ageUnit))))
	load := uint16(min(maxLoad, math.Round(max(0, s.load)*loadUnit)))
	mean := byte(min(maxMean, math.Round(max(0, s.mean)*timeUnit)))
	message = binary.LittleEndian.AppendUint16(message, server)
	message = append(message, flags, s.incarnation, s.version, age)
	message = binary.LittleEndian.AppendUint16(message, load)
	return append(message, mean)
}

// parseSummary reads a summary or group sum.
func parseSummary(b []byte, now float64) (server uint16, s summary) {
	flags := b[2]
	return binary.LittleEndian.Uint16(b), summary{
		rank:         flags & rankMask,
		refusing:     flags&refusingFlag != 0,
		answering:    flags&answeringFlag != 0,
		urgent:       flags&urgentFlag != 0,
		incarnation:  b[3],
		version:      b[4],
		originatedAt: now - float64(b[5])*ageUnit,
		load:         float64(binary.LittleEndian.Uint16(b[6:])) / loadUnit,
		mean:         float64(b[8]) / timeUnit,
	}
}
