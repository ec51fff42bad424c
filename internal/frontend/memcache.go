package frontend

import (
	"cmp"
	"math"
	"strconv"
	"strings"

	"bendtrestle/internal/meta"
	"bendtrestle/internal/requestcore"
	"bendtrestle/internal/ringbuffer"
)

// Memcache is the platform's protocol: the meta commands of the memcache text protocol.
func Memcache(c *ClientConn) Codec { return &memcache{c: c} }

type memcache struct {
	c      *ClientConn
	reader meta.CommandReader
}

func (m *memcache) Read(in *ringbuffer.Buffer) (bool, error) { return m.reader.Read(in, m) }
func (m *memcache) InCommand() bool                          { return m.reader.Begun() }
func (m *memcache) ProtocolError(err error) []byte {
	return []byte("CLIENT_ERROR " + err.Error() + "\r\n")
}
func (m *memcache) CommandTimeout() []byte {
	return []byte("CLIENT_ERROR the command does not go on\r\n")
}

// Get takes a read.
func (m *memcache) Get(key, id, flags, figures string) {
	m.take(&requestcore.Request{Key: key, ID: id, Flags: flags, Figures: figures})
}

// Set takes a write.
func (m *memcache) Set(key, id, flags, figures string, value []byte) {
	m.take(&requestcore.Request{Key: key, ID: id, Flags: flags, Figures: figures, Write: true, Value: value})
	m.c.ReleaseLongWrite()
}

// Noop tells whether the router serves.
func (m *memcache) Noop() {
	if not := m.c.NotServingReason(); not != "" {
		m.c.Answer([]byte("SERVER_ERROR " + not + "\r\n"))
	} else {
		m.c.Answer([]byte("MN\r\n"))
	}
}

// Reserve sets memory apart for a long write.
func (m *memcache) Reserve(length int) bool { return m.c.ReserveLongWrite(length) }

// Refused takes the end of a long write for which there was no memory.
func (m *memcache) Refused() {
	m.c.Answer(meta.AppendBusy(nil, 0))
	m.c.ReleaseLongWrite()
}

// Bad takes a command that cannot be used.
func (m *memcache) Bad(text string) {
	m.c.AnswerBadCommand([]byte(text + "\r\n"))
	m.c.ReleaseLongWrite()
}

func (m *memcache) take(op *requestcore.Request) {
	op.Class, _ = meta.Figure(op.Figures, "c")
	op.Tenant, _ = meta.Figure(op.Figures, "tenant")
	route, most, known := m.c.Route(op.Tenant, op.Key), 0.0, false
	if route != nil {
		most, known = route.MaxDeadline(op.Class)
	}
	left, fault := stated(op.Figures)
	switch {
	case route == nil:
		fault = "CLIENT_ERROR no contract holds for this traffic"
	case !known: // no cache server could use it either
		fault = "CLIENT_ERROR the type c is unknown"
	}
	if op.TimeLeft = left; fault != "" {
		m.Bad(fault)
	} else if !m.c.Submit(route, op, most) {
		m.Bad("CLIENT_ERROR the id O is another operation's")
	}
}

// stated reads how long a client will wait, in seconds; 0 if it does not say. One that has less than a millisecond left, in
// the last of its tries, says 0 by the wire's unit: that is a time, and over.
func stated(figures string) (left float64, fault string) {
	text, there := meta.Figure(figures, "d")
	if !there {
		return 0, ""
	}
	ms, err := strconv.ParseFloat(text, 64)
	if err != nil || strings.Trim(text, "0123456789.") != "" {
		return 0, "CLIENT_ERROR d is not a number of 0 or more"
	}
	return cmp.Or(ms/1e3, expired), ""
}

// Succeeded passes on a value or a receipt.
func (m *memcache) Succeeded(op *requestcore.Request, with requestcore.Result) [][]byte {
	if op.Write {
		return [][]byte{meta.AppendStored(nil, op.ID, with.Receipt)}
	}
	if with.Body != nil { // its bytes and its end follow
		return [][]byte{meta.AppendValue(nil, op.ID, with.Body.Length()), []byte("\r\n")}
	}
	return [][]byte{meta.AppendValue(nil, op.ID, len(with.Value)), with.Value, []byte("\r\n")}
}

// Rejected tells when to come back.
func (m *memcache) Rejected(_ *requestcore.Request, after float64) []byte {
	return meta.AppendBusy(nil, int(math.Ceil(after*1e3)))
}

// Failed promises nothing.
func (m *memcache) Failed(*requestcore.Request) []byte {
	return []byte("SERVER_ERROR failed\r\n")
}
