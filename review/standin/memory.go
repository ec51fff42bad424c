package main

import (
	"bufio"
	"fmt"
	"io"
	"math"
	"math/rand"
	"net"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	memoryServers  = 25
	memoryMB       = 80  // the limit of the router; the pages state 32 to 192
	memorySockets  = 512 // the pages state 256 to 1,024
	memoryRate     = 40.0
	memoryBad      = 40  // bad clients: the pages state no number; clients hold a third of the descriptors at most
	memoryCommands = 200 // that a bad client sends at once: "hundreds"
	memoryValue    = 64 << 10
)

// case1: bad clients send hundreds of commands at once. The platform kills a router that is over its memory limit.
func case1(folder string, rec *record, trouble bool) int {
	random := newDraws(1)
	known := list{Generation: 1, Reset: true}
	quiet := &record{out: io.Discard} // the commands of the bad clients are counted, not listed
	var ran atomic.Int64
	for n := range memoryServers {
		s, err := startServer(fmt.Sprintf("s-%d", n+1), "127.0.0.1:0", quiet)
		if err != nil {
			rec.add("cannot run: %v", err)
			return notRun
		}
		s.valueSize = func(string) int { return memoryValue }
		s.onCommand = func(*command) { ran.Add(1) }
		go s.serve()
		known.Instances = append(known.Instances, instance{InstanceID: s.name, HostPort: s.address(), Zone: "lima-1",
			MachineType: "fast-single", Lifecycle: "ready", Weight: 1})
	}
	discovery, err := startAgent("d", rec, 1, known.Instances)
	if err != nil {
		rec.add("cannot run: %v", err)
		return notRun
	}
	r, err := startRouterWith(folder, discovery.address(), known, memoryMB, memorySockets, limaSettings())
	if err != nil {
		rec.add("cannot run: %v", err)
		return notRun
	}
	defer r.stop()

	end := time.Now().Add(15 * time.Second)
	clients := &clientPool{address: r.listen, record: rec}
	go func() {
		for next := time.Now(); next.Before(end); {
			next = next.Add(time.Duration(-math.Log(1-random()) / memoryRate * float64(time.Second)))
			time.Sleep(time.Until(next))
			id := newID()
			go clients.ask(id, getCommand(fmt.Sprintf("ad-%d", int(2000*random())), id, "view-ad", 6000))
		}
	}()
	if trouble {
		time.AfterFunc(3*time.Second, func() {
			rec.add("trouble: %d bad clients send %d commands at once, again and again", memoryBad, memoryCommands)
			for n := range memoryBad {
				go badClient(n, r.listen, rec, end.Add(-4*time.Second))
			}
		})
	}
	return watchMemory(r, rec, end, &ran)
}

// badClient sends many commands at once at full speed, reads what it is sent, and begins anew.
func badClient(number int, address string, rec *record, end time.Time) {
	source := rand.New(rand.NewSource(int64(number)))
	for round := 1; time.Now().Before(end); round++ {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			rec.add("bad client %d, round %d: %v", number, round, err)
			return
		}
		conn.SetDeadline(time.Now().Add(10 * time.Second))
		var commands strings.Builder
		for range memoryCommands {
			commands.WriteString(getCommand(fmt.Sprintf("ad-%d", source.Intn(2000)), newID(), "view-ad", 6000))
		}
		io.WriteString(conn, commands.String())
		in := bufio.NewReader(conn)
		values, others := 0, 0
		for range memoryCommands {
			got, err := readAnswer(in)
			if err != nil {
				break
			}
			if strings.HasPrefix(got.line, "VA ") {
				values++
			} else {
				others++
			}
		}
		conn.Close()
		if round <= 3 || round%20 == 0 {
			rec.add("bad client %d, round %d: %d commands, %d values, %d other answers", number, round, memoryCommands, values, others)
		}
	}
}

// watchMemory is the platform: it kills the router once it is over its memory limit.
func watchMemory(r *router, rec *record, end time.Time, ran *atomic.Int64) int {
	most, noted := 0, time.Now()
	for time.Now().Before(end) {
		time.Sleep(10 * time.Millisecond)
		select {
		case <-r.exited:
			rec.add("BROKEN: the router has exited")
			return broken
		default:
		}
		used := memoryOf(r.command.Process.Pid)
		most = max(most, used)
		if time.Since(noted) > 100*time.Millisecond {
			rec.add("platform: the router uses %.1f MB of %d; the cache servers have run %d commands", float64(used)/1024,
				memoryMB, ran.Load())
			noted = time.Now()
		}
		if used > memoryMB*1024 {
			rec.add("BROKEN: the router uses %.1f MB, more than its limit of %d: it is killed, which is a crash",
				float64(used)/1024, memoryMB)
			r.signal(syscall.SIGKILL)
			<-r.exited
			time.Sleep(300 * time.Millisecond) // the clients hear of it
			return broken
		}
	}
	rec.add("platform: the router used %.1f MB at most, of %d", float64(most)/1024, memoryMB)
	return held
}

// memoryOf returns the memory of a process, in kB: its anonymous pages and those of files that it has in memory.
func memoryOf(pid int) (kilobytes int) {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for _, line := range strings.Split(string(text), "\n") {
		fmt.Sscanf(line, "VmRSS: %d kB", &kilobytes)
	}
	return kilobytes
}
