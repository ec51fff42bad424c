package main

import (
	"errors"
	"os"
	"sync/atomic"
	"time"

	"bendtrestle/internal/config"
	"bendtrestle/internal/operatorconfig"
	"bendtrestle/internal/requestcore"
	"bendtrestle/internal/service"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

const (
	logQueueLines    = 1000 // if the log is read too slowly, further lines are dropped instead of blocking the event loop
	logWarningBurst  = 20   // warnings per logWarningPeriod, so that a repeated fault does not flood the log
	logWarningPeriod = time.Second
	// logTimeFormat is RFC 3339 with milliseconds: transitions that follow each other in one second keep their distance.
	logTimeFormat = "2006-01-02T15:04:05.000Z07:00"
)

type runCommand struct{}

// Run serves until SIGTERM.
func (runCommand) Run(args *arguments) error {
	signals := service.Signals()
	out := &logWriter{}
	zerolog.TimeFieldFormat = logTimeFormat
	log := zerolog.New(out).With().Timestamp().Logger()
	readSetup := func() (service.Setup, error) { return readSetup(args.Operators, out) }
	setup, err := readSetup()
	if err != nil {
		log.Error().Err(err).Msg("invalid configuration; the router does not start")
		return exitFailed
	}
	lines := diode.NewWriter(out, logQueueLines, 0, func(lost int) {
		log.Warn().Int("lost", lost).Msg("log lines dropped; the log is read too slowly")
	})
	sampler := zerolog.LevelSampler{WarnSampler: &zerolog.BurstSampler{Burst: logWarningBurst, Period: logWarningPeriod}}
	err = service.Run(setup, signals, requestcore.DefaultBalancer, readSetup, log.Output(lines).Sample(sampler))
	lines.Close()
	if err != nil {
		log.Error().Err(err).Msg("the router failed and exits")
		return exitFailed
	}
	return nil
}

// readSetup reads both files and configures the log from the operators' file. A fault in either file leaves the log's
// configuration unchanged.
func readSetup(operatorsPath string, out *logWriter) (service.Setup, error) {
	operators, err := operatorconfig.Read(operatorsPath)
	platform, platformErr := config.Read(os.Getenv)
	err = errors.Join(err, platformErr)
	if err == nil {
		out.configure(operators.Log)
	}
	return service.Setup{Platform: platform, Operators: operators}, err
}

// logWriter writes log lines to standard error in the configured format. While the router serves, lines reach it
// through a queue, so that it is not called on the event loop.
type logWriter struct{ console atomic.Bool }

// Write writes one line.
func (w *logWriter) Write(line []byte) (int, error) {
	if w.console.Load() {
		return zerolog.ConsoleWriter{Out: os.Stderr, TimeFormat: time.TimeOnly}.Write(line)
	}
	return os.Stderr.Write(line)
}

func (w *logWriter) configure(log operatorconfig.Log) {
	w.console.Store(log.Form == "console")
	level, err := zerolog.ParseLevel(log.Level)
	if err == nil { // always: the level was checked when the file was read
		zerolog.SetGlobalLevel(level)
	}
}
