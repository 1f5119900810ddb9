package cli

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"net/http"
	"os"
	"strconv"

	"github.com/peterbourgon/ff/v3/ffcli"

	"gooseberrylane.example/coord/burn"
	"gooseberrylane.example/core"
)

// metricsAnswer is the part of GET /debug/vars that the reports use.
type metricsAnswer struct {
	// ServiceLevels is null on a VM whose settings do not choose the report plug-in burn.
	ServiceLevels *burn.Snapshot `json:"service_levels"`
}

// reportInput is the data that a burn or month report is computed from.
type reportInput struct {
	fleet    *burn.Fleet
	answered int
	failed   []callFailure
}

// collect reads the archive and the metrics of all VMs, merges them and appends the metrics to the archive.
func (a *app) collect(ctx context.Context, archive archiveFlag) (*reportInput, error) {
	if len(a.metrics) == 0 && archive.path == "" {
		return nil, core.Errorf(core.CodeBadRequest, "-metrics and -archive are missing")
	}
	archived, err := readArchive(archive.path)
	if err != nil {
		return nil, err
	}
	answers, failed := callAll[metricsAnswer](ctx, a, a.metrics, call{method: http.MethodGet, path: "/debug/vars"})
	var live []burn.Snapshot
	for i := range answers {
		if answers[i].ServiceLevels != nil {
			live = append(live, *answers[i].ServiceLevels)
		}
	}
	if unrecorded := len(answers) - len(live); unrecorded > 0 {
		a.note("%d VMs do not record service levels: their settings lack the report plug-in burn", unrecorded)
	}
	if len(live) == 0 && len(failed) > 0 && len(archived) == 0 {
		return nil, unansweredError(0, failed)
	}
	if err := appendArchive(archive.path, live); err != nil {
		return nil, err
	}
	fleet, err := burn.Merge(append(archived, live...))
	if err != nil {
		return nil, err
	}
	for _, service := range fleet.TargetConflicts {
		a.note("the VMs have different targets for service %s; the newest are shown", service)
	}
	return &reportInput{fleet: fleet, answered: len(answers) + len(archived), failed: failed}, nil
}

// readArchive reads an archive, which has one burn.Snapshot on each line. A missing file counts as an empty archive.
func readArchive(path string) ([]burn.Snapshot, error) {
	if path == "" {
		return nil, nil
	}
	raw, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, core.Errorf(core.CodeBadRequest, "archive: %v", err)
	}
	var snapshots []burn.Snapshot
	scanner := bufio.NewScanner(bytes.NewReader(raw))
	scanner.Buffer(nil, maxAnswerBytes)
	for line := 1; scanner.Scan(); line++ {
		var snapshot burn.Snapshot
		if err := json.Unmarshal(scanner.Bytes(), &snapshot); err != nil {
			return nil, core.Errorf(core.CodeBadRequest, "archive %s, line %d: %v", path, line, err)
		}
		snapshots = append(snapshots, snapshot)
	}
	if err := scanner.Err(); err != nil {
		return nil, core.Errorf(core.CodeBadRequest, "archive %s: %v", path, err)
	}
	return snapshots, nil
}

// appendArchive appends snapshots to an archive in one write, so that a full disk can leave an incomplete line only
// at the end.
func appendArchive(path string, snapshots []burn.Snapshot) error {
	if path == "" || len(snapshots) == 0 {
		return nil
	}
	var lines bytes.Buffer
	for i := range snapshots {
		if err := json.NewEncoder(&lines).Encode(&snapshots[i]); err != nil {
			return err
		}
	}
	file, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return core.Errorf(core.CodeBadRequest, "archive: %v", err)
	}
	_, err = file.Write(lines.Bytes())
	if err := errors.Join(err, file.Close()); err != nil {
		return core.Errorf(core.CodeInternal, "archive: %v", err)
	}
	return nil
}

func (a *app) burnCommand() *ffcli.Command {
	flags := a.flagSet("burn")
	var archive archiveFlag
	archive.add(flags)
	var chart plotOptions
	flags.StringVar(&chart.path, "plot", "", "write the hourly burn rates of 3 days to this `file`, .svg or .png")
	flags.StringVar(&chart.indicator, "indicator", string(burn.IndicatorLatency), "`indicator` of the plot: latency, coverage or completed")
	return a.command("burn", "gooseberrylane report burn [flags]", "show the burn rates of the error budgets", takesMetrics, flags,
		func(ctx context.Context, args []string) error {
			if err := checkArguments(args); err != nil {
				return err
			}
			if err := chart.check(); err != nil {
				return err
			}
			return a.burn(ctx, archive, chart)
		})
}

// burnReport is the JSON output of the command report burn.
type burnReport struct {
	AsOf       int64                `json:"as_of"`
	Services   []burn.ServiceReport `json:"services"`
	Unanswered []callFailure        `json:"unanswered"`
}

func (a *app) burn(ctx context.Context, archive archiveFlag, chart plotOptions) error {
	collected, err := a.collect(ctx, archive)
	if err != nil {
		return err
	}
	now := a.now()
	report := burnReport{AsOf: now.Unix(), Services: collected.fleet.Report(now), Unanswered: collected.failed}
	if chart.path != "" {
		if err := plotRates(chart, collected.fleet, now); err != nil {
			return err
		}
	}
	if err := a.print(report, func(t *table) { burnRows(t, report.Services); failureRows(t, report.Unanswered) }); err != nil {
		return err
	}
	return unansweredError(collected.answered, collected.failed)
}

func burnRows(t *table, services []burn.ServiceReport) {
	t.row("SERVICE", "INDICATOR", "TARGET", "REACHED", "BURN 5M", "1H", "6H", "3D", "BUDGET LEFT", "ALERT")
	for i := range services {
		for _, level := range services[i].Levels {
			cells := []any{services[i].Service, level.Indicator, percent(level.Target), percent(level.Reached)}
			for _, window := range level.Windows {
				cells = append(cells, rate(window.Rate))
			}
			t.row(append(cells, percent(level.BudgetLeft), level.Alert)...)
		}
	}
	t.line("")
	t.row("SERVICE", "QUERIES 30D", "EXCLUDED", "WITHIN MS", "P50 MS", "P99 MS", "P99.9 MS", "MAX MS")
	for i := range services {
		s := &services[i]
		t.row(s.Service, s.Period.Requests, s.Period.Excluded, s.Targets.LatencyMS, milliseconds(s.Latencies.P50US),
			milliseconds(s.Latencies.P99US), milliseconds(s.Latencies.P999US), milliseconds(s.Latencies.MaxUS))
	}
}

func failureRows(t *table, failed []callFailure) {
	for _, f := range failed {
		t.line("did not answer: %s (%s)", f.Name, f.Reason)
	}
}

func percent(fraction float64) string {
	return strconv.FormatFloat(fraction*100, 'f', 2, 64) + "%"
}

func rate(r float64) string { return strconv.FormatFloat(r, 'f', 2, 64) }

func milliseconds(us int64) string { return fmt.Sprintf("%.1f", float64(us)/1000) }
