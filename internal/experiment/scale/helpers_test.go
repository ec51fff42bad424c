package scale

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"bendtrestle/internal/config"
	"bendtrestle/internal/experiment"
	"bendtrestle/internal/experiment/scale/simrouter"
	"bendtrestle/internal/operatorconfig"
	"bendtrestle/internal/requestcore"
	"bendtrestle/internal/service"

	"github.com/rs/zerolog"
)

// TestMain lets the test binary also run as a router, as simulated routers, or as a parent of simulated routers that
// runs until it is killed.
func TestMain(m *testing.M) {
	log := zerolog.New(os.Stderr).With().Timestamp().Logger()
	var err error
	switch os.Getenv("SCALE_AS") {
	case "":
		os.Exit(m.Run())
	case "router":
		err = runRouter(log)
	case "hollow":
		err = simrouter.Serve(os.Stdin, os.Stdout, log)
	case "holder":
		err = holdSimulatedRouters()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func runRouter(log zerolog.Logger) error {
	signals := service.Signals()
	read := func() (service.Setup, error) {
		operators, err := operatorconfig.Read(os.Getenv("GW_OPERATORS"))
		conf, otherErr := config.Read(os.Getenv)
		return service.Setup{Platform: conf, Operators: operators}, errors.Join(err, otherErr)
	}
	set, err := read()
	if err != nil {
		return err
	}
	return service.Run(set, signals, requestcore.DefaultBalancer, read, log)
}

// holdSimulatedRouters starts simulated routers, prints a line and blocks until it is killed.
func holdSimulatedRouters() error {
	o := Options{Plan: Small(), SimulatedRouterCommand: []string{os.Args[0]}, SimulatedRouterEnv: []string{"SCALE_AS=hollow"}, Dir: os.Getenv("SCALE_DIR")}
	o.LoopbackNet, _ = strconv.Atoi(os.Getenv("SCALE_NET"))
	b := newBench(context.Background(), o)
	_, err := b.startSimFleet(simrouter.Spec{Transport: "all", Peers: b.peerAddresses(8),
		InitialList: []byte(twoServers)}, 8)
	if err == nil {
		fmt.Println("holding")
		select {}
	}
	return err
}

const twoServers = `{"generation": 2, "reset": true, "instances": [
	{"instanceId": "s-000", "hostPort": "127.0.0.1:11300", "lifecycle": "ready", "weight": 1},
	{"instanceId": "s-001", "hostPort": "127.0.0.2:11300", "lifecycle": "ready", "weight": 1}]}`

// options returns options for a run in its own directory and at its own addresses.
func options(t *testing.T, only ...string) Options {
	t.Helper()
	n, release, err := experiment.ReserveNet(os.Getpid())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(release)
	o := Options{Plan: Small(), LoopbackNet: n, Dir: t.TempDir(), Command: "a test", SimulatedRouterCommand: []string{os.Args[0]}, SimulatedRouterEnv: []string{"SCALE_AS=hollow"},
		Router: experiment.Program{Name: "test", Args: []string{"/usr/bin/env", "SCALE_AS=router", os.Args[0]}}}
	o.Plan.Only = only
	return o
}

// processesLoggingIn returns the processes whose standard error is a file in dir: those of a run have their logs there.
func processesLoggingIn(dir string) (pids []int) {
	all, _ := filepath.Glob("/proc/[0-9]*")
	for _, proc := range all {
		out, err := os.Readlink(proc + "/fd/2")
		pid, _ := strconv.Atoi(filepath.Base(proc))
		if err == nil && strings.HasPrefix(out, dir+"/") && pid != os.Getpid() {
			pids = append(pids, pid)
		}
	}
	return pids
}

// waitUntilGone waits until no process logs in dir any more.
func waitUntilGone(t *testing.T, dir string) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); len(processesLoggingIn(dir)) > 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("processes %v still run after 10 s", processesLoggingIn(dir))
		}
	}
}

func (r *Report) line(t *testing.T, name string) Line {
	t.Helper()
	i := slices.IndexFunc(r.Lines, func(l Line) bool { return l.Name == name })
	if i < 0 {
		t.Fatalf("the report has no line %s", name)
	}
	return r.Lines[i]
}

func (r *Report) figure(t *testing.T, name string) Figure {
	t.Helper()
	i := slices.IndexFunc(r.Figures, func(f Figure) bool { return f.Name == name })
	if i < 0 {
		t.Fatalf("the report has no figure %s", name)
	}
	return r.Figures[i]
}
