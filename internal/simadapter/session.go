package simadapter

import (
	"bufio"
	"errors"
	"fmt"
	"io"

	"bendtrestle/balancer"
	"bendtrestle/internal/settings"

	"github.com/valyala/fastjson"
)

const bufferSize = 1 << 16 // bytes, of the input buffer and of the reply buffer

// Errors in lines and in their order. Errors in fields come from package settings.
var (
	errInputEnded   = errors.New("input ended inside a batch")
	errNotAnObject  = errors.New("malformed line: not an object")
	errNestedBatch  = errors.New("CLOCK: inside a batch")
	errOutsideBatch = errors.New("outside a batch")
)

// session is one run of Serve. Its routers share only the endpoint lists, which are immutable.
type session struct {
	reply         replyWriter
	routers       map[uint64]*router
	endpointLists map[uint64][]balancer.Endpoint

	now         float64 // seconds, of the current batch
	batchNumber uint64  // number of the current batch
	inBatch     bool
}

func newSession(out io.Writer) *session {
	return &session{
		reply:         replyWriter{out: bufio.NewWriterSize(out, bufferSize)},
		routers:       map[uint64]*router{},
		endpointLists: map[uint64][]balancer.Endpoint{},
	}
}

// Serve answers batches until the input ends. It returns nil if the input ends between two batches.
func Serve(in io.Reader, out io.Writer) error {
	s := newSession(out)
	lines := bufio.NewReaderSize(in, bufferSize)
	var parser fastjson.Parser
	var text []byte
	for {
		var err error
		text, err = readLine(lines, text[:0])
		if errors.Is(err, io.EOF) {
			if s.inBatch || len(text) > 0 {
				return errInputEnded
			}
			return nil
		}
		if err != nil {
			return err
		}
		value, err := parser.ParseBytes(text)
		if err != nil {
			return fmt.Errorf("malformed line: %w", err)
		}
		if value.Type() != fastjson.TypeObject {
			return errNotAnObject
		}
		if err := s.handleLine(value); err != nil {
			return err
		}
	}
}

// readLine appends the next line to a buffer, however long it is.
func readLine(in *bufio.Reader, line []byte) ([]byte, error) {
	for {
		part, err := in.ReadSlice('\n')
		line = append(line, part...)
		if err == nil || !errors.Is(err, bufio.ErrBufferFull) {
			return line, err
		}
	}
}

// handleLine handles one line: the begin or end of a batch, or an event in it.
func (s *session) handleLine(value *fastjson.Value) error {
	name := string(value.GetStringBytes("m"))
	fields := settings.New(value, name)
	switch {
	case name == eventBatchStart && s.inBatch:
		return errNestedBatch
	case name == eventBatchStart:
		s.now = fields.Seconds("clock")
		s.batchNumber = fields.ID("turn")
		s.inBatch = true
	case !s.inBatch:
		return fmt.Errorf("%s: %w", name, errOutsideBatch)
	case name == eventBatchEnd:
		s.reply.line(replyBatchDone).uint("turn", s.batchNumber).end()
		s.inBatch = false
		if err := s.reply.out.Flush(); err != nil {
			return err
		}
	default:
		s.handleEvent(name, fields)
	}
	return fields.Err()
}

// handleEvent passes one event to its router.
func (s *session) handleEvent(name string, fields *settings.Object) {
	if name == eventEndpointList {
		s.endpointLists[fields.ID("table")] = readEndpoints(fields)
		return
	}
	if fields.Absent("router") && !requiresRouter[name] {
		return
	}
	id := fields.ID("router")
	switch name {
	case eventRouterKill:
		delete(s.routers, id)
	case eventRouterStart:
		s.startRouter(id, fields)
	default:
		named := s.routers[id]
		if named != nil && named.balancer != nil {
			named.reportPanic(func() { named.handleEvent(name, fields) })
		}
	}
}

// startRouter starts a balancer with the settings of the event.
func (s *session) startRouter(id uint64, fields *settings.Object) {
	seed := uint32(fields.ID("seed"))
	config := fields.RequiredObject("setup").Settings()
	if fields.Err() != nil {
		return
	}
	config.Seed = seed
	started := &router{session: s, id: id}
	s.routers[id] = started
	started.reportPanic(func() { started.balancer = balancer.New(s.now, config, started) })
}

// readEndpoints reads an endpoint list.
func readEndpoints(fields *settings.Object) []balancer.Endpoint {
	var list []balancer.Endpoint
	for _, entry := range fields.List("members") {
		list = append(list, balancer.Endpoint{
			ID:          entry.ID("server"),
			State:       endpointStates[entry.Text("mode")],
			Capacity:    entry.Number("capacityHint"),
			Zone:        entry.NameOrZero("rackZone"),
			Cell:        entry.Count("pack"),
			MachineType: entry.NameOrZero("model"),
			StartedAt:   entry.Seconds("lastStart"),
		})
	}
	return list
}
