// Command upstream hosts the upstream stand-ins of a JSON file in one process. It prints one JSON line with the control
// address and the address of each upstream once all are up, and ends on SIGINT or SIGTERM.
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
	"gooseberrylane.example/standins/upstream"
)

func main() {
	flags := flag.NewFlagSet("upstream", flag.ContinueOnError)
	path := flags.String("config", "", "path of the JSON `file` with a list of upstreams (required)")
	listen := flags.String("control", "127.0.0.1:0", "`address` of the control listener")
	if err := ff.Parse(flags, os.Args[1:]); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return
		}
		fmt.Fprintln(os.Stderr, "upstream:", err)
		os.Exit(2)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, *path, *listen); err != nil {
		fmt.Fprintln(os.Stderr, "upstream:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, path, listen string) error {
	raw, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	var configs []upstream.Config
	if err := json.Unmarshal(raw, &configs); err != nil {
		return err
	}
	host, err := upstream.NewHost(configs)
	if err != nil {
		return err
	}
	err = control.Serve(ctx, listen, host.Control(), func(address string) error {
		return json.NewEncoder(os.Stdout).Encode(map[string]any{"control": address, "upstreams": host.Addresses()})
	})
	return errs.Combine(err, host.Stop())
}
