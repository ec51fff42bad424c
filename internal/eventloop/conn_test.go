package eventloop

import (
	"bytes"
	"io"
	"net"
	"testing"
)

// Received bytes can be written back, and Closed is called when the client closes.
func TestEchoAndPeerClose(t *testing.T) {
	addr, events := serve(t, startLoop(t), echo)
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	sent := bytes.Repeat([]byte("0123456789"), 300)
	got := make([]byte, len(sent))
	conn.Write(sent)
	if _, err := io.ReadFull(conn, got); err != nil || !bytes.Equal(sent, got) {
		t.Fatalf("the echo differs: %v", err)
	}
	conn.Close()
	await(t, events, "closed")
}
