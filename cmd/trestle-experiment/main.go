// Command trestle-experiment runs real routers on loopback with an emulated fleet, clients and faults, checks the
// results against rules, and compares builds and policies.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"bendtrestle/internal/config"
	"bendtrestle/internal/experiment"
	"bendtrestle/internal/experiment/baseline"
	"bendtrestle/internal/experiment/chart"
	"bendtrestle/internal/experiment/scale"
	"bendtrestle/internal/operatorconfig"
	"bendtrestle/internal/requestcore"
	"bendtrestle/internal/service"

	"github.com/alecthomas/kong"
	"github.com/rs/zerolog"
)

// The exit statuses.
const (
	exitRulesKept   = 0
	exitRuleBroken  = 1
	exitUsage       = 2 // an argument or a file cannot be used; nothing was started
	exitVoid        = 3 // the laboratory itself was late: the run is no evidence
	exitCannotRun   = 4 // a router never became ready, or a port was in use
	exitInterrupted = 5 // ended early: the printed results are partial
)

type arguments struct {
	Run     runCommand              `cmd:"" help:"Run a scenario with emulated servers, real routers, clients and faults; check its rules and print its figures."`
	Compare compareCommand          `cmd:"" help:"Run a scenario with two routers alternately, and print paired differences with their noise."`
	Fleet   fleetCommand            `cmd:"" help:"Run only the emulated servers, to try a router by hand."`
	Load    loadCommand             `cmd:"" help:"Run a scenario's clients against any addresses."`
	Faults  faultsCommand           `cmd:"" help:"List the kinds of faults for scenarios."`
	Values  valuesCommand           `cmd:"" help:"Measure the processor time and memory that long values cost a router."`
	Scale   scaleCommand            `cmd:"" help:"Measure a router's cost of each additional server, peer, gossip message, request or list change."`
	Hollow  simulatedRoutersCommand `cmd:"" hidden:"" help:"Run simulated routers; trestle-experiment scale starts this command."`
	Router  routerCommand           `cmd:"" hidden:"" help:"Run a router with a baseline policy; the laboratory starts this command."`
}

func main() {
	var args arguments
	parser := kong.Must(&args, kong.Name("trestle-experiment"), kong.UsageOnError(),
		kong.Description("A laboratory for routers. Everything runs on loopback addresses of this machine.\n\n"+
			"Exit status: 0 rules kept, 1 a rule broken, 2 bad arguments or file, 3 void (laboratory late), 4 cannot run, 5 interrupted."))
	command, err := parser.Parse(os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, "trestle-experiment:", err)
		os.Exit(exitUsage)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	command.BindTo(ctx, (*context.Context)(nil))
	err = command.Run()
	var status exitStatus
	switch {
	case errors.As(err, &status):
		os.Exit(int(status))
	case errors.Is(err, context.Canceled):
		fmt.Fprintln(os.Stderr, "trestle-experiment: interrupted")
		os.Exit(exitInterrupted)
	case err != nil:
		fmt.Fprintln(os.Stderr, "trestle-experiment:", err)
		os.Exit(exitCannotRun)
	}
}

// exitStatus is an error that ends the program with this status; its cause has been printed before.
type exitStatus int

func (e exitStatus) Error() string { return fmt.Sprint("exit status ", int(e)) }

// usageError prints why a file or an argument cannot be used, and returns the exit status for it.
func usageError(err error) error {
	fmt.Fprintln(os.Stderr, err)
	return exitStatus(exitUsage)
}

// runSettings are the flags for the network and the folder of a run.
type runSettings struct {
	Net  int    `help:"Second number of the loopback addresses, 127.NET.x.y; 0 looks for a free one." default:"0"`
	Keep string `help:"Folder for configurations and logs, kept; else a temporary one, kept only if a rule breaks." type:"path"`
}

// prepare returns the options of a run and a function that cleans up after it; with keep the folder stays.
func (p runSettings) prepare() (experiment.Options, func(keep bool), error) {
	options, cleanUp := experiment.Options{Net: p.Net, Dir: p.Keep}, func(bool) {}
	if options.Net == 0 {
		network, _, err := experiment.ReserveNet(os.Getpid()) // reserved until the program ends
		if err != nil {
			return options, cleanUp, err
		}
		options.Net = network
	}
	if p.Keep != "" {
		return options, cleanUp, os.MkdirAll(p.Keep, 0o755)
	}
	dir, err := experiment.TempDir()
	options.Dir = dir
	return options, func(keep bool) {
		if !keep {
			os.RemoveAll(dir)
		}
	}, err
}

type runCommand struct {
	Scenario string `arg:"" type:"existingfile" help:"The scenario's file."`
	Router   string `help:"What to start: head (this tree, built), a program's path, a revision, or a baseline." default:"head"`
	Seed     uint64 `help:"Seed of the random arrivals, keys, work times and targets." default:"1"`
	Repeat   int    `help:"Number of runs, with consecutive seeds." default:"1"`
	JSON     string `help:"File for all figures." type:"path" name:"json"`
	Plot     string `help:"PNG file for a picture of the last run: benefit, zones and origin over time." type:"path"`
	runSettings
}

func (c *runCommand) Run(ctx context.Context) error {
	scenario, err := experiment.ReadScenario(c.Scenario)
	if err != nil {
		return usageError(err)
	}
	options, cleanUp, err := c.prepare()
	if err != nil {
		return err
	}
	logDir := ""
	defer func() { cleanUp(logDir != "") }()
	program, err := experiment.Resolve(ctx, c.Router, options.Dir)
	if err != nil {
		return usageError(err)
	}
	options.Router, options.Progress = program, progressWriter()
	var results, control []experiment.Result
	for i := range max(1, c.Repeat) {
		options.Seed = c.Seed + uint64(i)
		variants := []*experiment.Scenario{scenario}
		if scenario.HasControlScenario() {
			variants = append(variants, scenario.ControlScenario())
		}
		for variant, scenario := range variants {
			records, err := experiment.Play(ctx, scenario, options)
			if err != nil {
				return err
			}
			result := experiment.NewResult(scenario, options, records)
			if c.Plot != "" && variant == 0 {
				if err = chart.Draw(c.Plot, scenario, records); err != nil {
					return err
				}
			}
			if result.Verdict == experiment.RulesBroken {
				logDir = options.Dir
			}
			if variant == 0 {
				results = append(results, result)
			} else {
				control = append(control, result)
			}
			if records.Interrupted {
				break
			}
		}
		if results[len(results)-1].Interrupted || ctx.Err() != nil {
			break
		}
	}
	if c.JSON != "" {
		if err := experiment.WriteJSON(c.JSON, append(results, control...)); err != nil {
			return err
		}
	}
	experiment.PrintResults(os.Stdout, scenario, results, logDir)
	experiment.PrintTenants(os.Stdout, results, control)
	if status := verdictStatuses[experiment.Overall(append(results, control...))]; status != exitRulesKept {
		return exitStatus(status)
	}
	return nil
}

var verdictStatuses = map[string]int{experiment.RulesKept: exitRulesKept, experiment.RulesBroken: exitRuleBroken,
	experiment.RunVoid: exitVoid, experiment.Interrupted: exitInterrupted}

// progressWriter returns standard error if it is a terminal, and nil otherwise: progress is for interactive use.
func progressWriter() io.Writer {
	if info, err := os.Stderr.Stat(); err == nil && info.Mode()&os.ModeCharDevice != 0 {
		return os.Stderr
	}
	return nil
}

type compareCommand struct {
	Scenario []string `arg:"" type:"existingfile" help:"The scenarios' files."`
	A        string   `help:"One router: head, a program's path, a revision, or a baseline." default:"head"`
	B        []string `help:"The other routers, each compared with the first." required:""`
	Seeds    int      `help:"Number of pairs of runs." default:"5"`
	Lanes    int      `help:"Seeds to run in parallel: each needs a core." default:"1"`
	Seed     uint64   `help:"Seed of the first pair." default:"1"`
	JSON     string   `help:"File for all figures." type:"path" name:"json"`
	runSettings
}

func (c *compareCommand) Run(ctx context.Context) error {
	var scenarios []*experiment.Scenario
	for _, path := range c.Scenario {
		scenario, err := experiment.ReadScenario(path)
		if err != nil {
			return usageError(err)
		}
		scenarios = append(scenarios, scenario)
	}
	options, cleanUp, err := c.prepare()
	if err != nil {
		return err
	}
	defer cleanUp(false)
	var programs []experiment.Program
	for _, name := range append([]string{c.A}, c.B...) {
		program, err := experiment.Resolve(ctx, name, options.Dir)
		if err != nil {
			return usageError(err)
		}
		programs = append(programs, program)
	}
	var all []experiment.Comparison
	for _, scenario := range scenarios {
		options.Progress, options.Seed = progressWriter(), c.Seed
		if c.Lanes > 1 {
			options.Progress = nil
		}
		comparisons, err := experiment.Compare(ctx, scenario, programs, options, c.Seeds, c.Lanes, os.Stderr)
		if err != nil {
			return err
		}
		for _, comparison := range comparisons {
			experiment.PrintComparison(os.Stdout, comparison)
		}
		all = append(all, comparisons...)
	}
	if c.JSON != "" {
		return experiment.WriteJSON(c.JSON, all)
	}
	return nil
}

type valuesCommand struct {
	Router    string `help:"What is measured: head (this tree, built), a program's path, a revision, or a baseline." default:"head"`
	Sizes     []int  `help:"Bytes of a value, three sizes or more." default:"60000,200000,1000000,4000000"`
	Transfers []int  `help:"Numbers of open transfers whose clients do not read, three or more." default:"1,16,64,256"`
	Bytes     int    `help:"Bytes transferred per measured point." default:"400000000"`
	AtOnce    int    `help:"Concurrent clients, each requesting one value after another." default:"8"`
	Runs      int    `help:"Number of runs of the whole measurement." default:"3"`
	JSON      string `help:"File for all lines and points." type:"path" name:"json"`
	runSettings
}

func (c *valuesCommand) Run(ctx context.Context) error {
	options := scale.ValueOptions{Sizes: c.Sizes, Transfers: c.Transfers, Bytes: c.Bytes, Clients: c.AtOnce, Runs: c.Runs,
		Progress: os.Stderr, Settle: scale.DefaultValueOptions().Settle}
	if err := options.Check(); err != nil {
		return usageError(err)
	}
	environment, cleanUp, err := c.prepare()
	if err != nil {
		return err
	}
	defer cleanUp(false)
	if options.Router, err = experiment.Resolve(ctx, c.Router, environment.Dir); err != nil {
		return usageError(err)
	}
	options.LoopbackNet, options.Dir = environment.Net, environment.Dir
	lines, err := scale.MeasureValues(ctx, options)
	if err != nil {
		return err
	}
	scale.PrintLines(os.Stdout, lines)
	if c.JSON != "" {
		return experiment.WriteJSON(c.JSON, map[string]any{"lines": lines, "copies": scale.Copies()})
	}
	return nil
}

type faultsCommand struct{}

func (faultsCommand) Run() error {
	for _, kind := range experiment.FaultKinds() {
		fmt.Println(experiment.DescribeFaultKind(kind))
	}
	return nil
}

type routerCommand struct {
	Policy string  `help:"The baseline; logic is the product's own." default:"logic"`
	Flat   float64 `help:"Fixed cost of each request against its team's quota, in place of its measured cost: a plain rate limit."`
}

// Run runs the product's router, with the balancer replaced by a baseline policy unless the policy is "logic".
func (c *routerCommand) Run() error {
	module := requestcore.NewBalancer(requestcore.DefaultBalancer)
	if c.Policy != "logic" {
		var err error
		if module, err = baseline.NewFactory(c.Policy); err != nil {
			return usageError(err)
		}
	}
	signals := service.Signals()
	read := func() (service.Setup, error) {
		operators, err := operatorconfig.Read(os.Getenv("GW_OPERATORS"))
		platform, platformErr := config.Read(os.Getenv)
		return service.Setup{Platform: platform, Operators: operators, FlatCost: c.Flat}, errors.Join(err, platformErr)
	}
	setup, err := read()
	if err != nil {
		return usageError(err)
	}
	return service.Run(setup, signals, module, read, zerolog.New(os.Stderr).With().Timestamp().Logger())
}
