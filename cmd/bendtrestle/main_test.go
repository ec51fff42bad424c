package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"bendtrestle/internal/testaddress"

	"github.com/pelletier/go-toml/v2"
)

// TestMain runs the router instead of the tests if AS_ROUTER is set, so that tests can start it as a process.
func TestMain(m *testing.M) {
	if os.Getenv("AS_ROUTER") != "" {
		os.Args = os.Args[:1]
		main()
		return
	}
	os.Exit(m.Run())
}

// deployedRunCommand returns the command line in deploy/balancer.toml that starts a router.
func deployedRunCommand(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile("../../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	var file struct {
		Run string `toml:"run"`
	}
	if err := toml.Unmarshal(text, &file); err != nil || !strings.HasSuffix(file.Run, "exec bin/bendtrestle") {
		t.Fatalf("got run command %q, %v, want one that ends with exec bin/bendtrestle", file.Run, err)
	}
	return file.Run
}

// SIGHUP must not end a router that has not installed its signal handlers yet. The command in deploy/balancer.toml
// therefore starts it with SIGHUP ignored.
func TestDeployedCommandIgnoresSIGHUP(t *testing.T) {
	out, err := exec.Command("/bin/sh", "-c",
		strings.ReplaceAll(deployedRunCommand(t), "bin/bendtrestle", "grep SigIgn /proc/self/status")).Output()
	_, mask, _ := strings.Cut(strings.TrimSpace(string(out)), "\t")
	ignored, bad := strconv.ParseUint(mask, 16, 64)
	if err != nil || bad != nil || ignored&(1<<(syscall.SIGHUP-1)) == 0 {
		t.Errorf("got %q, %v, want a mask of ignored signals that contains SIGHUP", out, err)
	}
}

// A router must serve on after the reader of its log has gone. SIGHUP must not end it during the start, while it still
// reads its configuration. After SIGHUP directly followed by SIGTERM it must exit with status 0.
func TestRouterSurvivesClosedLogAndSIGHUPDuringStart(t *testing.T) {
	server, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	go func() {
		for conn, err := server.Accept(); err == nil; conn, err = server.Accept() {
			go func() {
				for in := bufio.NewScanner(conn); in.Scan(); {
					fmt.Fprintf(conn, "VA 2 %s h1\r\nhi\r\n", strings.Fields(in.Text())[3])
				}
			}()
		}
	}()
	list := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.RawQuery != "" {
			<-r.Context().Done()
		}
		fmt.Fprintf(w, `{"generation":1,"reset":true,"instances":[{"instanceId":"s-1","hostPort":"%s","lifecycle":"ready"}]}`, server.Addr())
	}))
	defer list.Close()
	defer list.CloseClientConnections()
	addr := testaddress.New()
	// The configuration file is a pipe: the start blocks on it, and SIGHUP arrives in the meantime.
	path := filepath.Join(t.TempDir(), "config.json")
	if err := syscall.Mkfifo(path, 0o600); err != nil {
		t.Fatal(err)
	}
	unread, log, _ := os.Pipe()
	unread.Close()
	router := exec.Command("/bin/sh", "-c", strings.ReplaceAll(deployedRunCommand(t), "bin/bendtrestle", os.Args[0]))
	router.Env = append(os.Environ(), "AS_ROUTER=1", "GW_CONFIG="+path, "TMPDIR="+t.TempDir())
	router.Stderr = log
	router.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // even if the tests end without cleanup
	if err := router.Start(); err != nil {
		t.Fatal(err)
	}
	defer router.Process.Kill()
	config, err := os.OpenFile(path, os.O_WRONLY, 0) // returns once the router opens the file
	if err != nil {
		t.Fatal(err)
	}
	router.Process.Signal(syscall.SIGHUP)
	time.Sleep(50 * time.Millisecond) // enough time for a process that SIGHUP kills to die
	fmt.Fprintf(config, `{"listen":"%s","discovery":"%s","settings":{"trafficTypes":[{"name":"t","effect":"retryable","promisedTime":1e9,"hardStop":2e9,"benefit":1}]}}`,
		addr, list.Listener.Addr())
	config.Close()
	got := ""
	for i := 0; i < 500 && !strings.HasPrefix(got, "VA 2 Oa"); i++ {
		if conn, err := net.Dial("tcp", addr); err == nil {
			conn.SetDeadline(time.Now().Add(2 * time.Second))
			fmt.Fprintf(conn, "mg k v Oa%d Pc=t\r\n", i)
			got, _ = bufio.NewReader(conn).ReadString('\n')
			conn.Close()
		}
		time.Sleep(10 * time.Millisecond)
	}
	if !strings.HasPrefix(got, "VA 2 Oa") {
		t.Errorf("got answer %q, want VA 2 Oa...", got)
	}
	for i := 0; ; i++ { // the router handles SIGHUP now and reads the file again
		router.Process.Signal(syscall.SIGHUP)
		if again, err := os.OpenFile(path, os.O_WRONLY|syscall.O_NONBLOCK, 0); err == nil {
			again.Close()
			break
		} else if i > 500 {
			t.Fatalf("the router does not read its file after SIGHUP: %v", err)
		}
		time.Sleep(10 * time.Millisecond)
	}
	router.Process.Signal(syscall.SIGHUP)
	router.Process.Signal(syscall.SIGTERM)
	if err := router.Wait(); err != nil {
		t.Errorf("the router ended with %v, want status 0", err)
	}
}

// Transitions may follow each other several times a second, so a log line must have its time in milliseconds.
func TestLogTimeHasMilliseconds(t *testing.T) {
	router := exec.Command(os.Args[0])
	router.Env = append(os.Environ(), "AS_ROUTER=1", "GW_CONFIG="+filepath.Join(t.TempDir(), "missing.json"))
	var log strings.Builder
	router.Stderr = &log
	router.Run()
	if !regexp.MustCompile(`"time":"[0-9-]+T[0-9:]+\.[0-9]{3}[Z+-]`).MatchString(log.String()) {
		t.Errorf("got log %q, want a line with its time in milliseconds", log.String())
	}
}
