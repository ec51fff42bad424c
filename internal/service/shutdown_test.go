package service

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"

	"bendtrestle/balancer"
	"bendtrestle/internal/testaddress"

	"github.com/rs/zerolog"
)

// withDeadline returns baseConfig with another deadline of its traffic class.
func withDeadline(deadline time.Duration) string {
	return strings.Replace(baseConfig, `"hardStop":2000000000`, fmt.Sprintf(`"hardStop":%d`, deadline.Nanoseconds()), 1)
}

// answerLines reads a client's connection to its end, which must come before the given time, and returns the lines.
func answerLines(t *testing.T, conn net.Conn, in *bufio.Reader, before time.Time) []string {
	t.Helper()
	conn.SetReadDeadline(before)
	text, err := io.ReadAll(in)
	if err != nil {
		t.Errorf("got %q, then %v, want the end of the connection before the earliest SIGKILL", text, err)
	}
	return strings.Split(strings.TrimSuffix(string(text), "\r\n"), "\r\n")
}

// wantErrorLines checks that a client got so many answers, all of them errors.
func wantErrorLines(t *testing.T, lines []string, count int) {
	t.Helper()
	failed := 0
	for _, line := range lines {
		if strings.HasPrefix(line, "SERVER_ERROR ") {
			failed++
		}
	}
	if len(lines) != count || failed != count {
		t.Errorf("got %q, want %d error lines", lines, count)
	}
}

// A class has a deadline of 6 s, and every cache server hangs. SIGKILL arrives 3.7 s after SIGTERM, because the
// platform waits for 3 s of a longer deadline at most: by then all requests must be answered, also those that came
// after SIGTERM on a connection with an open request.
func TestOpenRequestsAreAnsweredBeforeSIGKILLWithLongDeadlines(t *testing.T) {
	for name, prepare := range map[string]func(*Service){
		"restart":       func(*Service) {},
		"upgrade":       func(s *Service) { s.restart.servingSuccessors = 1 },
		"after a drain": func(s *Service) { s.setDraining(true) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			list := startScriptedServer(t, func(net.Conn, string, string) {})
			s, addr, err := assembleConfig(withDeadline(6*time.Second), list, zerolog.Nop())
			if err != nil {
				t.Fatal(err)
			}
			ended := s.runLoop(t)
			waitServing(t, s)
			conn, in := dialAndSend(t, addr, "", "")
			fmt.Fprint(conn, "mg k1 v Oa Pc=t,d=6000\r\n")
			waitUntil(t, "the first request", s, func() bool { return s.clients.frontend.OpenRequests() == 1 })
			runOnLoop(s, func() { prepare(s) })
			kill := time.Now().Add(3700 * time.Millisecond)
			s.loop.Post(s.beginShutdown)
			waitUntil(t, "the phase finishing", s, func() bool { return s.lifecycle.phase == Finishing })
			fmt.Fprint(conn, "mg k2 v Ob Pc=t,d=6000\r\n")
			wantErrorLines(t, answerLines(t, conn, in, kill), 2)
			select {
			case <-ended:
			case <-time.After(time.Until(kill)):
				t.Error("the process has not ended before the earliest SIGKILL")
			}
		})
	}
}

// A long value is in flight when the shutdown's time is over, and its server falls silent. The final answers on other
// connections must not wait for it.
func TestLongValueDoesNotDelayFinalAnswersAtShutdown(t *testing.T) {
	list := startScriptedServer(t, func(conn net.Conn, id, key string) {
		if key != "hangs" {
			serveLongValues(conn, id, key)
		}
	})
	s, addr, err := assembleConfig(withoutDeadline, list, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	s.runLoop(t)
	waitServing(t, s)
	_, longIn := dialAndSend(t, addr, "a", "silent")
	longIn.ReadString('\n')
	conn, in := dialAndSend(t, addr, "", "")
	fmt.Fprint(conn, "mg hangs v Ob Pc=t,d=60000\r\n")
	waitUntil(t, "both requests", s, func() bool { return s.clients.frontend.OpenRequests() == 2 })
	kill := time.Now().Add(1700 * time.Millisecond)
	s.loop.Post(s.beginShutdown)
	waitUntil(t, "the phase finishing", s, func() bool { return s.lifecycle.phase == Finishing })
	fmt.Fprint(conn, "mg hangs v Oc Pc=t,d=60000\r\n")
	wantErrorLines(t, answerLines(t, conn, in, kill), 2)
}

// The time of the final answers must be before the earliest SIGKILL by at least two hold-ups of 0.15 s, for any
// settings; only then can the process be held up at the signal and at the timer.
func TestFinalAnswersPrecedeEarliestKill(t *testing.T) {
	for name, c := range map[string]struct {
		deadlines []float64 // seconds, of the platform's traffic classes; 0: not stated
		kill      float64   // seconds
	}{
		"short deadlines":                 {[]float64{0.75, 1.2}, 1.9},
		"deadlines above 3 s":             {[]float64{6, 5, 3}, 3.7},
		"one deadline is not stated":      {[]float64{0.6, 0}, 1.3},
		"no deadline is stated":           {[]float64{0}, 1.7},
		"a deadline of exactly 3 seconds": {[]float64{3}, 3.7},
	} {
		s, _, err := assembleConfig(baseConfig, "127.0.0.1:1", zerolog.Nop())
		if err != nil {
			t.Fatal(err)
		}
		s.conf.Settings.TrafficClasses = nil
		for _, deadline := range c.deadlines {
			class := balancer.TrafficClass{Deadline: deadline}
			s.conf.Settings.TrafficClasses = append(s.conf.Settings.TrafficClasses, class)
		}
		const rounding = 1e-9
		if got := s.earliestKill(); got < c.kill-rounding || got > c.kill+rounding {
			t.Errorf("%s: got %v s until the earliest SIGKILL, want %v", name, got, c.kill)
		}
	}
	if finalAnswerLeadSeconds < 0.3 {
		t.Errorf("got %v s between the final answers and SIGKILL, want 0.3 or more", finalAnswerLeadSeconds)
	}
}

// A client sends many more commands at once than may be pending on a connection, and every cache server hangs. All of
// them were taken before the shutdown or the drain began, and must be answered.
func TestCommandsBeyondThePendingOnesAreAnsweredAtTheEnd(t *testing.T) {
	const commands = 200
	for name, begin := range map[string]func(*Service){
		"restart": func(s *Service) { s.beginShutdown() },
		"drain":   func(s *Service) { s.setDraining(true) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			list := startScriptedServer(t, func(net.Conn, string, string) {})
			s, addr, err := assembleConfig(withDeadline(1500*time.Millisecond), list, zerolog.Nop())
			if err != nil {
				t.Fatal(err)
			}
			s.runLoop(t)
			waitServing(t, s)
			conn, in := dialAndSend(t, addr, "", "")
			var batch strings.Builder
			for i := range commands {
				fmt.Fprintf(&batch, "mg k%d v Oa%d Pc=t,d=60000\r\n", i, i)
			}
			io.WriteString(conn, batch.String())
			waitUntil(t, "the pending requests", s, func() bool { return s.clients.frontend.OpenRequests() == 32 })
			runOnLoop(s, func() { begin(s) })
			wantErrorLines(t, answerLines(t, conn, in, time.Now().Add(4*time.Second)), commands)
		})
	}
}

// The time of the final answers is derived from the platform's deadlines. A longer one of a team must not move it
// beyond SIGKILL, and it is never before the last connections are accepted.
func TestTimeOfFinalAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		deadline time.Duration // of the platform's class
		team     bool          // a team has a deadline of 1.9 s
		want     float64       // seconds after SIGTERM
	}{
		"a team with a longer deadline": {500 * time.Millisecond, true, 0.9},
		"a very short deadline":         {50 * time.Millisecond, false, 0.5},
	} {
		log := &logBuffer{}
		text := strings.Replace(withDeadline(c.deadline), `"promisedTime":1000000000`, `"promisedTime":50000000`, 1)
		s, _, err := assembleConfig(text, "127.0.0.1:1", zerolog.New(log))
		if err != nil {
			t.Fatal(err)
		}
		s.runLoop(t)
		if c.team {
			operators := parseOperators(t, fmt.Sprintf(contractFile, "127.0.0.1:1", "", testaddress.New(), 2.0))
			runOnLoop(s, func() { s.reconfigure(Setup{Platform: s.conf, Operators: operators}) })
		}
		runOnLoop(s, s.beginShutdown)
		const field, rounding = `"answered_within":`, 1e-9
		_, logged, _ := strings.Cut(log.text(), field)
		logged, _, _ = strings.Cut(logged, ",")
		got, err := strconv.ParseFloat(logged, 64)
		if err != nil || got < c.want-rounding || got > c.want+rounding {
			t.Errorf("%s: the log states %q, want %v", name, logged, c.want)
		}
	}
}
