package main

import "sync"

// tasks are goroutines that are waited for together.
type tasks struct{ group sync.WaitGroup }

func (t *tasks) start(task func()) {
	t.group.Add(1)
	go func() {
		defer t.group.Done()
		task()
	}()
}

func (t *tasks) wait() { t.group.Wait() }
