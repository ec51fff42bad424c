package eventloop

import (
	"net"
	"net/netip"
	"testing"
)

func TestDial(t *testing.T) {
	l := running(t)
	addr, _ := listening(t, l, echo)
	happy := make(chan string, 10)
	e := &events{happy: happy, input: func(c *Conn) { happy <- "input" }}
	l.Post(func() {
		var err error
		if e.c, err = l.Dial(netip.MustParseAddrPort(addr), e); err != nil {
			happy <- err.Error()
		}
	})
	await(t, happy, "opened")
	l.Post(func() {
		if e.c.Write([]byte("hello")); e.c.Sent() != 5 {
			t.Errorf("%d bytes left of 5", e.c.Sent())
		}
	})
	await(t, happy, "input")
}

// A refused connection is told as closed, and the dial does not wait for it.
func TestRefused(t *testing.T) {
	l := running(t)
	free, _ := net.Listen("tcp", "127.0.0.1:0")
	addr := netip.MustParseAddrPort(free.Addr().String())
	free.Close()
	happy := make(chan string, 10)
	l.Post(func() {
		if _, err := l.Dial(addr, &events{happy: happy}); err != nil {
			happy <- "closed"
		}
	})
	await(t, happy, "closed")
}
