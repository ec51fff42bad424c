package service

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"bendtrestle/internal/requestcore"
	"bendtrestle/internal/testaddress"

	"github.com/rs/zerolog"
)

// contractFile is a format with the pool's list service, further keys of the pool, the team's listener and its budget.
const contractFile = `
[[pool]]
name = "stock"
discovery = "%s"
capacity = 4.0
connections = 0.3
%s
[[team]]
name = "pharmacy"
pool = "stock"
listen = "%s"
tenant = "pharmacy"
budget = %v
[[team.type]]
name = "t"
effect = "reissuable"
promised_ms = 500
hard_stop_ms = 1900
benefit = 1
`

// Reloads add, change and remove a pool and a contract while the router serves. Requests in flight are completed under
// their old contract, listeners open and close, and requests without a contract go to the platform's pool.
func TestReloadOfPoolsAndContracts(t *testing.T) {
	platform := startCacheServer(t, 0)
	stock := startCacheServer(t, 300*time.Millisecond)
	s, addr, _ := startServing(t, platform)
	defer s.loop.Post(s.end)
	teamAddr := testaddress.New()
	reconfigure := func(text string) {
		operators := parseOperators(t, text)
		runOnLoop(s, func() { s.reconfigure(Setup{Platform: s.conf, Operators: operators}) })
	}
	sent := 0
	send := func(addr, more string) string {
		sent++
		return sendCommand(addr, fmt.Sprintf("mg k v Oc%d Pc=t,d=1900%s", sent, more))
	}
	succeeded := func(answer string) bool { return strings.HasPrefix(answer, "VA") }

	reconfigure(fmt.Sprintf(contractFile, stock, "", teamAddr, 2.0))
	waitFor(t, "the pool", 300, func() bool { return succeeded(send(teamAddr, "")) })
	if got := send(addr, ",tenant=pharmacy"); !succeeded(got) {
		t.Errorf("request by tenant: got %q, want a value", got)
	}
	began := time.Now()
	if got := send(addr, ""); !succeeded(got) || time.Since(began) > 250*time.Millisecond {
		t.Errorf("request without a contract: got %q after %v, want a value within 250 ms", got, time.Since(began))
	}
	inFlight := make(chan string)
	command := fmt.Sprintf("mg k v Oc%d Pc=t,d=1900", 1000)
	go func() { inFlight <- sendCommand(teamAddr, command) }()
	time.Sleep(50 * time.Millisecond)

	reconfigure(fmt.Sprintf(contractFile, stock, "", teamAddr, 0.0)) // without a budget
	if got := send(teamAddr, ""); !strings.HasPrefix(got, "SERVER_ERROR busy") {
		t.Errorf("request without a budget: got %q, want a rejection", got)
	}
	if got := <-inFlight; !succeeded(got) {
		t.Errorf("request in flight at the reload: got %q, want a value", got)
	}

	reconfigure("[broker]\nothers = \"nobody\"\n")
	waitFor(t, "the listener's end", 300, func() bool { return send(teamAddr, "") == "no connection" })
	if got := send(addr, ""); got != "CLIENT_ERROR no contract holds for this traffic" {
		t.Errorf("request with no contract and no fallback: got %q, want a client error", got)
	}
	waitFor(t, "the pool's end", 300, func() bool {
		pools := callOnLoop(s, func() int { return len(s.pools.named) + len(s.pools.retiring) })
		return pools == 0
	})

	reconfigure("")
	if got := send(addr, ""); !succeeded(got) {
		t.Errorf("with the initial configuration again: got %q, want a value", got)
	}
}

// The list service of one pool never answers. That pool rejects its requests without delay, and the platform's pool
// serves as usual.
func TestPoolWithoutServersRejectsOnlyItsOwnRequests(t *testing.T) {
	platform := startCacheServer(t, 0)
	addr := testaddress.New()
	teamAddr := testaddress.New()
	operators := parseOperators(t, fmt.Sprintf(contractFile, "127.0.0.1:1", "", teamAddr, 2.0))
	conf := parseConfig(t, baseConfig, addr, platform, "")
	s := assembleSetup(t, Setup{Platform: conf, Operators: operators}, zerolog.Nop())
	defer s.loop.Post(s.end)
	go s.loop.Run()
	waitFor(t, "serving", 300, func() bool { return sendCommand(addr, "mn") == "MN" })
	began := time.Now()
	got := sendCommand(teamAddr, "mg k v Ox Pc=t,d=1900")
	if !strings.HasPrefix(got, "SERVER_ERROR busy") || time.Since(began) > 200*time.Millisecond {
		t.Errorf("pool without servers: got %q after %v, want a rejection within 200 ms", got, time.Since(began))
	}
	if got := sendCommand(addr, firstGet); got != "VA 2 Oa1" {
		t.Errorf("platform's pool: got %q, want a value", got)
	}
	rejections := callOnLoop(s, func() uint64 { return s.broker.TeamStates()[0].Reasons[requestcore.ReasonNoEndpoint] })
	if rejections != 1 {
		t.Errorf("%d rejections because there is no server, want 1", rejections)
	}
}
