// Command bendtrestle is the real router: it serves clients on a socket and routes to cache servers.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"strings"
	"sync/atomic"
	"text/tabwriter"
	"time"

	"bendtrestle/internal/config"
	"bendtrestle/internal/operatorconfig"
	"bendtrestle/internal/policy/startup"
	"bendtrestle/internal/requestcore"
	"bendtrestle/internal/service"

	"github.com/alecthomas/kong"
	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

type arguments struct {
	Operators string `help:"The operators' own file; without it everything is as the platform says." env:"GW_OPERATORS" placeholder:"FILE"`

	Run     runCommand     `cmd:"" default:"1" help:"Serve, until SIGTERM. This is what happens without arguments, too."`
	Check   checkCommand   `cmd:"" help:"Read both files, and print what is in effect or every fault."`
	Version versionCommand `cmd:"" help:"Print which build this is."`
}

func main() {
	var args arguments
	parser := kong.Must(&args, kong.Name("bendtrestle"), kong.UsageOnError(),
		kong.Description("A router for fleets of cache servers. GW_CONFIG names the platform's configuration."))
	command, err := parser.Parse(os.Args[1:])
	if err == nil {
		err = command.Run(&args)
	}
	if err != nil {
		var status exit
		if !errors.As(err, &status) {
			fmt.Fprintln(os.Stderr, "bendtrestle:", err)
			status = misused
		}
		os.Exit(int(status))
	}
}

// exit ends the program with a status, after all has been said.
type exit int

const (
	failed  exit = 1
	misused exit = 2 // arguments or a file cannot be used
)

func (e exit) Error() string { return fmt.Sprint("exit status ", int(e)) }

type runCommand struct{}

func (runCommand) Run(args *arguments) error {
	signals := service.Signals()
	out := &form{}
	log := zerolog.New(out).With().Timestamp().Logger()
	read := func() (service.Setup, error) {
		theirs, err := operatorconfig.Read(args.Operators)
		conf, other := config.Read(os.Getenv)
		if err = errors.Join(err, other); err == nil { // both or none: a faulty file changes nothing
			out.take(theirs.Log)
		}
		return service.Setup{Platform: conf, Operators: theirs}, err
	}
	set, err := read()
	if err != nil {
		log.Error().Err(err).Msg("the configuration cannot be used")
		return failed
	}
	// A log that is read slowly loses lines rather than hold the loop up, and no trouble floods it.
	lines := diode.NewWriter(out, 1000, 0, func(lost int) { log.Warn().Int("lost", lost).Msg("log lines lost") })
	sparse := zerolog.LevelSampler{WarnSampler: &zerolog.BurstSampler{Burst: 20, Period: time.Second}}
	err = service.Run(set, signals, requestcore.DefaultBalancer, read, log.Output(lines).Sample(sparse))
	lines.Close()
	if err != nil {
		log.Error().Err(err).Msg("the router cannot run")
		return failed
	}
	return nil
}

// form writes log lines as the operators want them. It is behind the queue of lines, off the loop.
type form struct{ console atomic.Bool }

func (f *form) Write(p []byte) (int, error) {
	if f.console.Load() {
		return zerolog.ConsoleWriter{Out: os.Stderr, TimeFormat: time.TimeOnly}.Write(p)
	}
	return os.Stderr.Write(p)
}

func (f *form) take(l operatorconfig.Log) {
	f.console.Store(l.Form == "console")
	if level, err := zerolog.ParseLevel(l.Level); err == nil { // checked when it was read
		zerolog.SetGlobalLevel(level)
	}
}

type checkCommand struct{}

func (checkCommand) Run(args *arguments) error {
	theirs, err := operatorconfig.Read(args.Operators)
	ours, other := config.Describe(os.Getenv)
	if err = errors.Join(err, other); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return misused
	}
	return printSettings(os.Stdout, ours, theirs)
}

func printSettings(out io.Writer, ours []config.Setting, theirs operatorconfig.File) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "KEY\tIN EFFECT\tFROM")
	for _, s := range ours {
		fmt.Fprintf(w, "%s\t%s\t%s\n", s.Key, s.Value, s.From)
	}
	for _, s := range theirs.Settings() {
		fmt.Fprintf(w, "%s\t%s\t%s\n", s.Key, s.Value, s.From)
	}
	if theirs.Recovery.On {
		w.Flush()
		fmt.Fprintln(out)
		fmt.Fprintln(w, "KEPT FOR THE NEXT PROCESS\tRULE\tUSED FOR\tUNTIL SOMETHING NEWER")
		for _, k := range startup.RecordKinds {
			age := "any time"
			if k.MaxAgeSeconds > 0 {
				age = fmt.Sprintf("%v s", k.MaxAgeSeconds)
			}
			fmt.Fprintf(w, "%s: %s\t%s\t%s\t%s\n", k.Name, k.Content, k.Rule, age, k.Fallback)
		}
	}
	if rows := theirs.Table(); rows != nil {
		w.Flush()
		fmt.Fprintln(out)
		for _, row := range rows {
			fmt.Fprintln(w, strings.Join(row, "\t"))
		}
	}
	return w.Flush()
}

type versionCommand struct{}

func (versionCommand) Run() error {
	info, known := debug.ReadBuildInfo()
	if !known {
		return errors.New("this build does not tell its version")
	}
	version, revision, modified := info.Main.Version, "unknown", ""
	for _, s := range info.Settings {
		switch {
		case s.Key == "vcs.revision":
			revision = s.Value
		case s.Key == "vcs.modified" && s.Value == "true":
			modified = ", with changes"
		}
	}
	fmt.Printf("bendtrestle %s, revision %s%s, %s\n", version, revision, modified, info.GoVersion)
	return nil
}
