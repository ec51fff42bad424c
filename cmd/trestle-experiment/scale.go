package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"bendtrestle/internal/experiment"
	"bendtrestle/internal/experiment/scale"
	"bendtrestle/internal/experiment/scale/simrouter"

	"github.com/rs/zerolog"
)

type scaleCommand struct {
	Routers []int     `help:"How many other routers there are, three sizes or more; else 100,300,1000,3700." placeholder:"N,..."`
	Servers []int     `help:"Cache servers in the list, three sizes or more; else 38,100,380." placeholder:"N,..."`
	Rates   []float64 `help:"Operations a second, three or more; else 200,400,800." placeholder:"N,..."`
	Runs    int       `help:"Of all; else 3, which give the spread."`
	Seconds float64   `help:"Of each measurement; else 5."`
	Only    []string  `help:"Parts or names, or the beginnings of names; else all." placeholder:"NAME,..."`
	Small   bool      `help:"Sizes of a test: they show that all is measured, and nothing is to be quoted."`
	Router  string    `help:"What is measured: head (this tree, built), a program's path or a revision." default:"head"`
	JSON    string    `help:"File for the report." type:"path" name:"json"`
	Against string    `help:"An earlier report, to be compared with." type:"existingfile"`
	Join    []string  `help:"Reports that have names which are not measured here." type:"existingfile"`
	Quiet   bool      `help:"No lines of progress."`
	place
}

func (c *scaleCommand) plan() scale.Plan {
	p := scale.Full()
	if c.Small {
		p = scale.Little()
	}
	if c.Routers != nil {
		p.Routers = c.Routers
	}
	if c.Servers != nil {
		p.Servers = c.Servers
	}
	if c.Rates != nil {
		p.Rates = c.Rates
	}
	if c.Runs != 0 {
		p.Runs = c.Runs
	}
	if c.Seconds != 0 {
		p.Window = time.Duration(c.Seconds * float64(time.Second))
	}
	p.Only = c.Only
	return p
}

// Run measures, prints the table and keeps the report.
func (c *scaleCommand) Run(ctx context.Context) error {
	plan := c.plan()
	if faults := plan.Check(); len(faults) > 0 {
		for _, fault := range faults {
			fmt.Fprintln(os.Stderr, "trestle-experiment scale:", fault)
		}
		return exit(misused)
	}
	var before *scale.Report
	var join []*scale.Report
	if c.Against != "" {
		var err error
		if before, err = scale.Read(c.Against); err != nil {
			return faulty(fmt.Errorf("--against: %w", err))
		}
	}
	for _, path := range c.Join {
		r, err := scale.Read(path)
		if err != nil {
			return faulty(fmt.Errorf("--join: %w", err))
		}
		join = append(join, r)
	}
	o, clean, err := c.prepare()
	if err != nil {
		return err
	}
	defer clean(false)
	program, err := experiment.Resolve(ctx, c.Router, o.Dir)
	if err != nil {
		return faulty(fmt.Errorf("--router: %w", err))
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	var progress io.Writer = os.Stderr
	if c.Quiet {
		progress = nil
	}
	r, err := scale.Run(ctx, scale.Options{Plan: plan, Router: program, Self: []string{self, "hollow"}, Net: o.Net, Dir: o.Dir,
		Command: command(os.Args[1:]), Join: join, Progress: progress})
	if err != nil {
		return err
	}
	r.Print(os.Stdout)
	if before != nil {
		if err = r.Against(os.Stdout, before); err != nil {
			return faulty(fmt.Errorf("--against %s: %w", c.Against, err))
		}
	}
	if c.JSON != "" {
		return r.Write(c.JSON)
	}
	return nil
}

// command is how a report says that it was made: without the folders of the machine.
func command(args []string) string {
	said := []string{"trestle-experiment"}
	for _, arg := range args {
		flag, value, both := strings.Cut(arg, "=")
		if both && filepath.IsAbs(value) {
			arg = flag + "=" + filepath.Base(value)
		} else if filepath.IsAbs(arg) {
			arg = filepath.Base(arg)
		}
		said = append(said, arg)
	}
	return strings.Join(said, " ")
}

type hollowCommand struct{}

// Run is a process of hollow routers, as trestle-experiment scale starts it.
func (hollowCommand) Run() error {
	return simrouter.Serve(os.Stdin, os.Stdout, zerolog.New(os.Stderr).With().Timestamp().Logger())
}
