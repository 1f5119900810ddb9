// Command cmd prints the slopes of state and control of one VM as JSON.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/signal"

	"gooseberrylane.example/bench/capacity"
)

func main() {
	seed := flag.Uint64("seed", 1, "seed of the random choices")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	done, err := capacity.Run(ctx, capacity.LargeSizes(), *seed, os.Stderr)
	if err == nil {
		encoder := json.NewEncoder(os.Stdout)
		encoder.SetIndent("", "  ")
		err = encoder.Encode(done)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(1)
	}
}
