package discovery

import (
	"strings"
	"testing"
	"time"
)

// A list is accepted in any HTTP framing and JSON layout, and in any fragmentation: byte by byte, and split in two at
// each byte.
func TestListInAnyEncodingAndFragmentation(t *testing.T) {
	for framing, frame := range httpFramings {
		for layout, format := range jsonLayouts {
			text := func(poll int) string { return frame(format(oneInstanceList(1000 + poll))) }
			polls := len(text(0))
			addr := newFragmentService(t, func(poll int) ([]string, bool) {
				text := text(poll)
				if poll == 0 {
					return strings.Split(text, ""), false
				}
				cut := min(poll, len(text))
				return []string{text[:cut], text[cut:]}, false
			})
			lists, failures, done := make(chan EndpointList), make(chan error, 10), make(chan bool)
			stop := watchUntil(t, addr, WatchStart{Schedule: onePoll}, func(list EndpointList) error {
				select {
				case lists <- list:
				case <-done:
				}
				return nil
			}, func(err error) { failures <- err })
			for poll := range polls {
				select {
				case list := <-lists:
					if list.Generation != uint64(1000+poll) || len(list.Instances) != 1 || list.FirstFault != "" {
						t.Fatalf("%s, %s, poll %d: got %+v, want one instance without a fault", framing, layout, poll, list)
					}
					continue
				case err := <-failures:
					t.Errorf("%s, %s, poll %d of %d: %v", framing, layout, poll, polls, err)
				case <-time.After(10 * time.Second):
					t.Errorf("%s, %s, poll %d of %d: no list within 10 s", framing, layout, poll, polls)
				}
				break
			}
			close(done)
			stop()
		}
	}
}

// An answer that is cut by a reset must not be accepted, at whatever byte it is cut and even if it has no length:
// unlike a close, a reset does not complete an answer.
func TestListCutByResetIsNotAccepted(t *testing.T) {
	for framing, frame := range httpFramings {
		text := frame(oneInstanceList(1000) + "  ") // the JSON is complete even without the last bytes
		addr := newFragmentService(t, func(poll int) ([]string, bool) {
			return []string{text[:max(0, len(text)-1-poll%4*30)]}, true
		})
		lists, failures := make(chan EndpointList, 10), make(chan error, 10)
		stop := watchUntil(t, addr, WatchStart{Schedule: onePoll}, acceptInto(lists), func(err error) { failures <- err })
		select {
		case list := <-lists:
			t.Errorf("%s: got %+v, want a failure", framing, list)
		case <-failures:
		case <-time.After(10 * time.Second):
			t.Errorf("%s: got no failure within 10 s", framing)
		}
		stop()
	}
}
