package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// server is a cache server as the protocol page describes it: it reads through, so it has a value for every key. It
// begins a command when its last byte has come, runs the commands of a connection side by side and answers them in
// their order.
type server struct {
	name     string
	listener net.Listener
	record   *record

	work      func(c *command) time.Duration
	valueSize func(key string) int // of the value of a key, in bytes
	places    int                  // commands that run at one time; beyond them a command is turned away; 0: no bound

	onCommand func(c *command) // called as a command comes; nil: nothing

	mu       sync.Mutex
	draining bool
	hanging  bool
	running  int
}

// command is one request as it came.
type command struct {
	write        bool
	key, id      string
	class        string
	millisLeft   string
	value        []byte
	beganAt      time.Time
	server, conn string
}

func startServer(name, address string, rec *record) (*server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &server{
		name:      name,
		listener:  listener,
		record:    rec,
		work:      func(*command) time.Duration { return 20 * time.Millisecond },
		valueSize: func(string) int { return 100 },
	}
	return s, nil
}

func (s *server) address() string { return s.listener.Addr().String() }

func (s *server) serve() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		// A process that dies resets its connections.
		conn.(*net.TCPConn).SetLinger(0)
		go s.serveConn(conn.(*net.TCPConn))
	}
}

func (s *server) setDraining() {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
}

// serveConn reads the commands of a connection and answers them in their order.
func (s *server) serveConn(conn *net.TCPConn) {
	answers := make(chan chan []byte, 1000)
	go func() {
		for answer := range answers {
			writeInPieces(conn, <-answer)
		}
		conn.Close()
	}()
	defer close(answers)
	in := bufio.NewReader(conn)
	for {
		c, err := readCommand(in)
		if err != nil {
			return
		}
		if c == nil { // mn
			answer := make(chan []byte, 1)
			answer <- []byte("MN\r\n")
			answers <- answer
			continue
		}
		c.beganAt = time.Now()
		c.server = s.name
		c.conn = conn.RemoteAddr().String()
		if s.onCommand != nil {
			s.onCommand(c)
		}
		answer := make(chan []byte, 1)
		answers <- answer
		go s.run(c, answer)
	}
}

// writeInPieces writes an answer; a long one at some 10 MB/s, as a peer may.
func writeInPieces(conn net.Conn, text []byte) {
	for len(text) > longPiece {
		conn.Write(text[:longPiece])
		text = text[longPiece:]
		time.Sleep(longPause)
	}
	conn.Write(text)
}

const (
	longPiece = 64 << 10
	longPause = 6 * time.Millisecond
)

// run executes one command, or turns it away.
func (s *server) run(c *command, answer chan []byte) {
	s.mu.Lock()
	if s.hanging {
		s.mu.Unlock()
		s.record.add("server %s: hangs: %s on %s", s.name, c, c.conn)
		return
	}
	refused := s.draining || s.places > 0 && s.running >= s.places
	why := "full"
	if s.draining {
		why = "draining"
	}
	if !refused {
		s.running++
	}
	s.mu.Unlock()
	if refused {
		s.record.add("server %s: came: %s, turned away (%s) on %s", s.name, c, why, c.conn)
		answer <- []byte("SERVER_ERROR busy\r\n")
		return
	}
	s.record.add("server %s: began: %s on %s", s.name, c, c.conn)
	time.Sleep(s.work(c))
	s.mu.Lock()
	s.running--
	hanging := s.hanging
	s.mu.Unlock()
	if hanging {
		return
	}
	if c.write {
		s.record.add("server %s: done: %s", s.name, c.id)
		answer <- []byte("HD O" + c.id + " cR" + c.id + "\r\n")
		return
	}
	value := valueOf(s.name, c.key, s.valueSize(c.key))
	s.record.add("server %s: done: %s, a value of %d bytes", s.name, c.id, len(value))
	answer <- fmt.Appendf(nil, "VA %d O%s\r\n%s\r\n", len(value), c.id, value)
}

func (c *command) String() string {
	verb := "read"
	if c.write {
		verb = "write"
	}
	return fmt.Sprintf("%s %s id %s class %s d=%s", verb, c.key, c.id, c.class, c.millisLeft)
}

// valueOf is the value that a server has for a key: it names both.
func valueOf(server, key string, size int) []byte {
	text := server + " " + key + " "
	return []byte(strings.Repeat(text, size/len(text)+1)[:size])
}

// readCommand reads the next command; it returns nil for mn.
func readCommand(in *bufio.Reader) (*command, error) {
	line, err := in.ReadString('\n')
	if err != nil {
		return nil, err
	}
	fields := strings.Fields(line)
	if len(fields) == 0 {
		return nil, fmt.Errorf("an empty line")
	}
	if fields[0] == "mn" {
		return nil, nil
	}
	c := &command{write: fields[0] == "ms"}
	if len(fields) < 3 {
		return nil, fmt.Errorf("a line of %d fields", len(fields))
	}
	c.key = fields[1]
	for _, field := range fields[2:] {
		switch field[0] {
		case 'O':
			c.id = field[1:]
		case 'P':
			for _, parameter := range strings.Split(field[1:], ",") {
				name, value, _ := strings.Cut(parameter, "=")
				switch name {
				case "c":
					c.class = value
				case "d":
					c.millisLeft = value
				}
			}
		}
	}
	if c.write {
		length, err := strconv.Atoi(fields[2])
		if err != nil {
			return nil, err
		}
		c.value = make([]byte, length+2)
		_, err = io.ReadFull(in, c.value)
		if err != nil {
			return nil, err
		}
	}
	return c, nil
}

// serverMain runs a cache server as a process of its own, which can be killed. It writes its record to standard output.
func serverMain(name, address string) {
	s, err := startServer(name, address, &record{out: os.Stdout})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	s.work = workByKey
	s.valueSize = sizeByKey
	s.serve()
}

// workByKey is how long a read or write takes: keys that begin with "miss" have to be fetched from the slow origin.
func workByKey(c *command) time.Duration {
	if strings.HasPrefix(c.key, "miss") {
		return 400 * time.Millisecond
	}
	return 20 * time.Millisecond
}

// sizeByKey is the size of the value of a key: keys that begin with "long" have long values.
func sizeByKey(key string) int {
	if strings.HasPrefix(key, "long") {
		return 4 << 20
	}
	return 100
}
