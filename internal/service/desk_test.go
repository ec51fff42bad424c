package service

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"bendtrestle/internal/control"
)

// operated gives what the door calls of a service that serves.
func operated(t *testing.T, while time.Duration) (*desk, string) {
	s, addr, _ := running(t, fleet(t, while))
	t.Cleanup(func() { s.loop.Post(s.end) })
	d := &desk{s: s}
	done := make(chan bool)
	s.loop.Post(func() { s.desk = d; s.publish(); close(done) })
	<-done
	return d, addr
}

// asker asks on one connection, one command after another, and gives how many were answered before it was closed; lost tells
// that the connection ended in an answer.
func asker(t *testing.T, addr, name string, pause time.Duration) (ended chan error) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	ended = make(chan error, 1)
	go func() {
		defer conn.Close()
		for i, in := 0, bufio.NewReader(conn); ; i++ {
			fmt.Fprintf(conn, "mg k v O%s%d Pc=t,d=1900\r\n", name, i)
			line, err := in.ReadString('\n')
			if err == nil && strings.HasPrefix(line, "VA") {
				_, err = in.ReadString('\n')
			}
			if line != "" && err != nil {
				ended <- fmt.Errorf("cut in %q", line)
				return
			} else if err != nil {
				ended <- nil
				return
			}
			time.Sleep(pause)
		}
	}()
	return ended
}

// A drain says no at once, serves what comes meanwhile, and within two seconds no connection is left, whether its client
// pauses, never pauses or says nothing; the router stays, and takes clients again at once.
func TestDrain(t *testing.T) {
	d, addr := operated(t, 5*time.Millisecond)
	silent, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	var ends []chan error
	for i := range 6 {
		ends = append(ends, asker(t, addr, fmt.Sprint("a", i), time.Duration(i)*60*time.Millisecond))
	}
	time.Sleep(200 * time.Millisecond)
	for range 2 {
		if err := d.Drain(); err != nil || d.Ready() {
			t.Fatalf("drain: %v, ready %v", err, d.Ready())
		}
	}
	if got := ask(addr, "mn"); got != "SERVER_ERROR draining" {
		t.Errorf("mn is answered %q", got)
	}
	if got := ask(addr, read); !strings.HasPrefix(got, "VA") {
		t.Errorf("an operation while drained is answered %q", got)
	}
	deadline := time.After(2500 * time.Millisecond)
	for i, ended := range ends {
		select {
		case err := <-ended:
			if err != nil {
				t.Errorf("client %d: %v", i, err)
			}
		case <-deadline:
			t.Fatalf("client %d is still served", i)
		}
	}
	silent.SetDeadline(time.Now().Add(2500 * time.Millisecond))
	if _, err := silent.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("a client that says nothing gets %v", err)
	}
	if got := ask(addr, "mn"); got != "SERVER_ERROR draining" {
		t.Errorf("drained for long, mn is answered %q", got)
	}
	if err := d.Undrain(); err != nil || !d.Ready() || ask(addr, "mn") != "MN" {
		t.Errorf("undrain: %v, ready %v", err, d.Ready())
	}
}

// A drain that was called off does not end connections later, also where another drain began meanwhile and was called off.
func TestDrainCalledOff(t *testing.T) {
	d, addr := operated(t, 0)
	for range 3 {
		d.Drain()
		d.Undrain()
	}
	ended := asker(t, addr, "a", 20*time.Millisecond)
	select {
	case err := <-ended:
		t.Errorf("the connection ended: %v", err)
	case <-time.After(1800 * time.Millisecond):
	}
}

// A loop that is held up answers no in time, and does nothing later.
func TestCallsAreDoneOrNot(t *testing.T) {
	d, addr := operated(t, 0)
	held := make(chan bool)
	d.s.loop.Post(func() { <-held })
	began := time.Now()
	if err := d.Drain(); err != control.ErrNotNow || time.Since(began) > time.Second {
		t.Errorf("it is told %v after %v", err, time.Since(began))
	}
	close(held)
	if got := ask(addr, "mn"); got != "MN" {
		t.Errorf("later mn is answered %q", got)
	}
}
