// Command platform is the stand-in for the platform's object API. It prints one JSON line with the control address and
// the address of the object API once it is up, and ends on SIGINT or SIGTERM.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3"
	"github.com/zeebo/errs"

	"gooseberrylane.example/standins/control"
	"gooseberrylane.example/standins/platform"
)

func main() {
	flags := flag.NewFlagSet("platform", flag.ContinueOnError)
	listen := flags.String("listen", "127.0.0.1:0", "`address` of the object API")
	controlListen := flags.String("control", "127.0.0.1:0", "`address` of the control listener")
	seed := flags.Uint64("seed", 1, "`seed` of the faults")
	if err := ff.Parse(flags, os.Args[1:]); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return
		}
		fmt.Fprintln(os.Stderr, "platform:", err)
		os.Exit(2)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, *listen, *controlListen, *seed); err != nil {
		fmt.Fprintln(os.Stderr, "platform:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, listen, controlListen string, seed uint64) error {
	server := platform.New(listen, seed)
	if err := server.Start(); err != nil {
		return err
	}
	err := control.Serve(ctx, controlListen, server.Control(), func(address string) error {
		return json.NewEncoder(os.Stdout).Encode(map[string]string{"control": address, "platform": server.Address()})
	})
	return errs.Combine(err, server.Stop())
}
