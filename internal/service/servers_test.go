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

// startCacheServer is one cache server and the list service that names it; a read is answered after a while.
func startCacheServer(t *testing.T, while time.Duration) (discovery string) {
	return startScriptedServer(t, func(conn net.Conn, id, _ string) {
		time.Sleep(while)
		fmt.Fprintf(conn, "VA 2 O%s h1\r\nhi\r\n", id)
	})
}

// startScriptedServer is one cache server that answers commands by their ids and keys, and the list service that names it.
func startScriptedServer(t *testing.T, give func(conn net.Conn, id, key string)) (discovery string) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
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
				for in := bufio.NewScanner(conn); in.Scan(); {
					for _, f := range strings.Fields(in.Text()) {
						if f[0] == 'O' {
							give(conn, f[1:], strings.Fields(in.Text())[1])
						}
					}
				}
			}()
		}
	}()
	list := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.RawQuery != "" {
			<-r.Context().Done()
		}
		fmt.Fprintf(w, `{"generation":1,"reset":true,"instances":[{"instanceId":"s-1","hostPort":"%s","lifecycle":"ready","weight":1}]}`,
			ln.Addr())
	}))
	t.Cleanup(func() { list.CloseClientConnections(); list.Close() })
	return list.Listener.Addr().String()
}

const longLength = 4 << 20

var longValue = bytes.Repeat([]byte("0123456789abcdef"), longLength/16)

// serveLongValues gives a long value, all of it in pieces of any size or a part, as a key says.
func serveLongValues(conn net.Conn, id, key string) {
	part, partly := map[string]int{"head": 0, "half": longLength / 2, "silent": 100, "frame": longLength}[key]
	switch {
	case key == "short", key == "later":
		time.Sleep(map[string]time.Duration{"later": 20 * time.Millisecond}[key])
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
		for rest, piece := longValue, 1; len(rest) > 0; piece = piece*3%50000 + 1 {
			n, _ := conn.Write(rest[:min(piece, len(rest))])
			if rest = rest[n:]; n == 0 {
				return
			}
			if key == "slow" && piece < 100 {
				time.Sleep(time.Millisecond)
			}
		}
		io.WriteString(conn, "\r\n")
		if key == "last" {
			conn.Close()
		}
	}
}

// readLongValue reads a long answer and tells what is wrong with it.
func readLongValue(in *bufio.Reader, id string) error {
	want := append(fmt.Appendf(nil, "VA %d O%s\r\n", longLength, id), longValue...)
	got := make([]byte, len(want)+2)
	if n, err := io.ReadFull(in, got); err != nil || !bytes.Equal(got, append(want, "\r\n"...)) {
		return fmt.Errorf("%d bytes, %.40q, %v", n, got, err)
	}
	return nil
}
