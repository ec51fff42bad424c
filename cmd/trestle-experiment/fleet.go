package main

import (
	"context"
	"fmt"
	"os"

	"bendtrestle/internal/experiment"
)

type fleetCommand struct {
	Scenario string `arg:"" optional:"" type:"existingfile" help:"Whose fleet, list, routers' limits and traffic types; else a usual one."`
	Seed     uint64 `help:"Of the machines' speeds and works." default:"1"`
	Net      int    `help:"Second number of the loopback addresses, 127.NET.x.y." default:"77"`
	Config   string `help:"Where to write the router's configuration." default:"bin/fleet.json" type:"path"`
}

func (c *fleetCommand) Run(ctx context.Context) error {
	scenario, err := experiment.UsualScenario(c.Scenario)
	if err != nil {
		return usageError(err)
	}
	return experiment.RunFleet(ctx, scenario, experiment.Options{Seed: c.Seed, Net: c.Net}, c.Config, os.Stdout)
}

type loadCommand struct {
	To       []string `help:"The routers' addresses." required:"" placeholder:"ADDRESS,..."`
	Scenario string   `arg:"" optional:"" type:"existingfile" help:"Whose clients and traffic types; else usual ones."`
	Rate     float64  `help:"Operations a second; else the scenario's."`
	Seconds  float64  `help:"How long; else the scenario's."`
	Seed     uint64   `help:"Of arrivals and keys." default:"1"`
	JSON     string   `help:"File for all figures." type:"path" name:"json"`
}

func (c *loadCommand) Run(ctx context.Context) error {
	scenario, err := experiment.UsualScenario(c.Scenario)
	if err != nil {
		return usageError(err)
	}
	if c.Rate > 0 {
		scenario.Clients.Rate = c.Rate
	}
	if c.Seconds > 0 {
		scenario.Seconds, scenario.Settle = c.Seconds, min(scenario.Settle, c.Seconds/2)
	}
	result, err := experiment.RunLoad(ctx, scenario, experiment.Options{Seed: c.Seed, Progress: progressWriter()}, c.To)
	if err != nil {
		return err
	}
	if c.JSON != "" {
		if err := experiment.WriteJSON(c.JSON, result); err != nil {
			return err
		}
	}
	experiment.PrintLoad(os.Stdout, result)
	if result.Void != "" {
		fmt.Println("void:", result.Void)
		return exitStatus(exitVoid)
	}
	return nil
}
