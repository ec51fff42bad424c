package service

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// process starts the built program with an operators' address of its own, and waits until it takes clients.
func process(t *testing.T, program string, env ...string) (p *exec.Cmd, ops string) {
	p, ops = exec.Command(program), freeAddress(t)
	p.Env = append(append(os.Environ(), env...), "GW_OPS="+ops)
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { p.Process.Kill() })
	for i := 0; ; i++ {
		if answer, err := http.Get("http://" + ops + "/ready"); err == nil && answer.StatusCode == http.StatusOK {
			return p, ops
		}
		if i > 300 {
			t.Fatal("it does not come to serve")
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// Two versions follow each other as real processes under load: every operation is answered, each old process ends by itself with 0,
// and what was taken out by hand at the first is out at the last, which takes it back.
func TestUpgradeOfRealProcesses(t *testing.T) {
	dir, addr := t.TempDir(), freeAddress(t)
	program, conf := filepath.Join(dir, "bendtrestle"), filepath.Join(dir, "config.json")
	if out, err := exec.Command("go", "build", "-o", program, "bendtrestle/cmd/bendtrestle").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	os.WriteFile(conf, fmt.Appendf(nil, usual, addr, fleet(t, time.Millisecond)), 0o600)
	p, _ := process(t, program, "GW_CONFIG="+conf, "TMPDIR="+dir)
	stop, ops := load(addr), ""
	for range 2 {
		time.Sleep(200 * time.Millisecond)
		var after *exec.Cmd
		after, ops = process(t, program, "GW_CONFIG="+conf, "TMPDIR="+dir)
		p.Process.Signal(syscall.SIGTERM)
		if err := p.Wait(); err != nil {
			t.Errorf("the old process ends with %v", err)
		}
		p = after
	}
	if asked, failed := stop(); failed > 0 || asked < 50 {
		t.Errorf("of %d operations %d were not answered", asked, failed)
	}
	for i, call := range []string{"disable", "enable"} {
		answer, err := http.Post("http://"+ops+"/cache-servers/"+call, "", strings.NewReader("s-1"))
		if err != nil || answer.StatusCode != http.StatusOK {
			t.Errorf("%s: %v", call, err)
		}
		_, ops = process(t, program, "GW_CONFIG="+conf, "TMPDIR="+dir)
		if got := ask(addr, fmt.Sprintf("mg k v Oz%d Pc=t,d=1900", i)); strings.HasPrefix(got, "VA") != (call == "enable") {
			t.Errorf("after %s and another version it answers %q", call, got)
		}
	}
}
