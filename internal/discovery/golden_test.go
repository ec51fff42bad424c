package discovery

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net"
	"strings"
	"testing"

	"github.com/rs/zerolog"
)

// readRequest reads a request up to and including its empty line.
func readRequest(in *bufio.Reader) (string, error) {
	text := ""
	for !strings.HasSuffix(text, "\r\n\r\n") {
		line, err := in.ReadString('\n')
		if err != nil {
			return "", err
		}
		text += line
	}
	return text, nil
}

// The list service parses these requests, and operators read these log lines. The requests are as the build of commit
// 15122f5 sent them.
func TestGoldenRequestsAndLog(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	answer := func(status, body string) string {
		return fmt.Sprintf("HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
	}
	answers := []string{
		answer("200 OK", `{"generation":41,"reset":true,"instances":[{"instanceId":"s-1"},{"instanceId":"s-2","cell":"x"}]}`),
		answer("503 Service Unavailable", ""),
		answer("200 OK", `{"generation":40,"reset":true,"instances":[]}`),
		answer("200 OK", `{"generation":39,"reset":true,"instances":[]}`),
		answer("200 OK", `[]`),
		answer("200 OK", `{"generation":42,"reset":true,"instances":[]}`),
	}
	ctx, stop := context.WithCancel(context.Background())
	requests := make(chan string)
	go func() {
		defer close(requests)
		for len(answers) > 0 {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			in := bufio.NewReader(conn)
			for len(answers) > 0 {
				text, err := readRequest(in)
				if err != nil {
					break
				}
				requests <- text
				conn.Write([]byte(answers[0]))
				answers = answers[1:]
			}
			defer conn.Close()
		}
	}()
	var log bytes.Buffer
	done := make(chan bool)
	failures := ""
	go func() {
		defer close(done)
		Watch(ctx, ln.Addr().String(), WatchStart{Schedule: tolerant(onePoll)}, func(list EndpointList) error {
			if list.Generation == 39 {
				return fmt.Errorf("%w: 39, 41", ErrOutdated)
			}
			if list.Generation == 42 {
				stop()
			}
			return nil
		}, func(err error) { failures += err.Error() + "\n" }, zerolog.New(&log))
	}()
	got := ""
	for text := range requests {
		got += strings.ReplaceAll(text, ln.Addr().String(), "ADDRESS")
	}
	<-done
	got = strings.ReplaceAll(got, "\r\n", "\n") + log.String() + failures
	if got != wantRequestsAndLog {
		t.Errorf("got\n%s\nwant\n%s", got, wantRequestsAndLog)
	}
}

const wantRequestsAndLog = `GET /catalog/members HTTP/1.1
Host: ADDRESS
User-Agent: Go-http-client/1.1

GET /catalog/members?from=41&hold_ms=2000 HTTP/1.1
Host: ADDRESS
User-Agent: Go-http-client/1.1

GET /catalog/members?from=41&hold_ms=0 HTTP/1.1
Host: ADDRESS
User-Agent: Go-http-client/1.1

GET /catalog/members HTTP/1.1
Host: ADDRESS
User-Agent: Go-http-client/1.1

GET /catalog/members HTTP/1.1
Host: ADDRESS
User-Agent: Go-http-client/1.1

GET /catalog/members HTTP/1.1
Host: ADDRESS
User-Agent: Go-http-client/1.1

{"level":"warn","fault":"instances: cell: not a whole number","message":"malformed entries in the endpoint list; their servers get no new requests"}
{"level":"warn","error":"the list service answered 503 Service Unavailable","message":"polling the list service failed; the last endpoint list stays in use"}
{"level":"warn","error":"generation 40 is older than the requested generation 41","message":"polling the list service failed; the last endpoint list stays in use"}
{"level":"warn","error":"the list is older than the known list: 39, 41","message":"polling the list service failed; the last endpoint list stays in use"}
{"level":"warn","error":"malformed list: not an object","message":"polling the list service failed; the last endpoint list stays in use"}
{"level":"info","message":"the list service answers again"}
the list service answered 503 Service Unavailable
generation 40 is older than the requested generation 41
the list is older than the known list: 39, 41
malformed list: not an object
`
