package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// answer is what a client got for one request.
type answer struct {
	line  string // without its line end; empty: the connection ended before it
	value []byte
	whole bool // all of it came
}

func (a answer) String() string {
	if a.line == "" {
		return "no answer"
	}
	if len(a.value) == 0 {
		return a.line
	}
	if !a.whole {
		return fmt.Sprintf("%s and %d bytes, not whole", a.line, len(a.value))
	}
	return fmt.Sprintf("%s and %d bytes", a.line, len(a.value))
}

var ids atomic.Int64

// newID returns the id of a request: it is new with every request.
func newID() string {
	return fmt.Sprintf("%08x%08x", startedAt.UnixNano()&0xffffffff, ids.Add(1))
}

func getCommand(key, id, class string, millis int) string {
	return fmt.Sprintf("mg %s v O%s Pc=%s,d=%d\r\n", key, id, class, millis)
}

func setCommand(key, id, class, value string, millis int) string {
	return fmt.Sprintf("ms %s %d O%s Pc=%s,d=%d\r\n%s\r\n", key, len(value), id, class, millis, value)
}

// readAnswer reads the answer to one command.
func readAnswer(in *bufio.Reader) (answer, error) {
	line, err := in.ReadString('\n')
	if err != nil {
		return answer{}, err
	}
	a := answer{line: strings.TrimRight(line, "\r\n"), whole: true}
	fields := strings.Fields(line)
	if len(fields) < 2 || fields[0] != "VA" {
		return a, nil
	}
	length, err := strconv.Atoi(fields[1])
	if err != nil {
		return a, err
	}
	a.value = make([]byte, length+2)
	n, err := io.ReadFull(in, a.value)
	a.value = a.value[:min(n, length)]
	a.whole = err == nil
	return a, err
}

// ask sends one command on a connection of its own.
func ask(address, command string, wait time.Duration) answer {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return answer{}
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(wait))
	io.WriteString(conn, command)
	a, _ := readAnswer(bufio.NewReader(conn))
	return a
}

// clientPool keeps connections to a router and opens more when all are busy.
type clientPool struct {
	address string
	record  *record
	mu      sync.Mutex
	idle    []net.Conn
}

// ask sends a request. If its connection has been closed between two requests, it is sent once more on a new one.
func (p *clientPool) ask(id, command string) {
	for try := range 2 {
		conn := p.connection(try > 0)
		if conn == nil {
			p.record.add("client: %s is refused", id)
			return
		}
		conn.SetDeadline(time.Now().Add(5 * time.Second))
		p.record.add("client: sends %s", strings.TrimSpace(command))
		io.WriteString(conn, command)
		got, err := readAnswer(bufio.NewReader(conn))
		if err != nil {
			conn.Close()
			continue
		}
		p.record.add("client: %s got: %s", id, got)
		p.mu.Lock()
		p.idle = append(p.idle, conn)
		p.mu.Unlock()
		return
	}
	p.record.add("client: %s got no answer", id)
}

// connection is a resting connection, or a new one; nil: refused.
func (p *clientPool) connection(fresh bool) net.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) > 0 && !fresh {
		conn := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		return conn
	}
	conn, err := net.Dial("tcp", p.address)
	if err != nil {
		return nil
	}
	return conn
}
