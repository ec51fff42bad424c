package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// instance is an entry of a list, as the protocol page has it.
type instance struct {
	ID          string  `json:"instanceId"`
	Address     string  `json:"hostPort"`
	Zone        string  `json:"zone"`
	MachineType string  `json:"machineType"`
	Cell        int     `json:"cell"`
	State       string  `json:"lifecycle"`
	Weight      float64 `json:"weight"`
	StartedAt   int64   `json:"startedAtMs"`
}

func ready(id, address string) instance {
	return instance{ID: id, Address: address, Zone: "a", MachineType: "m1", State: "ready", Weight: 1}
}

// lists is a sound list service: it answers at once, and holds a watch until something changes.
type lists struct {
	listener net.Listener

	mu         sync.Mutex
	generation uint64
	entries    []instance
	changedAt  map[string]uint64
	changed    chan struct{} // closed at the next change
}

func (p *play) startLists(entries ...instance) *lists {
	l := &lists{listener: p.listen(), generation: 41, entries: entries, changedAt: map[string]uint64{}, changed: make(chan struct{})}
	go http.Serve(l.listener, http.HandlerFunc(l.answer))
	return l
}

func (l *lists) address() string { return l.listener.Addr().String() }

func (l *lists) answer(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	hold, _ := strconv.Atoi(r.URL.Query().Get("hold_ms"))
	full := err != nil
	l.mu.Lock()
	if !full && from >= l.generation {
		changed := l.changed
		l.mu.Unlock()
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-time.After(time.Duration(hold) * time.Millisecond):
		}
		l.mu.Lock()
	}
	list := map[string]any{"generation": l.generation, "reset": full}
	instances := []instance{}
	for _, entry := range l.entries {
		if (full && entry.State != "gone") || (!full && l.changedAt[entry.ID] > from) {
			instances = append(instances, entry)
		}
	}
	list["instances"] = instances
	text, _ := json.Marshal(list)
	l.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	w.Write(text)
}
