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
	logQueueLines    = 1000 // a log that is read slowly loses lines beyond them, rather than hold the event loop up
	logWarningBurst  = 20   // warnings in logWarningPeriod; no fault floods the log
	logWarningPeriod = time.Second
)

type runCommand struct{}

// Run serves until SIGTERM.
func (runCommand) Run(args *arguments) error {
	signals := service.Signals()
	out := &logWriter{}
	log := zerolog.New(out).With().Timestamp().Logger()
	readSetup := func() (service.Setup, error) { return readSetup(args.Operators, out) }
	setup, err := readSetup()
	if err != nil {
		log.Error().Err(err).Msg("the configuration cannot be used")
		return exitFailed
	}
	lines := diode.NewWriter(out, logQueueLines, 0, func(lost int) {
		log.Warn().Int("lost", lost).Msg("log lines lost")
	})
	sampler := zerolog.LevelSampler{WarnSampler: &zerolog.BurstSampler{Burst: logWarningBurst, Period: logWarningPeriod}}
	err = service.Run(setup, signals, requestcore.DefaultBalancer, readSetup, log.Output(lines).Sample(sampler))
	lines.Close()
	if err != nil {
		log.Error().Err(err).Msg("the router cannot run")
		return exitFailed
	}
	return nil
}

// readSetup reads both files, and has the log take effect as the operators want it. A fault in either changes nothing.
func readSetup(operatorsPath string, out *logWriter) (service.Setup, error) {
	operators, err := operatorconfig.Read(operatorsPath)
	platform, platformErr := config.Read(os.Getenv)
	err = errors.Join(err, platformErr)
	if err == nil {
		out.configure(operators.Log)
	}
	return service.Setup{Platform: platform, Operators: operators}, err
}

// logWriter writes log lines in the form that operators want. It is called behind the queue of lines, off the event loop.
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
	if err == nil { // it was checked when the file was read
		zerolog.SetGlobalLevel(level)
	}
}
