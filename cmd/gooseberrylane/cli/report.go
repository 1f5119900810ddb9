package cli

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"gooseberrylane.example/coord/burn"
	"gooseberrylane.example/coord/config"
	"gooseberrylane.example/core"
	"gooseberrylane.example/plugins/frontend/api"
)

// clockSkewTolerance is the assumed maximum by which the clocks of VMs differ. Because of the skew, the order of
// confirmation times may differ from the order of revisions.
const clockSkewTolerance = time.Hour

// historyPageSize is the number of changes requested in one call, the maximum that the operator listener allows.
const historyPageSize = 1000

func (a *app) reportCommand() *ffcli.Command {
	return a.group("report", "gooseberrylane report changes|burn|month [flags]", "reports over the fleet", []*ffcli.Command{
		a.changesCommand(), a.burnCommand(), a.monthCommand(),
	})
}

func (a *app) changesCommand() *ffcli.Command {
	flags := a.flagSet("changes")
	since := flags.String("since", "", "list changes confirmed on or after this `date`, such as 2026-03-31")
	until := flags.String("until", "", "list changes confirmed before this `date`")
	return a.command("changes", "gooseberrylane report changes [flags]", "list changes by the time of their confirmation", takesOperators, flags,
		func(ctx context.Context, args []string) error {
			if err := checkArguments(args); err != nil {
				return err
			}
			from, err := parseDate("since", *since, time.Time{})
			if err != nil {
				return err
			}
			to, err := parseDate("until", *until, a.now())
			if err != nil {
				return err
			}
			changes, err := a.changesBetween(ctx, from, to)
			if err != nil {
				return err
			}
			return a.print(changes, func(t *table) { changeRows(t, changes) })
		})
}

func parseDate(name, text string, fallback time.Time) (time.Time, error) {
	if text == "" {
		return fallback, nil
	}
	date, err := time.Parse(time.DateOnly, text)
	if err != nil {
		return date, core.Errorf(core.CodeBadRequest, "-%s: want a date such as 2026-03-31, got %q", name, text)
	}
	return date, nil
}

// changesBetween returns all changes that were confirmed at or after from and before to.
func (a *app) changesBetween(ctx context.Context, from, to time.Time) ([]config.Change, error) {
	after, err := a.revisionBefore(ctx, from)
	if err != nil {
		return nil, err
	}
	found := []config.Change{}
	for {
		page, err := a.historyPage(ctx, after, historyPageSize)
		if err != nil {
			return nil, err
		}
		beyond := false
		for i := range page.Changes {
			at := page.Changes[i].Confirmed
			if !at.Before(from) && at.Before(to) {
				found = append(found, page.Changes[i])
			}
			beyond = at.After(to.Add(clockSkewTolerance))
		}
		if page.Next <= after || beyond {
			return found, nil
		}
		after = page.Next
	}
}

// revisionBefore returns a revision that precedes all changes confirmed at or after a time. It uses binary search,
// because a fleet makes tens of thousands of changes a day.
func (a *app) revisionBefore(ctx context.Context, from time.Time) (core.Revision, error) {
	if from.IsZero() {
		return 0, nil
	}
	var status api.Status
	if err := a.callFirst(ctx, "operators", a.operators, operatorCall(http.MethodGet, "/v1/status?upstreams=none", nil), &status); err != nil {
		return 0, err
	}
	low, high := core.Revision(0), status.Revision
	for low < high {
		middle := low + (high-low)/2
		page, err := a.historyPage(ctx, middle, 1)
		if err != nil {
			return 0, err
		}
		if len(page.Changes) > 0 && page.Changes[0].Confirmed.Before(from.Add(-clockSkewTolerance)) {
			low = middle + 1
		} else {
			high = middle
		}
	}
	return low, nil
}

// summary describes the operations of an intent in one line.
func summary(intent *config.Intent) string {
	texts := make([]string, len(intent.Operations))
	for i := range intent.Operations {
		texts[i] = operationText(&intent.Operations[i])
	}
	return strings.Join(texts, ", ")
}

func operationText(op *config.Operation) string {
	switch {
	case op.PutService != nil:
		return fmt.Sprintf("put service %s", op.PutService.Name)
	case op.DeleteService != "":
		return fmt.Sprintf("delete service %s", op.DeleteService)
	case op.PutGroup != nil:
		return fmt.Sprintf("put group %s/%s", op.PutGroup.Service, op.PutGroup.Group.Name)
	case op.DeleteGroup != nil:
		return fmt.Sprintf("delete group %s/%s", op.DeleteGroup.Service, op.DeleteGroup.Group)
	case op.PutRule != nil:
		return fmt.Sprintf("put rule %s", op.PutRule.Service)
	case op.AddLayout != nil:
		return fmt.Sprintf("add layout %s at version %d", op.AddLayout.Service, op.AddLayout.Layout.FirstVersion)
	case op.SetDraining != nil && op.SetDraining.Draining:
		return fmt.Sprintf("drain %s", op.SetDraining.Upstream)
	case op.SetDraining != nil:
		return fmt.Sprintf("undrain %s", op.SetDraining.Upstream)
	default:
		return "unknown operation"
	}
}

func (a *app) monthCommand() *ffcli.Command {
	flags := a.flagSet("month")
	var archive archiveFlag
	archive.add(flags)
	month := flags.String("month", "", "the `month`, such as 2026-03; default the current one")
	return a.command("month", "gooseberrylane report month [flags]", "show the burn of a month together with its changes", takesMetrics|takesOperators, flags,
		func(ctx context.Context, args []string) error {
			if err := checkArguments(args); err != nil {
				return err
			}
			start, err := a.parseMonth(*month)
			if err != nil {
				return err
			}
			return a.month(ctx, archive, start)
		})
}

func (a *app) parseMonth(text string) (time.Time, error) {
	if text == "" {
		text = a.now().UTC().Format(burn.MonthLayout)
	}
	start, err := time.Parse(burn.MonthLayout, text)
	if err != nil {
		return start, core.Errorf(core.CodeBadRequest, "-month: want a month such as 2026-03, got %q", text)
	}
	return start, nil
}

func (a *app) month(ctx context.Context, archive archiveFlag, start time.Time) error {
	collected, err := a.collect(ctx, archive)
	if err != nil {
		return err
	}
	history, err := a.changesBetween(ctx, start, start.AddDate(0, 1, 0))
	if err != nil {
		return err
	}
	changes := make([]burn.Change, len(history))
	for i := range history {
		changes[i] = burn.Change{
			Revision: history[i].Revision, At: history[i].Confirmed, By: history[i].ConfirmedBy,
			What: summary(&history[i].Intent), Reason: history[i].Intent.Reason,
		}
	}
	report := collected.fleet.Month(start, changes)
	body := struct {
		burn.MonthReport
		Unanswered []callFailure `json:"unanswered"`
	}{report, collected.failed}
	if err := a.print(body, func(t *table) { monthRows(t, &report); failureRows(t, collected.failed) }); err != nil {
		return err
	}
	return unansweredError(collected.answered, collected.failed)
}

func monthRows(t *table, report *burn.MonthReport) {
	t.line("%s (UTC)", report.Month)
	t.row("SERVICE", "INDICATOR", "TARGET", "REACHED", "BUDGET USED", "QUERIES", "P99 MS")
	for i := range report.Services {
		s := &report.Services[i]
		for _, spent := range s.Spent {
			t.row(s.Service, spent.Indicator, percent(spent.Target), percent(spent.Reached), percent(spent.Budget), s.Counts.Requests, milliseconds(s.Latencies.P99US))
		}
	}
	t.line("")
	t.row("DAY", "SERVICE", "QUERIES", "BURN LATENCY", "BURN COVERAGE", "BURN COMPLETED", "CHANGES")
	for i := range report.Services {
		for _, day := range report.Services[i].Days {
			t.row(day.Date, report.Services[i].Service, day.Counts.Requests, rate(day.Spent[0].Budget), rate(day.Spent[1].Budget), rate(day.Spent[2].Budget), revisions(day.Changes))
		}
	}
	t.line("")
	t.row("REVISION", "CONFIRMED", "BY", "CHANGE", "REASON", "BURN THAT ROSE (24 H BEFORE > 2 H AFTER)")
	for i := range report.Changes {
		c := &report.Changes[i]
		t.row(c.Revision, formatTime(c.At), c.By, c.What, c.Reason, effects(c.Services))
	}
}

func effects(services []burn.ServiceEffect) string {
	texts := make([]string, len(services))
	for i, s := range services {
		texts[i] = fmt.Sprintf("%s %s %s > %s", s.Service, s.Indicator, rate(s.Before), rate(s.After))
	}
	return strings.Join(texts, "; ")
}

func revisions(list []core.Revision) string {
	texts := make([]string, len(list))
	for i, revision := range list {
		texts[i] = fmt.Sprint(revision)
	}
	return strings.Join(texts, " ")
}

// archiveFlag is the flag that names the archive of a report, which holds counts in addition to the metrics of the VMs.
type archiveFlag struct{ path string }

func (f *archiveFlag) add(flags *flag.FlagSet) {
	flags.StringVar(&f.path, "archive", "", "`file` with the counts of VMs that no longer run; the counts read now are appended")
}
