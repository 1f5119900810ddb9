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
	"gooseberrylane.example/standins/deployment"
)

func main() {
	seed := flag.Uint64("seed", 1, "seed of the random choices")
	placement := flag.Bool("placement", false, "measure block sizes of the placement instead of slopes")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	err := measure(ctx, *placement, *seed)
	if err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(1)
	}
}

func measure(ctx context.Context, placement bool, seed uint64) error {
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	if !placement {
		done, err := capacity.Run(ctx, capacity.LargeSizes(), seed, os.Stderr)
		if err != nil {
			return err
		}
		return encoder.Encode(done)
	}
	const deploymentVMs = 20
	var all []capacity.Placement
	for _, name := range deployment.Names() {
		for _, size := range capacity.BlockSizes {
			d, err := deployment.New(name, seed)
			if err != nil {
				return err
			}
			all = append(all, capacity.DeploymentPlacement(name, d.Services, deployment.Domains, deploymentVMs, size, seed))
		}
	}
	for _, size := range capacity.BlockSizes {
		all = append(all, capacity.LargePlacement(size, seed))
	}
	return encoder.Encode(all)
}
