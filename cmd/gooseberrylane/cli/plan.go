package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"

	"github.com/peterbourgon/ff/v3/ffcli"

	"gooseberrylane.example/coord/config"
	"gooseberrylane.example/core"
	"gooseberrylane.example/plugins/frontend/api"
)

// intentFlags are the flags of all commands that create a plan.
type intentFlags struct{ by, reason string }

func (f *intentFlags) add(flags *flag.FlagSet) {
	flags.StringVar(&f.by, "by", "", "`name` of the operator (required unless the file has it)")
	flags.StringVar(&f.reason, "reason", "", "reason for the change, stored in the history")
}

func (a *app) planCommand() *ffcli.Command {
	flags := a.flagSet("plan")
	var intent intentFlags
	intent.add(flags)
	show := flags.String("show", "", "show the stored plan with this `ID` instead of creating one")
	command := a.command("plan", "gooseberrylane plan [flags] FILE|- | drain UPSTREAM | ...", "plan a change of the configuration", takesOperators, flags,
		func(ctx context.Context, args []string) error {
			if *show != "" {
				return a.showPlan(ctx, *show)
			}
			if err := checkArguments(args, "FILE"); err != nil {
				return err
			}
			fileIntent, err := a.readIntent(args[0])
			if err != nil {
				return err
			}
			return a.plan(ctx, fileIntent, intent)
		})
	command.Subcommands = []*ffcli.Command{
		a.singleOperationPlan("drain", "drain an upstream: it receives no new work", []string{"UPSTREAM"}, func(args []string) config.Operation {
			return config.Operation{SetDraining: &config.SetDraining{Upstream: core.UpstreamID(args[0]), Draining: true}}
		}),
		a.singleOperationPlan("undrain", "end the draining of an upstream", []string{"UPSTREAM"}, func(args []string) config.Operation {
			return config.Operation{SetDraining: &config.SetDraining{Upstream: core.UpstreamID(args[0])}}
		}),
		a.singleOperationPlan("delete-service", "remove a service", []string{"SERVICE"}, func(args []string) config.Operation {
			return config.Operation{DeleteService: core.ServiceName(args[0])}
		}),
		a.singleOperationPlan("delete-group", "remove a group of a service", []string{"SERVICE", "GROUP"}, func(args []string) config.Operation {
			return config.Operation{DeleteGroup: &config.DeleteGroup{Service: core.ServiceName(args[0]), Group: core.GroupName(args[1])}}
		}),
	}
	return command
}

// singleOperationPlan returns a command for a plan with one operation.
func (a *app) singleOperationPlan(name, help string, argNames []string, operation func([]string) config.Operation) *ffcli.Command {
	flags := a.flagSet(name)
	var intent intentFlags
	intent.add(flags)
	return a.command(name, "gooseberrylane plan "+name+" [flags] "+join(argNames), help, takesOperators, flags, func(ctx context.Context, args []string) error {
		if err := checkArguments(args, argNames...); err != nil {
			return err
		}
		return a.plan(ctx, config.Intent{Operations: []config.Operation{operation(args)}}, intent)
	})
}

// readIntent reads an intent, or a bare list of operations, from a file; "-" is the standard input.
func (a *app) readIntent(path string) (config.Intent, error) {
	var intent config.Intent
	raw, err := a.readFile(path)
	if err != nil {
		return intent, err
	}
	var target any = &intent
	if trimmed := bytes.TrimSpace(raw); len(trimmed) > 0 && trimmed[0] == '[' {
		target = &intent.Operations
	}
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return intent, core.Errorf(core.CodeBadRequest, "%s: %v", path, err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return intent, core.Errorf(core.CodeBadRequest, "%s: text after the end of the JSON value", path)
	}
	return intent, nil
}

func (a *app) readFile(path string) ([]byte, error) {
	var raw []byte
	var err error
	if path == "-" {
		raw, err = io.ReadAll(a.In)
	} else {
		raw, err = os.ReadFile(path)
	}
	if err != nil {
		return nil, core.Errorf(core.CodeBadRequest, "%v", err)
	}
	return raw, nil
}

func (a *app) plan(ctx context.Context, intent config.Intent, flags intentFlags) error {
	if flags.by != "" {
		intent.Operator = flags.by
	}
	if flags.reason != "" {
		intent.Reason = flags.reason
	}
	var plan config.Plan
	// A plan changes nothing until it is confirmed, so a duplicate is harmless.
	if err := a.callFirst(ctx, "operators", a.operators, operatorCall(http.MethodPost, "/v1/plans", intent), &plan); err != nil {
		return err
	}
	return a.printPlan(&plan)
}

func (a *app) showPlan(ctx context.Context, id string) error {
	var plan config.Plan
	if err := a.callFirst(ctx, "operators", a.operators, operatorCall(http.MethodGet, planPath(id), nil), &plan); err != nil {
		return err
	}
	return a.printPlan(&plan)
}

func planPath(id string) string { return "/v1/plans/" + url.PathEscape(id) }

func (a *app) printPlan(plan *config.Plan) error {
	return a.print(plan, func(t *table) {
		t.line("plan %s, based on revision %d, made %s by %s", plan.ID, plan.Base, formatTime(plan.Created), plan.Intent.Operator)
		if plan.Intent.Reason != "" {
			t.line("reason: %s", plan.Intent.Reason)
		}
		t.row("ACTION", "KIND", "NAME", "BEFORE", "AFTER")
		for _, d := range plan.Differences {
			t.row(d.Action, d.Kind, d.Name, d.Before, d.After)
		}
		t.line("services: %s", join(plan.Services))
		t.line("upstreams: %s", join(plan.Upstreams))
		for _, warning := range plan.Warnings {
			t.line("warning: %s", warning)
		}
		t.line("confirm with: gooseberrylane confirm %s", plan.ID)
	})
}

func (a *app) confirmCommand() *ffcli.Command {
	flags := a.flagSet("confirm")
	by := flags.String("by", "", "`name` of the operator (required)")
	return a.command("confirm", "gooseberrylane confirm [flags] PLAN", "put a plan in force; repeating the command is safe", takesOperators, flags,
		func(ctx context.Context, args []string) error {
			if err := checkArguments(args, "PLAN"); err != nil {
				return err
			}
			return a.confirm(ctx, args[0], *by)
		})
}

func (a *app) confirm(ctx context.Context, id, by string) error {
	var change config.Change
	// Confirmation is idempotent by the plan ID, so the call may be sent to several VMs.
	request := operatorCall(http.MethodPost, planPath(id)+"/confirm", api.ConfirmRequest{Operator: by})
	err := a.callFirst(ctx, "operators", a.operators, request, &change)
	var coded *core.Error
	if errors.As(err, &coded) && coded.Code == core.CodeOutcomeUnknown {
		return core.Errorf(core.CodeNotKnownYet, "%s", coded.Detail)
	}
	if err != nil {
		return err
	}
	return a.print(change, func(t *table) {
		t.line("plan %s is revision %d, confirmed %s by %s", change.Plan, change.Revision, formatTime(change.Confirmed), change.ConfirmedBy)
		t.line("see how far it is in force with: gooseberrylane progress -revision %s", strconv.FormatUint(uint64(change.Revision), 10))
	})
}
