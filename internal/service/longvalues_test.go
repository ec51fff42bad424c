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

// waitNothingOpen waits until no request is open and no long value is under way.
func waitNothingOpen(t *testing.T, s *Service) {
	t.Helper()
	waitUntil(t, "rest", s, func() bool {
		return s.clients.frontend.OpenRequests() == 0 && s.clients.frontend.OpenBodyStreams() == 0
	})
}

// Long values arrive in full, in order with others, at clients that read slowly or late; more of them at once than
// may be held in memory.
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
	waitNothingOpen(t, s)
}

// Servers close right behind a long answer, before clients that read it late or slowly: each has all of it, and the
// metrics count no connection that ended with something owed.
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
	waitNothingOpen(t, s)
	metrics := callOnLoop(s, s.metrics)
	for line := range strings.Lines(string(metrics)) {
		if strings.HasPrefix(line, "gw.cut.") && !strings.HasSuffix(line, "=0\n") {
			t.Errorf("the metrics show %s", line)
		}
	}
}

// A long value that breaks off ends its client's connection, so that the client can tell; one that never begins
// leaves a retry possible; and a client that disconnects ends its request.
func TestLongValueBreaksOff(t *testing.T) {
	s, addr, _ := startServing(t, startScriptedServer(t, serveLongValues))
	t.Cleanup(func() { s.loop.Post(s.end) })
	for _, key := range []string{"half", "frame"} {
		_, in := dialAndSend(t, addr, key, key)
		text, err := io.ReadAll(in)
		if len(text) < longLength/2 || bytes.HasSuffix(text, []byte("\r\n")) {
			t.Errorf("%s: %d bytes, %v", key, len(text), err)
		}
	}
	if got := sendCommand(addr, "mg head v Ohead Pc=t,d=1900"); !strings.HasPrefix(got, "SERVER_ERROR") {
		t.Errorf("with a head alone it answers %q", got)
	}
	conn, in := dialAndSend(t, addr, "left", "silent")
	in.ReadString('\n')
	conn.Close()
	waitNothingOpen(t, s)
	if got := sendCommand(addr, "mg short v Oz Pc=t,d=1900"); got != "VA 2 Oz" {
		t.Errorf("afterwards it answers %q", got)
	}
}

// A long value that is under way as the router is told to end arrives in full, also at a client that reads only
// once the process is gone: the kernel has taken all of it.
func TestLongValueAtTheEnd(t *testing.T) {
	s, addr, ended := startServing(t, startScriptedServer(t, serveLongValues))
	_, in := dialAndSend(t, addr, "a", "fast")
	in.Peek(1)
	s.loop.Post(s.beginShutdown)
	select {
	case <-ended:
	case <-time.After(1900 * time.Millisecond): // the longest deadline and its margin are later still
		t.Error("the router waits for its client")
	}
	if err := readLongValue(in, "a"); err != nil {
		t.Error(err)
	}
}
