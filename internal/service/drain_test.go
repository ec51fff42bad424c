package service

import (
	"fmt"
	"io"
	"slices"
	"testing"
	"time"
)

// A drain says no at once, serves what comes meanwhile, and two seconds later no connection is left, whether its client pauses,
// never pauses or says nothing, but for a long value on its way, which comes whole. Taken again at once, and told to end in
// another drain, the router ends in time.
func TestDrain(t *testing.T) {
	d, addr, ended := startWithAdmin(t, startScriptedServer(t, serveLongValues))
	silent, _ := dialAndSend(t, addr, "", "")
	_, late := dialAndSend(t, addr, "late", "slow")
	var ends []chan error
	for i := range 6 {
		ends = append(ends, startClient(t, addr, fmt.Sprint("a", i), time.Duration(i)*60*time.Millisecond))
	}
	time.Sleep(200 * time.Millisecond)
	for range 2 {
		if err := d.Drain(); err != nil || d.Ready() {
			t.Fatalf("drain: %v, ready %v", err, d.Ready())
		}
	}
	if got := sendCommand(addr, "mn") + sendCommand(addr, "mg short v Ob Pc=t,d=1900"); got != "SERVER_ERROR drainingVA 2 Ob" {
		t.Errorf("in a drain it answers %q", got)
	}
	began := time.Now()
	for i, closed := range slices.Backward(ends) {
		latest := 1200 * time.Millisecond // those that pause go as they fall idle
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
		t.Errorf("a client that says nothing gets %v", err)
	}
	if err := readLongValue(late, "late"); err != nil {
		t.Errorf("the long value: %v", err)
	}
	conn, in := dialAndSend(t, addr, "", "")
	fmt.Fprint(conn, "mn\r\n") // later still it is told no and closed
	if text, err := io.ReadAll(in); string(text) != "SERVER_ERROR draining\r\n" || err != nil {
		t.Errorf("drained for long it answers %q, %v", text, err)
	}
	if err := d.Undrain(); err != nil || !d.Ready() || sendCommand(addr, "mn") != "MN" {
		t.Errorf("undrain: %v, ready %v", err, d.Ready())
	}
	d.Drain()
	d.service.loop.Post(d.service.beginShutdown)
	if err := d.Undrain(); err != errShuttingDown {
		t.Errorf("as it ends a call gets %v", err)
	}
	shutDown(t, d.service, ended)
}

// Drains that were called off end no connection later. One that begins before the router serves holds once it does.
func TestDrainCalledOff(t *testing.T) {
	list := startScriptedServer(t, serveLongValues)
	d, addr, _ := startWithAdmin(t, "127.0.0.1:1")
	if d.Ready() {
		t.Error("it is ready without a list")
	}
	d.Drain()
	d.service.loop.Post(func() { d.service.pools.platform.follow(list) })
	waitServing(t, d.service)
	if got := sendCommand(addr, "mn"); d.Ready() || got != "SERVER_ERROR draining" {
		t.Errorf("drained before it served, it answers %q", got)
	}
	for range 3 {
		d.Undrain()
		d.Drain()
	}
	d.Undrain()
	select {
	case err := <-startClient(t, addr, "a", 20*time.Millisecond):
		t.Errorf("the connection ended: %v", err)
	case <-time.After(1800 * time.Millisecond):
	}
	d.Drain()
	d.Undrain()
	time.Sleep(400 * time.Millisecond)
	d.Drain() // its steps count from here
	select {
	case <-startClient(t, addr, "b", 20*time.Millisecond):
		t.Error("the connection ended by the step of a drain that was called off")
	case <-time.After(300 * time.Millisecond):
	}
}
