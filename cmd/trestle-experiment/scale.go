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
	Routers []int     `help:"Numbers of other routers, three or more; default 100,300,1000,3700." placeholder:"N,..."`
	Servers []int     `help:"Cache servers in the list, three sizes or more; else 38,100,380." placeholder:"N,..."`
	Rates   []float64 `help:"Requests per second, three rates or more; default 200,400,800." placeholder:"N,..."`
	Runs    int       `help:"Number of runs of all measurements; default 3, which give the spread."`
	Seconds float64   `help:"Duration of each measurement; default 5."`
	Only    []string  `help:"Parts, names or prefixes of names to measure; default: all." placeholder:"NAME,..."`
	Small   bool      `help:"Small sizes for a test of the measurements; the results must not be quoted."`
	Router  string    `help:"What is measured: head (this tree, built), a program's path or a revision." default:"head"`
	JSON    string    `help:"File for the report." type:"path" name:"json"`
	Against string    `help:"An earlier report, to be compared with." type:"existingfile"`
	Join    []string  `help:"Reports to add names from that this run does not measure." type:"existingfile"`
	Quiet   bool      `help:"Print no progress lines."`
	runSettings
}

func (c *scaleCommand) plan() scale.Plan {
	p := scale.Full()
	if c.Small {
		p = scale.Small()
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

// Run measures, prints the table and, with --json, writes the report.
func (c *scaleCommand) Run(ctx context.Context) error {
	plan := c.plan()
	if faults := plan.Check(); len(faults) > 0 {
		for _, fault := range faults {
			fmt.Fprintln(os.Stderr, "trestle-experiment scale:", fault)
		}
		return exitStatus(exitUsage)
	}
	var previous *scale.Report
	var joined []*scale.Report
	if c.Against != "" {
		var err error
		if previous, err = scale.Read(c.Against); err != nil {
			return usageError(fmt.Errorf("--against: %w", err))
		}
	}
	for _, path := range c.Join {
		report, err := scale.Read(path)
		if err != nil {
			return usageError(fmt.Errorf("--join: %w", err))
		}
		joined = append(joined, report)
	}
	options, cleanUp, err := c.prepare()
	if err != nil {
		return err
	}
	defer cleanUp(false)
	program, err := experiment.Resolve(ctx, c.Router, options.Dir)
	if err != nil {
		return usageError(fmt.Errorf("--router: %w", err))
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	var progress io.Writer = os.Stderr
	if c.Quiet {
		progress = nil
	}
	report, err := scale.Run(ctx, scale.Options{Plan: plan, Router: program, SimulatedRouterCommand: []string{self, "hollow"},
		LoopbackNet: options.Net, Dir: options.Dir, Command: reportCommand(os.Args[1:]), Join: joined, Progress: progress})
	if err != nil {
		return err
	}
	report.Print(os.Stdout)
	if previous != nil {
		if err = report.PrintComparison(os.Stdout, previous); err != nil {
			return usageError(fmt.Errorf("--against %s: %w", c.Against, err))
		}
	}
	if c.JSON != "" {
		return report.Write(c.JSON)
	}
	return nil
}

// reportCommand returns the command line that a report records, without the folders of the machine.
func reportCommand(args []string) string {
	words := []string{"trestle-experiment"}
	for _, arg := range args {
		flag, value, hasValue := strings.Cut(arg, "=")
		if hasValue && filepath.IsAbs(value) {
			arg = flag + "=" + filepath.Base(value)
		} else if filepath.IsAbs(arg) {
			arg = filepath.Base(arg)
		}
		words = append(words, arg)
	}
	return strings.Join(words, " ")
}

type simulatedRoutersCommand struct{}

// Run serves simulated routers in this process, as trestle-experiment scale starts it.
func (simulatedRoutersCommand) Run() error {
	return simrouter.Serve(os.Stdin, os.Stdout, zerolog.New(os.Stderr).With().Timestamp().Logger())
}
