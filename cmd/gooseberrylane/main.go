// Command gooseberrylane is the command-line tool for callers and operators.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"gooseberrylane.example/cmd/gooseberrylane/cli"
	_ "gooseberrylane.example/platform"
	_ "gooseberrylane.example/plugins/standard"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	status := cli.Run(ctx, os.Args[1:], cli.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr})
	stop()
	os.Exit(status)
}
