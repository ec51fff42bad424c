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

// waitIdle waits until no request is open and no long value is in flight.
func waitIdle(t *testing.T, s *Service) {
	t.Helper()
	waitUntil(t, "the end of all requests", s, func() bool {
		return s.clients.frontend.OpenRequests() == 0 && s.clients.frontend.OpenBodyStreams() == 0
	})
}

// Clients that start to read late receive long values in full and in order with other answers, also if a server sends
// them slowly. There are more values at the same time than may be held in memory.
func TestLongValuesReachSlowClients(t *testing.T) {
	s, addr, _ := startServing(t, startScriptedServer(t, serveLongValues))
	t.Cleanup(func() { s.loop.Post(s.end) })
	ends := make(chan error)
	for i := range 20 {
		id := fmt.Sprint("a", i)
		conn, in := dialAndSend(t, addr, id, []string{"fast", "slow"}[i%2])
		fmt.Fprintf(conn, "mg short v Ob%d Pc=t,d=1900\r\n", i)
		go func() {
			time.Sleep(time.Duration(i) * 50 * time.Millisecond) // meanwhile the other values wait in the router
			err := readLongValue(in, id)
			if line, _ := in.ReadString('\n'); err == nil && line != fmt.Sprintf("VA 2 Ob%d\r\n", i) {
				err = fmt.Errorf("got %q after the long value, want the short one", line)
			}
			ends <- err
		}()
	}
	for range 20 {
		if err := <-ends; err != nil {
			t.Error(err)
		}
	}
	waitIdle(t, s)
}

// Servers close their connections right after a long value, before slow clients have read it. Each client must receive
// all of it, and the metrics must count no connection as cut.
func TestLongValuesOfServersThatCloseAfterThem(t *testing.T) {
	s, addr, _ := startServing(t, startScriptedServer(t, serveLongValues))
	t.Cleanup(func() { s.loop.Post(s.end) })
	ends := make(chan error)
	for i := range 10 {
		id := fmt.Sprint("c", i)
		conn, in := dialAndSend(t, addr, id, "later")
		in.ReadString('\n')
		in.ReadString('\n')
		conn.(*net.TCPConn).SetReadBuffer(64 << 10) // otherwise the kernel would buffer all of it
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
	waitIdle(t, s)
	metrics := callOnLoop(s, s.metrics)
	for line := range strings.Lines(string(metrics)) {
		if strings.HasPrefix(line, "gw.cut.") && !strings.HasSuffix(line, "=0\n") {
			t.Errorf("got the metric %s, want 0", line)
		}
	}
}

// If a server truncates a long value, the client's connection is closed, so that the client notices. If a server sends
// no data of the value, the request is answered with an error and may be retried. If the client disconnects, its
// request ends.
func TestTruncatedLongValue(t *testing.T) {
	s, addr, _ := startServing(t, startScriptedServer(t, serveLongValues))
	t.Cleanup(func() { s.loop.Post(s.end) })
	for _, key := range []string{"half", "frame"} {
		_, in := dialAndSend(t, addr, key, key)
		text, err := io.ReadAll(in)
		if len(text) < longLength/2 || bytes.HasSuffix(text, []byte("\r\n")) {
			t.Errorf("%s: got %d bytes, %v, want at least half of the value without its end", key, len(text), err)
		}
	}
	if got := sendCommand(addr, "mg head v Ohead Pc=t,d=1900"); !strings.HasPrefix(got, "SERVER_ERROR") {
		t.Errorf("value without data: got %q, want an error", got)
	}
	conn, in := dialAndSend(t, addr, "left", "silent")
	in.ReadString('\n')
	conn.Close()
	waitIdle(t, s)
	if got := sendCommand(addr, "mg short v Oz Pc=t,d=1900"); got != "VA 2 Oz" {
		t.Errorf("afterwards: got %q, want VA 2 Oz", got)
	}
}

// A long value that is in flight when the shutdown begins is delivered in full, even if the client reads it only after
// the process has ended: by then the kernel's send buffer holds all of it.
func TestLongValueInFlightAtShutdown(t *testing.T) {
	s, addr, ended := startServing(t, startScriptedServer(t, serveLongValues))
	_, in := dialAndSend(t, addr, "a", "fast")
	in.Peek(1)
	s.loop.Post(s.beginShutdown)
	select {
	case <-ended:
	case <-time.After(1900 * time.Millisecond): // less than the longest deadline and its margin
		t.Error("the shutdown waits until the client reads")
	}
	if err := readLongValue(in, "a"); err != nil {
		t.Error(err)
	}
}
