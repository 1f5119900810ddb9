// Command gooseberrylaned is the daemon: one entry VM of the query tier.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3"

	"gooseberrylane.example/kernel"
	_ "gooseberrylane.example/plugins/standard"
)

// Exit statuses.
const (
	exitFailed      = 1
	exitBadSettings = 2
)

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	flags := flag.NewFlagSet("gooseberrylaned", flag.ContinueOnError)
	path := flags.String("settings", "", "path of the JSON settings `file` (required)")
	if err := ff.Parse(flags, args, ff.WithEnvVarPrefix("GOOSEBERRYLANED")); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return 0
		}
		fmt.Fprintln(os.Stderr, "gooseberrylaned:", err)
		return exitBadSettings
	}
	raw, err := os.ReadFile(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, "gooseberrylaned: settings:", err)
		return exitBadSettings
	}
	loaded, err := kernel.Load(kernel.Linked(), raw)
	if err != nil {
		fmt.Fprintln(os.Stderr, "gooseberrylaned:", err)
		return exitBadSettings
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	app, err := kernel.New(loaded, kernel.Options{Log: os.Stderr})
	if err == nil {
		err = app.Run(ctx)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "gooseberrylaned:", err)
		return exitFailed
	}
	return 0
}
