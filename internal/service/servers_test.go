package service

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// startCacheServer starts a cache server that answers reads after a delay, and a list service whose list names it s-1.
func startCacheServer(t *testing.T, delay time.Duration) (discovery string) {
	return startScriptedServer(t, func(conn net.Conn, id, _ string) {
		time.Sleep(delay)
		fmt.Fprintf(conn, "VA 2 O%s h1\r\nhi\r\n", id)
	})
}

// startScriptedServer starts a cache server that answers commands by a function of their ids and keys, and a list
// service whose list names it s-1.
func startScriptedServer(t *testing.T, answer func(conn net.Conn, id, key string)) (discovery string) {
	return startScriptedServers(t, answer, "s-1")
}

// startListOfTwo is startScriptedServer with a list that names two servers, s-1 and s-2, at the same address.
func startListOfTwo(t *testing.T, answer func(conn net.Conn, id, key string)) (discovery string) {
	return startScriptedServers(t, answer, "s-1", "s-2")
}

// startScriptedServers starts a cache server, and a list service whose list names it by the given names.
func startScriptedServers(
	t *testing.T, answer func(conn net.Conn, id, key string), names ...string,
) (discovery string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go answerCommands(conn, answer)
		}
	}()
	var instances []string
	for _, name := range names {
		instances = append(instances, fmt.Sprintf(`{"instanceId":"%s","hostPort":"%s","lifecycle":"ready","weight":1}`,
			name, listener.Addr()))
	}
	list := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.RawQuery != "" { // a long poll for changes, of which there are none
			<-r.Context().Done()
		}
		fmt.Fprintf(w, `{"generation":1,"reset":true,"instances":[%s]}`, strings.Join(instances, ","))
	}))
	t.Cleanup(func() {
		list.CloseClientConnections()
		list.Close()
	})
	return list.Listener.Addr().String()
}

// answerCommands answers each line that has an id.
func answerCommands(conn net.Conn, answer func(conn net.Conn, id, key string)) {
	for in := bufio.NewScanner(conn); in.Scan(); {
		fields := strings.Fields(in.Text())
		for _, field := range fields {
			if field[0] == 'O' {
				answer(conn, field[1:], fields[1])
			}
		}
	}
}

const longLength = 4 << 20

var longValue = bytes.Repeat([]byte("0123456789abcdef"), longLength/16)

// serveLongValues answers by the key: "short" and "later" get a short value, "head", "half", "silent" and "frame" an
// incomplete long one, and all others a complete long one in pieces of varying size.
func serveLongValues(conn net.Conn, id, key string) {
	lengths := map[string]int{"head": 0, "half": longLength / 2, "silent": 100, "frame": longLength}
	length, incomplete := lengths[key]
	switch {
	case key == "short", key == "later":
		if key == "later" {
			time.Sleep(20 * time.Millisecond)
		}
		fmt.Fprintf(conn, "VA 2 O%s\r\nhi\r\n", id)
	case incomplete:
		fmt.Fprintf(conn, "VA %d O%s\r\n%s", longLength, id, longValue[:length])
		if key == "frame" {
			io.WriteString(conn, "!!")
		}
		if key != "silent" {
			conn.Close()
		}
	default:
		fmt.Fprintf(conn, "VA %d O%s\r\n", longLength, id)
		if !writeInPieces(conn, longValue, key == "slow") {
			return
		}
		io.WriteString(conn, "\r\n")
		if key == "last" {
			conn.Close()
		}
	}
}

// writeInPieces writes a value in pieces of 1 to 50,000 bytes, and reports whether it could write all of it.
func writeInPieces(conn net.Conn, value []byte, slowly bool) bool {
	rest := value
	for piece := 1; len(rest) > 0; piece = piece*3%50000 + 1 {
		n, _ := conn.Write(rest[:min(piece, len(rest))])
		rest = rest[n:]
		if n == 0 {
			return false
		}
		if slowly && piece < 100 {
			time.Sleep(time.Millisecond)
		}
	}
	return true
}

// readLongValue reads the answer with the long value, and returns an error if it is not as expected.
func readLongValue(in *bufio.Reader, id string) error {
	want := append(fmt.Appendf(nil, "VA %d O%s\r\n", longLength, id), longValue...)
	want = append(want, "\r\n"...)
	got := make([]byte, len(want))
	n, err := io.ReadFull(in, got)
	if err != nil || !bytes.Equal(got, want) {
		return fmt.Errorf("long value: got %d bytes, %.40q, %v, want all of it", n, got, err)
	}
	return nil
}
