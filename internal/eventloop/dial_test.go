package eventloop

import (
	"net/netip"
	"testing"

	"bendtrestle/internal/testaddress"
)

// Opened is called for a dialled connection; then it can be written to, and Input is called for the response.
func TestDial(t *testing.T) {
	l := startLoop(t)
	addr, _ := serve(t, l, echo)
	events := make(chan string, 10)
	handler := &recordingHandler{events: events, input: func(c *Conn) { events <- "input" }}
	l.Post(func() {
		var err error
		handler.conn, err = l.Dial(netip.MustParseAddrPort(addr), handler)
		if err != nil {
			events <- err.Error()
		}
	})
	await(t, events, "opened")
	l.Post(func() {
		handler.conn.Write([]byte("hello"))
		if handler.conn.Sent() != 5 {
			t.Errorf("Sent: got %d bytes, want 5", handler.conn.Sent())
		}
	})
	await(t, events, "input")
}

// A refused connection is reported by Closed or by Dial's error, and Dial does not wait for it.
func TestRefusedDialIsReported(t *testing.T) {
	l := startLoop(t)
	addr := netip.MustParseAddrPort(testaddress.New())
	events := make(chan string, 10)
	l.Post(func() {
		if _, err := l.Dial(addr, &recordingHandler{events: events}); err != nil {
			events <- "closed"
		}
	})
	await(t, events, "closed")
}
