package service

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"bendtrestle/internal/config"
	"bendtrestle/internal/operatorconfig"
	"bendtrestle/internal/requestcore"

	"github.com/rs/zerolog"
)

const contract = `
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

// theirs reads an operators' file.
func theirs(t *testing.T, text string) operatorconfig.File {
	t.Helper()
	path := filepath.Join(t.TempDir(), "operators.toml")
	os.WriteFile(path, []byte(text), 0o600)
	f, err := operatorconfig.Read(path)
	if err != nil {
		t.Fatal(err)
	}
	return f
}

func freeAddress(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// A pool and a contract come, change, and go by SIGHUP while the router serves: operations end under what they began
// with, listeners open and close, and what has no contract goes to the platform's pool as before.
func TestContractsWhileServing(t *testing.T) {
	platform, stock := fleet(t, 0), fleet(t, 300*time.Millisecond)
	s, addr, _ := running(t, platform)
	defer s.loop.Post(s.end)
	own := freeAddress(t)
	set := func(text string) {
		f := theirs(t, text)
		done := make(chan bool)
		s.loop.Post(func() { s.reconfigure(Setup{Platform: s.conf, Operators: f}); close(done) })
		<-done
	}
	wait := func(what string, is func() bool) {
		t.Helper()
		for i := 0; ; i++ {
			if is() {
				return
			}
			if i > 300 {
				t.Fatalf("%s does not come", what)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	n := 0
	command := func(more string) string {
		n++
		return fmt.Sprintf("mg k v Oc%d Pc=t,d=1900%s", n, more)
	}
	set(fmt.Sprintf(contract, stock, "", own, 2.0))
	wait("the pool", func() bool { return strings.HasPrefix(ask(own, command("")), "VA") })
	if got := ask(addr, command(",tenant=pharmacy")); !strings.HasPrefix(got, "VA") {
		t.Errorf("by tenant it is answered %q", got)
	}
	began := time.Now()
	if got := ask(addr, command("")); !strings.HasPrefix(got, "VA") || time.Since(began) > 250*time.Millisecond {
		t.Errorf("without a contract it is answered %q after %v", got, time.Since(began))
	}
	answer := make(chan string)
	go func() { answer <- ask(own, command("")) }()
	time.Sleep(50 * time.Millisecond)
	set(fmt.Sprintf(contract, stock, "", own, 0.0)) // nothing more, from now on
	if got := ask(own, command("")); got != "SERVER_ERROR busy" && got[:len("SERVER_ERROR busy")] != "SERVER_ERROR busy" {
		t.Errorf("with a budget of nothing it is answered %q", got)
	}
	if got := <-answer; !strings.HasPrefix(got, "VA") {
		t.Errorf("an operation under way is answered %q", got)
	}
	set("[broker]\nothers = \"nobody\"\n")
	wait("the listener's end", func() bool { return ask(own, command("")) == "no connection" })
	if got := ask(addr, command("")); got != "CLIENT_ERROR no contract holds for this traffic" {
		t.Errorf("without any contract it is answered %q", got)
	}
	wait("the pool's end", func() bool {
		left := make(chan int)
		s.loop.Post(func() { left <- len(s.pools) + len(s.leaving) })
		return <-left == 0
	})
	set("")
	if got := ask(addr, command("")); !strings.HasPrefix(got, "VA") {
		t.Errorf("as at first it is answered %q", got)
	}
}

// A pool whose list never comes costs the others nothing, and serves nobody.
func TestPoolWithoutServers(t *testing.T) {
	platform, addr, own := fleet(t, 0), freeAddress(t), freeAddress(t)
	conf, err := config.Parse(fmt.Appendf(nil, usual, addr, platform), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	s, err := assemble(Setup{Platform: conf, Operators: theirs(t, fmt.Sprintf(contract, "127.0.0.1:1", "", own, 2.0))}, requestcore.DefaultBalancer, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	defer s.loop.Post(s.end)
	go s.loop.Run()
	for i := 0; ask(addr, "mn") != "MN"; i++ {
		if i > 300 {
			t.Fatal("it does not come to serve")
		}
		time.Sleep(10 * time.Millisecond)
	}
	began := time.Now()
	if got := ask(own, "mg k v Ox Pc=t,d=1900"); !strings.HasPrefix(got, "SERVER_ERROR busy") || time.Since(began) > 200*time.Millisecond {
		t.Errorf("the pool without servers answers %q after %v", got, time.Since(began))
	}
	if got := ask(addr, read); got != "VA 2 Oa1" {
		t.Errorf("the platform's pool answers %q", got)
	}
	tally := make(chan uint64)
	s.loop.Post(func() { tally <- s.broker.TeamStates()[0].Reasons[requestcore.ReasonNoEndpoint] })
	if got := <-tally; got != 1 {
		t.Errorf("%d declines are for want of a server", got)
	}
}
