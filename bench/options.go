package main

import (
	"flag"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3"

	"gooseberrylane.example/standins/deployment"
)

// options are the flags of the command.
type options struct {
	deployment, scenario, policy, format string
	compare, bounds, folder              string
	seed                                 uint64
	duration, slice, warm                time.Duration
	rate                                 float64
	vms                                  int
	commit                               string
}

const (
	defaultVMs      = 20
	maxVMs          = 80
	defaultDuration = 15 * time.Second
	maxDuration     = 10 * time.Minute
	defaultSlice    = 5 * time.Second
	minSlice        = time.Second
	defaultWarm     = 3 * time.Second
	maxWarm         = 2 * time.Minute
	defaultRate     = 150
	maxRate         = 20_000
	slopesName      = "slopes"
)

func parseOptions(args []string) (*options, error) {
	o := &options{}
	flags := flag.NewFlagSet("bench", flag.ContinueOnError)
	flags.StringVar(&o.deployment, "deployment", "directorate", "`name` of the deployment: "+strings.Join(deployment.Names(), ", "))
	flags.StringVar(&o.scenario, "scenario", "steady", "`names` joined by +, several runs separated by commas: "+strings.Join(scenarioNames(), ", ")+", "+slopesName)
	flags.StringVar(&o.policy, "policy", "current", "`name` of the policy: "+strings.Join(policyNames(), ", "))
	flags.Uint64Var(&o.seed, "seed", 1, "`seed` of the load and the faults")
	flags.DurationVar(&o.duration, "duration", defaultDuration, "measured `time` of each side")
	flags.DurationVar(&o.slice, "slice", defaultSlice, "`time` after which the sides take turns")
	flags.DurationVar(&o.warm, "warm", defaultWarm, "`time` of load before the measured time, so that the daemons learn latencies")
	flags.Float64Var(&o.rate, "rate", defaultRate, "arrival `rate` in queries per second")
	flags.IntVar(&o.vms, "vms", defaultVMs, "`number` of daemons of each side")
	flags.StringVar(&o.format, "format", "json", "`format` of the output: json or table")
	flags.StringVar(&o.compare, "compare", "", "compare with an earlier `revision` instead of the baseline policy")
	flags.StringVar(&o.bounds, "bounds", "", "fail when a figure is past a bound of this `file`")
	flags.StringVar(&o.folder, "folder", "", "`folder` for programs, settings and logs; empty means a temporary one")
	if err := ff.Parse(flags, args); err != nil {
		return nil, err
	}
	return o, o.check()
}

func (o *options) check() error {
	switch {
	case !slices.Contains(deployment.Names(), o.deployment):
		return fmt.Errorf("unknown deployment %q", o.deployment)
	case policies[o.policy] == nil:
		return fmt.Errorf("unknown policy %q; known are %s", o.policy, strings.Join(policyNames(), ", "))
	case o.format != "json" && o.format != "table":
		return fmt.Errorf("unknown format %q", o.format)
	case o.duration < minSlice || o.duration > maxDuration:
		return fmt.Errorf("duration %v is outside %v to %v", o.duration, minSlice, maxDuration)
	case o.slice < minSlice:
		return fmt.Errorf("slice %v is below %v", o.slice, minSlice)
	case o.warm < 0 || o.warm > maxWarm:
		return fmt.Errorf("warm-up %v is outside 0 to %v", o.warm, maxWarm)
	case o.rate <= 0 || o.rate > maxRate:
		return fmt.Errorf("rate %g is outside 0 to %d", o.rate, maxRate)
	case o.vms < domainCount || o.vms > maxVMs:
		return fmt.Errorf("%d VMs are outside %d to %d", o.vms, domainCount, maxVMs)
	}
	if o.scenario == slopesName {
		return nil
	}
	for _, name := range strings.Split(o.scenario, ",") {
		if _, err := findScenarios(name); err != nil {
			return err
		}
	}
	return nil
}

// slices returns the number of slices of each side.
func (o *options) slices() int { return max(int(o.duration/o.slice), 1) }
