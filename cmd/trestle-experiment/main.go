// Command trestle-experiment plays a fleet, clients and faults round real routers on loopback, judges what happened, and sets
// builds and policies side by side.
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
	kept        = 0
	broken      = 1
	misused     = 2 // the arguments or a file cannot be used; nothing was started
	void        = 3 // the lab itself was late: the run says nothing
	unplayed    = 4 // a router never became ready, or a port was taken
	interrupted = 5 // ended halfway: what is printed is a part
)

type arguments struct {
	Run     runCommand     `cmd:"" help:"Play a scenario: stand-ins, real routers, clients, faults; judge it and print its figures."`
	Compare compareCommand `cmd:"" help:"Play a scenario with two routers, turn about, and print paired differences with their noise."`
	Fleet   fleetCommand   `cmd:"" help:"Run the stand-ins alone, to try a router by hand."`
	Load    loadCommand    `cmd:"" help:"Run a scenario's clients against any addresses."`
	Faults  faultsCommand  `cmd:"" help:"Name the faults that a scenario may have."`
	Values  valuesCommand  `cmd:"" help:"Measure what long values cost a router: processor time and memory, as lines with names."`
	Scale   scaleCommand   `cmd:"" help:"Measure what a router costs for one more server, peer, word, request or change, and print each by its name."`
	Hollow  hollowCommand  `cmd:"" hidden:"" help:"Be hollow routers, as trestle-experiment scale starts them."`
	Router  routerCommand  `cmd:"" hidden:"" help:"Be a router with a baseline policy, as the lab starts it."`
}

func main() {
	var args arguments
	parser := kong.Must(&args, kong.Name("trestle-experiment"), kong.UsageOnError(),
		kong.Description("A laboratory for routers: everything runs on loopback addresses of this machine.\n\n"+
			"Exit status: 0 rules kept, 1 a rule broken, 2 arguments or file faulty, 3 void (the lab was late), 4 not playable, 5 interrupted."))
	command, err := parser.Parse(os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, "trestle-experiment:", err)
		os.Exit(misused)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	command.BindTo(ctx, (*context.Context)(nil))
	err = command.Run()
	var status exit
	switch {
	case errors.As(err, &status):
		os.Exit(int(status))
	case errors.Is(err, context.Canceled):
		fmt.Fprintln(os.Stderr, "trestle-experiment: interrupted")
		os.Exit(interrupted)
	case err != nil:
		fmt.Fprintln(os.Stderr, "trestle-experiment:", err)
		os.Exit(unplayed)
	}
}

// exit ends the program with a status, after all has been said.
type exit int

func (e exit) Error() string { return fmt.Sprint("exit status ", int(e)) }

// faulty tells of a file or an argument that cannot be used.
func faulty(err error) error {
	fmt.Fprintln(os.Stderr, err)
	return exit(misused)
}

// place is where a run happens.
type place struct {
	Net  int    `help:"Second number of the loopback addresses, 127.NET.x.y; 0 looks for a free one." default:"0"`
	Keep string `help:"Folder for configurations and logs, kept; else a temporary one, kept only if a rule breaks." type:"path"`
}

// prepare gives options and what cleans up.
func (p place) prepare() (experiment.Options, func(keep bool), error) {
	o, clean := experiment.Options{Net: p.Net, Dir: p.Keep}, func(bool) {}
	if o.Net == 0 {
		n, _, err := experiment.Reserve(os.Getpid()) // held until the program ends
		if err != nil {
			return o, clean, err
		}
		o.Net = n
	}
	if p.Keep != "" {
		return o, clean, os.MkdirAll(p.Keep, 0o755)
	}
	dir, err := experiment.TempDir()
	o.Dir = dir
	return o, func(keep bool) {
		if !keep {
			os.RemoveAll(dir)
		}
	}, err
}

type runCommand struct {
	Scenario string `arg:"" type:"existingfile" help:"The scenario's file."`
	Router   string `help:"What to start: head (this tree, built), a program's path, a revision, or a baseline." default:"head"`
	Seed     uint64 `help:"Of arrivals, keys, works and targets." default:"1"`
	Repeat   int    `help:"Runs, with seeds one after another." default:"1"`
	JSON     string `help:"File for all figures." type:"path" name:"json"`
	Plot     string `help:"PNG file for a picture of the last run: benefit, zones and origin over time." type:"path"`
	place
}

func (c *runCommand) Run(ctx context.Context) error {
	s, err := experiment.ReadScenario(c.Scenario)
	if err != nil {
		return faulty(err)
	}
	o, clean, err := c.prepare()
	if err != nil {
		return err
	}
	logs := ""
	defer func() { clean(logs != "") }()
	program, err := experiment.Resolve(ctx, c.Router, o.Dir)
	if err != nil {
		return faulty(err)
	}
	o.Router, o.Progress = program, progress()
	var results, control []experiment.Result
	for i := range max(1, c.Repeat) {
		o.Seed = c.Seed + uint64(i)
		played := []*experiment.Scenario{s}
		if s.WithControl() {
			played = append(played, s.Without())
		}
		for n, s := range played {
			rec, err := experiment.Play(ctx, s, o)
			if err != nil {
				return err
			}
			r := experiment.NewResult(s, o, rec)
			if c.Plot != "" && n == 0 {
				if err = chart.Draw(c.Plot, s, rec); err != nil {
					return err
				}
			}
			if r.Verdict == experiment.RulesBroken {
				logs = o.Dir
			}
			if n == 0 {
				results = append(results, r)
			} else {
				control = append(control, r)
			}
			if rec.Interrupted {
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
	experiment.Print(os.Stdout, s, results, logs)
	experiment.PrintTenants(os.Stdout, results, control)
	if status := statuses[experiment.Overall(append(results, control...))]; status != kept {
		return exit(status)
	}
	return nil
}

var statuses = map[string]int{experiment.RulesKept: kept, experiment.RulesBroken: broken, experiment.RunVoid: void, experiment.Interrupted: interrupted}

// progress gives where a progress line goes: standard error, if a person watches.
func progress() io.Writer {
	if at, err := os.Stderr.Stat(); err == nil && at.Mode()&os.ModeCharDevice != 0 {
		return os.Stderr
	}
	return nil
}

type compareCommand struct {
	Scenario []string `arg:"" type:"existingfile" help:"The scenarios' files."`
	A        string   `help:"One router: head, a program's path, a revision, or a baseline." default:"head"`
	B        []string `help:"The others, each set beside the first." required:""`
	Seeds    int      `help:"Pairs." default:"5"`
	Lanes    int      `help:"Seeds that are played at once: a lane wants a core." default:"1"`
	Seed     uint64   `help:"The first pair's." default:"1"`
	JSON     string   `help:"File for all figures." type:"path" name:"json"`
	place
}

func (c *compareCommand) Run(ctx context.Context) error {
	var all []*experiment.Scenario
	for _, path := range c.Scenario {
		s, err := experiment.ReadScenario(path)
		if err != nil {
			return faulty(err)
		}
		all = append(all, s)
	}
	o, clean, err := c.prepare()
	if err != nil {
		return err
	}
	defer clean(false)
	var programs []experiment.Program
	for _, name := range append([]string{c.A}, c.B...) {
		program, err := experiment.Resolve(ctx, name, o.Dir)
		if err != nil {
			return faulty(err)
		}
		programs = append(programs, program)
	}
	var done []experiment.Comparison
	for _, s := range all {
		o.Progress, o.Seed = progress(), c.Seed
		if c.Lanes > 1 {
			o.Progress = nil
		}
		these, err := experiment.Compare(ctx, s, programs, o, c.Seeds, c.Lanes, os.Stderr)
		if err != nil {
			return err
		}
		for _, one := range these {
			experiment.PrintComparison(os.Stdout, one)
		}
		done = append(done, these...)
	}
	if c.JSON != "" {
		return experiment.WriteJSON(c.JSON, done)
	}
	return nil
}

type valuesCommand struct {
	Router    string `help:"What is measured: head (this tree, built), a program's path, a revision, or a baseline." default:"head"`
	Sizes     []int  `help:"Bytes of a value, three sizes or more." default:"60000,200000,1000000,4000000"`
	Transfers []int  `help:"Transfers that clients hold who do not read, three counts or more." default:"1,16,64,256"`
	Bytes     int    `help:"Bytes that are carried for one point." default:"400000000"`
	AtOnce    int    `help:"Clients that ask one value after another." default:"8"`
	Runs      int    `help:"Of the whole." default:"3"`
	JSON      string `help:"File for all lines and points." type:"path" name:"json"`
	place
}

func (c *valuesCommand) Run(ctx context.Context) error {
	v := scale.ValueOptions{Sizes: c.Sizes, Transfers: c.Transfers, Bytes: c.Bytes, AtOnce: c.AtOnce, Runs: c.Runs, Progress: os.Stderr,
		Settle: scale.UsualValues().Settle}
	if err := v.Check(); err != nil {
		return faulty(err)
	}
	o, clean, err := c.prepare()
	if err != nil {
		return err
	}
	defer clean(false)
	if v.Router, err = experiment.Resolve(ctx, c.Router, o.Dir); err != nil {
		return faulty(err)
	}
	v.Net, v.Dir = o.Net, o.Dir
	lines, err := scale.Values(ctx, v)
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
	for _, k := range experiment.Kinds() {
		fmt.Println(experiment.Describe(k))
	}
	return nil
}

type routerCommand struct {
	Policy string  `help:"The baseline; logic is the product's own." default:"logic"`
	Flat   float64 `help:"What every operation counts of its team's budget, whatever it takes: a plain rate."`
}

// Run is the product's own router but for its decisions.
func (c *routerCommand) Run() error {
	module := requestcore.NewBalancer(requestcore.DefaultBalancer)
	if c.Policy != "logic" {
		var err error
		if module, err = baseline.Maker(c.Policy); err != nil {
			return faulty(err)
		}
	}
	signals := service.Signals()
	read := func() (service.Setup, error) {
		theirs, err := operatorconfig.Read(os.Getenv("GW_OPERATORS"))
		conf, other := config.Read(os.Getenv)
		return service.Setup{Platform: conf, Operators: theirs, FlatCost: c.Flat}, errors.Join(err, other)
	}
	set, err := read()
	if err != nil {
		return faulty(err)
	}
	return service.Run(set, signals, module, read, zerolog.New(os.Stderr).With().Timestamp().Logger())
}
