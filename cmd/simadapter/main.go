// Command simadapter hosts balancers for the simulator on standard input and output.
package main

import (
	"fmt"
	"os"

	"bendtrestle/internal/simadapter"
)

func main() {
	if err := simadapter.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}
