// Package simadapter speaks the simulator's JSON lines: each event goes straight into a call of the decision
// module, and each call that the module makes on its host becomes a line of the reply.
package simadapter

import (
	"bufio"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"strconv"

	"bendtrestle/balancer"
	"bendtrestle/internal/settings"

	"github.com/valyala/fastjson"
)

var outcomes = map[string]balancer.Outcome{
	"served": balancer.Succeeded, "server_error": balancer.ServerError, "turned_away": balancer.Overloaded,
	"no_answer": balancer.TimedOut, "no_connection": balancer.ConnectFailed, "connection_lost": balancer.ConnectionLost,
	"called_off": balancer.Cancelled, "not_sent": balancer.NotAttempted, "not_stored": balancer.CacheMiss,
}

var modes = map[string]balancer.EndpointState{"in_service": balancer.Ready, "terminating": balancer.Draining}

var kinds = map[string]balancer.EndpointUpdate{
	"diff": balancer.UpdateDelta, "snapshot": balancer.UpdateFull, "disk": balancer.UpdateSaved, "error": balancer.UpdateFailed,
}

// session is one conversation: the instances it hosts share nothing but the sheets, which no one changes.
type session struct {
	out       *bufio.Writer
	buf       []byte
	instances map[uint64]*instance
	sheets    map[uint64][]balancer.Endpoint
	now       float64
}

// instance is one router and its host.
type instance struct {
	s      *session
	id     uint64
	router *balancer.Balancer
}

func newSession(out io.Writer) *session {
	return &session{out: bufio.NewWriterSize(out, 1<<16), instances: map[uint64]*instance{},
		sheets: map[uint64][]balancer.Endpoint{}}
}

// Serve answers batches until the input ends. It returns nil when the input ends between two batches.
func Serve(in io.Reader, out io.Writer) error {
	s := newSession(out)
	lines := bufio.NewReaderSize(in, 1<<16)
	var parser fastjson.Parser
	var text []byte
	inBatch, turn := false, uint64(0)
	for {
		var err error
		if text, err = readLine(lines, text[:0]); err != nil {
			if errors.Is(err, io.EOF) && len(text) == 0 && !inBatch {
				return nil
			}
			if errors.Is(err, io.EOF) {
				return errors.New("input ended inside a batch")
			}
			return err
		}
		v, err := parser.ParseBytes(text)
		if err != nil {
			return fmt.Errorf("malformed line: %w", err)
		}
		if v.Type() != fastjson.TypeObject {
			return errors.New("malformed line: not an object")
		}
		name := string(v.GetStringBytes("m"))
		m := settings.New(v, name)
		switch {
		case name == "CLOCK" && !inBatch:
			s.now, turn, inBatch = m.Seconds("clock"), m.ID("turn"), true
		case name == "CLOCK":
			return errors.New("CLOCK: inside a batch")
		case !inBatch:
			return fmt.Errorf("%s: outside a batch", name)
		case name == "YOUR_TURN":
			s.line("OK").uint("turn", turn).end()
			inBatch = false
			if err := s.out.Flush(); err != nil {
				return err
			}
		default:
			s.event(name, m)
		}
		if m.Err() != nil {
			return m.Err()
		}
	}
}

func readLine(in *bufio.Reader, line []byte) ([]byte, error) {
	for {
		part, err := in.ReadSlice('\n')
		line = append(line, part...)
		if err == nil || !errors.Is(err, bufio.ErrBufferFull) {
			return line, err
		}
	}
}

func members(m *settings.Object) []balancer.Endpoint {
	var all []balancer.Endpoint
	for _, e := range m.List("members") {
		all = append(all, balancer.Endpoint{ID: e.ID("server"), State: modes[e.Text("mode")],
			Capacity: e.Number("capacityHint"), Zone: e.Name0("rackZone"), Cell: e.Count("pack"),
			MachineType: e.Name0("model"), StartedAt: e.Seconds("lastStart")})
	}
	return all
}

// event hands one event to the instance it names.
func (s *session) event(name string, m *settings.Object) {
	if name == "SHEET" {
		s.sheets[m.ID("table")] = members(m)
		return
	}
	if m.Absent("router") && !known[name] {
		return
	}
	id := m.ID("router")
	if name == "KILL" {
		delete(s.instances, id)
		return
	}
	if name == "ENLIST" {
		seed, set := uint32(m.ID("seed")), m.Sub("setup").Settings()
		if m.Err() == nil {
			i := &instance{s: s, id: id}
			s.instances[id] = i
			set.Seed = seed
			i.guard(func() { i.router = balancer.New(s.now, set, i) })
		}
		return
	}
	if i := s.instances[id]; i != nil && i.router != nil {
		i.guard(func() { i.take(name, m) })
	}
}

// known are the events that must name a router.
var known = map[string]bool{"ENLIST": true, "KILL": true, "DIRECTORY_UPDATE": true, "ACCEPT": true,
	"HEAD_RECEIVED": true, "SETTLED": true, "GONE": true, "WAKE": true, "PROBE_RESULT": true, "MESSAGE": true}

// guard turns a panic of the module into a report for its instance.
func (i *instance) guard(call func()) {
	defer func() {
		if p := recover(); p != nil {
			i.s.line("FATAL").uint("router", i.id).text("what", fmt.Sprint(p)).end()
		}
	}()
	call()
}

func (i *instance) take(name string, m *settings.Object) {
	now := i.s.now
	switch name {
	case "DIRECTORY_UPDATE":
		form := m.Text("form")
		kind, ok := kinds[form]
		if !ok {
			m.Fault("form", fmt.Sprintf("unknown %q", form))
		}
		members := i.s.sheets[m.Count("table")]
		if m.Err() == nil {
			i.router.OnEndpoints(now, kind, members)
		}
	case "ACCEPT":
		id, band, left := m.ID("txn"), m.Text("band"), m.Seconds("remaining")
		realm, key := m.Name0("realm"), m.Text("key")
		if m.Err() == nil {
			i.router.OnRequest(now, id, band, realm, key, left)
		}
	case "HEAD_RECEIVED":
		id, n := m.ID("txn"), int(m.Count("n"))
		if m.Err() == nil {
			i.router.OnStreamStart(now, id, n)
		}
	case "SETTLED":
		id, n, reason, lag := m.ID("txn"), int(m.Count("n")), outcomes[m.Text("reason")], m.Seconds("lag")
		final := m.Flag("final")
		if m.Err() == nil {
			i.router.OnAttemptEnd(now, id, n, reason, lag, final)
		}
	case "GONE":
		if id := m.ID("txn"); m.Err() == nil {
			i.router.OnClientGone(now, id)
		}
	case "WAKE":
		if timer := m.Text("name"); m.Err() == nil {
			i.router.OnTimer(now, timer)
		}
	case "MESSAGE":
		words, err := base64.StdEncoding.DecodeString(m.Text("body"))
		if err != nil {
			m.Fault("body", "not base64")
		}
		if m.Err() == nil {
			i.router.OnGossip(now, words)
		}
	case "PROBE_RESULT":
		id, reason := m.ID("server"), outcomes[m.Text("reason")]
		if m.Err() == nil {
			i.router.OnProbeResult(now, id, reason)
		}
	}
}

// The host's side: each call is a line of the reply.

func (i *instance) StartAttempt(operation, server uint64, limit, _ float64) {
	i.s.line("CALL_OUT").uint("router", i.id).uint("txn", operation).uint("server", server).
		time("limit", limit).end()
}

func (i *instance) CancelAttempt(operation uint64, n int) {
	i.s.line("WITHDRAW").uint("router", i.id).uint("txn", operation).uint("n", uint64(n)).end()
}

func (i *instance) Reject(operation uint64, retryAfter float64, _ balancer.RejectReason) {
	i.s.line("BOUNCE").uint("router", i.id).uint("txn", operation).time("pause", retryAfter).end()
}

func (i *instance) Fail(operation uint64) {
	i.s.line("RESPOND_ERROR").uint("router", i.id).uint("txn", operation).end()
}

func (i *instance) Gossip(words []byte) {
	i.s.line("SIGNAL").uint("router", i.id).text("addressee", "all").
		text("body", base64.StdEncoding.EncodeToString(words)).end()
}

func (i *instance) Probe(server uint64) {
	i.s.line("SAMPLE").uint("router", i.id).uint("server", server).end()
}

func (i *instance) SetTimer(delay float64, name string) {
	i.s.line("SET_TIMER").uint("router", i.id).time("delay", delay).text("name", name).end()
}

func (i *instance) WatchEndpoints(on bool) {
	i.s.line("WATCH").uint("router", i.id).flag("want", on).end()
}

// line starts a line of the reply; the methods below add fields to it.
func (s *session) line(name string) *session {
	s.buf = append(append(append(s.buf[:0], `{"m":"`...), name...), '"')
	return s
}

func (s *session) field(name string) {
	s.buf = append(append(append(s.buf, `,"`...), name...), `":`...)
}

func (s *session) uint(name string, x uint64) *session {
	s.field(name)
	s.buf = strconv.AppendUint(s.buf, x, 10)
	return s
}

func (s *session) time(name string, x float64) *session {
	s.field(name)
	s.buf = strconv.AppendInt(s.buf, int64(math.Round(x*1e9)), 10)
	return s
}

func (s *session) flag(name string, x bool) *session {
	s.field(name)
	s.buf = strconv.AppendBool(s.buf, x)
	return s
}

func (s *session) text(name, x string) *session {
	s.field(name)
	quoted, _ := json.Marshal(x) // a string always marshals
	s.buf = append(s.buf, quoted...)
	return s
}

func (s *session) end() {
	s.out.Write(append(s.buf, '}', '\n')) // an error stays with the writer until Flush
}
