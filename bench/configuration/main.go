// Command configuration measures the configuration subsystem with daemons as processes and the platform stand-in: the
// platform calls, traffic, CPU and memory of idle daemons, the time from a confirm until the change is in force on all
// VMs, and the reverts and torn sets in the logs of the daemons. It prints one JSON object.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"time"

	"github.com/peterbourgon/ff/v3"
)

// options are the flags of the command.
type options struct {
	daemon  string
	vms     int
	cut     int
	changes int
	idle    time.Duration
	seed    uint64
	lost    float64
	errors  float64
	stale   float64
}

func main() {
	if err := run(os.Args[1:]); err != nil && !errors.Is(err, flag.ErrHelp) {
		fmt.Fprintln(os.Stderr, "configuration:", err)
		os.Exit(1)
	}
}

func run(args []string) error {
	var o options
	flags := flag.NewFlagSet("configuration", flag.ContinueOnError)
	flags.StringVar(&o.daemon, "daemon", "bin/gooseberrylaned", "path of the daemon `program`")
	flags.IntVar(&o.vms, "vms", 20, "`number` of daemons")
	flags.IntVar(&o.cut, "cut", 0, "`number` of daemons that are cut off from the platform")
	flags.IntVar(&o.changes, "changes", 100, "`number` of changes")
	flags.DurationVar(&o.idle, "idle", 20*time.Second, "`time` to measure without changes")
	flags.Uint64Var(&o.seed, "seed", 1, "`seed` of the faults and of the choice of VMs")
	flags.Float64Var(&o.lost, "lost-answers", 0, "`share` of writes whose answer is lost during the changes")
	flags.Float64Var(&o.errors, "errors", 0, "`share` of platform calls that fail during the changes")
	flags.Float64Var(&o.stale, "stale-reads", 0, "`share` of reads that are stale during the changes")
	if err := ff.Parse(flags, args); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	f, err := startFleet(&o)
	if f != nil {
		defer f.stop()
	}
	if err != nil {
		return err
	}
	report, err := f.measure(ctx)
	if err != nil {
		return err
	}
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(report)
}
