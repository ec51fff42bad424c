package upstream

import (
	"slices"

	"bendtrestle/internal/eventloop"
	"bendtrestle/internal/policy/valuememory"
)

// ValueQueue is the memory for values that are received from cache servers, and the connections whose values wait for it:
// their sockets are not read meanwhile. The pools of all servers share it. It is used on the event loop's goroutine.
type ValueQueue struct {
	loop      *eventloop.Loop
	budget    *valuememory.Budget
	waiting   []*memcacheCodec // in the order in which they began to wait
	scheduled bool             // resume will be called
}

// NewValueQueue returns a queue for the memory of a budget.
func NewValueQueue(loop *eventloop.Loop, budget *valuememory.Budget) *ValueQueue {
	q := &ValueQueue{loop: loop, budget: budget}
	budget.OnFreed(q.onFreed)
	return q
}

// add has a codec wait until there may be memory for its value.
func (q *ValueQueue) add(codec *memcacheCodec) {
	q.budget.Counts.Delayed++
	q.waiting = append(q.waiting, codec)
}

// remove removes a codec that does not wait any longer.
func (q *ValueQueue) remove(codec *memcacheCodec) {
	q.waiting = slices.DeleteFunc(q.waiting, func(other *memcacheCodec) bool { return other == codec })
}

// onFreed calls resume after the current callback, if a value waits.
func (q *ValueQueue) onFreed() {
	if q.scheduled || len(q.waiting) == 0 {
		return
	}
	q.scheduled = true
	q.loop.Defer(q.resume)
}

// resume has the codecs read on for whose values there is memory.
func (q *ValueQueue) resume() {
	q.scheduled = false
	for _, codec := range slices.Clone(q.waiting) {
		if codec.delayedBytes > 0 && q.budget.Fits(codec.delayedBytes, codec.replies.AnswerIsNext()) {
			codec.stopWaiting()
			codec.replies.OnMemory()
		}
	}
}
