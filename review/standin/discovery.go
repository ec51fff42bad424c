package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// instance is an entry of the list of cache servers.
type instance struct {
	InstanceID  string  `json:"instanceId"`
	HostPort    string  `json:"hostPort"`
	Zone        string  `json:"zone"`
	MachineType string  `json:"machineType"`
	Cell        int     `json:"cell"`
	Lifecycle   string  `json:"lifecycle"`
	Weight      float64 `json:"weight"`
	StartedAtMs int64   `json:"startedAtMs"`
	generation  int
}

type list struct {
	Generation int        `json:"generation"`
	Reset      bool       `json:"reset"`
	Instances  []instance `json:"instances"`
}

// agent is discovery as a router sees it: an agent on its machine that answers at once with what it has been sent.
type agent struct {
	record   *record
	name     string
	listener net.Listener
	server   *http.Server

	mu         sync.Mutex
	changed    chan struct{}
	generation int
	instances  []instance
	toldAt     map[int]time.Time // by generation: when it was first written to the router
}

func startAgent(name string, rec *record, generation int, instances []instance) (*agent, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a := &agent{
		record: rec, name: name, listener: listener, changed: make(chan struct{}), generation: generation,
		toldAt: map[int]time.Time{},
	}
	for _, entry := range instances {
		entry.generation = generation
		a.instances = append(a.instances, entry)
	}
	a.server = &http.Server{Handler: http.HandlerFunc(a.members)}
	go a.server.Serve(listener)
	return a, nil
}

func (a *agent) address() string { return a.listener.Addr().String() }

// set changes the lifecycle of an instance.
func (a *agent) set(generation int, id, lifecycle string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.generation = generation
	for i := range a.instances {
		if a.instances[i].InstanceID == id {
			a.instances[i].Lifecycle = lifecycle
			a.instances[i].generation = generation
		}
	}
	close(a.changed)
	a.changed = make(chan struct{})
	a.record.add("agent %s: has generation %d: %s is %s", a.name, generation, id, lifecycle)
}

func (a *agent) members(w http.ResponseWriter, request *http.Request) {
	from, err := strconv.Atoi(request.URL.Query().Get("from"))
	whole := err != nil
	hold, _ := strconv.Atoi(request.URL.Query().Get("hold_ms"))
	deadline := time.After(time.Duration(hold) * time.Millisecond)
	for {
		a.mu.Lock()
		changed := a.changed
		if whole || a.generation > from {
			break
		}
		a.mu.Unlock()
		select {
		case <-changed:
			continue
		case <-request.Context().Done():
			return
		case <-deadline:
			a.mu.Lock()
		}
		break
	}
	answer := list{Generation: a.generation, Reset: whole, Instances: []instance{}}
	for _, entry := range a.instances {
		gone := entry.Lifecycle == "gone"
		if whole && !gone || !whole && entry.generation > from {
			answer.Instances = append(answer.Instances, entry)
		}
	}
	text, _ := json.Marshal(answer)
	generation := a.generation
	a.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	w.Write(text)
	a.mu.Lock()
	_, told := a.toldAt[generation]
	if !told || whole {
		a.record.add("agent %s: told: %s", a.name, text)
	}
	if !told {
		a.toldAt[generation] = time.Now()
	}
	a.mu.Unlock()
}

// told is when a generation was first written to the router; zero: not yet.
func (a *agent) told(generation int) time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.toldAt[generation]
}

// moveAway is what the platform does with the agent that a new configuration no longer names: it takes no new
// connection at once and closes the open ones after 1.5 s.
func (a *agent) moveAway() {
	a.listener.Close()
	time.AfterFunc(1500*time.Millisecond, func() { a.server.Close() })
}
