package frontend

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"bendtrestle/balancer"
	"bendtrestle/internal/requestcore"
)

// The second command is answered first by the server; the client reads the answers in the order of its commands.
func TestAnswersInOrderOfCommands(t *testing.T) {
	s := startServer(t, ampleLimits)
	conn, in := s.dial()
	fmt.Fprintf(conn, "mg k v O1 Pc=t\r\nms k 2 O2 Pc=t\r\nhi\r\nnews\r\nmn\r\n")
	first, second := <-s.started, <-s.started
	if first.request.Key != "k" || first.request.Write || !second.request.Write || string(second.request.Value) != "hi" {
		t.Errorf("took %+v and %+v", first.request, second.request)
	}
	s.succeed(second, "7")
	s.succeed(first, "a value")
	expect(t, in, "VA 7 O1\r\na value\r\nHD O2 c7\r\nERROR\r\nSERVER_ERROR starting\r\n")
	s.onLoop(func() {
		s.SetReady()
		if s.dispatcher.held != 0 {
			t.Errorf("%d bytes count as held, though all is written", s.dispatcher.held)
		}
	})
	fmt.Fprintf(conn, "mn\r\n")
	expect(t, in, "MN\r\n")
}

// Far more commands than may be owed come at once: reading stops, and goes on as answers leave.
func TestReadingPausesAtMaxOwedAnswers(t *testing.T) {
	s := startServer(t, ampleLimits)
	conn, in := s.dial()
	const all = 5 * maxOwedAnswers
	var commands, answers strings.Builder
	for i := range all {
		fmt.Fprintf(&commands, "mg k v O%d Pc=t\r\n", i)
		fmt.Fprintf(&answers, "VA 3 O%d\r\nabc\r\n", i)
	}
	io.WriteString(conn, commands.String())
	for range all {
		s.succeed(<-s.started, "abc")
	}
	expect(t, in, answers.String())
}

// The largest value is longer than a connection's buffer: it must pass complete both ways.
func TestLargestValue(t *testing.T) {
	s := startServer(t, ampleLimits)
	conn, in := s.dial()
	value := strings.Repeat("0123456789abcdef", 4<<10)
	fmt.Fprintf(conn, "ms k 65536 O1 Pc=t\r\n%s\r\nmg k v O2 Pc=t\r\n", value)
	h := <-s.started
	if string(h.request.Value) != value {
		t.Errorf("%d bytes came in, changed", len(h.request.Value))
	}
	s.succeed(h, "1")
	s.succeed(<-s.started, value)
	expect(t, in, "HD O1 c1\r\nVA 65536 O2\r\n"+value+"\r\n")
}

// Commands that cannot be used are answered, and nothing goes on to a cache server.
func TestMalformedCommands(t *testing.T) {
	for text, answer := range map[string]string{
		strings.Repeat("x", 5000):          "CLIENT_ERROR a line is too long\r\n",
		"ms k 4194305 O1 Pc=t\r\n":         "CLIENT_ERROR a value is too long\r\n",
		"ms k 1 O1 Pc=t\r\nabc":            "CLIENT_ERROR a value does not end where its length says\r\n",
		"mg k v O1 Pc=t,d=soon\r\nget\r\n": "CLIENT_ERROR d is not a number of 0 or more\r\nERROR\r\n",
		"mg k v O1 Pc=t,d=\r\n":            "CLIENT_ERROR d is not a number of 0 or more\r\n",
		"mg k v O1 Pc=t,d=-5\r\n":          "CLIENT_ERROR d is not a number of 0 or more\r\n",
		"mg k v O1 Pc=t,d=NaN\r\n":         "CLIENT_ERROR d is not a number of 0 or more\r\n",
		"mg k v O1 Pc=tt,d=100\r\n":        "CLIENT_ERROR the type c is unknown\r\n",
	} {
		s := startServer(t, ampleLimits)
		conn, in := s.dial()
		io.WriteString(conn, text)
		expect(t, in, answer)
		if len(s.started) > 0 {
			t.Errorf("%.40q went on to a cache server", text)
		}
	}
}

// A client that keeps sending unusable commands is answered a few times, then its connection is closed, whatever else
// it sent.
func TestBadCommandsEndConnection(t *testing.T) {
	s := startServer(t, ampleLimits)
	conn, in := s.dial()
	io.WriteString(conn, strings.Repeat("mg k v O1 Pc=tt,d=100\r\n", 500))
	all, _ := io.ReadAll(in)
	if n := strings.Count(string(all), "CLIENT_ERROR"); n > maxBadCommands || len(s.started) > 0 {
		t.Errorf("%d errors were answered, %d requests taken", n, len(s.started))
	}
}

// Long writes come complete as far as memory is reserved for them; one beyond it is rejected, and what follows it is
// read on. The memory is free again once the write has gone on, its client has disconnected, or its body has stalled
// for long.
func TestLongWrites(t *testing.T) {
	s := startServer(t, testLimits{Limits{Connections: 10, RejectConnections: 1, LongWriteBytes: 300000}, 100, 1 << 20})
	expectReserved := func(want int) {
		t.Helper()
		for got, i := -1, 0; got != want; i++ {
			s.onLoop(func() { got = s.longWriteBytes })
			if i > 2000 {
				t.Fatalf("%d bytes are reserved, want %d", got, want)
			}
			time.Sleep(time.Millisecond)
		}
	}
	body := strings.Repeat("x", 200000)
	conn, in := s.dial()
	fmt.Fprintf(conn, "ms k %d O1 Pc=t\r\n%s", len(body), body[:100000])
	expectReserved(len(body))
	other, otherIn := s.dial()
	fmt.Fprintf(other, "ms k %d O2 Pc=t\r\n%s\r\nmn\r\n", len(body), body)
	expect(t, otherIn, "SERVER_ERROR busy\r\nSERVER_ERROR starting\r\n")
	fmt.Fprintf(conn, "%s\r\n", body[100000:])
	h := <-s.started
	expectReserved(0)
	if string(h.request.Value) != body {
		t.Errorf("%d bytes came", len(h.request.Value))
	}
	s.loop.Post(func() { h.observer.OnAttemptEnd(balancer.Succeeded, requestcore.Result{Receipt: "r"}) })
	expect(t, in, "HD O1 cr\r\n")
	for _, c := range []struct{ sinceBegan, silence float64 }{
		{commandSeconds + 1, 0},
		{commandSeconds + 1, longWriteStallSeconds + 1},
		{longWriteSeconds + 1, 0},
		{0, 0},
	} {
		conn, in := s.dial()
		fmt.Fprintf(conn, "ms k %d O3 Pc=t\r\n%s", len(body), body[:5])
		expectReserved(len(body))
		s.onLoop(func() {
			for conn := range s.connections {
				if conn.receivesLongWrite {
					conn.commandBegan -= c.sinceBegan
					conn.lastActive -= c.silence
				}
			}
			s.sweep()
		})
		if c.sinceBegan > longWriteSeconds || c.silence > 0 {
			expect(t, in, "CLIENT_ERROR the command does not go on\r\n")
		} else {
			expectReserved(len(body))
			conn.Close()
		}
		expectReserved(0)
	}
}

// A command comes in two pieces, cut anywhere, and one behind it with its last: nothing is submitted before the last
// byte, and then all of it.
func TestCommandInTwoPieces(t *testing.T) {
	s := startServer(t, ampleLimits)
	conn, in := s.dial()
	for form, text := range map[string]string{
		"a read":               "mg key v O%[1]d Pc=t,d=480\r\n",
		"figures first":        "mg key Pd=480,c=t O%[1]d v\r\n",
		"a write":              "ms key 4 O%[1]d Pc=t,d=480\r\nm\r\n\r\r\n",
		"a write, the id last": "ms key 4 Pd=480,r=1,c=t O%[1]d\r\nm\r\n\r\r\n",
	} {
		for cut := 0; cut < len(fmt.Sprintf(text, 100)); cut++ {
			id, text := fmt.Sprint(100+cut), fmt.Sprintf(text, 100+cut)
			write := strings.HasPrefix(text, "ms")
			io.WriteString(conn, text[:cut])
			for begun := cut == 0; !begun; { // until the piece has been read
				s.onLoop(func() {
					for c := range s.connections {
						begun = c.codec.InCommand() && c.conn.Quiet()
					}
				})
			}
			if n := len(s.started); n > 0 {
				t.Fatalf("%s: %q is taken for a command", form, text[:cut])
			}
			io.WriteString(conn, text[cut:]+"mn\r\n")
			h := <-s.started
			got := h.request
			sameValue := !write || string(got.Value) == "m\r\n\r"
			if got.Key != "key" || got.ID != id || got.Write != write || !sameValue || got.Class != "t" {
				t.Fatalf("%s cut at %d is taken as %+v", form, cut, got)
			}
			answer := "VA 1 O" + id + "\r\nx\r\n"
			if write {
				answer = "HD O" + id + " cx\r\n"
			}
			s.succeed(h, "x")
			expect(t, in, answer+"SERVER_ERROR starting\r\n")
			s.onLoop(func() { clear(s.recentIDs.slots[:]) }) // the next form has the same
		}
	}
}
