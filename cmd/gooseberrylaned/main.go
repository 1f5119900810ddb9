// Command gooseberrylaned is the daemon: one entry VM of the query tier.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3"

	"gooseberrylane.example/kernel"
	"gooseberrylane.example/kernel/logsink"
	_ "gooseberrylane.example/platform"
	_ "gooseberrylane.example/plugins/standard"
)

// Exit statuses.
const (
	exitFailed      = 1
	exitBadSettings = 2
)

// logFlushTimeout limits the time to flush the log at exit.
const logFlushTimeout = 200 * time.Millisecond

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	// Without a handler, SIGHUP would terminate the process.
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	flags := flag.NewFlagSet("gooseberrylaned", flag.ContinueOnError)
	path := flags.String("settings", "", "path of the JSON settings `file`")
	source := flags.String("source", "", "`name` of the source that translates a settings file of another format")
	logRate := flags.Int("log-rate", logsink.DefaultBytesPerSecond, "long-term average of log `bytes` per second")
	if err := ff.Parse(flags, args, ff.WithEnvVarPrefix("GOOSEBERRYLANED")); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return 0
		}
		fmt.Fprintln(os.Stderr, "gooseberrylaned:", err)
		return exitBadSettings
	}
	file, err := openSettings(*path, *source)
	if err != nil {
		fmt.Fprintln(os.Stderr, "gooseberrylaned:", err)
		return exitBadSettings
	}
	loaded, err := file.load()
	if err != nil {
		fmt.Fprintln(os.Stderr, "gooseberrylaned:", err)
		return exitBadSettings
	}
	if limit := loaded.Settings.GCLimit(); limit > 0 {
		debug.SetMemoryLimit(limit)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	sink := logsink.New(os.Stdout, *logRate)
	defer sink.Close(logFlushTimeout)
	app, err := kernel.New(loaded, kernel.Options{Log: sink})
	if err == nil {
		go file.watch(ctx, app, hangup)
		err = app.Run(ctx)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "gooseberrylaned:", err)
		return exitFailed
	}
	return 0
}
