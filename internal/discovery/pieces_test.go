package discovery

import (
	"strings"
	"testing"
	"time"
)

// An answer is taken whatever the form and the pieces in which it comes: each byte by itself, and cut in two anywhere.
func TestListInAnyEncodingAndFragmentation(t *testing.T) {
	for form, inForm := range httpFramings {
		for layout, laidOut := range jsonLayouts {
			text := func(poll int) string { return inForm(laidOut(oneInstanceList(1000 + poll))) }
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
						t.Fatalf("%s, %s, poll %d: got %+v", form, layout, poll, list)
					}
					continue
				case err := <-failures:
					t.Errorf("%s, %s, poll %d of %d: %v", form, layout, poll, polls, err)
				case <-time.After(10 * time.Second):
					t.Errorf("%s, %s, poll %d of %d: no list", form, layout, poll, polls)
				}
				break
			}
			close(done)
			stop()
		}
	}
}

// An answer that is cut by a reset is none, wherever that is and also where it says no length: a reset is no end.
func TestListCutByResetIsNotAccepted(t *testing.T) {
	for form, inForm := range httpFramings {
		text := inForm(oneInstanceList(1000) + "  ") // of which JSON alone would not miss the end
		addr := newFragmentService(t, func(poll int) ([]string, bool) {
			return []string{text[:max(0, len(text)-1-poll%4*30)]}, true
		})
		lists, failures := make(chan EndpointList, 10), make(chan error, 10)
		stop := watchUntil(t, addr, WatchStart{Schedule: onePoll}, acceptInto(lists), func(err error) { failures <- err })
		select {
		case list := <-lists:
			t.Errorf("%s: it is taken, %+v", form, list)
		case <-failures:
		case <-time.After(10 * time.Second):
			t.Errorf("%s: no end", form)
		}
		stop()
	}
}
