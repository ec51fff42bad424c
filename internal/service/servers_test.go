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

// startCacheServer starts one cache server, which answers reads after a delay, and the list service that names it
// s-1.
func startCacheServer(t *testing.T, delay time.Duration) (discovery string) {
	return startScriptedServer(t, func(conn net.Conn, id, _ string) {
		time.Sleep(delay)
		fmt.Fprintf(conn, "VA 2 O%s h1\r\nhi\r\n", id)
	})
}

// startScriptedServer starts one cache server, which answers commands by their ids and keys, and the list service
// that names it s-1.
func startScriptedServer(t *testing.T, answer func(conn net.Conn, id, key string)) (discovery string) {
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
	list := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.RawQuery != "" { // a poll for changes goes on, without any
			<-r.Context().Done()
		}
		fmt.Fprintf(w, `{"generation":1,"reset":true,"instances":[
			{"instanceId":"s-1","hostPort":"%s","lifecycle":"ready","weight":1}]}`, listener.Addr())
	}))
	t.Cleanup(func() {
		list.CloseClientConnections()
		list.Close()
	})
	return list.Listener.Addr().String()
}

// answerCommands answers each line with an id.
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

// serveLongValues answers with a long value, as the key says: "head", "half", "silent" and "frame" a part of it,
// "short" and "later" a short one, all others the whole of it in pieces of any size.
func serveLongValues(conn net.Conn, id, key string) {
	parts := map[string]int{"head": 0, "half": longLength / 2, "silent": 100, "frame": longLength}
	part, partly := parts[key]
	switch {
	case key == "short", key == "later":
		if key == "later" {
			time.Sleep(20 * time.Millisecond)
		}
		fmt.Fprintf(conn, "VA 2 O%s\r\nhi\r\n", id)
	case partly:
		fmt.Fprintf(conn, "VA %d O%s\r\n%s", longLength, id, longValue[:part])
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

// writeInPieces writes a value in pieces of 1 to 50,000 bytes; false where the connection ended before.
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

// readLongValue reads a long answer and tells what is wrong with it.
func readLongValue(in *bufio.Reader, id string) error {
	want := append(fmt.Appendf(nil, "VA %d O%s\r\n", longLength, id), longValue...)
	want = append(want, "\r\n"...)
	got := make([]byte, len(want))
	n, err := io.ReadFull(in, got)
	if err != nil || !bytes.Equal(got, want) {
		return fmt.Errorf("%d bytes, %.40q, %v", n, got, err)
	}
	return nil
}
