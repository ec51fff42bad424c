package service

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/rs/zerolog"
)

// Whatever a cache server keeps back, an operation of any effect has one final answer by its hard stop, and the next command its own.
func TestAnAnswerThatNeverComes(t *testing.T) {
	types := `{"listen":"%s","discovery":"%s","settings":{"limits":{"mostExecutions":3,"cancelling":true},"trafficTypes":[
		{"name":"t","effect":"retryable","promisedTime":50000000,"hardStop":100000000,"benefit":1},
		{"name":"u","effect":"dedup","keyScope":"all","dedupWindow":20000000,"promisedTime":50000000,"hardStop":100000000,"benefit":1},
		{"name":"w","effect":"dedup","keyScope":"zone","promisedTime":50000000,"hardStop":100000000,"benefit":1},
		{"name":"x","promisedTime":50000000,"hardStop":100000000,"benefit":1}]}}`
	for name, give := range map[string]func(conn net.Conn, id, key string){
		"nothing":            func(net.Conn, string, string) {},
		"half a line":        func(conn net.Conn, _, _ string) { io.WriteString(conn, "VA 2") },
		"a head alone":       func(conn net.Conn, id, _ string) { fmt.Fprintf(conn, "VA 2 O%s\r\n", id) },
		"half a value":       func(conn net.Conn, id, _ string) { fmt.Fprintf(conn, "VA 9 O%s\r\nhalf", id) },
		"all but the end":    func(conn net.Conn, id, _ string) { fmt.Fprintf(conn, "VA 2 O%s\r\nhi\r", id) },
		"its connection":     func(conn net.Conn, _, _ string) { conn.Close() },
		"another's answer":   func(conn net.Conn, _, _ string) { io.WriteString(conn, "VA 2 Oelse\r\nhi\r\n") },
		"half, then its end": func(conn net.Conn, id, _ string) { fmt.Fprintf(conn, "VA 9 O%s\r\nhalf", id); conn.Close() },
	} {
		s, addr, err := assembleConfig(types, startScriptedServer(t, give), zerolog.Nop())
		if err != nil {
			t.Fatal(err)
		}
		go s.loop.Run()
		t.Cleanup(func() { s.loop.Post(s.end) })
		waitServing(t, s)
		conn, in := dialAndSend(t, addr, "", "")
		for _, kind := range []string{"t", "u", "w", "x"} {
			for _, command := range []string{"mg k v O%s1 Pc=%[1]s,d=80\r\nmn\r\n", "ms k 2 O%s2 Pc=%[1]s\r\nhi\r\nmn\r\n"} {
				fmt.Fprintf(conn, command, kind)
				if got, err := in.ReadString('\n'); !strings.HasPrefix(got, "SERVER_ERROR ") {
					t.Errorf("kept back %s: it answers %q, %v", name, got, err)
				}
				if got, err := in.ReadString('\n'); got != "MN\r\n" {
					t.Errorf("kept back %s: the next answer is %q, %v", name, got, err)
				}
			}
		}
		waitUntil(t, "an end of all executions", s, func() bool { return s.pools.platform.core.OpenRequests() == 0 && s.clients.frontend.Open() == 0 })
	}
}

// A burst takes all places while no cache server answers: what comes beyond is declined. Once its clients have left, or its time is
// over, the next operation is sent on.
func TestCapacityComesBackAfterABurst(t *testing.T) {
	for name, c := range map[string]struct {
		limits, stop string
		leave        bool
	}{
		"clients leave, and executions are given up": {`"openCap":20,"cancelling":true`, "60000000000", true},
		"clients leave":     {`"openCap":20`, "2000000000", true},
		"its time is over":  {`"openCap":20`, "300000000", false},
		"and none is known": {`"openCap":20,"mostExecutions":1`, "300000000", false},
	} {
		list := startScriptedServer(t, func(conn net.Conn, id, key string) {
			if key != "hangs" {
				fmt.Fprintf(conn, "VA 2 O%s\r\nhi\r\n", id)
			}
		})
		text := `{"listen":"%s","discovery":"%s","settings":{"limits":{` + c.limits + `},"trafficTypes":[
			{"name":"t","effect":"retryable","promisedTime":60000000000,"hardStop":` + c.stop + `,"benefit":1}]}}`
		s, addr, err := assembleConfig(text, list, zerolog.Nop())
		if err != nil {
			t.Fatal(err)
		}
		go s.loop.Run()
		t.Cleanup(func() { s.loop.Post(s.end) })
		waitServing(t, s)
		conn, _ := dialAndSend(t, addr, "", "")
		callOnLoop(s, func() bool { // the loop is held until all of the burst is there
			for i := range 30 {
				fmt.Fprintf(conn, "mg hangs v Ob%d Pc=t\r\n", i)
			}
			return true
		})
		if c.leave {
			waitUntil(t, "a full router", s, func() bool { return s.broker.Open() == 20 })
			if got := sendCommand(addr, "mg k v Oc1 Pc=t"); got != "SERVER_ERROR busy" {
				t.Errorf("%s: full, it answers %q", name, got)
			}
			conn.Close()
		}
		waitUntil(t, "an end of all that was out", s, func() bool { return s.broker.Open() == 0 })
		if got := sendCommand(addr, "mg k v Oc2 Pc=t"); got != "VA 2 Oc2" {
			t.Errorf("%s: after the burst it answers %q", name, got)
		}
	}
}
