package service

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// Long values come whole, in order with others, to clients that read slowly or late; there are more of them at once than may be
// held.
func TestLongValues(t *testing.T) {
	s, addr, _ := startServing(t, startScriptedServer(t, serveLongValues))
	t.Cleanup(func() { s.loop.Post(s.end) })
	ends := make(chan error)
	for i := range 20 {
		id := fmt.Sprint("a", i)
		conn, in := dialAndSend(t, addr, id, []string{"fast", "slow"}[i%2])
		fmt.Fprintf(conn, "mg short v Ob%d Pc=t,d=1900\r\n", i)
		go func() {
			time.Sleep(time.Duration(i) * 50 * time.Millisecond) // as long as the others wait in the router
			err := readLongValue(in, id)
			if line, _ := in.ReadString('\n'); err == nil && line != fmt.Sprintf("VA 2 Ob%d\r\n", i) {
				err = fmt.Errorf("behind it comes %q", line)
			}
			ends <- err
		}()
	}
	for range 20 {
		if err := <-ends; err != nil {
			t.Error(err)
		}
	}
	waitUntil(t, "rest", s, func() bool { return s.clients.frontend.Open() == 0 && s.clients.frontend.Passing() == 0 })
}

// Servers that close right behind a long answer, before clients that read it late or slowly: each has the whole of it, and the door counts
// no connection that ended with something owed.
func TestServersThatCloseBehindLongValues(t *testing.T) {
	s, addr, _ := startServing(t, startScriptedServer(t, serveLongValues))
	t.Cleanup(func() { s.loop.Post(s.end) })
	ends := make(chan error)
	for i := range 10 {
		id := fmt.Sprint("c", i)
		conn, in := dialAndSend(t, addr, id, "later")
		in.ReadString('\n')
		in.ReadString('\n')
		conn.(*net.TCPConn).SetReadBuffer(64 << 10) // else the kernel reads for it
		id += "b"
		fmt.Fprintf(conn, "mg last v O%s Pc=t,d=1900\r\n", id)
		go func() {
			time.Sleep(time.Duration(i) * 50 * time.Millisecond)
			ends <- readLongValue(in, id)
		}()
	}
	for range 10 {
		if err := <-ends; err != nil {
			t.Error(err)
		}
	}
	waitUntil(t, "rest", s, func() bool { return s.clients.frontend.Open() == 0 && s.clients.frontend.Passing() == 0 })
	s.loop.Post(func() {
		for line := range strings.Lines(string(s.metrics())) {
			if strings.HasPrefix(line, "gw.cut.") && !strings.HasSuffix(line, "=0\n") {
				t.Errorf("the door shows %s", line)
			}
		}
		ends <- nil
	})
	<-ends
}

// One that breaks off ends its client's connection, so that it can tell; one that never begins leaves another try possible; and a
// client that goes away ends what it asked for.
func TestLongValueBreaksOff(t *testing.T) {
	s, addr, _ := startServing(t, startScriptedServer(t, serveLongValues))
	t.Cleanup(func() { s.loop.Post(s.end) })
	for _, key := range []string{"half", "frame"} {
		_, in := dialAndSend(t, addr, key, key)
		if text, err := io.ReadAll(in); len(text) < longLength/2 || bytes.HasSuffix(text, []byte("\r\n")) {
			t.Errorf("%s: %d bytes, %v", key, len(text), err)
		}
	}
	if got := sendCommand(addr, "mg head v Ohead Pc=t,d=1900"); !strings.HasPrefix(got, "SERVER_ERROR") {
		t.Errorf("with a head alone it answers %q", got)
	}
	conn, in := dialAndSend(t, addr, "left", "silent")
	in.ReadString('\n')
	conn.Close()
	waitUntil(t, "rest", s, func() bool { return s.clients.frontend.Open() == 0 && s.clients.frontend.Passing() == 0 })
	if got := sendCommand(addr, "mg short v Oz Pc=t,d=1900"); got != "VA 2 Oz" {
		t.Errorf("afterwards it answers %q", got)
	}
}

// A long value that is on its way as the router is told to end comes whole, also to a client that reads only once the process is
// gone, as a kill would have it: the kernel has taken all of it.
func TestLongValueAtTheEnd(t *testing.T) {
	s, addr, ended := startServing(t, startScriptedServer(t, serveLongValues))
	_, in := dialAndSend(t, addr, "a", "fast")
	in.Peek(1)
	s.loop.Post(s.beginShutdown)
	select {
	case <-ended:
	case <-time.After(1900 * time.Millisecond): // the longest hard stop and its margin are later still
		t.Error("the router waits for its client")
	}
	if err := readLongValue(in, "a"); err != nil {
		t.Error(err)
	}
}
