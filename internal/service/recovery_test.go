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
	"sync"
	"testing"
	"time"

	"bendtrestle/balancer"
	"bendtrestle/internal/config"
	"bendtrestle/internal/hotrestart"
	"bendtrestle/internal/operatorconfig"
	"bendtrestle/internal/policy/startup"
	"bendtrestle/internal/requestcore"
	"bendtrestle/internal/snapshot"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"
)

// What was kept goes to the platform's pool alone, and the list's servers count as just started; what is too old, or of another list
// service, is not used.
func TestWhatWasKept(t *testing.T) {
	for what, c := range map[string]struct {
		age   float64
		from  string
		rate  float64
		known int
	}{"of a minute ago": {60, "127.0.0.1:1", 12, 1}, "of yesterday": {86400, "127.0.0.1:1", 0, 0}, "of another list service": {60, "127.0.0.1:9", 12, 0},
		"of the future": {-60, "127.0.0.1:1", 0, 0}} {
		dir, addr, now := t.TempDir(), freeAddress(t), float64(time.Now().UnixNano())/1e9
		s := snapshot.Open(snapshot.Path(dir, addr), addr, zerolog.Nop())
		body, _ := cbor.Marshal(kept{Generation: 4, Servers: []keptServer{{saveMember(balancer.Endpoint{ID: 1, State: balancer.Ready, StartedAt: 5}), "127.0.0.1:2"}}})
		s.Put(startup.CompletionRate, snapshot.Entry{Generation: 1, StoredAt: now - c.age, Body: []byte("12")})
		s.Put(startup.EndpointList, snapshot.Entry{Generation: 2, StoredAt: now - c.age, Source: c.from, Body: body})
		s.Close(5 * time.Second)
		conf, err := config.Parse(fmt.Appendf(nil, usual, addr, "127.0.0.1:1"), func(name string) string { return map[string]string{"TMPDIR": dir}[name] })
		if err != nil {
			t.Fatal(err)
		}
		var flows []float64
		maker := func(now float64, set balancer.Settings, host balancer.Host) requestcore.Balancer {
			flows = append(flows, set.InitialCompletionRate)
			return balancer.New(now, set, host)
		}
		x, err := assemble(Setup{Platform: conf, Operators: operatorconfig.File{Recovery: operatorconfig.Recovery{On: true},
			Pools: []operatorconfig.Pool{{Name: "other", Discovery: "127.0.0.1:1", Connections: 0.3}}}}, maker, zerolog.Nop())
		if err != nil {
			t.Fatal(err)
		}
		go x.loop.Run()
		t.Cleanup(func() { x.loop.Post(x.end) })
		entries := on(x, func() int {
			for _, e := range x.conf.Known.Instances {
				if e.StartedAt < now-1 {
					t.Errorf("%s: a server of the kept list counts as long started", what)
				}
			}
			return len(x.conf.Known.Instances)
		})
		if len(flows) != 2 || flows[0] != c.rate || flows[1] != 0 || entries != c.known {
			t.Errorf("%s: rates %v and %d servers, want %v, 0 and %d", what, flows, entries, c.rate, c.known)
		}
	}
}

// All that a start finds hanging at once holds it up for seconds at most, each for its own: a process before it that was stopped, one
// that holds the lock and the door's address, disks that do not answer, a list service that is silent, then full once. Ready
// within 10 s is what is to be; 4 s of waits here, 2.5 s for the silent call and at most 1.5 s after the one turned away are less.
func TestAStartWaitsForNobodyLong(t *testing.T) {
	for _, kind := range []string{"pushed", "on_request"} {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			dir, addr := t.TempDir(), freeAddress(t)
			before, err := net.ListenUnix("unix", &net.UnixAddr{Name: hotrestart.Path(dir, addr, "sock"), Net: "unix"}) // it accepts nobody
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { before.Close() })
			for _, path := range []string{hotrestart.Path(dir, addr, "out"), hotrestart.Path(dir, addr, "zones"), snapshot.Path(dir, addr) + ".store-0"} {
				if err := unix.Mkfifo(path, 0o600); err != nil { // to open it waits for who writes
					t.Fatal(err)
				}
				t.Cleanup(func() {
					if f, err := os.OpenFile(path, os.O_RDWR, 0); err == nil {
						f.Close()
					}
				})
			}
			lock, _ := os.Create(hotrestart.Path(dir, addr, "out") + ".lock")
			t.Cleanup(func() { lock.Close() })
			door, err := net.Listen("tcp", "127.0.0.1:0")
			if err = errors.Join(err, unix.Flock(int(lock.Fd()), unix.LOCK_EX)); err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { door.Close() })
			from, calls := fleet(t, 0), 0
			var mu sync.Mutex
			list := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				mu.Lock()
				calls++
				n := calls
				mu.Unlock()
				switch n {
				case 1:
					<-r.Context().Done()
				case 2:
					w.WriteHeader(http.StatusServiceUnavailable)
				default:
					answer, err := http.Get("http://" + from + "/catalog/members")
					if err == nil {
						io.Copy(w, answer.Body)
						answer.Body.Close()
					}
				}
			}))
			t.Cleanup(func() { list.CloseClientConnections(); list.Close() })
			text := strings.Replace(fmt.Sprintf(usual, addr, list.Listener.Addr()), `"settings":{`,
				fmt.Sprintf(`"ops":%q,"settings":{"discovery":%q,"rules":{"askWithin":10000000000},`, door.Addr(), kind), 1)
			conf, err := config.Parse([]byte(text), func(name string) string { return map[string]string{"TMPDIR": dir}[name] })
			if err != nil {
				t.Fatal(err)
			}
			ready := make(chan *Service, 1)
			go func() {
				s, err := assemble(Setup{Platform: conf, Operators: operatorconfig.File{Recovery: operatorconfig.Recovery{On: true}, Zones: operatorconfig.Zones{On: true}}},
					requestcore.DefaultBalancer, zerolog.Nop())
				if err != nil {
					t.Error(err)
					return
				}
				go s.loop.Run()
				for !on(s, s.taking) {
					time.Sleep(10 * time.Millisecond)
				}
				ready <- s
			}()
			select {
			case s := <-ready:
				s.loop.Post(s.end)
			case <-time.After(10 * time.Second):
				t.Error("it is not ready")
			}
		})
	}
}

// A call that fails, of which the module is told where lists are asked for, confirms nothing: neither the start's phase nor the list that
// is kept may take the list of before for one that was told now.
func TestACallThatFailsConfirmsNoList(t *testing.T) {
	s, _, err := assembled(listed, "127.0.0.1:1", zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	go s.loop.Run()
	t.Cleanup(func() { s.loop.Post(s.end) })
	on(s, func() bool {
		phase := func() startup.Phase {
			s.recovery.start.Tick(s.loop.Now(), 0, 0)
			p, _, _ := s.recovery.start.Phase()
			return p
		}
		if s.platform.failed(s.platform.next); phase() != startup.EndpointsCached {
			t.Errorf("after a call that failed the start is %s", phase())
		}
		if err := s.platform.news(s.platform.next, members(43, "127.0.0.1:2", "ready")); err != nil || phase() != startup.EndpointsConfirmed {
			t.Errorf("after a list it is %s, %v", phase(), err)
		}
		return true
	})
}
