package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"bendtrestle/internal/config"
	"bendtrestle/internal/operatorconfig"
	"bendtrestle/internal/policy/startup"
)

type checkCommand struct{}

// Run prints the settings in effect, or every fault of both files.
func (checkCommand) Run(args *arguments) error {
	operators, err := operatorconfig.Read(args.Operators)
	platform, platformErr := config.Describe(os.Getenv)
	err = errors.Join(err, platformErr)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitInvalidInput
	}
	return printSettings(os.Stdout, platform, operators)
}

// printSettings prints a table of all settings. With recovery switched on it also prints a table of the state that is
// kept for the next process, and with contracts a table of the contracts.
func printSettings(out io.Writer, platform []config.Setting, operators operatorconfig.File) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "KEY\tIN EFFECT\tFROM")
	for _, setting := range platform {
		fmt.Fprintf(table, "%s\t%s\t%s\n", setting.Key, setting.Value, setting.Source)
	}
	for _, setting := range operators.Settings() {
		fmt.Fprintf(table, "%s\t%s\t%s\n", setting.Key, setting.Value, setting.Source)
	}
	if operators.Recovery.On {
		startTable(table, out)
		printRecordKinds(table)
	}
	contracts := operators.ContractTable()
	if contracts != nil {
		startTable(table, out)
		for _, row := range contracts {
			fmt.Fprintln(table, strings.Join(row, "\t"))
		}
	}
	return table.Flush()
}

// startTable ends the previous table and prints an empty line.
func startTable(table *tabwriter.Writer, out io.Writer) {
	table.Flush()
	fmt.Fprintln(out)
}

func printRecordKinds(table io.Writer) {
	fmt.Fprintln(table, "KEPT FOR THE NEXT PROCESS\tRULE\tUSED FOR\tUNTIL SOMETHING NEWER")
	for _, kind := range startup.RecordKinds {
		age := "any time"
		if kind.MaxAgeSeconds > 0 {
			age = fmt.Sprintf("%v s", kind.MaxAgeSeconds)
		}
		fmt.Fprintf(table, "%s: %s\t%s\t%s\t%s\n", kind.Name, kind.Content, kind.Rule, age, kind.Fallback)
	}
}
