package eventloop

import (
	"os"
	"testing"
)

// A listener closes its descriptor only once: a second close would close a file that another goroutine has opened
// under the same number meanwhile.
func TestListenerClosesItsDescriptorOnce(t *testing.T) {
	l, err := New()
	if err != nil {
		t.Fatal(err)
	}
	go l.Run()
	defer l.Post(l.Stop)
	stop, broken := make(chan bool), make(chan error, 1)
	go func() { // opens files continuously, and detects whether one of them is closed by the listener
		for {
			select {
			case <-stop:
				close(broken)
				return
			default:
			}
			r, w, err := os.Pipe()
			if err != nil {
				broken <- err
				return
			}
			_, err = w.Write([]byte{1})
			w.Close()
			r.Close()
			if err != nil {
				broken <- err
				return
			}
		}
	}()
	for range 2000 {
		done := make(chan error)
		l.Post(func() {
			ln, err := l.Listen("127.0.0.1:0", func() bool { return true }, nil)
			if err == nil {
				ln.Close()
				ln.Close()
			}
			done <- err
		})
		if err := <-done; err != nil {
			t.Fatal(err)
		}
	}
	close(stop)
	if err := <-broken; err != nil {
		t.Errorf("a file of another goroutine was closed: %v", err)
	}
}
