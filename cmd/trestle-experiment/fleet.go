package main

import (
	"context"
	"fmt"
	"os"

	"bendtrestle/internal/experiment"
)

type fleetCommand struct {
	Scenario string `arg:"" optional:"" type:"existingfile" help:"Scenario for the fleet, list service, router limits and traffic types; default: a built-in one."`
	Seed     uint64 `help:"Seed of the random machine speeds and work times." default:"1"`
	Net      int    `help:"Second number of the loopback addresses, 127.NET.x.y." default:"77"`
	Config   string `help:"Where to write the router's configuration." default:"bin/fleet.json" type:"path"`
}

func (c *fleetCommand) Run(ctx context.Context) error {
	scenario, err := experiment.ReadScenarioOrDefault(c.Scenario)
	if err != nil {
		return usageError(err)
	}
	return experiment.RunFleet(ctx, scenario, experiment.Options{Seed: c.Seed, Net: c.Net}, c.Config, os.Stdout)
}

type loadCommand struct {
	To       []string `help:"The routers' addresses." required:"" placeholder:"ADDRESS,..."`
	Scenario string   `arg:"" optional:"" type:"existingfile" help:"Scenario for the clients and traffic types; default: built-in ones."`
	Rate     float64  `help:"Requests per second; default: the scenario's."`
	Seconds  float64  `help:"Duration in seconds; default: the scenario's."`
	Seed     uint64   `help:"Seed of the random arrivals and keys." default:"1"`
	JSON     string   `help:"File for all figures." type:"path" name:"json"`
}

func (c *loadCommand) Run(ctx context.Context) error {
	scenario, err := experiment.ReadScenarioOrDefault(c.Scenario)
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
