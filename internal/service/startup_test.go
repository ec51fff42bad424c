package service

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"bendtrestle/balancer"
	"bendtrestle/internal/discovery"
	"bendtrestle/internal/hotrestart"
	"bendtrestle/internal/operatorconfig"
	"bendtrestle/internal/policy/startup"
	"bendtrestle/internal/requestcore"
	"bendtrestle/internal/snapshot"
	"bendtrestle/internal/testaddress"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"
)

// The snapshot's completion rate is used only for the platform's pool, and the servers of its endpoint list count as
// just started. Entries that are too old or in the future, and a list of another list service, are not used.
func TestSnapshotIsUsedOnlyWhereValid(t *testing.T) {
	for _, last := range []struct {
		name    string
		age     float64 // seconds
		from    string  // the list service
		rate    float64 // the expected initial rate
		servers int     // the expected number of servers
	}{
		{"a minute old", 60, "127.0.0.1:1", 12, 1},
		{"a day old", 86400, "127.0.0.1:1", 0, 0},
		{"of another list service", 60, "127.0.0.1:9", 12, 0},
		{"in the future", -60, "127.0.0.1:1", 0, 0},
	} {
		dir := t.TempDir()
		addr := testaddress.New()
		now := float64(time.Now().UnixNano()) / 1e9
		writeSnapshot(dir, addr, last.from, now-last.age)
		var rates []float64
		newBalancer := func(now float64, settings balancer.Settings, host balancer.Host) requestcore.Balancer {
			rates = append(rates, settings.InitialCompletionRate)
			return balancer.New(now, settings, host)
		}
		operators := operatorconfig.File{
			Recovery: operatorconfig.Recovery{On: true},
			Pools:    []operatorconfig.Pool{{Name: "other", Discovery: "127.0.0.1:1", Connections: 0.3}},
		}
		conf := parseConfig(t, baseConfig, addr, "127.0.0.1:1", dir)
		s, err := assemble(Setup{Platform: conf, Operators: operators}, newBalancer, zerolog.Nop())
		if err != nil {
			t.Fatal(err)
		}
		s.runLoop(t)
		entries := callOnLoop(s, func() []discovery.Instance { return s.conf.InitialEndpoints.Instances })
		for _, entry := range entries {
			if entry.StartedAt < now-1 {
				t.Errorf("%s: a server of the snapshot's list does not count as just started", last.name)
			}
		}
		if len(rates) != 2 || rates[0] != last.rate || rates[1] != 0 || len(entries) != last.servers {
			t.Errorf("%s: got the rates %v and %d servers, want %v, 0 and %d", last.name, rates, len(entries),
				last.rate, last.servers)
		}
	}
}

// writeSnapshot writes the snapshot of a router at an address: a completion rate of 12 and an endpoint list with one
// server.
func writeSnapshot(dir, addr, listService string, at float64) {
	store := snapshot.Open(snapshot.Path(dir, addr), addr, zerolog.Nop())
	server := balancer.Endpoint{ID: 1, State: balancer.Ready, StartedAt: 5}
	list := snapshotList{Generation: 4, Servers: []snapshotServer{{saveEndpoint(server), "127.0.0.1:2"}}}
	body, _ := cbor.Marshal(list)
	store.Put(startup.CompletionRate, snapshot.Entry{Generation: 1, StoredAt: at, Body: []byte("12")})
	store.Put(startup.EndpointList, snapshot.Entry{Generation: 2, StoredAt: at, Source: listService, Body: body})
	store.Close(5 * time.Second)
}

// hangDisk creates a FIFO at each path: a process that opens it hangs until the test ends.
func hangDisk(t *testing.T, paths ...string) {
	t.Helper()
	for _, path := range paths {
		if err := unix.Mkfifo(path, 0o600); err != nil { // opening it for reading waits for a writer
			t.Fatal(err)
		}
		t.Cleanup(func() {
			if file, err := os.OpenFile(path, os.O_RDWR, 0); err == nil {
				file.Close()
			}
		})
	}
}

// waitFileExists waits until a file exists. When hangDisk ends, the snapshot's store renames the copy that it cannot
// use; without this wait, it could do so while the test's folder is being removed.
func waitFileExists(t *testing.T, path string) {
	t.Helper()
	waitFor(t, path, 500, func() bool {
		_, err := os.Stat(path)
		return err == nil
	})
}

// startSlowListService starts a list service that hangs at the first poll, rejects the second and answers the others
// like the given list service.
func startSlowListService(t *testing.T, other string) (at string) {
	var polls atomic.Int64
	list := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch polls.Add(1) {
		case 1:
			<-r.Context().Done()
		case 2:
			w.WriteHeader(http.StatusServiceUnavailable)
		default:
			answer, err := http.Get("http://" + other + "/catalog/members")
			if err == nil {
				io.Copy(w, answer.Body)
				answer.Body.Close()
			}
		}
	}))
	t.Cleanup(func() {
		list.CloseClientConnections()
		list.Close()
	})
	return list.Listener.Addr().String()
}

// Everything that a start depends on hangs at the same time: a stopped predecessor accepts no connection, another
// process holds the lock and the admin server's address, the disks do not answer, and the list service hangs at one
// poll and rejects the next. Each may delay the start by seconds at most. The requirement is to be ready within 10 s.
// The delays add up to less: 4 s of waits here, 2.5 s for the poll that hangs, and at most 1.5 s after the rejected
// one.
func TestStartIsNotBlockedByHungDependencies(t *testing.T) {
	for _, discoveryMode := range []string{"pushed", "on_request"} {
		t.Run(discoveryMode, func(t *testing.T) {
			t.Parallel()
			dir := t.TempDir()
			addr := testaddress.New()
			socket := &net.UnixAddr{Name: hotrestart.Path(dir, addr, "sock"), Net: "unix"}
			predecessor, err := net.ListenUnix("unix", socket) // it accepts no connection
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { predecessor.Close() })
			storeCopy := snapshot.Path(dir, addr) + ".store-0"
			t.Cleanup(func() { waitFileExists(t, storeCopy+".cannot-be-used") })
			hangDisk(t, hotrestart.Path(dir, addr, "out"), hotrestart.Path(dir, addr, "zones"), storeCopy)
			lock, _ := os.Create(hotrestart.Path(dir, addr, "out") + ".lock")
			t.Cleanup(func() { lock.Close() })
			adminServer, err := net.Listen("tcp", "127.0.0.1:0")
			if err = errors.Join(err, unix.Flock(int(lock.Fd()), unix.LOCK_EX)); err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { adminServer.Close() })
			list := startSlowListService(t, startCacheServer(t, 0))
			settings := fmt.Sprintf(`"ops":%q,"settings":{"discovery":%q,"rules":{"askWithin":10000000000},`,
				adminServer.Addr(), discoveryMode)
			text := strings.Replace(baseConfig, `"settings":{`, settings, 1)
			setup := Setup{
				Platform: parseConfig(t, text, addr, list, dir),
				Operators: operatorconfig.File{
					Recovery: operatorconfig.Recovery{On: true},
					Zones:    operatorconfig.Zones{On: true},
				},
			}
			ready := make(chan *Service, 1)
			ended := make(chan error, 1)
			go func() {
				s, err := assemble(setup, requestcore.DefaultBalancer, zerolog.Nop())
				if err != nil {
					t.Error(err)
					return
				}
				go func() { ended <- s.loop.Run() }()
				for !callOnLoop(s, s.acceptsClients) {
					time.Sleep(10 * time.Millisecond)
				}
				ready <- s
			}()
			select {
			case s := <-ready:
				s.loop.Post(s.end)
				<-ended
			case <-time.After(10 * time.Second):
				t.Error("the router is not ready after 10 s")
			}
		})
	}
}

// A balancer that polls is notified of a failed poll through an update of the list. That update confirms nothing: the
// start's phase must not advance, and the list of the last run must not be saved as if it were current.
func TestFailedPollConfirmsNoList(t *testing.T) {
	s, _, err := assembleConfig(configWithKnownList, "127.0.0.1:1", zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	s.runLoop(t)
	runOnLoop(s, func() {
		platform := s.pools.platform
		phase := func() startup.Phase {
			s.startup.tracker.Tick(s.loop.Now(), 0, 0)
			phase, _, _ := s.startup.tracker.Phase()
			return phase
		}
		platform.onPollFailed(platform.nextWatch)
		if phase() != startup.EndpointsCached {
			t.Errorf("after a failed poll: got the phase %s, want listed", phase())
		}
		err := platform.onList(platform.nextWatch, endpointList(43, "127.0.0.1:2", "ready"))
		if err != nil || phase() != startup.EndpointsConfirmed {
			t.Errorf("after a list: got the phase %s, %v, want confirmed", phase(), err)
		}
	})
}
