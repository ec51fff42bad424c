// Command bendtrestle is the real router: it serves clients on a socket and routes to cache servers.
package main

import (
	"os"
	"time"

	"bendtrestle/internal/config"
	"bendtrestle/internal/router"
	"bendtrestle/internal/service"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

func main() {
	log := zerolog.New(os.Stderr).With().Timestamp().Logger()
	conf, err := config.Read(os.Getenv)
	if err != nil {
		log.Fatal().Err(err).Msg("the configuration cannot be used")
	}
	// A log that is read slowly loses lines rather than hold the loop up, and no trouble floods it.
	lines := diode.NewWriter(os.Stderr, 1000, 0, func(lost int) { log.Warn().Int("lost", lost).Msg("log lines lost") })
	sparse := zerolog.LevelSampler{WarnSampler: &zerolog.BurstSampler{Burst: 20, Period: time.Second}}
	err = service.Run(conf, router.Logic, log.Output(lines).Sample(sparse))
	lines.Close()
	if err != nil {
		log.Fatal().Err(err).Msg("the router cannot run")
	}
}
