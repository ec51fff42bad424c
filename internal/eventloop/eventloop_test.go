package eventloop

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/netip"
	"os"
	"slices"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// events is a handler that notes what happens to its connection.
type events struct {
	c     *Conn
	happy chan string
	input func(*Conn)
}

func (e *events) Opened()  { e.happy <- "opened" }
func (e *events) Flushed() {}
func (e *events) Closed()  { e.happy <- "closed" }
func (e *events) Input()   { e.input(e.c) }

func running(t *testing.T) *Loop {
	l, err := New()
	if err != nil {
		t.Fatal(err)
	}
	go l.Run()
	t.Cleanup(func() { l.Post(l.Stop) })
	return l
}

func await(t *testing.T, from chan string, want string) {
	t.Helper()
	select {
	case got := <-from:
		if got != want {
			t.Fatalf("got %s, want %s", got, want)
		}
	case <-time.After(5 * time.Second):
		t.Fatalf("no %s", want)
	}
}

// listening gives a served address; each connection's input goes to input.
func listening(t *testing.T, l *Loop, input func(*Conn)) (addr string, happy chan string) {
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr = free.Addr().String()
	free.Close()
	happy = make(chan string, 100)
	done := make(chan error)
	l.Post(func() {
		_, err := l.Listen(addr, func() bool { return true }, func(c *Conn) Handler {
			return &events{c: c, happy: happy, input: input}
		})
		done <- err
	})
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	return addr, happy
}

func echo(c *Conn) {
	for _, part := range c.In.Held(nil) {
		n := c.Write(part)
		c.In.Drop(n)
		if n < len(part) {
			break
		}
	}
}

func TestEchoAndTheClientsEnd(t *testing.T) {
	addr, happy := listening(t, running(t), echo)
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	sent, got := bytes.Repeat([]byte("0123456789"), 300), make([]byte, 3000)
	conn.Write(sent)
	if _, err := io.ReadFull(conn, got); err != nil || !bytes.Equal(sent, got) {
		t.Fatalf("the echo differs: %v", err)
	}
	conn.Close()
	await(t, happy, "closed")
}

// A full buffer must stop the reading, hold the sender up and lose nothing; resumed, the rest comes.
func TestFullMeansStopReading(t *testing.T) {
	l := running(t)
	took := make(chan *Conn, 1)
	held := true
	total := 0
	addr, happy := listening(t, l, func(c *Conn) {
		if !held {
			total += c.In.Len()
			c.In.Drop(c.In.Len())
		} else if c.In.Room() == 0 {
			c.Pause()
			took <- c
		}
	})
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	const size = 32 << 20 // beyond what the kernel's buffers hold
	go func() {
		conn.Write(make([]byte, size))
		conn.Close()
	}()
	c := <-took
	time.Sleep(50 * time.Millisecond)
	l.Post(func() {
		if c.In.Len() != bufferBound {
			t.Errorf("%d bytes are held, the bound is %d", c.In.Len(), bufferBound)
		}
		held = false
		c.Resume()
		c.handler.Input()
	})
	await(t, happy, "closed")
	l.Post(func() {
		if total != size {
			t.Errorf("%d bytes came of %d", total, size)
		}
		happy <- "counted"
	})
	await(t, happy, "counted")
}

// What waits for a slow reader is written as it reads, also while nothing is read from it.
func TestSlowReaderWhilePaused(t *testing.T) {
	l := running(t)
	const size = 8 << 20
	left := size
	var push func(c *Conn)
	push = func(c *Conn) {
		for left > 0 {
			n := c.Write(make([]byte, min(left, bufferBound)))
			if left -= n; n == 0 {
				l.After(0.001, func() { push(c) })
				return
			}
		}
	}
	addr, _ := listening(t, l, func(c *Conn) {
		c.Pause()
		push(c)
	})
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	conn.Write([]byte("x"))
	conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	if n, err := io.CopyN(io.Discard, conn, size); err != nil {
		t.Errorf("%d bytes of %d, %v", n, size, err)
	}
}

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

// A connection closed in its own callback is let go of, and nothing more is heard of it.
func TestCloseInItsOwnCallback(t *testing.T) {
	l := running(t)
	addr, happy := listening(t, l, func(c *Conn) { c.Close() })
	for range 100 {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		conn.Write([]byte("x"))
		conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		if _, err := conn.Read(make([]byte, 1)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
			t.Fatalf("the connection was not closed: %v", err)
		}
		conn.Close()
	}
	l.Post(func() { happy <- "done" })
	await(t, happy, "done")
}

func TestTimers(t *testing.T) {
	l := running(t)
	var order []int
	done := make(chan string)
	l.Post(func() {
		start := l.Now()
		l.After(0.03, func() {
			order = append(order, 3)
			if took := l.Now() - start; took < 0.03 || took > 1 {
				t.Errorf("30 ms took %f", took)
			}
			done <- "ended"
		})
		l.After(0.01, func() { order = append(order, 1) })
		stopped := l.Timer(func() { order = append(order, 9) })
		stopped.Set(start + 0.015)
		moved := l.Timer(func() { order = append(order, 2) })
		moved.Set(start + 0.005)
		moved.Set(start + 0.02)
		stopped.Stop()
	})
	await(t, done, "ended")
	if !slices.Equal(order, []int{1, 2, 3}) {
		t.Errorf("the timers went off as %v", order)
	}
}

// The other side learns of a close before anything else is done: the callback that closed is not over yet.
func TestCloseIsToldAtOnce(t *testing.T) {
	told := make(chan bool)
	addr, happy := listening(t, running(t), func(c *Conn) {
		c.Close()
		select {
		case <-told:
		case <-time.After(5 * time.Second):
			t.Error("the other side was not told while the callback ran")
		}
	})
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	conn.Write([]byte("x"))
	if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("got %v", err)
	}
	told <- true
	if len(happy) > 0 {
		t.Errorf("after Close came %s", <-happy)
	}
}

// A listener closes its descriptor once: a second time it would close what another goroutine has opened meanwhile.
func TestListenerClosesItsDescriptorOnce(t *testing.T) {
	l, err := New()
	if err != nil {
		t.Fatal(err)
	}
	go l.Run()
	defer l.Post(l.Stop)
	stop, broken := make(chan bool), make(chan error, 1)
	go func() { // it opens files all the time, and finds whether one is closed under it
		for {
			select {
			case <-stop:
				close(broken)
				return
			default:
			}
			r, w, err := os.Pipe()
			if err != nil {
				broken <- err
				return
			}
			_, err = w.Write([]byte{1})
			w.Close()
			r.Close()
			if err != nil {
				broken <- err
				return
			}
		}
	}()
	for range 2000 {
		done := make(chan error)
		l.Post(func() {
			ln, err := l.Listen("127.0.0.1:0", func() bool { return true }, nil)
			if err == nil {
				ln.Close()
				ln.Close()
			}
			done <- err
		})
		if err := <-done; err != nil {
			t.Fatal(err)
		}
	}
	close(stop)
	if err := <-broken; err != nil {
		t.Errorf("another's file was closed: %v", err)
	}
}

// A callback that fails, posted, of a timer or left for later, keeps none of the others from being called.
func TestAGuardedLoopGoesOn(t *testing.T) {
	l, err := New()
	if err != nil {
		t.Fatal(err)
	}
	faults, happy := make(chan any, 10), make(chan string, 10)
	l.Guard(func(what any, _ []byte) { faults <- what })
	go l.Run()
	defer l.Post(l.Stop)
	l.Post(func() {
		now := l.Now()
		l.Timer(func() { panic("timer") }).Set(now)
		l.Timer(func() { happy <- "timer" }).Set(now)
		l.Later(func() { panic("later") })
		l.Later(func() { happy <- "later" })
		panic("posted")
	})
	l.Post(func() { happy <- "posted" })
	got := map[string]int{}
	for range 3 {
		got[<-happy]++
		got[(<-faults).(string)]++
	}
	if got["timer"] != 2 || got["later"] != 2 || got["posted"] != 2 {
		t.Errorf("got %v", got)
	}
}

// At the bound nothing is dialled or accepted, also while what was closed is not let go of; once it is, both go on.
func TestNoMoreDescriptorsThanTheBound(t *testing.T) {
	l := running(t)
	addr, _ := listening(t, l, echo)
	other, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	to, e, done := netip.MustParseAddrPort(other.Addr().String()), &events{happy: make(chan string, 10)}, make(chan error)
	var c *Conn
	dial := func(before func()) error {
		l.Post(func() {
			before()
			next, err := l.Dial(to, e)
			if err == nil {
				c = next
			}
			done <- err
		})
		return <-done
	}
	if err := dial(func() { l.Limit(1) }); err != nil {
		t.Fatal(err)
	}
	await(t, e.happy, "opened")
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.Write([]byte("x"))
	for range 5 { // the listener is told of it meanwhile, and looks away
		if err := dial(func() { time.Sleep(5 * time.Millisecond) }); err != unix.EMFILE || l.descriptors.open != 1 {
			t.Errorf("at the bound a dial gets %v, and %d are held", err, l.descriptors.open)
		}
	}
	if err := dial(func() { c.Close() }); err != unix.EMFILE {
		t.Errorf("in the round of a close a dial gets %v", err)
	}
	conn.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := conn.Read(make([]byte, 1)); err != nil { // it has the place now
		t.Errorf("with room again it is not accepted: %v", err)
	}
	if err := dial(func() { l.Limit(2) }); err != nil {
		t.Errorf("with room again a dial gets %v", err)
	}
}
