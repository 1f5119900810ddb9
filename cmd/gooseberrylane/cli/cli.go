// Package cli is the command-line tool. Each command returns an error with a result code, and the family of the code is
// the exit status.
package cli

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"gooseberrylane.example/core"
	"gooseberrylane.example/kernel/tlsconf"
)

// Exit statuses. They are the families of the result codes: the thousands digit of the code.
const (
	ExitOK = 0
	// ExitPartial means that the answer is partial, or that some VMs did not answer.
	ExitPartial = 1
	// ExitBadInput means that the command line or the request was refused.
	ExitBadInput = 2
	// ExitNotRun means that nothing ran and nothing changed.
	ExitNotRun = 3
	// ExitUnknown means that the request may have run, or is running.
	ExitUnknown = 4
	// ExitConfiguration means that a plan or a confirmation was refused, or that its outcome is not known yet.
	ExitConfiguration = 5
	// ExitBadSettings means that the settings are invalid.
	ExitBadSettings = 6
	// ExitInternal means an internal error of the tool or of a VM.
	ExitInternal = 9
)

const codesPerFamily = 1000

// exitStatus returns the exit status for a result code.
func exitStatus(code core.Code) int { return int(code) / codesPerFamily }

// Streams are the standard streams of the tool.
type Streams struct {
	In       io.Reader
	Out, Err io.Writer
}

const (
	outputTable = "table"
	outputJSON  = "json"
)

const envPrefix = "GOOSEBERRYLANE"

const exitHelp = `Exit statuses: 0 success; 1 partial, or some VMs did not answer; 2 bad input; 3 not run; 4 outcome unknown
or in progress; 5 configuration change refused or not known yet; 6 bad settings; 9 internal error.
Every flag can be set by the environment too, for example GOOSEBERRYLANE_OPERATORS.`

// app holds the streams and the common flags of all commands.
type app struct {
	Streams
	output    string
	timeout   time.Duration
	operators targetList
	callers   targetList
	metrics   targetList
	keyFile   string
	tls       tlsconf.Settings
	now       func() time.Time
}

// Run runs the tool and returns its exit status.
func Run(ctx context.Context, args []string, streams Streams) int {
	a := &app{Streams: streams, now: time.Now}
	return a.run(ctx, args)
}

func (a *app) run(ctx context.Context, args []string) int {
	root := a.root()
	if err := root.Parse(args); err != nil {
		return a.finish(usageError(err))
	}
	if a.output != outputTable && a.output != outputJSON && a.output != "" {
		return a.finish(core.Errorf(core.CodeBadRequest, "-o %s: want %s or %s", a.output, outputTable, outputJSON))
	}
	return a.finish(usageError(root.Run(ctx)))
}

// usageError returns errors of the flag parser as CodeBadRequest.
func usageError(err error) error {
	var coded *core.Error
	if err == nil || errors.Is(err, flag.ErrHelp) || errors.As(err, &coded) {
		return err
	}
	return core.Errorf(core.CodeBadRequest, "%v", err)
}

// finish prints an error and returns the exit status.
func (a *app) finish(err error) int {
	var coded *core.Error
	switch {
	case err == nil || errors.Is(err, flag.ErrHelp):
		return ExitOK
	case !errors.As(err, &coded):
		coded = core.Errorf(core.CodeInternal, "%v", err)
	}
	a.printError(coded)
	return exitStatus(coded.Code)
}

func (a *app) root() *ffcli.Command {
	return a.group("gooseberrylane", "gooseberrylane <command> [flags]", "the tool for callers and operators of the query tier", []*ffcli.Command{
		a.queryCommand(), a.planCommand(), a.confirmCommand(), a.statusCommand(), a.historyCommand(), a.progressCommand(),
		a.reportCommand(), a.explainCommand(), a.settingsCommand(), a.codesCommand(), a.versionCommand(),
	})
}

// group returns a command that only has subcommands.
func (a *app) group(name, usage, help string, commands []*ffcli.Command) *ffcli.Command {
	flags := a.flagSet(name)
	return &ffcli.Command{
		Name: name, ShortUsage: usage, ShortHelp: help, LongHelp: exitHelp, FlagSet: flags, Subcommands: commands,
		Exec: func(_ context.Context, args []string) error {
			if len(args) > 0 {
				return core.Errorf(core.CodeBadRequest, "%s: unknown command %q; see %s -h", name, args[0], name)
			}
			return flag.ErrHelp
		},
	}
}

func (a *app) flagSet(name string) *flag.FlagSet {
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.SetOutput(a.Err)
	return flags
}

// Groups of flags that a command accepts.
const (
	takesOperators = 1 << iota
	takesCallers
	takesMetrics
)

// command returns a command with the common flags.
func (a *app) command(name, usage, help string, takes int, flags *flag.FlagSet, exec func(context.Context, []string) error) *ffcli.Command {
	flags.StringVar(&a.output, "o", outputTable, "output `format`: table or json")
	if takes != 0 {
		flags.DurationVar(&a.timeout, "timeout", defaultTimeout, "time limit of each call")
		flags.StringVar(&a.tls.CAFile, "tls-ca", "", "`file` with the CA certificates of the VMs; enables TLS. A certificate must be valid for NAME, or for HOST if no name is given")
		flags.StringVar(&a.tls.CertificateFile, "tls-certificate", "", "`file` with the client certificate, for listeners that require one")
		flags.StringVar(&a.tls.KeyFile, "tls-key", "", "`file` with the private key of the client certificate")
	}
	if takes&takesOperators != 0 {
		flags.Var(&a.operators, "operators", "operator listeners of VMs, as `[NAME=]HOST:PORT,...`")
		flags.StringVar(&a.keyFile, "key-file", "", "`file` with the operator key")
	}
	if takes&takesCallers != 0 {
		flags.Var(&a.callers, "callers", "caller listeners of VMs, as `[NAME=]HOST:PORT,...`")
	}
	if takes&takesMetrics != 0 {
		flags.Var(&a.metrics, "metrics", "metrics listeners of VMs, as `[NAME=]HOST:PORT,...`")
	}
	return &ffcli.Command{
		Name: name, ShortUsage: usage, ShortHelp: help, LongHelp: exitHelp, FlagSet: flags, Exec: exec,
		Options: []ff.Option{ff.WithEnvVarPrefix(envPrefix)},
	}
}

// checkArguments checks the number of arguments.
func checkArguments(args []string, names ...string) error {
	if len(args) != len(names) {
		return core.Errorf(core.CodeBadRequest, "want %d arguments %v, got %d", len(names), names, len(args))
	}
	return nil
}

func (a *app) note(format string, args ...any) { fmt.Fprintf(a.Err, format+"\n", args...) }
