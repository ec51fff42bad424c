package emulator

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"bendtrestle/internal/eventloop"
	"bendtrestle/internal/testaddress"
)

// startRouter starts a fake router that answers the n-th command with the text that reply returns. It answers nothing
// if that is empty, and closes the connection if it is "close".
func startRouter(t *testing.T, reply func(n int, line, id string) string) string {
	ln, err := net.Listen("tcp", testaddress.New())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	var mu sync.Mutex // reply is called by one connection at a time
	requests := 0
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			in := bufio.NewScanner(conn)
			go func() {
				for in.Scan() {
					id := ""
					for _, f := range strings.Fields(in.Text()) {
						if f[0] == 'O' {
							id = f[1:]
						}
					}
					mu.Lock()
					requests++
					text := reply(requests, in.Text(), id)
					mu.Unlock()
					if text == "close" {
						conn.Close()
						return
					}
					fmt.Fprint(conn, text)
				}
			}()
		}
	}()
	return ln.Addr().String()
}

// runClients runs clients against routers for this many seconds and returns their records.
func runClients(t *testing.T, load Load, seconds float64, routers ...string) *ClientRecords {
	t.Helper()
	loop, err := eventloop.New()
	if err != nil {
		t.Fatal(err)
	}
	clients, err := NewClients(loop, 5, load, routers, nil)
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error)
	go func() { ended <- loop.Run() }()
	loop.Post(func() { clients.Start(seconds) })
	time.Sleep(time.Duration((seconds + 0.7) * float64(time.Second)))
	loop.Post(loop.Stop)
	<-ended
	return clients.Records()
}

func testLoad(rate float64) Load {
	return Load{Types: []*TrafficType{readType}, Rate: rate, Keys: 100, Zipf: 1, Retries: 2, TimeoutFraction: 0.6, Pause: 0.01,
		Connections: Kept, MaxConnections: 20}
}

func valueReply(id string) string { return fmt.Sprintf("VA 2 O%s\r\nhi\r\n", id) }

// Requests arrive at the configured rate even if the router answers none of them, and keys are drawn by popularity. A
// closed loop would lower the load while a router is slow.
func TestArrivalsAreOpenLoop(t *testing.T) {
	load := testLoad(300)
	load.MaxConnections = 1000
	records := runClients(t, load, 0.5, startRouter(t, func(int, string, string) string { return "" }))
	if n := len(records.Requests); n < 100 || n > 200 {
		t.Errorf("got %d requests in 0.5 s at 300 per second, want 100 to 200", n)
	}
	keys := map[string]int{}
	for _, request := range records.Requests {
		keys[request.Key]++
		if request.End != NoAnswer && request.End != NoConnection {
			t.Fatalf("an unanswered request ended as %v, want silent or no connection", request.End)
		}
	}
	if keys[Key(0)] < 2*keys[Key(9)] {
		t.Errorf("the most popular key was drawn %d times, the tenth %d times; want at least a factor of 2", keys[Key(0)],
			keys[Key(9)])
	}
}

// A rejected request is retried after the delay that the router asked for. An at-most-once request is not retried after
// a failure, because it may have run.
func TestRetriesByOutcomeAndIdempotency(t *testing.T) {
	records := runClients(t, func() Load { load := testLoad(20); load.HonorRetryAfter = 1; return load }(), 0.4,
		startRouter(t, func(n int, _, id string) string {
			if n == 1 {
				return "SERVER_ERROR busy 80\r\n"
			}
			return valueReply(id)
		}))
	first := records.Requests[0].Attempts
	if len(first) != 2 || first[0].End != Rejected || first[1].End != Finished || first[1].Began-first[0].Ended < 0.079 {
		t.Errorf("attempts of a rejected request: %+v, want a rejected one and, 80 ms later, a finished one", first)
	}
	once := *readType
	once.Idempotency = 0
	load := testLoad(20)
	load.Types = []*TrafficType{&once}
	for _, request := range runClients(t, load, 0.3, startRouter(t, func(int, string, string) string {
		return "SERVER_ERROR failed\r\n"
	})).Requests {
		if len(request.Attempts) != 1 || request.End != FailedAttempt {
			t.Errorf("a failed at-most-once request: got %d attempts, want 1", len(request.Attempts))
		}
	}
}

// A second answer to an attempt is recorded. If a reused connection is closed before the answer, the attempt is sent
// once more under the same ID.
func TestDuplicateAnswersAndResendOnClosedConnection(t *testing.T) {
	records := runClients(t, testLoad(20), 0.3, startRouter(t, func(n int, _, id string) string {
		return valueReply(id) + valueReply(id)
	}))
	if len(records.DuplicateAnswers) == 0 {
		t.Error("got no records of duplicate answers, want some")
	}
	records = runClients(t, testLoad(20), 0.3, startRouter(t, func(n int, _, id string) string {
		if n == 2 {
			return "close"
		}
		return valueReply(id)
	}))
	resent := 0
	for _, request := range records.Requests {
		for _, attempt := range request.Attempts {
			if attempt.Resent {
				resent++
			}
			if attempt.End != Finished {
				t.Errorf("an attempt ended as %v, want finished", attempt.End)
			}
		}
	}
	if resent != 1 {
		t.Errorf("%d attempts were sent once more, want 1", resent)
	}
}

// A surge multiplies the arrival rate immediately. A hot key receives its fraction of the requests. Both end.
func TestSurgeAndHotKey(t *testing.T) {
	clients, err := NewClients(newLoop(t), 5, testLoad(100), []string{"127.0.0.1:1"}, nil)
	if err != nil {
		t.Fatal(err)
	}
	clients.arrivalsEnd = clients.loop.Now() + 1000
	count := func() (n, hot int) {
		arrivals, from := clients.arrivals[0], clients.loop.Now()
		arrivals.due = from
		for arrivals.scheduleNext(); arrivals.due < from+20; arrivals.scheduleNext() {
			n++
		}
		return n, 0
	}
	usual, _ := count()
	end := clients.Surge("read", "", 5)
	surged, _ := count()
	end()
	after, _ := count()
	if surged < 4*usual || after > 2*usual {
		t.Errorf("arrivals in 20 s: %d, during a surge by 5 %d, after it %d; want at least 4 times, at most 2 times as many",
			usual, surged, after)
	}
	endHeat := clients.AddHotKey("hot", 0.5)
	hot := 0
	for range 200 {
		clients.startRequest(clients.arrivals[0])
	}
	for _, request := range clients.records.Requests {
		if request.Key == "hot" {
			hot++
		}
	}
	if endHeat(); hot < 60 || hot > 140 || len(clients.hotKeys) != 0 {
		t.Errorf("%d of 200 requests used the hot key, want 60 to 140 and no hot key left after its end", hot)
	}
}

func newLoop(t *testing.T) *eventloop.Loop {
	loop, err := eventloop.New()
	if err != nil {
		t.Fatal(err)
	}
	return loop
}
