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

	"github.com/rs/zerolog"
)

// speaks is a list service whose answers are written as they are, in pieces, by the number of the call; an answer that does not say
// where it ends is ended with its connection, and so is one that is cut, by a reset.
func speaks(t *testing.T, answer func(call int) (pieces []string, reset bool)) (addr string) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	calls := make(chan int)
	done := make(chan bool)
	t.Cleanup(func() { close(done) })
	go func() {
		for n := 0; ; n++ {
			select {
			case calls <- n:
			case <-done:
				return
			}
		}
	}()
	go func() {
		for conn, err := ln.Accept(); err == nil; conn, err = ln.Accept() {
			go func() {
				defer conn.Close()
				for in := bufio.NewReader(conn); ; {
					if _, err := http.ReadRequest(in); err != nil {
						return
					}
					n, open := 0, false
					select {
					case n, open = <-calls:
					case <-done:
					}
					if !open {
						return
					}
					pieces, reset := answer(n)
					for i, p := range pieces {
						if i > 0 {
							time.Sleep(100 * time.Microsecond) // so that most pieces come apart; it is read alike if they do not
						}
						conn.Write([]byte(p))
					}
					if all := strings.Join(pieces, ""); reset {
						time.Sleep(10 * time.Millisecond) // so that what is before the reset is read
						conn.(*net.TCPConn).SetLinger(0)
						return
					} else if !strings.Contains(all, "Length") && !strings.Contains(all, "chunked") {
						return
					}
				}
			}()
		}
	}()
	return ln.Addr().String()
}

// layouts word a list as JSON may, forms an answer as HTTP may.
var (
	layouts = map[string]func(text string) string{
		"in a line": func(text string) string { return text },
		"indented": func(text string) string {
			var all any
			json.Unmarshal([]byte(text), &all)
			in, _ := json.MarshalIndent(all, "", "    ")
			return "\r\n" + string(in) + "\r\n"
		},
	}
	forms = map[string]func(body string) string{
		"with a length": func(body string) string {
			return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		},
		"in chunks": func(body string) string {
			half := len(body) / 2
			return fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n%x;x=y\r\n%s\r\n0\r\n\r\n", half, body[:half], len(body)-half, body[half:])
		},
		"without a length": func(body string) string { return "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body },
		"by HTTP/1.0":      func(body string) string { return "HTTP/1.0 200 OK\r\n\r\n" + body },
	}
)

func whole(generation int) string {
	return fmt.Sprintf(`{"generation":%d,"reset":true,"instances":[{"instanceId":"s-1","hostPort":"127.0.0.1:1","lifecycle":"draining","weight":1}]}`, generation)
}

// agent is a list service whose calls are answered only as a test says.
type agent struct {
	t     *testing.T
	calls chan *asked
	news  chan EndpointList
}

type asked struct {
	query  string
	answer chan string
	given  <-chan struct{} // closed once the caller gives up
}

func asking(t *testing.T, start WatchStart) agent {
	a := agent{t: t, calls: make(chan *asked, 100), news: make(chan EndpointList, 100)}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := &asked{r.URL.RawQuery, make(chan string, 1), r.Context().Done()}
		select {
		case a.calls <- c:
		case <-r.Context().Done():
			return
		}
		select {
		case text := <-c.answer:
			if text == "" {
				w.WriteHeader(http.StatusServiceUnavailable)
			}
			fmt.Fprint(w, text)
		case <-r.Context().Done():
		}
	}))
	ctx, stop := context.WithCancel(context.Background())
	go Watch(ctx, server.Listener.Addr().String(), start, func(l EndpointList) error { a.news <- l; return nil }, func(error) {}, zerolog.Nop())
	t.Cleanup(func() { stop(); server.CloseClientConnections(); server.Close() })
	return a
}

func next[T any](t *testing.T, what string, from chan T) (x T) {
	t.Helper()
	select {
	case x = <-from:
	case <-time.After(10 * time.Second):
		t.Fatalf("no %s", what)
	}
	return x
}

func (a agent) out(c *asked) {
	a.t.Helper()
	select {
	case <-c.given:
		a.t.Error("a call was given up that may still be answered")
	default:
	}
}

func list(generation int) string {
	return fmt.Sprintf(`{"generation":%d,"reset":false,"instances":[]}`, generation)
}

// speaking is a list service of whose connections a test has the bytes. Each request is told with its connection's number.
type speaking struct {
	addr  string
	asked chan spoken
}

type spoken struct {
	conn  int
	query string
	net.Conn
}

func speak(t *testing.T) speaking {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := speaking{listener.Addr().String(), make(chan spoken, 100)}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for n := 1; ; n++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { conn.Close() })
			go func() {
				in := bufio.NewReader(conn)
				for {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					s.asked <- spoken{n, r.URL.RawQuery, conn}
				}
			}()
		}
	}()
	return s
}

func (s spoken) say(status, body string, length int) {
	fmt.Fprintf(s, "HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", status, length, body)
}
