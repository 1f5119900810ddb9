package cli

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"gooseberrylane.example/coord/config"
	"gooseberrylane.example/core"
	"gooseberrylane.example/plugins/frontend/api"
)

func (a *app) statusCommand() *ffcli.Command {
	flags := a.flagSet("status")
	upstreams := flags.String("upstreams", "held", "`which` upstreams to list: held, all or none")
	members := flags.Bool("members", false, "list the members as each VM sees them")
	return a.command("status", "gooseberrylane status [flags]", "show the state of the VMs, and list those that do not answer", takesOperators, flags,
		func(ctx context.Context, args []string) error {
			if err := checkArguments(args); err != nil {
				return err
			}
			return a.status(ctx, *upstreams, *members)
		})
}

// fleetStatus is the JSON output of the command status.
type fleetStatus struct {
	VMs        []api.Status  `json:"vms"`
	Unanswered []callFailure `json:"unanswered"`
}

func (a *app) status(ctx context.Context, upstreams string, members bool) error {
	if len(a.operators) == 0 {
		return core.Errorf(core.CodeBadRequest, "-operators is missing")
	}
	answers, failed := callAll[api.Status](ctx, a, a.operators, operatorCall(http.MethodGet, "/v1/status?upstreams="+url.QueryEscape(upstreams), nil))
	if len(answers) == 0 {
		return unansweredError(0, failed)
	}
	err := a.print(fleetStatus{VMs: answers, Unanswered: failed}, func(t *table) {
		t.row("VM", "DOMAIN", "INCARNATION", "READY", "STALE", "PLATFORM AGE", "REVISION", "MEMBERS", "HELD")
		for i := range answers {
			vmRow(t, &answers[i])
		}
		for _, f := range failed {
			t.row(f.Name, "", "", "no answer: "+f.Reason)
		}
		if members {
			memberRows(t, answers)
		}
		upstreamRows(t, answers)
	})
	if err != nil {
		return err
	}
	return unansweredError(len(answers), failed)
}

func vmRow(t *table, vm *api.Status) {
	age := ""
	if vm.PlatformAgeMS != nil {
		age = (time.Duration(*vm.PlatformAgeMS) * time.Millisecond).String()
	}
	held := 0
	for i := range vm.Upstreams {
		if vm.Upstreams[i].Held {
			held++
		}
	}
	t.row(vm.VM, vm.Domain, vm.Incarnation, vm.Ready, vm.Stale, age, vm.Revision, len(vm.Members), held)
}

func memberRows(t *table, vms []api.Status) {
	t.line("")
	t.row("SEEN BY", "VM", "DOMAIN", "STATE", "INCARNATION", "PEER ADDRESS")
	for i := range vms {
		for _, m := range vms[i].Members {
			t.row(vms[i].VM, m.Name, m.Domain, m.State, m.Incarnation, m.PeerAddress)
		}
	}
}

func upstreamRows(t *table, vms []api.Status) {
	t.line("")
	t.row("SEEN BY", "UPSTREAM", "DOMAIN", "OWNER", "HELD", "STATE", "IN FLIGHT", "SENT", "FAILED", "SHED", "LATENCY US", "VERSIONS")
	for i := range vms {
		for j := range vms[i].Upstreams {
			u := &vms[i].Upstreams[j]
			t.row(vms[i].VM, u.ID, u.Domain, u.Owner, u.Held, upstreamState(u), u.InFlight, u.Sent, u.Failed, u.Shed, u.LatencyUS,
				fmt.Sprintf("%d-%d", u.Window.Oldest, u.Window.Newest))
		}
	}
}

func upstreamState(u *api.Upstream) string {
	switch {
	case u.Draining:
		return "draining"
	case u.Ejected:
		return "ejected"
	default:
		return "ok"
	}
}

func (a *app) historyCommand() *ffcli.Command {
	flags := a.flagSet("history")
	after := flags.Uint64("after", 0, "list changes after this `revision`")
	limit := flags.Int("limit", 100, "list at most this `number` of changes")
	return a.command("history", "gooseberrylane history [flags]", "list confirmed changes", takesOperators, flags, func(ctx context.Context, args []string) error {
		if err := checkArguments(args); err != nil {
			return err
		}
		page, err := a.historyPage(ctx, core.Revision(*after), *limit)
		if err != nil {
			return err
		}
		return a.print(page, func(t *table) {
			changeRows(t, page.Changes)
			if page.Next != 0 {
				t.line("more with: -after %d", page.Next)
			}
		})
	})
}

func (a *app) historyPage(ctx context.Context, after core.Revision, limit int) (api.History, error) {
	var page api.History
	query := url.Values{"after": {strconv.FormatUint(uint64(after), 10)}, "limit": {strconv.Itoa(limit)}}
	err := a.callFirst(ctx, "operators", a.operators, operatorCall(http.MethodGet, "/v1/history?"+query.Encode(), nil), &page)
	return page, err
}

func changeRows(t *table, changes []config.Change) {
	t.row("REVISION", "CONFIRMED", "BY", "PLANNED BY", "PLAN", "CHANGE", "REASON")
	for i := range changes {
		c := &changes[i]
		t.row(c.Revision, formatTime(c.Confirmed), c.ConfirmedBy, c.Intent.Operator, c.Plan, summary(&c.Intent), c.Intent.Reason)
	}
}

func (a *app) progressCommand() *ffcli.Command {
	flags := a.flagSet("progress")
	revision := flags.Uint64("revision", 0, "the `revision` to follow; default the one in force at the VM that answers")
	return a.command("progress", "gooseberrylane progress [flags]", "show on which VMs a revision is in force", takesOperators, flags,
		func(ctx context.Context, args []string) error {
			if err := checkArguments(args); err != nil {
				return err
			}
			return a.progress(ctx, *revision)
		})
}

func (a *app) progress(ctx context.Context, revision uint64) error {
	path := "/v1/progress"
	if revision != 0 {
		path += "?revision=" + strconv.FormatUint(revision, 10)
	}
	var progress config.Progress
	if err := a.callFirst(ctx, "operators", a.operators, operatorCall(http.MethodGet, path, nil), &progress); err != nil {
		return err
	}
	err := a.print(progress, func(t *table) {
		t.line("revision %d is in force on %d of %d VMs", progress.Revision, len(progress.InForce), len(progress.InForce)+len(progress.Behind)+len(progress.Unreachable))
		t.row("in force", join(progress.InForce))
		t.row("behind", join(progress.Behind))
		t.row("did not answer", join(progress.Unreachable))
	})
	if err != nil {
		return err
	}
	if len(progress.Unreachable) > 0 {
		return core.Errorf(core.CodeUnreachable, "no answer from %s", join(progress.Unreachable))
	}
	if len(progress.Behind) > 0 {
		return core.Errorf(core.CodePartial, "behind: %s", join(progress.Behind))
	}
	return nil
}
