package service

import (
	"fmt"
	"io"
	"slices"
	"testing"
	"time"
)

// A drain tells clients at once, serves what comes meanwhile, and two seconds later no connection is left, whether
// its client pauses, never pauses or is silent, but for a long value under way, which arrives in full. Undrained at
// once, and told to end in another drain, the router ends in time.
func TestDrain(t *testing.T) {
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
			t.Fatalf("drain: %v, ready %v", err, handler.Ready())
		}
	}
	answers := sendCommand(addr, "mn") + sendCommand(addr, "mg short v Ob Pc=t,d=1900")
	if answers != "SERVER_ERROR drainingVA 2 Ob" {
		t.Errorf("in a drain it answers %q", answers)
	}
	began := time.Now()
	for i, closed := range slices.Backward(clients) {
		latest := 1200 * time.Millisecond // those that pause are closed as they become idle
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
		t.Errorf("a silent client gets %v", err)
	}
	if err := readLongValue(late, "late"); err != nil {
		t.Errorf("the long value: %v", err)
	}
	conn, in := dialAndSend(t, addr, "", "")
	fmt.Fprint(conn, "mn\r\n") // later still it is told so and closed
	if text, err := io.ReadAll(in); string(text) != "SERVER_ERROR draining\r\n" || err != nil {
		t.Errorf("drained for long it answers %q, %v", text, err)
	}
	if err := handler.Undrain(); err != nil || !handler.Ready() || sendCommand(addr, "mn") != "MN" {
		t.Errorf("undrain: %v, ready %v", err, handler.Ready())
	}
	handler.Drain()
	handler.service.loop.Post(handler.service.beginShutdown)
	if err := handler.Undrain(); err != errShuttingDown {
		t.Errorf("as it ends a call gets %v", err)
	}
	shutDown(t, handler.service, ended)
}

// Drains that were called off close no connection later. One that begins before the router serves holds once it does.
func TestDrainCalledOff(t *testing.T) {
	list := startScriptedServer(t, serveLongValues)
	handler, addr, _ := startWithAdmin(t, "127.0.0.1:1")
	if handler.Ready() {
		t.Error("it is ready without a list")
	}
	handler.Drain()
	handler.service.loop.Post(func() { handler.service.pools.platform.watchListService(list) })
	waitServing(t, handler.service)
	if got := sendCommand(addr, "mn"); handler.Ready() || got != "SERVER_ERROR draining" {
		t.Errorf("drained before it served, it answers %q", got)
	}
	for range 3 {
		handler.Undrain()
		handler.Drain()
	}
	handler.Undrain()
	select {
	case err := <-startClient(t, addr, "a", 20*time.Millisecond):
		t.Errorf("the connection ended: %v", err)
	case <-time.After(1800 * time.Millisecond):
	}
	handler.Drain()
	handler.Undrain()
	time.Sleep(400 * time.Millisecond)
	handler.Drain() // its steps count from here
	select {
	case <-startClient(t, addr, "b", 20*time.Millisecond):
		t.Error("the connection ended by the step of a drain that was called off")
	case <-time.After(300 * time.Millisecond):
	}
}
