package faultproxy

import (
	"io"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"bendtrestle/internal/emulator"

	"golang.org/x/sys/unix"
)

// connRelay stands for a cache server or a list service at one router. Cut off, it lets no connection come up, and what is
// under way on those that are stands still until it is healed, as on a network that loses all packets.
type connRelay struct {
	n           *Net
	router, to  End
	addr, real  string
	mu          sync.Mutex
	ln          net.Listener
	accepting   chan struct{} // closed once the listener is closed indeed
	silent      func()        // while it is cut off
	carried     map[*carried]bool
	there, back Effect
	down        bool // the real end refuses
	mute        bool // the real end lets no connection come up
	over        bool
}

// carried is one connection and its two halves.
type carried struct {
	r            *connRelay
	client, real net.Conn
}

// Conn puts a relay before an address, for one router.
func (n *Net) Conn(router, to End, addr, real string) error {
	c := &connRelay{n: n, router: router, to: to, addr: addr, real: real, carried: map[*carried]bool{}}
	n.mu.Lock()
	n.conns = append(n.conns, c)
	n.mu.Unlock()
	return c.attend()
}

// attend listens, or is silent, as the rules have it.
func (c *connRelay) attend() (err error) {
	c.n.mu.Lock()
	there, back, closed := c.n.between(c.router, c.to), c.n.between(c.to, c.router), c.n.closed
	c.n.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.there, c.back = there, back
	cut := there.Cut || back.Cut || c.mute
	switch {
	case c.over || closed:
	case cut && c.silent == nil:
		c.shut()
		err = take(func() (err error) {
			end, err := emulator.BeSilent(c.addr)
			if err == nil {
				c.silent = end
			}
			return err
		})
	case !cut && c.down:
		c.speak()
		c.shut()
	case !cut && c.ln == nil:
		c.speak()
		err = take(func() (err error) {
			c.ln, err = net.Listen("tcp4", c.addr)
			return err
		})
		if err == nil {
			c.accepting = make(chan struct{})
			c.n.wg.Add(1)
			go c.accept(c.ln, c.accepting)
		}
	}
	return err
}

// take tries for an address: a process that the lab just starts holds all sockets between its fork and its exec.
func take(address func() error) (err error) {
	for range 30 {
		if err = address(); err == nil {
			break
		}
		time.Sleep(again)
	}
	return err
}

// speak ends the silence. The relay is locked.
func (c *connRelay) speak() {
	if c.silent != nil {
		c.silent()
		c.silent = nil
	}
}

// shut closes the listener, and waits until its address is free: a call that accepts holds it for a moment longer. The relay is locked.
func (c *connRelay) shut() {
	if c.ln != nil {
		c.ln.Close()
		<-c.accepting
		c.ln = nil
	}
}

func (c *connRelay) accept(ln net.Listener, over chan struct{}) {
	defer c.n.wg.Done()
	defer close(over)
	for {
		client, err := ln.Accept()
		if err != nil {
			return
		}
		c.n.wg.Add(1)
		go c.open(client)
	}
}

const (
	again    = 10 * time.Millisecond // between two looks whether a real end takes connections again
	reaching = 50 * time.Millisecond // on this machine one comes up far sooner, or not at all
)

// follow refuses connections, or lets none come up, as the real end does, until that takes them again.
func (c *connRelay) follow(err error) {
	stands := func(err error) (still, other bool) {
		c.mu.Lock()
		defer c.mu.Unlock()
		timeout, is := err.(net.Error)
		before := c.mute
		c.mute = err != nil && is && timeout.Timeout()
		c.down = err != nil && !c.mute
		return err != nil && !c.over, before != c.mute
	}
	c.mu.Lock()
	first := !c.down && !c.mute
	c.mu.Unlock()
	stands(err)
	if c.attend(); !first {
		return
	}
	c.n.wg.Add(1)
	go func() {
		defer c.n.wg.Done()
		for {
			time.Sleep(again)
			conn, err := net.DialTimeout("tcp4", c.real, reaching)
			if err == nil {
				conn.Close()
			}
			still, other := stands(err)
			if !still || other {
				c.attend()
			}
			if !still {
				return
			}
		}
	}()
}

// open carries one connection. A relay has to accept before it can know whether the real end does: one that this one refuses is reset,
// one that it lets stand is let stand; those that come after fare as they would there.
func (c *connRelay) open(client net.Conn) {
	defer c.n.wg.Done()
	real, err := net.DialTimeout("tcp4", c.real, reaching)
	x := &carried{r: c, client: client, real: real}
	c.mu.Lock()
	c.carried[x] = true
	over := c.over
	c.mu.Unlock()
	if err != nil {
		c.follow(err)
		if timeout, is := err.(net.Error); !over && is && timeout.Timeout() {
			io.Copy(io.Discard, client)
		}
		over = true
	}
	if over {
		x.close(true)
		return
	}
	c.n.wg.Add(2)
	go x.copy(client, real, func() Effect { return c.there }, true)
	go x.copy(real, client, func() Effect { return c.back }, false)
}

// given tells whether the other side has given a connection up, so that its kernel sends nothing any more.
func given(conn net.Conn) bool {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true
	}
	failed := 0
	if raw.Control(func(fd uintptr) { failed, err = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_ERROR) }) != nil {
		return true
	}
	return failed != 0 || err != nil
}

func (x *carried) close(reset bool) {
	for _, conn := range []net.Conn{x.client, x.real} {
		if conn == nil {
			continue
		}
		if tcp, ok := conn.(*net.TCPConn); ok && reset {
			tcp.SetLinger(0)
		}
		conn.Close()
	}
	x.r.mu.Lock()
	delete(x.r.carried, x)
	x.r.mu.Unlock()
}

// copy carries one direction, until either end is over. An end that is given up, not closed, takes what is under way with it.
func (x *carried) copy(from, to net.Conn, effect func() Effect, there bool) {
	c := x.r
	defer c.n.wg.Done()
	buf := make([]byte, 32<<10)
	for {
		size, err := from.Read(buf)
		data := buf[:size]
		if c.cut(effect) {
			data, err = x.hold(from, data, err, effect, there)
		}
		if err != nil && (err != io.EOF || given(from)) {
			x.close(true)
			return
		}
		if len(data) > 0 {
			c.mu.Lock()
			e := effect()
			c.mu.Unlock()
			if wait := e.Delay + e.Spread*c.n.draw(); wait > 0 {
				time.Sleep(seconds(wait))
			}
			if _, other := to.Write(data); other != nil {
				x.close(true)
				return
			}
		}
		if err != nil { // an end that is given up is closed first
			if tcp, ok := to.(*net.TCPConn); ok {
				tcp.CloseWrite()
			}
			time.Sleep(again)
			x.close(given(from))
			return
		}
	}
}

func (c *connRelay) cut(effect func() Effect) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return effect().Cut && !c.over
}

const mostHeld = 1 << 20 // bytes that wait on one connection: a kernel would hold no more

// hold keeps what comes while nothing gets through, and gives it once something does.
func (x *carried) hold(from net.Conn, data []byte, err error, effect func() Effect, there bool) ([]byte, error) {
	c, held, came := x.r, slices.Clone(data), len(data) > 0
	more := make([]byte, 4096)
	for c.cut(effect) {
		if came && there {
			c.n.note(Sending{At: c.n.now(), Router: c.router.N, To: c.to})
		}
		came = false
		if err != nil || len(held) > mostHeld {
			time.Sleep(again)
			continue
		}
		from.SetReadDeadline(time.Now().Add(again))
		size, now := from.Read(more)
		held, came = append(held, more[:size]...), size > 0
		if timeout, is := now.(net.Error); now != nil && !(is && timeout.Timeout()) {
			err = now
		}
	}
	from.SetReadDeadline(time.Time{})
	return held, err
}

// Reset breaks all connections that go through relays between ends, as a firewall does that forgets them.
func (n *Net) Reset(match func(router, to End) bool) (broken int) {
	n.mu.Lock()
	conns := slices.Clone(n.conns)
	n.mu.Unlock()
	for _, c := range conns {
		if !match(c.router, c.to) {
			continue
		}
		broken += c.breakAll()
	}
	return broken
}

func (c *connRelay) breakAll() (broken int) {
	c.mu.Lock()
	all := slices.Collect(maps.Keys(c.carried))
	c.mu.Unlock()
	for _, x := range all {
		x.close(true)
	}
	return len(all)
}

func (c *connRelay) close() {
	c.mu.Lock()
	c.over = true
	if c.ln != nil {
		c.ln.Close()
	}
	c.speak()
	c.mu.Unlock()
	c.breakAll()
}
