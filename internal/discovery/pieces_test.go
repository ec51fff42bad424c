package discovery

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// An answer is taken whatever the form and the pieces in which it comes: each byte by itself, and cut in two anywhere.
func TestAListInAnyFormAndPieces(t *testing.T) {
	for form, worded := range forms {
		for layout, laid := range layouts {
			text := func(call int) string { return worded(laid(whole(1000 + call))) }
			all := len(text(0))
			addr := speaks(t, func(call int) ([]string, bool) {
				if s := text(call); call > 0 {
					at := min(call, len(s))
					return []string{s[:at], s[at:]}, false
				} else {
					return strings.Split(s, ""), false
				}
			})
			ctx, stop := context.WithCancel(context.Background())
			news, failures := make(chan EndpointList), make(chan error, 10)
			go Watch(ctx, addr, WatchStart{Schedule: quick}, func(l EndpointList) error {
				select {
				case news <- l:
				case <-ctx.Done():
				}
				return nil
			}, func(err error) { failures <- err }, zerolog.Nop())
			for call := range all {
				select {
				case l := <-news:
					if l.Generation != uint64(1000+call) || len(l.Instances) != 1 || l.FirstFault != "" {
						t.Fatalf("%s, %s, call %d: got %+v", form, layout, call, l)
					}
					continue
				case err := <-failures:
					t.Errorf("%s, %s, call %d of %d: %v", form, layout, call, all, err)
				case <-time.After(10 * time.Second):
					t.Errorf("%s, %s, call %d of %d: no list", form, layout, call, all)
				}
				break
			}
			stop()
		}
	}
}

// An answer that is cut by a reset is none, wherever that is and also where it says no length: a reset is no end.
func TestAListCutByAResetIsNone(t *testing.T) {
	for form, worded := range forms {
		text := worded(whole(1000) + "  ") // of which JSON alone would not miss the end
		addr := speaks(t, func(call int) ([]string, bool) {
			return []string{text[:max(0, len(text)-1-call%4*30)]}, true
		})
		ctx, stop := context.WithCancel(context.Background())
		news, failures := make(chan EndpointList, 10), make(chan error, 10)
		go Watch(ctx, addr, WatchStart{Schedule: quick}, func(l EndpointList) error { news <- l; return nil }, func(err error) { failures <- err }, zerolog.Nop())
		select {
		case l := <-news:
			t.Errorf("%s: it is taken, %+v", form, l)
		case <-failures:
		case <-time.After(10 * time.Second):
			t.Errorf("%s: no end", form)
		}
		stop()
	}
}
