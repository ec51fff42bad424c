package testaddress

import (
	"net"
	"testing"
)

// Each address must be another one, and a server must be able to listen at it.
func TestAddressesAreFreeAndDistinct(t *testing.T) {
	for range 100 {
		address := New()
		listener, err := net.Listen("tcp", address) // fails at an address that is in use
		if err != nil {
			t.Fatal(err)
		}
		defer listener.Close()
		conn, err := net.ListenPacket("udp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
	}
}
