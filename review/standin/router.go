package main

import (
	"encoding/json"
	"errors"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// router is one real router, started by the deploy file's command.
type router struct {
	command *exec.Cmd
	config  map[string]any
	folder  string
	listen  string
	exited  chan struct{}
}

// freeAddress is a loopback address that nobody listens at.
func freeAddress() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// startRouter starts a router and waits until it has answered mn with MN.
func startRouter(folder, discovery string, known list, sockets int, settings map[string]any) (*router, error) {
	r := &router{folder: folder, listen: freeAddress(), exited: make(chan struct{})}
	r.config = map[string]any{
		"name": "n1", "listen": r.listen, "discovery": discovery, "seed": "8c1f30d27a5be964",
		"limits":   map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": sockets},
		"known":    known,
		"settings": settings,
	}
	if err := r.writeConfig(); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(folder, "router.log"))
	if err != nil {
		return nil, err
	}
	temporary := filepath.Join(folder, "tmp")
	os.MkdirAll(temporary, 0o700)
	r.command = exec.Command("/bin/sh", "-c", os.Getenv("ROUTER_RUN"))
	r.command.Env = append(os.Environ(), "GW_CONFIG="+r.configPath(), "TMPDIR="+temporary)
	r.command.Stdout = log
	r.command.Stderr = log
	r.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := r.command.Start(); err != nil {
		return nil, err
	}
	go func() { r.command.Wait(); close(r.exited) }()
	for range 200 {
		if r.ready() {
			return r, nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return nil, errors.New("the router is not ready after 10 s")
}

func (r *router) configPath() string { return filepath.Join(r.folder, "config.json") }

// writeConfig replaces the configuration file in one step.
func (r *router) writeConfig() error {
	text, err := json.MarshalIndent(r.config, "", " ")
	if err != nil {
		return err
	}
	next := r.configPath() + ".next"
	if err := os.WriteFile(next, text, 0o600); err != nil {
		return err
	}
	return os.Rename(next, r.configPath())
}

func (r *router) ready() bool {
	conn, err := net.DialTimeout("tcp", r.listen, time.Second)
	if err != nil {
		return false
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(time.Second))
	conn.Write([]byte("mn\r\n"))
	var answer [4]byte
	n, _ := conn.Read(answer[:])
	return string(answer[:n]) == "MN\r\n"
}

func (r *router) signal(s os.Signal) { r.command.Process.Signal(s) }

// stop ends the router and waits for its end.
func (r *router) stop() {
	r.signal(syscall.SIGKILL)
	<-r.exited
}
