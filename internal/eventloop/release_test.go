package eventloop

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// At the limit of descriptors nothing is dialled or accepted. A closed connection counts until its descriptor is
// released; after that, dialling and accepting work again.
func TestDescriptorLimit(t *testing.T) {
	l := startLoop(t)
	addr, _ := serve(t, l, echo)
	other, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	to := netip.MustParseAddrPort(other.Addr().String())
	handler := &recordingHandler{events: make(chan string, 10)}
	done := make(chan error)
	var dialled *Conn
	dial := func(before func()) error {
		l.Post(func() {
			before()
			next, err := l.Dial(to, handler)
			if err == nil {
				dialled = next
			}
			done <- err
		})
		return <-done
	}
	if err := dial(func() { l.SetDescriptorLimit(1) }); err != nil {
		t.Fatal(err)
	}
	await(t, handler.events, "opened")
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.Write([]byte("x"))
	for range 5 { // the listener sees the waiting connection meanwhile and pauses accepting
		if err := dial(func() { time.Sleep(5 * time.Millisecond) }); err != unix.EMFILE || l.descriptors.open != 1 {
			t.Errorf("at the limit: got dial error %v and %d descriptors, want EMFILE and 1", err, l.descriptors.open)
		}
	}
	if err := dial(func() { dialled.Close() }); err != unix.EMFILE {
		t.Errorf("in the round of a close: got dial error %v, want EMFILE", err)
	}
	conn.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := conn.Read(make([]byte, 1)); err != nil { // the waiting connection is accepted now
		t.Errorf("below the limit the connection is not accepted: %v", err)
	}
	if err := dial(func() { l.SetDescriptorLimit(2) }); err != nil {
		t.Errorf("below the limit: got dial error %v, want none", err)
	}
}
