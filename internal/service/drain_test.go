package service

import (
	"fmt"
	"io"
	"slices"
	"testing"
	"time"
)

// In a drain the health check fails immediately and requests are still served. Within about two seconds all connections
// are closed, whether the client pauses between requests, never pauses or sends nothing. Only a long value in flight is
// still sent in full. After Undrain clients are accepted again. A shutdown during another drain ends in time.
func TestDrainClosesAllConnections(t *testing.T) {
	handler, addr, ended := startWithAdmin(t, startScriptedServer(t, serveLongValues))
	silent, _ := dialAndSend(t, addr, "", "")
	_, late := dialAndSend(t, addr, "late", "slow")
	var clients []chan error
	for i := range 6 {
		pause := time.Duration(i) * 60 * time.Millisecond
		clients = append(clients, startClient(t, addr, fmt.Sprint("a", i), pause))
	}
	time.Sleep(200 * time.Millisecond)
	for range 2 {
		if err := handler.Drain(); err != nil || handler.Ready() {
			t.Fatalf("drain: got %v and ready %v, want no error and false", err, handler.Ready())
		}
	}
	answers := sendCommand(addr, "mn") + sendCommand(addr, "mg short v Ob Pc=t,d=1900")
	if answers != "SERVER_ERROR drainingVA 2 Ob" {
		t.Errorf("in a drain: got %q, want a failed health check and a value", answers)
	}
	began := time.Now()
	for i, closed := range slices.Backward(clients) {
		latest := 1200 * time.Millisecond // connections of clients that pause are closed when they become idle
		if i == 0 {
			latest = 2500 * time.Millisecond
		}
		select {
		case err := <-closed:
			if err != nil {
				t.Errorf("client %d: %v", i, err)
			}
		case <-time.After(latest - time.Since(began)):
			t.Fatalf("client %d is still served", i)
		}
	}
	silent.SetDeadline(time.Now().Add(2500 * time.Millisecond))
	if _, err := silent.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("client that sends nothing: got %v, want EOF", err)
	}
	if err := readLongValue(late, "late"); err != nil {
		t.Errorf("long value in flight at the drain: %v", err)
	}
	conn, in := dialAndSend(t, addr, "", "")
	fmt.Fprint(conn, "mn\r\n") // a later connection gets an error and is closed
	if text, err := io.ReadAll(in); string(text) != "SERVER_ERROR draining\r\n" || err != nil {
		t.Errorf("new connection late in a drain: got %q, %v, want an error line and the end", text, err)
	}
	if err := handler.Undrain(); err != nil || !handler.Ready() || sendCommand(addr, "mn") != "MN" {
		t.Errorf("undrain: got %v and ready %v, want no error, true, and mn answered by MN", err, handler.Ready())
	}
	handler.Drain()
	handler.service.loop.Post(handler.service.beginShutdown)
	if err := handler.Undrain(); err != errShuttingDown {
		t.Errorf("undrain during the shutdown: got %v, want errShuttingDown", err)
	}
	shutDown(t, handler.service, ended)
}

// The delayed steps of a drain must close no connection after the drain has ended, not even in a later drain. A drain
// that begins before the router serves remains in effect when it does.
func TestEndedDrainClosesNoConnection(t *testing.T) {
	list := startScriptedServer(t, serveLongValues)
	handler, addr, _ := startWithAdmin(t, "127.0.0.1:1")
	if handler.Ready() {
		t.Error("ready without an endpoint list")
	}
	handler.Drain()
	handler.service.loop.Post(func() { handler.service.pools.platform.watchListService(list) })
	waitServing(t, handler.service)
	if got := sendCommand(addr, "mn"); handler.Ready() || got != "SERVER_ERROR draining" {
		t.Errorf("drained before it serves: got %q, want a draining error and no readiness", got)
	}
	for range 3 {
		handler.Undrain()
		handler.Drain()
	}
	handler.Undrain()
	select {
	case err := <-startClient(t, addr, "a", 20*time.Millisecond):
		t.Errorf("the connection was closed after the drain had ended: %v", err)
	case <-time.After(1800 * time.Millisecond):
	}
	handler.Drain()
	handler.Undrain()
	time.Sleep(400 * time.Millisecond)
	handler.Drain() // the delays of its steps start here
	select {
	case <-startClient(t, addr, "b", 20*time.Millisecond):
		t.Error("the connection was closed by a step of a drain that had ended")
	case <-time.After(300 * time.Millisecond):
	}
}
