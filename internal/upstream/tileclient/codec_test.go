package tileclient

import (
	"fmt"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"bendtrestle/balancer"
	"bendtrestle/internal/eventloop"
	"bendtrestle/internal/requestcore"
	"bendtrestle/internal/ringbuffer"
	"bendtrestle/internal/tiles"
	"bendtrestle/internal/upstream"

	"github.com/rs/zerolog"
)

// fakeReplies notes how what was asked for ended.
type fakeReplies struct {
	upstream.ReplyHandler // for what tiles have no use for
	request               *requestcore.Request
	outcomes              []balancer.Outcome
	unexpected            int
}

func (r *fakeReplies) PendingRequest() (*requestcore.Request, bool) {
	return r.request, r.request != nil
}
func (r *fakeReplies) OnReply(how balancer.Outcome, _ requestcore.Result, _ bool) {
	r.outcomes = append(r.outcomes, how)
}
func (r *fakeReplies) OnUnexpectedReply(string) { r.unexpected++ }

func decode(client *Client, replies *fakeReplies, text string) (*codec, error) {
	w := client.NewCodec(replies).(*codec)
	in := ringbuffer.New(4096)
	in.Write([]byte(text))
	_, err := w.Decode(in)
	return w, err
}

// A body that is given up midway, too large or never ends is let go: else all tiles would be refused after a while.
func TestBodiesAreReleased(t *testing.T) {
	client := &Client{Scheme: tiles.XYZ, MaxBodyBytes: 20, MaxBufferedBytes: 30}
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
		"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n",
		"HTTP/1.1 200 OK\r\n\r\n" + "0123456789012345678901234567890",
	} {
		w, _ := decode(client, &fakeReplies{request: &requestcore.Request{}}, text)
		if w.Release(); client.BufferedBytes() != 0 {
			t.Errorf("after %q %d bytes are held", text, client.BufferedBytes())
		}
	}
	const incomplete = "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n0123456789012345678"
	one, _ := decode(client, &fakeReplies{request: &requestcore.Request{}}, incomplete)
	_, err := decode(client, &fakeReplies{request: &requestcore.Request{}}, incomplete)
	if err == nil || client.BufferedBytes() != 19 {
		t.Errorf("more than all may hold was taken: %d bytes, %v", client.BufferedBytes(), err)
	}
	if one.Release(); client.BufferedBytes() != 0 {
		t.Errorf("%d bytes are held", client.BufferedBytes())
	}
}

// The table of outcomes in docs/operators/tiles.md.
func TestOutcomes(t *testing.T) {
	for status, want := range map[string]balancer.Outcome{
		"200": balancer.Succeeded,
		"204": balancer.Succeeded,
		"404": balancer.Succeeded,
		"302": balancer.ServerError,
		"304": balancer.ServerError,
		"403": balancer.ServerError,
		"500": balancer.ServerError,
		"429": balancer.Overloaded,
		"503": balancer.Overloaded,
	} {
		replies := &fakeReplies{request: &requestcore.Request{}}
		client := &Client{MaxBodyBytes: 9, MaxBufferedBytes: 9}
		decode(client, replies, "HTTP/1.1 "+status+" X\r\nContent-Length: 0\r\n\r\n")
		if len(replies.outcomes) != 1 || replies.outcomes[0] != want {
			t.Errorf("%s ends as %v, want %v", status, replies.outcomes, want)
		}
	}
	replies := &fakeReplies{request: &requestcore.Request{Flags: "If-None-Match: x\r\n"}}
	if decode(&Client{}, replies, "HTTP/1.1 304 X\r\n\r\n"); replies.outcomes[0] != balancer.Succeeded {
		t.Error("what was not modified is no answer")
	}
	replies = &fakeReplies{}
	if decode(&Client{}, replies, "HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n"); replies.unexpected != 1 {
		t.Error("an answer that nobody asked for is taken")
	}
}

// outcomeRecorder notes how an attempt ended, and with what.
type outcomeRecorder chan string

func (o outcomeRecorder) OnAttemptEnd(how balancer.Outcome, with requestcore.Result) {
	o <- fmt.Sprintf("%d %s", how, with.Value)
}
func (o outcomeRecorder) StillWanted() bool { return true }

// A body that says no length ends with its connection's end. A reset is none: what came before it is a part, and
// nobody's tile.
func TestBodyWithoutLength(t *testing.T) {
	for name, c := range map[string]struct {
		leave func(conn *net.TCPConn)
		want  string
	}{
		"an end":       {func(conn *net.TCPConn) { conn.Close() }, fmt.Sprint(balancer.Succeeded, " a tile")},
		"a half-close": {func(conn *net.TCPConn) { conn.CloseWrite() }, fmt.Sprint(balancer.Succeeded, " a tile")},
		"a reset": {func(conn *net.TCPConn) {
			time.Sleep(20 * time.Millisecond)
			conn.SetLinger(0)
			conn.Close()
		}, fmt.Sprint(balancer.ConnectionLost, " ")},
		"a reset right behind": {func(conn *net.TCPConn) {
			conn.SetLinger(0)
			conn.Close()
		}, fmt.Sprint(balancer.ConnectionLost, " ")},
	} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { ln.Close() })
		go func() {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			conn.Read(make([]byte, 1000))
			io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\na tile")
			c.leave(conn.(*net.TCPConn))
		}()
		l, err := eventloop.New()
		if err != nil {
			t.Fatal(err)
		}
		go l.Run()
		t.Cleanup(func() { l.Post(l.Stop) })
		o := make(outcomeRecorder, 1)
		l.Post(func() {
			client := &Client{Scheme: tiles.XYZ, MaxBodyBytes: 20, MaxBufferedBytes: 30}
			limits := upstream.Limits{
				MaxConnections:           8,
				MaxInFlightPerConnection: 1,
				ConnectTimeout:           60,
				StallTimeout:             60,
				IdleTimeout:              60,
			}
			pools := upstream.New(l, limits, client.NewCodec, zerolog.Nop())
			pools.SetEndpoint(1, netip.MustParseAddrPort(ln.Addr().String()))
			pools.StartAttempt(1, &requestcore.Request{Key: "roads/1/0/0.png"}, 60, 60, o)
		})
		select {
		case got := <-o:
			if got != c.want {
				t.Errorf("behind %s it ends as %q, want %q", name, got, c.want)
			}
		case <-time.After(5 * time.Second):
			t.Errorf("%s is not heard", name)
		}
	}
}
