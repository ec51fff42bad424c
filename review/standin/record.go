package main

import (
	"fmt"
	"io"
	"sync"
	"time"
)

var startedAt = time.Now()

// record is what was sent, answered and run.
type record struct {
	mu  sync.Mutex
	out io.Writer
}

func (r *record) add(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%9.4f %s\n", time.Since(startedAt).Seconds(), fmt.Sprintf(format, values...))
}
