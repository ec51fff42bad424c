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

// connRelay listens at addr and relays the connections from one router to its target, one cache server or the
// router's list service, which listens at real. While a rule cuts the two off, no new connection is established, and
// data on established connections is held until the rule ends, as on a network that loses all packets.
type connRelay struct {
	network           *Network
	router, to        End
	addr, real        string
	mu                sync.Mutex
	listener          net.Listener
	acceptDone        chan struct{} // closed when the accept loop has returned and the listener's address is free
	stopSilence       func()        // ends the emulation of a silent address; nil when there is none
	relayed           map[*relayed]bool
	forward, backward Effect
	targetRefuses     bool // the target refuses connections
	targetSilent      bool // connections to the target time out
	stopped           bool
}

// relayed is one relayed connection: client is the router's side, real the target's side.
type relayed struct {
	relay        *connRelay
	client, real net.Conn
}

// RelayConnections starts a relay at addr for one router's connections to the target that listens at real.
func (network *Network) RelayConnections(router, to End, addr, real string) error {
	c := &connRelay{network: network, router: router, to: to, addr: addr, real: real, relayed: map[*relayed]bool{}}
	network.mu.Lock()
	network.conns = append(network.conns, c)
	network.mu.Unlock()
	return c.applyRules()
}

// applyRules makes the relay listen, refuse connections or be silent, according to the rules in force and the state
// of the target.
func (c *connRelay) applyRules() (err error) {
	c.network.mu.Lock()
	forward, backward, closed := c.network.effectLocked(c.router, c.to), c.network.effectLocked(c.to, c.router),
		c.network.closed
	c.network.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.forward, c.backward = forward, backward
	cut := forward.Cut || backward.Cut || c.targetSilent
	switch {
	case c.stopped || closed:
	case cut && c.stopSilence == nil:
		c.closeListener()
		err = bindWithRetry(func() (err error) {
			stop, err := emulator.HoldUnreachable(c.addr)
			if err == nil {
				c.stopSilence = stop
			}
			return err
		})
	case !cut && c.targetRefuses:
		c.endSilence()
		c.closeListener()
	case !cut && c.listener == nil:
		c.endSilence()
		err = bindWithRetry(func() (err error) {
			c.listener, err = net.Listen("tcp4", c.addr)
			return err
		})
		if err == nil {
			c.acceptDone = make(chan struct{})
			c.network.wg.Add(1)
			go c.accept(c.listener, c.acceptDone)
		}
	}
	return err
}

// bindWithRetry retries bind, up to 30 times: a process that the laboratory is starting holds all of its sockets
// between fork and exec, so an address can stay in use for a moment.
func bindWithRetry(bind func() error) (err error) {
	for range 30 {
		if err = bind(); err == nil {
			break
		}
		time.Sleep(pollInterval)
	}
	return err
}

// endSilence stops the emulation of a silent address. The caller holds c.mu.
func (c *connRelay) endSilence() {
	if c.stopSilence != nil {
		c.stopSilence()
		c.stopSilence = nil
	}
}

// closeListener closes the listener and waits until its address is free: a pending accept call keeps it in use for a
// moment longer. The caller holds c.mu.
func (c *connRelay) closeListener() {
	if c.listener != nil {
		c.listener.Close()
		<-c.acceptDone
		c.listener = nil
	}
}

func (c *connRelay) accept(listener net.Listener, done chan struct{}) {
	defer c.network.wg.Done()
	defer close(done)
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		c.network.wg.Add(1)
		go c.serve(client)
	}
}

const (
	pollInterval = 10 * time.Millisecond // between two checks of a target, a held connection or an address
	dialTimeout  = 50 * time.Millisecond // on loopback a connection is established far sooner, or not at all
)

// followTarget makes the relay refuse connections, or be silent, as the target does, until the target accepts
// connections again. err is the error of the last dial.
func (c *connRelay) followTarget(err error) {
	update := func(err error) (failing, changed bool) {
		c.mu.Lock()
		defer c.mu.Unlock()
		netErr, ok := err.(net.Error)
		wasSilent := c.targetSilent
		c.targetSilent = err != nil && ok && netErr.Timeout()
		c.targetRefuses = err != nil && !c.targetSilent
		return err != nil && !c.stopped, wasSilent != c.targetSilent
	}
	c.mu.Lock()
	firstFailure := !c.targetRefuses && !c.targetSilent
	c.mu.Unlock()
	update(err)
	if c.applyRules(); !firstFailure {
		return
	}
	c.network.wg.Add(1)
	go func() {
		defer c.network.wg.Done()
		for {
			time.Sleep(pollInterval)
			conn, err := net.DialTimeout("tcp4", c.real, dialTimeout)
			if err == nil {
				conn.Close()
			}
			failing, changed := update(err)
			if !failing || changed {
				c.applyRules()
			}
			if !failing {
				return
			}
		}
	}()
}

// serve relays one connection. The relay has to accept it before it can find out whether the target does. If the
// target refuses, the router's connection is reset; if the dial times out, the connection stays open without an
// answer. Later connections are refused or time out as they would at the target.
func (c *connRelay) serve(client net.Conn) {
	defer c.network.wg.Done()
	real, err := net.DialTimeout("tcp4", c.real, dialTimeout)
	conn := &relayed{relay: c, client: client, real: real}
	c.mu.Lock()
	c.relayed[conn] = true
	stopped := c.stopped
	c.mu.Unlock()
	if err != nil {
		c.followTarget(err)
		if netErr, ok := err.(net.Error); !stopped && ok && netErr.Timeout() {
			io.Copy(io.Discard, client)
		}
		stopped = true
	}
	if stopped {
		conn.close(true)
		return
	}
	c.network.wg.Add(2)
	go conn.copy(client, real, func() Effect { return c.forward }, true)
	go conn.copy(real, client, func() Effect { return c.backward }, false)
}

// aborted reports whether the peer has aborted the connection instead of closing it, so that its kernel sends nothing
// more.
func aborted(conn net.Conn) bool {
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

func (rc *relayed) close(reset bool) {
	for _, conn := range []net.Conn{rc.client, rc.real} {
		if conn == nil {
			continue
		}
		if tcp, ok := conn.(*net.TCPConn); ok && reset {
			tcp.SetLinger(0)
		}
		conn.Close()
	}
	rc.relay.mu.Lock()
	delete(rc.relay.relayed, rc)
	rc.relay.mu.Unlock()
}

// copy relays one direction until either side ends. If a side is aborted instead of closed, data in flight is lost.
func (rc *relayed) copy(from, to net.Conn, effect func() Effect, fromRouter bool) {
	c := rc.relay
	defer c.network.wg.Done()
	buf := make([]byte, 32<<10)
	for {
		size, err := from.Read(buf)
		data := buf[:size]
		if c.cut(effect) {
			data, err = rc.hold(from, data, err, effect, fromRouter)
		}
		if err != nil && (err != io.EOF || aborted(from)) {
			rc.close(true)
			return
		}
		if len(data) > 0 {
			c.mu.Lock()
			e := effect()
			c.mu.Unlock()
			if wait := e.Delay + e.Spread*c.network.randomFloat(); wait > 0 {
				time.Sleep(seconds(wait))
			}
			if _, writeErr := to.Write(data); writeErr != nil {
				rc.close(true)
				return
			}
		}
		if err != nil { // an aborted connection is closed first: wait before checking
			if tcp, ok := to.(*net.TCPConn); ok {
				tcp.CloseWrite()
			}
			time.Sleep(pollInterval)
			rc.close(aborted(from))
			return
		}
	}
}

func (c *connRelay) cut(effect func() Effect) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return effect().Cut && !c.stopped
}

const maxHeldBytes = 1 << 20 // per connection and direction, as a kernel would buffer no more

// hold buffers what arrives on from while the direction is cut off, and returns it when the cut ends. It records that
// a router sent data meanwhile.
func (rc *relayed) hold(from net.Conn, data []byte, err error, effect func() Effect, fromRouter bool) ([]byte, error) {
	c, held, received := rc.relay, slices.Clone(data), len(data) > 0
	chunk := make([]byte, 4096)
	for c.cut(effect) {
		if received && fromRouter {
			c.network.recordBlocked(BlockedSend{At: c.network.now(), Router: c.router.Number, To: c.to})
		}
		received = false
		if err != nil || len(held) > maxHeldBytes {
			time.Sleep(pollInterval)
			continue
		}
		from.SetReadDeadline(time.Now().Add(pollInterval))
		size, now := from.Read(chunk)
		held, received = append(held, chunk[:size]...), size > 0
		if netErr, ok := now.(net.Error); now != nil && !(ok && netErr.Timeout()) {
			err = now
		}
	}
	from.SetReadDeadline(time.Time{})
	return held, err
}

// Reset resets all relayed connections between matching ends, as a firewall does that has lost its connection table.
// It returns their number.
func (network *Network) Reset(match func(router, to End) bool) (broken int) {
	network.mu.Lock()
	conns := slices.Clone(network.conns)
	network.mu.Unlock()
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
	all := slices.Collect(maps.Keys(c.relayed))
	c.mu.Unlock()
	for _, conn := range all {
		conn.close(true)
	}
	return len(all)
}

func (c *connRelay) close() {
	c.mu.Lock()
	c.stopped = true
	if c.listener != nil {
		c.listener.Close()
	}
	c.endSilence()
	c.mu.Unlock()
	c.breakAll()
}
