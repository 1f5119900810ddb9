// Command bench starts the stand-ins and the daemons of a deployment as processes, offers load at a fixed arrival rate,
// runs the baseline and a chosen policy in turn on the same stand-ins, checks every answer, and prints a report.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
)

// Exit statuses.
const (
	exitFailed   = 1
	exitBadUsage = 2
	exitBound    = 3
)

// errBound is returned when a figure is outside its bound.
var errBound = errors.New("a figure is outside its bound")

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) == 3 && args[0] == bareCommand {
		if err := runBare(args[1], args[2]); err != nil {
			fmt.Fprintln(os.Stderr, "bench:", err)
			return exitFailed
		}
		return 0
	}
	o, err := parseOptions(args)
	if errors.Is(err, flag.ErrHelp) {
		return 0
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "bench:", err)
		return exitBadUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	// A closed standard output must not end the program before it has stopped its processes.
	signal.Ignore(syscall.SIGPIPE)
	s := newStarter()
	err = runAll(ctx, o, s)
	s.stopAll()
	switch {
	case err == nil:
		return 0
	case errors.Is(err, errBound):
		fmt.Fprintln(os.Stderr, "bench:", err)
		return exitBound
	default:
		fmt.Fprintln(os.Stderr, "bench:", err)
		return exitFailed
	}
}

// runAll builds the programs and runs the chosen scenarios one after another.
func runAll(ctx context.Context, o *options, s *starter) (err error) {
	root, err := repositoryRoot(ctx)
	if err != nil {
		return err
	}
	o.commit = commitOf(ctx, root)
	if o.folder == "" {
		if o.folder, err = os.MkdirTemp("", "bench-"); err != nil {
			return err
		}
		defer func() {
			if err == nil || errors.Is(err, errBound) {
				_ = os.RemoveAll(o.folder)
				return
			}
			fmt.Fprintln(os.Stderr, "bench: logs are in", o.folder)
		}()
	}
	programs := filepath.Join(o.folder, "bin")
	if err := os.MkdirAll(programs, 0o755); err != nil {
		return err
	}
	built, err := build(ctx, root, programs, false)
	if err != nil {
		return err
	}
	if o.scenario == slopesName {
		return runSlopes(ctx, o, s, built)
	}
	contenders, release, err := chooseContenders(ctx, o, root, built)
	if err != nil {
		return err
	}
	defer release()
	return runScenarios(ctx, o, s, built, contenders)
}

// chooseContenders returns the two sides: the baseline policy and the chosen one, or the chosen policy at an earlier
// revision and at this one.
func chooseContenders(ctx context.Context, o *options, root string, built *binaries) ([sidesPerRun]contender, func(), error) {
	current := contender{name: "current", policy: policies[o.policy], binaries: built}
	if o.compare == "" {
		return [sidesPerRun]contender{{name: "baseline", policy: policies["baseline"], binaries: built}, current}, func() {}, nil
	}
	tree := filepath.Join(o.folder, "tree")
	remove, err := checkOut(ctx, root, o.compare, tree)
	if err != nil {
		return [sidesPerRun]contender{}, nil, err
	}
	into := filepath.Join(o.folder, "bin-"+filepath.Base(o.compare))
	if err := os.MkdirAll(into, 0o755); err != nil {
		remove()
		return [sidesPerRun]contender{}, nil, err
	}
	earlier, err := build(ctx, tree, into, true)
	if err != nil {
		remove()
		return [sidesPerRun]contender{}, nil, err
	}
	o.commit = commitOf(ctx, tree) + ".." + o.commit
	return [sidesPerRun]contender{{name: "baseline", policy: policies[o.policy], binaries: earlier}, current}, remove, nil
}

func runScenarios(ctx context.Context, o *options, s *starter, b *binaries, contenders [sidesPerRun]contender) error {
	checker, err := newBoundChecker(o.bounds)
	if err != nil {
		return err
	}
	for _, name := range strings.Split(o.scenario, ",") {
		r, err := compare(ctx, o, s, b, contenders, name)
		if r != nil {
			err = errors.Join(err, r.print(ctx, os.Stdout, o.format))
		}
		if err != nil {
			return fmt.Errorf("scenario %s: %w", name, err)
		}
		checker.add(r)
	}
	return checker.printBroken(os.Stderr)
}
