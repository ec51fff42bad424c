package gossip

import (
	"encoding/binary"
	"hash/crc32"
	"iter"
	"math"
)

// Gossip datagrams are distinguished from all other datagrams between routers by their length and first byte: the
// messages of the balancer and of zone failover have a length that is a multiple of three, and no other message begins
// with messageTag. Builds without this package would misread gossip messages as observations. Messages are therefore
// sent only to routers that have sent a probe or an acknowledgement, which are one byte long and too short for an
// observation.
//
//	probe            probeByte
//	acknowledgement  probeAckByte
//	message          messageTag, kind, body, checksum (CRC-32, its lower 2 bytes)
//
// All numbers are little-endian.
const (
	messageTag   = 0x67
	probeByte    = 0x68 // the sender supports the protocol and asks whether the receiver does
	probeAckByte = 0x69 // the sender supports the protocol

	kindObservations = 1 // to an owner: observations
	kindGroupSums    = 2 // from owner to owner: group sums
	kindSummaries    = 3 // within a group: summaries
	kindPull         = 4 // within a group: servers whose summaries are missing

	messageHeaderBytes = 2
	checksumBytes      = 2
	minMessageBytes    = messageHeaderBytes + checksumBytes

	observationBytes = 3 // server, relative time
	pullEntryBytes   = 3 // server, an unused byte
	summaryBytes     = 9 // server, flags, incarnation, version, age, load, mean
	maxSummaries     = (maxDatagramBytes - minMessageBytes) / summaryBytes

	refusalByte = 255 // a refusal instead of a relative time; the same in the balancer
)

// Units, bounds and flags of the fields of a summary.
const (
	rankMask      = 15
	refusingFlag  = 16
	answeringFlag = 32
	urgentFlag    = 64

	ageUnit  = 0.05 // seconds, rounded up
	maxAge   = math.MaxUint8
	loadUnit = 16 // encoded value of a relative time of 1
	maxLoad  = math.MaxUint16
	maxMean  = refusalByte - 1

	maxRelativeTime = 8 // of one observation
)

// datagramType classifies a received datagram.
type datagramType int

const (
	foreignDatagram datagramType = iota // not of this package
	probeDatagram
	probeAckDatagram
	messageDatagram
)

func datagramTypeOf(datagram []byte) datagramType {
	if len(datagram) == 1 {
		switch datagram[0] {
		case probeByte:
			return probeDatagram
		case probeAckByte:
			return probeAckDatagram
		}
	}
	if len(datagram)%observationBytes == 0 || len(datagram) < minMessageBytes || datagram[0] != messageTag {
		return foreignDatagram
	}
	return messageDatagram
}

// receivedMessage is a message with a valid checksum.
type receivedMessage struct {
	kind byte
	body []byte
}

// parseMessage decodes the header of a message. intact is false if the checksum is wrong. The body aliases the
// datagram.
func parseMessage(datagram []byte) (received receivedMessage, intact bool) {
	end := len(datagram) - checksumBytes
	checksum := binary.LittleEndian.Uint16(datagram[end:])
	if checksum != checksumOf(datagram[:end]) {
		return receivedMessage{}, false
	}
	return receivedMessage{kind: datagram[1], body: datagram[messageHeaderBytes:end]}, true
}

// newMessage returns the header of a message.
func newMessage(kind byte) []byte { return []byte{messageTag, kind} }

// appendChecksum completes a message with its checksum.
func appendChecksum(message []byte) []byte {
	return binary.LittleEndian.AppendUint16(message, checksumOf(message))
}

func checksumOf(message []byte) uint16 { return uint16(crc32.ChecksumIEEE(message)) }

// observation is one measurement of a server by a router: the duration of an attempt divided by the mean of its traffic
// class and multiplied by timeUnit, or a refusal.
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

// observations decodes the body of a message of kindObservations.
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

// pulledServers decodes the body of a message of kindPull.
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

// summaries decodes the body of a message of kindGroupSums or kindSummaries.
func (m receivedMessage) summaries(now float64) iter.Seq2[uint16, summary] {
	return func(yield func(uint16, summary) bool) {
		for body := m.body; len(body) >= summaryBytes; body = body[summaryBytes:] {
			if !yield(parseSummary(body, now)) {
				return
			}
		}
	}
}

// summariesDatagramBytes returns the size of a datagram with the given number of summaries, including UDP and IP
// headers.
func summariesDatagramBytes(summaries int) int {
	return summaries*summaryBytes + minMessageBytes + datagramOverhead
}

// appendSummary appends a summary or group sum to a message. It encodes the age instead of the time, because the clocks
// of routers differ.
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

// parseSummary decodes a summary or group sum.
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
