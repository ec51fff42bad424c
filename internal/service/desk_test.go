package service

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"bendtrestle/internal/control"
	"bendtrestle/internal/discovery"
	"bendtrestle/logic"

	"github.com/rs/zerolog"
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

// A cache server that is out gets nothing from the yes on, whatever the list says; one call back undoes two calls out, and an
// id that no list has named is refused.
func TestOutByHand(t *testing.T) {
	d, addr := operated(t, 0)
	if err := d.Disable("s-2"); err != control.ErrUnknown {
		t.Errorf("an unknown id gets %v", err)
	}
	for range 2 {
		if err := d.Disable("s-1"); err != nil {
			t.Fatal(err)
		}
	}
	n := 0
	operation := func() string {
		n++
		return ask(addr, fmt.Sprintf("mg k v Oh%d Pc=t,d=1900", n))
	}
	if got := operation(); !strings.HasPrefix(got, "SERVER_ERROR busy") {
		t.Errorf("with the only cache server out it answers %q", got)
	}
	d.s.loop.Post(func() {
		for id := range d.s.platform.known { // it leaves the list and comes back under another start
			e := discovery.Entry{Member: logic.Member{ID: id, Mode: logic.Gone}}
			d.s.platform.hear(logic.Diff, discovery.List{Entries: []discovery.Entry{e}})
			e.Mode, e.Started = logic.InService, 7
			e.Addr = netip.MustParseAddrPort("127.0.0.1:1")
			d.s.platform.hear(logic.Diff, discovery.List{Entries: []discovery.Entry{e}})
		}
	})
	if got := operation(); !strings.HasPrefix(got, "SERVER_ERROR busy") {
		t.Errorf("named anew by the list while out, it answers %q", got)
	}
	if got := string(d.Figures()); !strings.Contains(got, "gw.cluster_size=1\ngw.cluster_unhealthy=1\n") {
		t.Errorf("the figures are %s", got)
	}
	if err := d.Enable("s-1"); err != nil {
		t.Fatal(err)
	}
	if got := string(d.Figures()); !strings.Contains(got, "gw.cluster_size=1\ngw.cluster_unhealthy=0\n") {
		t.Errorf("back in, the figures are %s", got)
	}
}

// Calls at once for two servers: neither is taken back for a moment by the other's set, which would make it count as cold.
func TestCallsForTwoServersAtOnce(t *testing.T) {
	d, _ := operated(t, 0)
	var log strings.Builder
	d.s.loop.Post(func() {
		d.s.platform.known[discovery.ID("s-2")] = false
		d.s.log = zerolog.New(&log)
	})
	done := make(chan error)
	for _, id := range []string{"s-1", "s-2"} {
		go func() { done <- d.Disable(id) }()
	}
	for range 2 {
		if err := <-done; err != nil {
			t.Error(err)
		}
	}
	d.do(func() error {
		if text := log.String(); strings.Contains(text, `"out":false`) || strings.Count(text, `"out":true`) != 2 {
			t.Errorf("it did %s", text)
		}
		return nil
	})
}
