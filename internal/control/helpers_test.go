package control

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// routed is a router that notes its calls.
type routed struct {
	ready bool
	err   error // of all calls that act
}

func (r *routed) Disable(id string) error { return r.about(id) }
func (r *routed) Enable(id string) error  { return r.about(id) }
func (r *routed) Drain() error            { return r.err }
func (r *routed) Undrain() error          { return r.err }

func (r *routed) Ready() bool     { return r.ready }
func (r *routed) Figures() []byte { return []byte("gw.current=1\n") }

func (r *routed) about(id string) error {
	if id != "s-1" {
		return ErrUnknown
	}
	return r.err
}

func door(t *testing.T, addr string, places int, r Router) {
	d := Open(addr, places, r, zerolog.Nop())
	t.Cleanup(d.Close)
}

// opened gives the address of a door.
func opened(t *testing.T, places int, r Router) string {
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	free.Close()
	door(t, free.Addr().String(), places, r)
	return free.Addr().String()
}

// ask makes a call and gives its status and the first line of the answer.
func ask(t *testing.T, addr, call, body string) string {
	method, path, _ := strings.Cut(call, " ")
	q, _ := http.NewRequest(method, "http://"+addr+path, strings.NewReader(body))
	client := http.Client{Timeout: 4 * time.Second}
	answer, err := client.Do(q)
	if err != nil {
		t.Fatal(err)
	}
	defer answer.Body.Close()
	text, _ := io.ReadAll(answer.Body)
	return fmt.Sprintf("%s %s", answer.Status, strings.TrimSpace(string(text)))
}
