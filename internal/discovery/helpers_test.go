package discovery

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"bendtrestle/internal/policy/pollschedule"

	"github.com/rs/zerolog"
)

// onePoll is a schedule with one poll in flight and short waits.
var onePoll = pollschedule.Schedule{
	LongPollWait:    2,
	AnswerTolerance: 0.5,
	MaxInterval:     10,
	OutdatedRetry:   0.1,
	MaxInFlight:     1,
	Backoff:         pollschedule.Backoff{Initial: 0.1, Max: 0.1},
}

// tolerant returns a copy of a schedule for which no answer in a test is late, however busy the machine is.
func tolerant(schedule pollschedule.Schedule) pollschedule.Schedule {
	schedule.AnswerTolerance = 1e3
	return schedule
}

// watchUntil runs a watch in the background until stop is called or the test ends.
func watchUntil(t *testing.T, addr string, start WatchStart, onList func(EndpointList) error,
	onFailure func(error)) (stop func()) {
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go Watch(ctx, addr, start, onList, onFailure, zerolog.Nop())
	return stop
}

// acceptInto returns an onList callback that accepts all lists and sends them to a channel.
func acceptInto(lists chan EndpointList) func(EndpointList) error {
	return func(list EndpointList) error {
		lists <- list
		return nil
	}
}

func ignoreFailure(error) {}

func receive[T any](t *testing.T, what string, from chan T) (value T) {
	t.Helper()
	select {
	case value = <-from:
	case <-time.After(10 * time.Second):
		t.Fatalf("got no %s within 10 s", what)
	}
	return value
}

// newServer starts a list service with a handler. It and its connections are closed after the watches of the test have
// ended.
func newServer(t *testing.T, handler http.HandlerFunc) (addr string) {
	server := httptest.NewServer(handler)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return server.Listener.Addr().String()
}

// emptyDelta returns the text of a delta without instances.
func emptyDelta(generation int) string {
	return fmt.Sprintf(`{"generation":%d,"reset":false,"instances":[]}`, generation)
}

// emptyFullList returns the text of a full list without instances.
func emptyFullList(generation int) string {
	return fmt.Sprintf(`{"generation":%d,"reset":true,"instances":[]}`, generation)
}

// oneInstanceList returns the text of a full list with one instance.
func oneInstanceList(generation int) string {
	const instance = `{"instanceId":"s-1","hostPort":"127.0.0.1:1","lifecycle":"draining","weight":1}`
	return fmt.Sprintf(`{"generation":%d,"reset":true,"instances":[%s]}`, generation, instance)
}

// manualService is a list service whose polls are answered by the test.
type manualService struct {
	t     *testing.T
	polls chan *manualPoll
	lists chan EndpointList // that the watch has delivered
}

type manualPoll struct {
	query     string
	answer    chan string     // "": the poll is rejected
	abandoned <-chan struct{} // closed when the watch abandons the poll
}

// watchManualService starts a manualService and a watch of it.
func watchManualService(t *testing.T, start WatchStart) manualService {
	service := manualService{t: t, polls: make(chan *manualPoll, 100), lists: make(chan EndpointList, 100)}
	addr := newServer(t, service.serve)
	watchUntil(t, addr, start, acceptInto(service.lists), ignoreFailure)
	return service
}

func (service manualService) serve(w http.ResponseWriter, r *http.Request) {
	poll := &manualPoll{r.URL.RawQuery, make(chan string, 1), r.Context().Done()}
	select {
	case service.polls <- poll:
	case <-r.Context().Done():
		return
	}
	select {
	case text := <-poll.answer:
		if text == "" {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		fmt.Fprint(w, text)
	case <-r.Context().Done():
	}
}

// mustBeInFlight fails the test if a poll was abandoned.
func (service manualService) mustBeInFlight(poll *manualPoll) {
	service.t.Helper()
	select {
	case <-poll.abandoned:
		service.t.Error("a poll was abandoned, want it in flight")
	default:
	}
}

// rawService is a list service on whose connections the test writes raw bytes.
type rawService struct {
	addr  string
	polls chan rawPoll
}

// rawPoll is a poll and its connection. Connections are numbered from 1.
type rawPoll struct {
	conn  int
	query string
	net.Conn
}

func newRawService(t *testing.T) rawService {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	service := rawService{listener.Addr().String(), make(chan rawPoll, 100)}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for number := 1; ; number++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { conn.Close() })
			go service.read(number, conn)
		}
	}()
	return service
}

func (service rawService) read(number int, conn net.Conn) {
	in := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		service.polls <- rawPoll{number, request.URL.RawQuery, conn}
	}
}

// answer writes a response with a Content-Length, which may differ from the length of the body.
func (poll rawPoll) answer(status, body string, length int) {
	fmt.Fprintf(poll, "HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", status, length, body)
}

// fragmentService is a list service that writes the raw bytes of its answers in fragments, by the number of the poll.
// The connection is closed after an answer that has no length and no chunks, and is reset after an answer that is to be
// cut.
type fragmentService struct {
	numbers chan int // of the polls, from 0
	done    chan bool
	answer  func(poll int) (fragments []string, reset bool)
}

func newFragmentService(t *testing.T, answer func(poll int) (fragments []string, reset bool)) (addr string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	service := &fragmentService{make(chan int), make(chan bool), answer}
	t.Cleanup(func() { close(service.done) })
	go service.count()
	go func() {
		for conn, err := listener.Accept(); err == nil; conn, err = listener.Accept() {
			go service.serve(conn)
		}
	}()
	return listener.Addr().String()
}

func (service *fragmentService) count() {
	for number := 0; ; number++ {
		select {
		case service.numbers <- number:
		case <-service.done:
			return
		}
	}
}

func (service *fragmentService) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		if _, err := http.ReadRequest(in); err != nil {
			return
		}
		select {
		case number := <-service.numbers:
			fragments, reset := service.answer(number)
			if !writeFragments(conn, fragments, reset) {
				return
			}
		case <-service.done:
			return
		}
	}
}

// writeFragments writes an answer and reports whether its connection stays open.
func writeFragments(conn net.Conn, fragments []string, reset bool) bool {
	for i, fragment := range fragments {
		if i > 0 {
			time.Sleep(100 * time.Microsecond) // so that most fragments arrive separately; the result is the same if not
		}
		conn.Write([]byte(fragment))
	}
	if reset {
		time.Sleep(10 * time.Millisecond) // so that the bytes before the reset are read
		conn.(*net.TCPConn).SetLinger(0)
		return false
	}
	answer := strings.Join(fragments, "")
	return strings.Contains(answer, "Length") || strings.Contains(answer, "chunked")
}

// jsonLayouts format the JSON of a list.
var jsonLayouts = map[string]func(text string) string{
	"on one line": func(text string) string { return text },
	"indented": func(text string) string {
		var all any
		json.Unmarshal([]byte(text), &all)
		in, _ := json.MarshalIndent(all, "", "    ")
		return "\r\n" + string(in) + "\r\n"
	},
}

// httpFramings return an HTTP response with a body, in each framing that HTTP has.
var httpFramings = map[string]func(body string) string{
	"with a length": func(body string) string {
		const head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s"
		return fmt.Sprintf(head, len(body), body)
	},
	"in chunks": func(body string) string {
		const head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		half := len(body) / 2
		return head + fmt.Sprintf("%x\r\n%s\r\n%x;x=y\r\n%s\r\n0\r\n\r\n", half, body[:half], len(body)-half, body[half:])
	},
	"without a length": func(body string) string { return "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body },
	"as HTTP/1.0":      func(body string) string { return "HTTP/1.0 200 OK\r\n\r\n" + body },
}
