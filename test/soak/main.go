// Command soak runs real daemons as processes against the stand-ins of the platform, injects faults from outside, drawn
// from a seed, and checks the documented promises against the records of callers and upstreams.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/peterbourgon/ff/v3"
)

// Exit statuses.
const (
	exitBroken   = 1
	exitBadInput = 2
)

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	flags := flag.NewFlagSet("soak", flag.ContinueOnError)
	var o options
	flags.Uint64Var(&o.seed, "seed", 1, "`number` that all faults are drawn from")
	flags.DurationVar(&o.length, "for", 20*time.Second, "`duration` of the faults of each seed")
	flags.IntVar(&o.vms, "vms", 4, "`number` of daemons")
	flags.IntVar(&o.callers, "callers", 8, "`number` of callers")
	flags.StringVar(&o.daemon, "daemon", "", "`path` of a built gooseberrylaned; empty builds one")
	flags.StringVar(&o.logs, "logs", "", "`directory` for the logs of the daemons when a promise was broken; empty for a temporary one")
	seeds := flags.Int("seeds", 1, "`number` of seeds, from -seed on")
	if err := ff.Parse(flags, args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return 0
		}
		fmt.Fprintln(os.Stderr, "soak:", err)
		return exitBadInput
	}
	broken := 0
	for range *seeds {
		result, err := soak(o)
		if err != nil {
			fmt.Fprintln(os.Stderr, "soak:", err)
			return exitBadInput
		}
		fmt.Println(result)
		if len(result.broken) > 0 {
			broken++
		}
		o.seed++
	}
	if broken > 0 {
		fmt.Fprintf(os.Stderr, "soak: promises broken with %d of %d seeds\n", broken, *seeds)
		return exitBroken
	}
	return 0
}
