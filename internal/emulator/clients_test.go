package emulator

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"bendtrestle/internal/eventloop"
)

// router answers each command as a test says: the text, or nothing, or the connection's end at "close".
func startRouter(t *testing.T, reply func(n int, line, id string) string) string {
	ln, err := net.Listen("tcp", strings.Replace(testAddress(), "11300", "11211", 1))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	var requests int
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
					requests++
					text := reply(requests, in.Text(), id)
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

// loaded runs clients against a router for a while and gives their book.
func runClients(t *testing.T, load Load, seconds float64, routers ...string) *ClientBook {
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
	return clients.Book()
}

func testLoad(rate float64) Load {
	return Load{Types: []*TrafficType{readType}, Rate: rate, Keys: 100, Zipf: 1, Retries: 2, TryShare: 0.6, Pause: 0.01, Use: Kept, Most: 20}
}

func valueReply(id string) string { return fmt.Sprintf("VA 2 O%s\r\nhi\r\n", id) }

// Arrivals wait for no answer: what is due comes, also while nothing is answered, and the keys are drawn by popularity.
func TestArrivalsAreOpenLoop(t *testing.T) {
	load := testLoad(300)
	load.Most = 1000
	book := runClients(t, load, 0.5, startRouter(t, func(int, string, string) string { return "" }))
	if n := len(book.Ops); n < 100 || n > 200 {
		t.Errorf("%d operations in half a second at 300 a second", n)
	}
	keys := map[string]int{}
	for _, request := range book.Ops {
		keys[request.Key]++
		if request.How != Silent && request.How != NoConnection {
			t.Fatalf("an unanswered operation ended as %v", request.How)
		}
	}
	if keys[Key(0)] < 2*keys[Key(9)] {
		t.Errorf("the most popular key came %d times, the tenth %d times", keys[Key(0)], keys[Key(9)])
	}
}

// A declined operation comes back when it was told to, an at-most-once one only where it surely never ran.
func TestRetriesByOutcomeAndIdempotency(t *testing.T) {
	book := runClients(t, func() Load { load := testLoad(20); load.Honour = 1; return load }(), 0.4,
		startRouter(t, func(n int, _, id string) string {
			if n == 1 {
				return "SERVER_ERROR busy 80\r\n"
			}
			return valueReply(id)
		}))
	first := book.Ops[0].Tries
	if len(first) != 2 || first[0].How != Declined || first[1].How != Finished || first[1].Began-first[0].Ended < 0.079 {
		t.Errorf("a declined operation went on as %+v", first)
	}
	once := *readType
	once.Effect = 0
	load := testLoad(20)
	load.Types = []*TrafficType{&once}
	for _, request := range runClients(t, load, 0.3, startRouter(t, func(int, string, string) string { return "SERVER_ERROR failed\r\n" })).Ops {
		if len(request.Tries) != 1 || request.How != Terminated {
			t.Errorf("a terminated at-most-once operation went on: %d tries", len(request.Tries))
		}
	}
}

// A second answer is noted; a kept connection closed under a command sends it once more, under its id.
func TestDuplicateAnswersAndResendOnClosedConnection(t *testing.T) {
	book := runClients(t, testLoad(20), 0.3, startRouter(t, func(n int, _, id string) string { return valueReply(id) + valueReply(id) }))
	if len(book.Twice) == 0 {
		t.Error("second answers were not noted")
	}
	book = runClients(t, testLoad(20), 0.3, startRouter(t, func(n int, _, id string) string {
		if n == 2 {
			return "close"
		}
		return valueReply(id)
	}))
	resent := 0
	for _, request := range book.Ops {
		for _, attempt := range request.Tries {
			if attempt.Again {
				resent++
			}
			if attempt.How != Finished {
				t.Errorf("a try ended as %v", attempt.How)
			}
		}
	}
	if resent != 1 {
		t.Errorf("%d tries went out once more, want 1", resent)
	}
}

// A surge multiplies arrivals at once; a hot key draws its part; both end.
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
		t.Errorf("arrivals: %d, in the surge %d, after it %d", usual, surged, after)
	}
	endHeat := clients.Heat("hot", 0.5)
	hot := 0
	for range 200 {
		clients.startRequest(clients.arrivals[0])
	}
	for _, request := range clients.records.Ops {
		if request.Key == "hot" {
			hot++
		}
	}
	if endHeat(); hot < 60 || hot > 140 || len(clients.hotKeys) != 0 {
		t.Errorf("%d of 200 asked for the hot key", hot)
	}
}

func newLoop(t *testing.T) *eventloop.Loop {
	loop, err := eventloop.New()
	if err != nil {
		t.Fatal(err)
	}
	return loop
}
