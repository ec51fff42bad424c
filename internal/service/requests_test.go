package service

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/rs/zerolog"
)

// A cache server does not send some part of a reply. A request of any traffic class must still get one final answer by
// its deadline, and the next command on the connection its own answer.
func TestIncompleteReplyEndsInOneFinalAnswer(t *testing.T) {
	text := `{"listen":"%s","discovery":"%s","settings":{"limits":{"mostExecutions":3,"cancelling":true},"trafficTypes":[
		{"name":"t","effect":"retryable","promisedTime":50000000,"hardStop":100000000,"benefit":1},
		{"name":"u","effect":"dedup","keyScope":"all","dedupWindow":20000000,
			"promisedTime":50000000,"hardStop":100000000,"benefit":1},
		{"name":"w","effect":"dedup","keyScope":"zone","promisedTime":50000000,"hardStop":100000000,"benefit":1},
		{"name":"x","promisedTime":50000000,"hardStop":100000000,"benefit":1}]}}`
	for sent, answer := range map[string]func(conn net.Conn, id, key string){
		"nothing":                      func(net.Conn, string, string) {},
		"half a line":                  func(conn net.Conn, _, _ string) { io.WriteString(conn, "VA 2") },
		"only a head":                  func(conn net.Conn, id, _ string) { fmt.Fprintf(conn, "VA 2 O%s\r\n", id) },
		"half a value":                 func(conn net.Conn, id, _ string) { fmt.Fprintf(conn, "VA 9 O%s\r\nhalf", id) },
		"all but the end":              func(conn net.Conn, id, _ string) { fmt.Fprintf(conn, "VA 2 O%s\r\nhi\r", id) },
		"a close":                      func(conn net.Conn, _, _ string) { conn.Close() },
		"the reply of another request": func(conn net.Conn, _, _ string) { io.WriteString(conn, "VA 2 Oelse\r\nhi\r\n") },
		"half a value and a close": func(conn net.Conn, id, _ string) {
			fmt.Fprintf(conn, "VA 9 O%s\r\nhalf", id)
			conn.Close()
		},
	} {
		s, addr, err := assembleConfig(text, startScriptedServer(t, answer), zerolog.Nop())
		if err != nil {
			t.Fatal(err)
		}
		s.runLoop(t)
		waitServing(t, s)
		conn, in := dialAndSend(t, addr, "", "")
		for _, class := range []string{"t", "u", "w", "x"} {
			for _, command := range []string{"mg k v O%s1 Pc=%[1]s,d=80\r\nmn\r\n", "ms k 2 O%s2 Pc=%[1]s\r\nhi\r\nmn\r\n"} {
				fmt.Fprintf(conn, command, class)
				if got, err := in.ReadString('\n'); !strings.HasPrefix(got, "SERVER_ERROR ") {
					t.Errorf("the server sends %s: got %q, %v, want an error line", sent, got, err)
				}
				if got, err := in.ReadString('\n'); got != "MN\r\n" {
					t.Errorf("the server sends %s: next command got %q, %v, want MN", sent, got, err)
				}
			}
		}
		waitUntil(t, "the end of all attempts", s, func() bool {
			return s.pools.platform.core.OpenRequests() == 0 && s.clients.frontend.OpenRequests() == 0
		})
	}
}

// A burst uses up the limit on open requests while no cache server answers: further requests are rejected. Once the
// clients have disconnected, or the deadline has passed, the next request must be forwarded.
func TestCapacityIsFreedAfterBurst(t *testing.T) {
	for _, burst := range []struct {
		name             string
		limits, deadline string
		disconnect       bool
	}{
		{"clients disconnect, and attempts are cancelled", `"openCap":20,"cancelling":true`, "60000000000", true},
		{"clients disconnect", `"openCap":20`, "2000000000", true},
		{"the deadline has passed", `"openCap":20`, "300000000", false},
		{"the deadline has passed, without retries", `"openCap":20,"mostExecutions":1`, "300000000", false},
	} {
		list := startScriptedServer(t, func(conn net.Conn, id, key string) {
			if key != "hangs" {
				fmt.Fprintf(conn, "VA 2 O%s\r\nhi\r\n", id)
			}
		})
		text := `{"listen":"%s","discovery":"%s","settings":{"limits":{` + burst.limits + `},"trafficTypes":[
			{"name":"t","effect":"retryable","promisedTime":60000000000,"hardStop":` + burst.deadline + `,"benefit":1}]}}`
		s, addr, err := assembleConfig(text, list, zerolog.Nop())
		if err != nil {
			t.Fatal(err)
		}
		s.runLoop(t)
		waitServing(t, s)
		conn, _ := dialAndSend(t, addr, "", "")
		runOnLoop(s, func() { // blocks the loop until all of the burst is sent
			for i := range 30 {
				fmt.Fprintf(conn, "mg hangs v Ob%d Pc=t\r\n", i)
			}
		})
		// Until the loop has read the burst, no request is open either.
		waitUntil(t, "20 requests of the burst", s, func() bool { return s.pools.platform.core.Counts.Received == 20 })
		if burst.disconnect {
			waitUntil(t, "20 open requests", s, func() bool { return s.broker.OpenRequests() == 20 })
			if got := sendCommand(addr, "mg k v Oc1 Pc=t"); got != "SERVER_ERROR busy" {
				t.Errorf("%s: at the limit: got %q, want SERVER_ERROR busy", burst.name, got)
			}
			conn.Close()
		}
		waitUntil(t, "the end of all requests", s, func() bool { return s.broker.OpenRequests() == 0 })
		if got := sendCommand(addr, "mg k v Oc2 Pc=t"); got != "VA 2 Oc2" {
			t.Errorf("%s: after the burst: got %q, want VA 2 Oc2", burst.name, got)
		}
	}
}
