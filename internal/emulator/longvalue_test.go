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
)

const mebibyte = 1 << 20

var longReadType = &TrafficType{Name: "bulk", Share: 1, Effect: balancer.Idempotent, Work: 0.001, Size: mebibyte, Promised: 5, HardStop: 5, Benefit: 1}
var longWriteType = &TrafficType{Name: "bulkput", Share: 1, Write: true, Effect: balancer.IdempotencyKeyed, Window: 5, Work: 0.001, Size: meta.LongBound, Promised: 5,
	HardStop: 5, Benefit: 1}

// bulky gives a fleet of one server that has long values.
func startLongValueFleet(t *testing.T) (*Fleet, *Server) {
	fleet, all := startFleet(t, spec("s-1"))
	fleet.runOnLoop(func() { fleet.types["bulk"], fleet.types["bulkput"] = longReadType, longWriteType })
	return fleet, all[0]
}

// fetch asks for a long value and reads until its connection ends or it is whole.
func fetchLongValue(t *testing.T, addr, id string) (conn *testConn, got Check, err error) {
	t.Helper()
	conn = dialServer(t, addr)
	conn.SetDeadline(time.Now().Add(10 * time.Second))
	fmt.Fprintf(conn.Conn, "mg key v O%s Pc=bulk,d=4000\r\n", id)
	head, err := conn.ReadString('\n')
	if want := fmt.Sprintf("VA %d O%s\r\n", mebibyte, id); head != want || err != nil {
		t.Fatalf("the answer begins %q, %v; want %q", head, err, want)
	}
	got.Length = mebibyte
	buf := make([]byte, 10000)
	for got.Came < mebibyte && err == nil {
		var n int
		n, err = conn.Reader.Read(buf[:min(len(buf), mebibyte-got.Came)])
		got.Take(buf[:n])
	}
	return conn, got, err
}

// A long value is given whole and as its head says; the book knows when.
func TestLongValueRead(t *testing.T) {
	fleet, s := startLongValueFleet(t)
	conn, got, err := fetchLongValue(t, s.Addr, "a")
	if wrong := got.End(); err != nil || wrong != "" || !strings.HasPrefix(got.Head(), "key for a by s-1, ") {
		t.Errorf("%v, %s, %q", err, wrong, got.Head())
	}
	if end, _ := conn.readLine(replyTimeout); end != "" {
		t.Errorf("behind it comes %q", end)
	}
	if next := conn.get("b"); next != "VA" {
		t.Errorf("the next answer is %s", next)
	}
	fleet.runOnLoop(func() {
		execution := fleet.records.Executions[0]
		if execution.Made != got.Sum() || execution.Length != mebibyte || execution.Whole == 0 || execution.Broke != 0 {
			t.Errorf("the book has %+v", execution)
		}
	})
}

// A long write is taken whole and without being held; what is wrong with it is in the book.
func TestLongValueWrite(t *testing.T) {
	fleet, s := startLongValueFleet(t)
	conn := dialServer(t, s.Addr)
	value := NewValue("k", "a", "its client", 1, meta.LongBound)
	for _, change := range []bool{false, true} {
		fmt.Fprintf(conn.Conn, "ms k %d Oa Pc=bulkput,d=4000\r\n", value.Len())
		whole := bytes.Join(value.Pieces(), nil)
		if change {
			whole[3<<20]++
		}
		conn.Conn.Write(append(whole, "\r\n"...))
		if got, err := conn.readLine(5 * time.Second); !strings.HasPrefix(got, "HD Oa") {
			t.Fatalf("it says %q, %v", got, err)
		}
	}
	fleet.runOnLoop(func() {
		executions := fleet.records.Executions
		if executions[0].Damaged != "" || !strings.Contains(executions[1].Damaged, "byte 3145728 of 4194304") {
			t.Errorf("the book has %q and %q", executions[0].Damaged, executions[1].Damaged)
		}
	})
}

// Each way in which a server's connection ends at a long value is seen on the socket, and the book tells whose doing it was.
func TestLongValueConnectionFaults(t *testing.T) {
	for name, c := range map[string]struct {
		begin        func(s *Server) func()
		whole, broke bool
		end          string // of the connection
	}{
		"closes behind it": {func(s *Server) func() { return s.CloseBehind(1) }, true, false, "EOF"},
		"resets behind it": {func(s *Server) func() { return s.ResetBehind(1) }, true, true, "reset"},
		"breaks off":       {func(s *Server) func() { return s.BreakOff(1) }, false, true, "EOF"},
		"resets under it":  {func(s *Server) func() { return s.ResetUnder(1) }, false, true, "reset"},
		"ceases":           {func(s *Server) func() { return s.Cease(1) }, false, true, "timeout"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fleet, s := startLongValueFleet(t)
			var end func()
			fleet.runOnLoop(func() { end = c.begin(s) })
			conn := dialServer(t, s.Addr)
			fmt.Fprintf(conn.Conn, "mg key v Oa Pc=bulk,d=4000\r\n")
			conn.SetReadDeadline(time.Now().Add(2 * time.Second))
			text, err := io.ReadAll(conn.Reader)
			full := len(text) == len(fmt.Sprintf("VA %d Oa\r\n\r\n", mebibyte))+mebibyte
			if err == nil {
				err = io.EOF
			}
			sure := c.end != "reset" || !c.whole // a reset takes with it what has not got across
			if sure && full != c.whole || !strings.Contains(err.Error(), c.end) {
				t.Errorf("%d bytes came, whole %v, and then %v", len(text), full, err)
			}
			fleet.runOnLoop(func() {
				execution := fleet.records.Executions[0]
				if execution.How != Answered || (execution.Whole > 0) != c.whole || (execution.Broke > 0) != c.broke {
					t.Errorf("the book has whole %v, broke %v: %+v", execution.Whole, execution.Broke, execution)
				}
				end()
			})
			if _, got, err := fetchLongValue(t, s.Addr, "b"); err != nil || got.End() != "" {
				t.Errorf("after the fault's end: %v, %s", err, got.End())
			}
		})
	}
}

// A server that dies under a value, or whose machine is cut off, broke it off; one whose reader goes away did not.
func TestInterruptedLongValueIsAttributed(t *testing.T) {
	for name, c := range map[string]struct {
		end   func(fleet *Fleet, s *Server, conn net.Conn)
		broke bool
	}{
		"it dies": {func(fleet *Fleet, s *Server, _ net.Conn) { fleet.runOnLoop(func() { s.Crash() }) }, true},
		"it is cut off": {func(fleet *Fleet, s *Server, _ net.Conn) {
			fleet.runOnLoop(func() {
				if _, err := s.Vanish(); err != nil {
					t.Error(err)
				}
			})
		}, true},
		"its reader goes": {func(_ *Fleet, _ *Server, conn net.Conn) { conn.Close() }, false},
	} {
		fleet, s := startLongValueFleet(t)
		fleet.runOnLoop(func() {
			fleet.types["bulk"] = &TrafficType{Name: "bulk", Work: 0.001, Size: meta.LongBound, Effect: balancer.Idempotent}
		})
		conn := dialServer(t, s.Addr)
		conn.Conn.(*net.TCPConn).SetReadBuffer(4096)
		fmt.Fprintf(conn.Conn, "mg key v Oa Pc=bulk,d=4000\r\n")
		if _, err := conn.readLine(replyTimeout); err != nil {
			t.Fatal(err)
		}
		c.end(fleet, s, conn.Conn)
		gone := func() (out bool) {
			fleet.runOnLoop(func() { execution := fleet.records.Executions[0]; out = execution.Broke > 0 || len(s.conns) == 0 })
			return out
		}
		for until := time.Now().Add(5 * time.Second); !gone() && time.Now().Before(until); {
			time.Sleep(5 * time.Millisecond)
		}
		fleet.runOnLoop(func() {
			if execution := fleet.records.Executions[0]; execution.Whole > 0 || (execution.Broke > 0) != c.broke {
				t.Errorf("%s: the book has whole %v, broke %v", name, execution.Whole, execution.Broke)
			}
		})
	}
}

// Clients that read slowly or pause have all of a value, also from a router that closes right behind it; one that leaves within it
// has left, one whose router ends within it was cut, and one that got other bytes did not get what its server made.
func TestClientReadBehaviors(t *testing.T) {
	const size = 300_000
	trafficType := &TrafficType{Name: "bulk", Share: 1, Effect: balancer.Idempotent, Size: size, Promised: 5, HardStop: 5, Benefit: 1}
	for name, c := range map[string]struct {
		how   Reading
		reply func(text string) string
		end   End
		rests bool
	}{
		"usual":               {Reading{}, func(text string) string { return text }, Finished, false},
		"slowly":              {Reading{Part: 1, Rate: 1e6}, func(text string) string { return text }, Finished, true},
		"with a pause":        {Reading{Part: 1, Pause: 0.3}, func(text string) string { return text }, Finished, true},
		"leaves":              {Reading{Part: 1, Leave: true}, func(text string) string { return text }, Left, false},
		"cut":                 {Reading{}, func(text string) string { return text[:size/2] }, Cut, false},
		"cut, slowly":         {Reading{Part: 1, Rate: 1e6}, func(text string) string { return text[:size/2] }, Cut, true},
		"other bytes":         {Reading{}, func(text string) string { return text[:size/2] + "??" + text[size/2+2:] }, Finished, false},
		"no end of the value": {Reading{}, func(text string) string { return text[:len(text)-2] + "ab" }, Cut, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ln, err := net.Listen("tcp", strings.Replace(testAddress(), "11300", "11211", 1))
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
						conn.(*net.TCPConn).CloseWrite() // and what the client says is read until it ends, so that nothing is reset
						io.Copy(io.Discard, conn)
					}()
				}
			}()
			loop := newLoop(t)
			clients, err := NewClients(loop, 5, Load{Types: []*TrafficType{trafficType}, Rate: 10, Keys: 10, Use: Kept, Most: 100}, []string{ln.Addr().String()}, nil)
			if err != nil {
				t.Fatal(err)
			}
			if c.how.Part > 0 {
				clients.Read(c.how)
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
			if len(clients.Book().Ops) == 0 {
				t.Fatal("nothing came")
			}
			for _, request := range clients.Book().Ops {
				attempt := request.Tries[0]
				whole := c.end == Finished && name != "other bytes"
				if request.How != c.end || len(request.Tries) != 1 || attempt.Length != size || (attempt.Came == size) != (c.end == Finished || name == "no end of the value") ||
					(attempt.Got != 0) != whole || (attempt.ReadPaused > 0) != c.rests {
					t.Errorf("%v after %d tries, %d of %d bytes, sum %x, rested %v, %s", request.How, len(request.Tries), attempt.Came, attempt.Length, attempt.Got, attempt.ReadPaused,
						attempt.Strange())
				}
			}
		})
	}
}

// Long writes go out whole, and nothing of them is held.
func TestClientLongWrites(t *testing.T) {
	fleet, s := startLongValueFleet(t)
	loop := newLoop(t)
	clients, err := NewClients(loop, 5, Load{Types: []*TrafficType{longWriteType}, Rate: 10, Keys: 10, Use: Kept, Most: 100}, []string{s.Addr}, nil)
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
	for _, request := range clients.Book().Ops {
		if request.How != Finished {
			t.Errorf("a write ended as %v %s", request.How, request.Tries[0].Strange())
		}
	}
	fleet.runOnLoop(func() {
		for _, execution := range fleet.records.Executions {
			if execution.Damaged != "" || !execution.Effect {
				t.Errorf("a write came as %q, effect %v", execution.Damaged, execution.Effect)
			}
		}
		if len(fleet.records.Executions) == 0 {
			t.Error("nothing came")
		}
	})
}
