package eventloop

import (
	"bytes"
	"io"
	"net"
	"testing"
)

func TestEchoAndTheClientsEnd(t *testing.T) {
	addr, happy := listening(t, running(t), echo)
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	sent, got := bytes.Repeat([]byte("0123456789"), 300), make([]byte, 3000)
	conn.Write(sent)
	if _, err := io.ReadFull(conn, got); err != nil || !bytes.Equal(sent, got) {
		t.Fatalf("the echo differs: %v", err)
	}
	conn.Close()
	await(t, happy, "closed")
}
