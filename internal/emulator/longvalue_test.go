package emulator

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"bendtrestle/balancer"
	"bendtrestle/internal/meta"
	"bendtrestle/internal/testaddress"
)

const mebibyte = 1 << 20

var longReadType = &TrafficType{Name: "bulk", Share: 1, Idempotency: balancer.Idempotent, Work: 0.001, Size: mebibyte,
	LatencyObjective: 5, Deadline: 5, Benefit: 1}
var longWriteType = &TrafficType{Name: "bulkput", Share: 1, Write: true, Idempotency: balancer.IdempotencyKeyed, Window: 5,
	Work: 0.001, Size: meta.MaxLongValueBytes, LatencyObjective: 5,
	Deadline: 5, Benefit: 1}

// startLongValueFleet returns a fleet of one server that serves long values.
func startLongValueFleet(t *testing.T) (*Fleet, *Server) {
	fleet, all := startFleet(t, spec("s-1"))
	fleet.runOnLoop(func() { fleet.types["bulk"], fleet.types["bulkput"] = longReadType, longWriteType })
	return fleet, all[0]
}

// fetchLongValue requests a long value and reads it until it is complete or the connection ends.
func fetchLongValue(t *testing.T, addr, id string) (conn *testConn, got Check, err error) {
	t.Helper()
	conn = dialServer(t, addr)
	conn.SetDeadline(time.Now().Add(10 * time.Second))
	fmt.Fprintf(conn.Conn, "mg key v O%s Pc=bulk,d=4000\r\n", id)
	head, err := conn.ReadString('\n')
	if want := fmt.Sprintf("VA %d O%s\r\n", mebibyte, id); head != want || err != nil {
		t.Fatalf("got the answer's line %q, %v; want %q", head, err, want)
	}
	got.Length = mebibyte
	buf := make([]byte, 10000)
	for got.Received < mebibyte && err == nil {
		var n int
		n, err = conn.Reader.Read(buf[:min(len(buf), mebibyte-got.Received)])
		got.Take(buf[:n])
	}
	return conn, got, err
}

// A long value is sent completely and matches its head, and the records say when. The connection stays usable.
func TestLongValueRead(t *testing.T) {
	fleet, server := startLongValueFleet(t)
	conn, got, err := fetchLongValue(t, server.Addr, "a")
	if wrong := got.End(); err != nil || wrong != "" || !strings.HasPrefix(got.Head(), "key for a by s-1, ") {
		t.Errorf("got error %v, mismatch %q, head %q; want a complete value for a by s-1", err, wrong, got.Head())
	}
	if end, _ := conn.readLine(replyTimeout); end != "" {
		t.Errorf("after the value got the line %q, want an empty one", end)
	}
	if next := conn.get("b"); next != "VA" {
		t.Errorf("the next answer is %s, want VA", next)
	}
	fleet.runOnLoop(func() {
		execution := fleet.records.Executions[0]
		if execution.AnswerSum != got.Sum() || execution.Length != mebibyte || execution.SentAt == 0 || execution.InterruptedAt != 0 {
			t.Errorf("got the record %+v, want a complete long value with the received checksum", execution)
		}
	})
}

// A long write is accepted completely, and the records say what is wrong with its value.
func TestLongValueWrite(t *testing.T) {
	fleet, server := startLongValueFleet(t)
	conn := dialServer(t, server.Addr)
	value := NewValue("k", "a", "its client", 1, meta.MaxLongValueBytes)
	for _, change := range []bool{false, true} {
		fmt.Fprintf(conn.Conn, "ms k %d Oa Pc=bulkput,d=4000\r\n", value.Len())
		whole := bytes.Join(value.Pieces(), nil)
		if change {
			whole[3<<20]++
		}
		conn.Conn.Write(append(whole, "\r\n"...))
		if got, err := conn.readLine(5 * time.Second); !strings.HasPrefix(got, "HD Oa") {
			t.Fatalf("got %q, %v; want HD Oa", got, err)
		}
	}
	fleet.runOnLoop(func() {
		executions := fleet.records.Executions
		if executions[0].Damaged != "" || !strings.Contains(executions[1].Damaged, "byte 3145728 of 4194304") {
			t.Errorf("got the damages %q and %q, want none and byte 3145728", executions[0].Damaged, executions[1].Damaged)
		}
	})
}

// Each fault that ends a connection at a long value has the stated effect on the socket, and the records say whether
// the server interrupted the value.
func TestLongValueConnectionFaults(t *testing.T) {
	for name, c := range map[string]struct {
		begin        func(server *Server) func()
		whole, broke bool
		end          string // of the connection
	}{
		"closes after the value":  {func(server *Server) func() { return server.CloseAfterValue(1) }, true, false, "EOF"},
		"resets after the value":  {func(server *Server) func() { return server.ResetAfterValue(1) }, true, true, "reset"},
		"closes within the value": {func(server *Server) func() { return server.CloseWithinValue(1) }, false, true, "EOF"},
		"resets within the value": {func(server *Server) func() { return server.ResetWithinValue(1) }, false, true, "reset"},
		"stalls within the value": {func(server *Server) func() { return server.StallWithinValue(1) }, false, true, "timeout"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fleet, server := startLongValueFleet(t)
			var end func()
			fleet.runOnLoop(func() { end = c.begin(server) })
			conn := dialServer(t, server.Addr)
			fmt.Fprintf(conn.Conn, "mg key v Oa Pc=bulk,d=4000\r\n")
			conn.SetReadDeadline(time.Now().Add(2 * time.Second))
			text, err := io.ReadAll(conn.Reader)
			full := len(text) == len(fmt.Sprintf("VA %d Oa\r\n\r\n", mebibyte))+mebibyte
			if err == nil {
				err = io.EOF
			}
			exact := c.end != "reset" || !c.whole // a reset may destroy bytes that have not been received
			if exact && full != c.whole || !strings.Contains(err.Error(), c.end) {
				t.Errorf("got %d bytes, complete %v, then %v; want complete %v, then %s", len(text), full, err, c.whole, c.end)
			}
			fleet.runOnLoop(func() {
				execution := fleet.records.Executions[0]
				if execution.Outcome != Answered || (execution.SentAt > 0) != c.whole || (execution.InterruptedAt > 0) != c.broke {
					t.Errorf("got whole at %v, broke at %v; want whole %v, broke %v: %+v", execution.SentAt, execution.InterruptedAt, c.whole,
						c.broke, execution)
				}
				end()
			})
			if _, got, err := fetchLongValue(t, server.Addr, "b"); err != nil || got.End() != "" {
				t.Errorf("after the fault's end: got error %v, mismatch %q; want none", err, got.End())
			}
		})
	}
}

// The records say that the server interrupted a value if it crashes or its machine is cut off within the value, and not
// if the reader closes the connection. Otherwise a router would be blamed for a server's fault, or the reverse.
func TestInterruptedLongValueIsAttributed(t *testing.T) {
	for name, c := range map[string]struct {
		end   func(fleet *Fleet, server *Server, conn net.Conn)
		broke bool
	}{
		"server crashes": {func(fleet *Fleet, server *Server, _ net.Conn) {
			fleet.runOnLoop(func() { server.Crash() })
		}, true},
		"machine is cut off": {func(fleet *Fleet, server *Server, _ net.Conn) {
			fleet.runOnLoop(func() {
				if _, err := server.MakeUnreachable(); err != nil {
					t.Error(err)
				}
			})
		}, true},
		"reader closes": {func(_ *Fleet, _ *Server, conn net.Conn) { conn.Close() }, false},
	} {
		fleet, server := startLongValueFleet(t)
		fleet.runOnLoop(func() {
			fleet.types["bulk"] = &TrafficType{Name: "bulk", Work: 0.001, Size: meta.MaxLongValueBytes, Idempotency: balancer.Idempotent}
		})
		conn := dialServer(t, server.Addr)
		conn.Conn.(*net.TCPConn).SetReadBuffer(4096)
		fmt.Fprintf(conn.Conn, "mg key v Oa Pc=bulk,d=4000\r\n")
		if _, err := conn.readLine(replyTimeout); err != nil {
			t.Fatal(err)
		}
		c.end(fleet, server, conn.Conn)
		gone := func() (out bool) {
			fleet.runOnLoop(func() {
				execution := fleet.records.Executions[0]
				out = execution.InterruptedAt > 0 || len(server.conns) == 0
			})
			return out
		}
		for until := time.Now().Add(5 * time.Second); !gone() && time.Now().Before(until); {
			time.Sleep(5 * time.Millisecond)
		}
		fleet.runOnLoop(func() {
			if execution := fleet.records.Executions[0]; execution.SentAt > 0 || (execution.InterruptedAt > 0) != c.broke {
				t.Errorf("%s: got whole at %v, broke at %v; want whole never, broke %v", name, execution.SentAt, execution.InterruptedAt,
					c.broke)
			}
		})
	}
}

// Clients that read slowly or pause receive a complete value, even from a router that closes right after it. The other
// cases: a client that disconnects within a value has left, a value whose connection ends is cut, and a value with
// changed bytes gets no checksum.
func TestClientReadBehaviors(t *testing.T) {
	const size = 300_000
	trafficType := &TrafficType{Name: "bulk", Share: 1, Idempotency: balancer.Idempotent, Size: size, LatencyObjective: 5,
		Deadline: 5, Benefit: 1}
	for name, c := range map[string]struct {
		behavior ReadBehavior
		reply    func(text string) string
		end      End
		rests    bool
	}{
		"usual":        {ReadBehavior{}, func(text string) string { return text }, Finished, false},
		"slowly":       {ReadBehavior{Fraction: 1, Rate: 1e6}, func(text string) string { return text }, Finished, true},
		"with a pause": {ReadBehavior{Fraction: 1, Pause: 0.3}, func(text string) string { return text }, Finished, true},
		"leaves":       {ReadBehavior{Fraction: 1, Leave: true}, func(text string) string { return text }, ClientDisconnected, false},
		"cut":          {ReadBehavior{}, func(text string) string { return text[:size/2] }, Cut, false},
		"cut, slowly":  {ReadBehavior{Fraction: 1, Rate: 1e6}, func(text string) string { return text[:size/2] }, Cut, true},
		"other bytes": {ReadBehavior{}, func(text string) string { return text[:size/2] + "??" + text[size/2+2:] },
			Finished, false},
		"no end of the value": {ReadBehavior{}, func(text string) string { return text[:len(text)-2] + "ab" }, Cut, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ln, err := net.Listen("tcp", testaddress.New())
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { ln.Close() })
			go func() {
				for {
					conn, err := ln.Accept()
					if err != nil {
						return
					}
					go func() {
						defer conn.Close()
						line := make([]byte, 500)
						n, _ := conn.Read(line)
						id := string(line[strings.Index(string(line[:n]), " O")+2:][:16])
						v := NewValue("k", id, "s-1", 1, size)
						text := string(meta.AppendValue(nil, id, size)) + string(bytes.Join(v.Pieces(), nil)) + "\r\n"
						io.WriteString(conn, c.reply(text))
						// Close in order, then read the client's data until its end, so that the kernel doesn't reset the
						// connection.
						conn.(*net.TCPConn).CloseWrite()
						io.Copy(io.Discard, conn)
					}()
				}
			}()
			loop := newLoop(t)
			clients, err := NewClients(loop, 5, Load{Types: []*TrafficType{trafficType}, Rate: 10, Keys: 10, Connections: Kept,
				MaxConnections: 100}, []string{ln.Addr().String()}, nil)
			if err != nil {
				t.Fatal(err)
			}
			if c.behavior.Fraction > 0 {
				clients.SetReadBehavior(c.behavior)
			}
			ended := make(chan error)
			go func() { ended <- loop.Run() }()
			loop.Post(func() { clients.Start(1) })
			for busy := make(chan bool); ; time.Sleep(10 * time.Millisecond) {
				if loop.Post(func() { busy <- clients.Busy() }); !<-busy {
					break
				}
			}
			loop.Post(loop.Stop)
			<-ended
			if len(clients.Records().Requests) == 0 {
				t.Fatal("no request was sent")
			}
			for _, request := range clients.Records().Requests {
				attempt := request.Attempts[0]
				whole := c.end == Finished && name != "other bytes"
				if request.End != c.end || len(request.Attempts) != 1 || attempt.Length != size ||
					(attempt.Received == size) != (c.end == Finished || name == "no end of the value") ||
					(attempt.AnswerSum != 0) != whole || (attempt.ReadPaused > 0) != c.rests {
					t.Errorf("got %v after %d attempts, %d of %d bytes, checksum %x, %v s paused, malformed %q; want %v",
						request.End, len(request.Attempts), attempt.Received, attempt.Length, attempt.AnswerSum, attempt.ReadPaused,
						attempt.Malformed(), c.end)
				}
			}
		})
	}
}

// Clients send long writes completely and unchanged.
func TestClientLongWrites(t *testing.T) {
	fleet, server := startLongValueFleet(t)
	loop := newLoop(t)
	clients, err := NewClients(loop, 5, Load{Types: []*TrafficType{longWriteType}, Rate: 10, Keys: 10, Connections: Kept,
		MaxConnections: 100}, []string{server.Addr}, nil)
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error)
	go func() { ended <- loop.Run() }()
	loop.Post(func() { clients.Start(0.5) })
	for busy := make(chan bool); ; time.Sleep(10 * time.Millisecond) {
		if loop.Post(func() { busy <- clients.Busy() }); !<-busy {
			break
		}
	}
	loop.Post(loop.Stop)
	<-ended
	for _, request := range clients.Records().Requests {
		if request.End != Finished {
			t.Errorf("a write ended as %v, malformed %q; want finished", request.End, request.Attempts[0].Malformed())
		}
	}
	fleet.runOnLoop(func() {
		for _, execution := range fleet.records.Executions {
			if execution.Damaged != "" || !execution.Effect {
				t.Errorf("a write arrived with damage %q, effect %v; want none, true", execution.Damaged, execution.Effect)
			}
		}
		if len(fleet.records.Executions) == 0 {
			t.Error("the server recorded no execution")
		}
	})
}
