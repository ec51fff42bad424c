package frontend

import (
	"cmp"
	"errors"
	"math"
	"strconv"
	"strings"

	"bendtrestle/internal/meta"
	"bendtrestle/internal/requestcore"
	"bendtrestle/internal/ringbuffer"
)

// The answers to invalid commands.
const (
	answerNoQuota      = "CLIENT_ERROR no contract holds for this traffic"
	answerUnknownClass = "CLIENT_ERROR the type c is unknown"
	answerBadTimeLeft  = "CLIENT_ERROR d is not a number of 0 or more"
	answerRepeatedID   = "CLIENT_ERROR the id O is another operation's"
)

// The names of the parameters of a command (see meta.CommandHandler) that the router reads.
const (
	classParameter    = "c"
	tenantParameter   = "tenant"
	timeLeftParameter = "d" // milliseconds
)

var errBadTimeLeft = errors.New("not a number of 0 or more")

// Memcache returns a codec of the platform's protocol: the meta commands of the memcache text protocol.
func Memcache(c *ClientConn) Codec { return &memcache{conn: c} }

// memcache is a Codec, and its reader's meta.CommandHandler.
type memcache struct {
	conn   *ClientConn
	reader meta.CommandReader
}

func (m *memcache) Read(in *ringbuffer.Buffer) (bool, error) { return m.reader.Read(in, m) }

func (m *memcache) InCommand() bool { return m.reader.Begun() }

// Get submits a read.
func (m *memcache) Get(key, id, flags, parameters string) {
	m.submit(&requestcore.Request{Key: key, ID: id, Flags: flags, Parameters: parameters})
}

// Set submits a write.
func (m *memcache) Set(key, id, flags, parameters string, value []byte) {
	m.submit(&requestcore.Request{Key: key, ID: id, Flags: flags, Parameters: parameters, Write: true, Value: value})
	m.conn.ReleaseWrite()
}

// Noop answers a health check.
func (m *memcache) Noop() {
	reason := m.conn.NotServingReason()
	if reason != "" {
		m.conn.Answer([]byte("SERVER_ERROR " + reason + "\r\n"))
		return
	}
	m.conn.Answer([]byte("MN\r\n"))
}

// Reserve reserves memory for a write's value.
func (m *memcache) Reserve(length int) bool {
	return m.conn.ReserveWrite(length, length > meta.MaxBufferedValueBytes)
}

// ValueSkipped rejects a write for which there was no memory, after its value has been skipped.
func (m *memcache) ValueSkipped() {
	m.conn.Answer(meta.AppendBusy(nil, 0))
	m.conn.ReleaseWrite()
}

// BadCommand answers an invalid command.
func (m *memcache) BadCommand(text string) {
	m.conn.AnswerBadCommand([]byte(text + "\r\n"))
	m.conn.ReleaseWrite()
}

func (m *memcache) submit(request *requestcore.Request) {
	request.Class, _ = meta.Parameter(request.Parameters, classParameter)
	request.Tenant, _ = meta.Parameter(request.Parameters, tenantParameter)
	route := m.conn.Route(request.Tenant, request.Key)
	if route == nil {
		m.BadCommand(answerNoQuota)
		return
	}
	maxDeadline, known := route.MaxDeadline(request.Class)
	if !known { // no cache server accepts it, either
		m.BadCommand(answerUnknownClass)
		return
	}
	timeLeft, err := parseTimeLeft(request.Parameters)
	if err != nil {
		m.BadCommand(answerBadTimeLeft)
		return
	}
	request.TimeLeft = timeLeft
	if !m.conn.Submit(route, request, maxDeadline) {
		m.BadCommand(answerRepeatedID)
	}
}

// parseTimeLeft returns how long a client waits, in seconds, or 0 if it states no time. A client with less than a
// millisecond left, in its last attempt, states 0, because the protocol's unit is milliseconds: its time has expired.
func parseTimeLeft(parameters string) (seconds float64, err error) {
	text, stated := meta.Parameter(parameters, timeLeftParameter)
	if !stated {
		return 0, nil
	}
	milliseconds, err := strconv.ParseFloat(text, 64)
	if err != nil || strings.Trim(text, "0123456789.") != "" {
		return 0, errBadTimeLeft
	}
	return cmp.Or(milliseconds/1e3, expired), nil
}

// ProtocolError returns the answer to a stream that cannot be read any further.
func (m *memcache) ProtocolError(err error) []byte {
	return []byte("CLIENT_ERROR " + err.Error() + "\r\n")
}

// CommandTimeout returns the answer to a command that did not become complete in time.
func (m *memcache) CommandTimeout() []byte {
	return []byte("CLIENT_ERROR the command does not go on\r\n")
}

// Succeeded returns the answer with a value, or with a write's receipt.
func (m *memcache) Succeeded(request *requestcore.Request, result requestcore.Result) [][]byte {
	if request.Write {
		return [][]byte{meta.AppendStored(nil, request.ID, result.Receipt)}
	}
	if result.Body != nil { // the body's bytes are written between the two parts
		return [][]byte{meta.AppendValue(nil, request.ID, result.Body.Length()), []byte("\r\n")}
	}
	return [][]byte{meta.AppendValue(nil, request.ID, len(result.Value)), result.Value, []byte("\r\n")}
}

// Rejected returns the answer to a rejected request, with the time until a retry in milliseconds.
func (m *memcache) Rejected(_ *requestcore.Request, retryAfter float64) []byte {
	return meta.AppendBusy(nil, int(math.Ceil(retryAfter*1e3)))
}

// Failed returns the answer to a request whose outcome is unknown.
func (m *memcache) Failed(*requestcore.Request) []byte {
	return []byte("SERVER_ERROR failed\r\n")
}
