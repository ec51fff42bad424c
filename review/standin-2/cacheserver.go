package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// command is one command that a cache server or a client sends.
type command struct {
	verb, key, id, class string
	milliseconds         int // d
	line                 string
	value                []byte // of ms
}

// readCommand reads a command of the protocol. Of a line that is none, only the line is set.
func readCommand(in *bufio.Reader) (command, error) {
	line, err := in.ReadString('\n')
	if err != nil {
		return command{}, err
	}
	c := command{line: strings.TrimRight(line, "\r\n")}
	fields := strings.Fields(line)
	if len(fields) == 0 {
		return c, nil
	}
	c.verb = fields[0]
	if c.verb != "mg" && c.verb != "ms" {
		return c, nil
	}
	flags := fields[1:]
	if len(fields) > 1 {
		c.key = fields[1]
		flags = fields[2:]
	}
	for _, flag := range flags {
		switch flag[0] {
		case 'O':
			c.id = flag[1:]
		case 'P':
			for _, pair := range strings.Split(flag[1:], ",") {
				name, value, _ := strings.Cut(pair, "=")
				switch name {
				case "c":
					c.class = value
				case "d":
					c.milliseconds, _ = strconv.Atoi(value)
				}
			}
		}
	}
	if c.verb == "ms" && len(fields) > 2 {
		length, err := strconv.Atoi(fields[2])
		if err != nil {
			return c, err
		}
		c.value = make([]byte, length+2)
		if _, err := io.ReadFull(in, c.value); err != nil {
			return c, err
		}
		c.value = c.value[:length]
	}
	return c, nil
}

// cacheServer is a sound cache server: it answers the commands of a connection in their order, each after the time that
// its function says, and turns away an id that it has open already.
type cacheServer struct {
	play     *play
	name     string
	listener net.Listener
	work     func(command) (value []byte, after time.Duration)
	badForm  func(command) // called for a line that is no command of the protocol; nil: nothing

	mu   sync.Mutex
	open map[string]bool // ids
	runs map[string]int  // by id
}

func (p *play) startCacheServer(name string, work func(command) ([]byte, time.Duration)) *cacheServer {
	s := &cacheServer{play: p, name: name, listener: p.listen(), work: work, open: map[string]bool{}, runs: map[string]int{}}
	go func() {
		for {
			conn, err := s.listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s
}

func (s *cacheServer) address() string { return s.listener.Addr().String() }

func (s *cacheServer) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReaderSize(conn, 64<<10)
	answers := make(chan func(), 1000)
	defer close(answers)
	go func() {
		for answer := range answers {
			answer()
		}
	}()
	for {
		c, err := readCommand(in)
		if err != nil {
			return
		}
		switch {
		case c.verb == "mn":
			answers <- func() { fmt.Fprint(conn, "MN\r\n") }
		case (c.verb == "mg" || c.verb == "ms") && c.id != "":
			answers <- s.begin(conn, c)
		default:
			if s.badForm != nil {
				s.badForm(c)
			}
			answers <- func() { fmt.Fprint(conn, "CLIENT_ERROR bad command\r\n") }
		}
	}
}

// begin begins a command, and returns the function that waits for its end and answers it.
func (s *cacheServer) begin(conn net.Conn, c command) func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open[c.id] {
		return func() { fmt.Fprint(conn, "SERVER_ERROR busy\r\n") }
	}
	s.open[c.id] = true
	s.runs[c.id]++
	value, after := s.work(c)
	until := time.Now().Add(after)
	return func() {
		time.Sleep(time.Until(until))
		s.mu.Lock()
		delete(s.open, c.id)
		s.mu.Unlock()
		if c.verb == "ms" {
			fmt.Fprintf(conn, "HD O%s cr-%s\r\n", c.id, c.id)
			return
		}
		text := fmt.Appendf(nil, "VA %d O%s\r\n", len(value), c.id)
		text = append(text, value...)
		conn.Write(append(text, '\r', '\n'))
	}
}

// readAnswer reads one answer as a client does: its first line and, behind VA, the value.
func readAnswer(in *bufio.Reader) (line string, value []byte, err error) {
	line, err = in.ReadString('\n')
	if err != nil {
		return line, nil, err
	}
	line = strings.TrimRight(line, "\r\n")
	fields := strings.Fields(line)
	if len(fields) < 2 || fields[0] != "VA" {
		return line, nil, nil
	}
	length, err := strconv.Atoi(fields[1])
	if err != nil {
		return line, nil, err
	}
	value = make([]byte, length+2)
	_, err = io.ReadFull(in, value)
	if err != nil {
		return line, nil, err
	}
	return line, value[:length], nil
}

// client is one connection of a client, on which one request at a time is out.
type client struct {
	conn net.Conn
	in   *bufio.Reader
}

func (p *play) dial(address string) *client {
	conn, err := net.DialTimeout("tcp4", address, 2*time.Second)
	p.must(err, "connect to the router")
	conn.SetDeadline(time.Now().Add(60 * time.Second))
	return &client{conn, bufio.NewReader(conn)}
}

func (c *client) ask(command string) (string, []byte, error) {
	_, err := fmt.Fprint(c.conn, command+"\r\n")
	if err != nil {
		return "", nil, err
	}
	return readAnswer(c.in)
}
