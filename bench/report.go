package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"sort"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"gooseberrylane.example/core"
)

// figures are the results of one side by field name.
type figures map[string]float64

// report is the printed result of a run.
type report struct {
	Deployment string              `json:"deployment"`
	Scenario   string              `json:"scenario"`
	Seed       uint64              `json:"seed"`
	Rate       float64             `json:"rate"`
	DurationMS int64               `json:"duration_ms"`
	VMs        int                 `json:"vms"`
	Commit     string              `json:"commit"`
	Sides      []sideInfo          `json:"sides"`
	Baseline   figures             `json:"baseline"`
	Current    figures             `json:"current"`
	Ratio      map[string]*float64 `json:"ratio"`
	// Goodput holds, for each side and overloaded service, the complete answers within the deadline as a fraction of the
	// capacity.
	Goodput map[string]map[string]float64 `json:"goodput,omitempty"`
	// Reasons counts, for each side, the codes of missing shards and of refusals.
	Reasons map[string]map[string]uint64 `json:"reasons,omitempty"`
	// Faults are examples of wrong answers.
	Faults map[string][]string `json:"faults,omitempty"`
}

// sideInfo lists the plug-ins of one side.
type sideInfo struct {
	Name    string            `json:"name"`
	Plugins map[string]string `json:"plugins"`
}

// mainFields are printed first and in this order in a table.
var mainFields = []string{
	"p50_ms", "p99_ms", "p999_ms", "complete_fraction", "coverage", "extra_load", "wrong_answers", "mixed_snapshots", "doubled",
	"cut_off", "false_not_run", "over_limit",
}

func newReport(c *comparison, name string, contenders [sidesPerRun]contender) *report {
	o := c.testbed.options
	r := &report{
		Deployment: o.deployment, Scenario: name, Seed: o.seed, Rate: o.rate, DurationMS: o.duration.Milliseconds(), VMs: o.vms,
		Commit: o.commit, Faults: make(map[string][]string), Goodput: make(map[string]map[string]float64),
		Reasons: make(map[string]map[string]uint64),
	}
	for i, s := range c.sides {
		if s == nil {
			continue
		}
		r.Sides = append(r.Sides, sideInfo{Name: contenders[i].name, Plugins: s.fleet.plugins})
		f := s.record.figures()
		if goodput := goodputOf(c.plan, s.record); len(goodput) > 0 {
			r.Goodput[contenders[i].name] = goodput
			f["goodput"] = lowest(goodput)
		}
		f["top_class_in_deadline"] = topClassInDeadline(c.plan, s.record)
		f["vms_replaced"] = float64(s.fleet.replaced)
		r.Reasons[contenders[i].name] = s.record.reasons
		if len(s.record.wrongSamples) > 0 {
			r.Faults[contenders[i].name] = s.record.wrongSamples
		}
		if i == 0 {
			r.Baseline = f
		} else {
			r.Current = f
		}
	}
	r.Ratio = ratios(r.Baseline, r.Current)
	return r
}

func lowest(values map[string]float64) float64 {
	least := math.Inf(1)
	for _, v := range values {
		least = min(least, v)
	}
	return least
}

// ratios divides the figures of the current side by those of the baseline; a division by 0 gives null.
func ratios(baseline, current figures) map[string]*float64 {
	result := make(map[string]*float64, len(current))
	for name, value := range current {
		result[name] = nil
		if base, ok := baseline[name]; ok && base != 0 {
			ratio := value / base
			result[name] = &ratio
		}
	}
	return result
}

// goodputOf returns the complete answers within the deadline as a fraction of the capacity, for overloaded services.
func goodputOf(p *plan, r *sideRecord) map[string]float64 {
	goodput := make(map[string]float64)
	for name, capacity := range p.capacity {
		s := r.services[serviceOf(p.deployment, core.ServiceName(name)).Name]
		if s != nil && r.measured > 0 {
			goodput[name] = float64(s.inSlice) / r.measured.Seconds() / capacity
		}
	}
	return goodput
}

// topClassInDeadline returns the fraction of the queries of the highest class that were complete within their deadline.
func topClassInDeadline(p *plan, r *sideRecord) float64 {
	top := topClass(p.deployment)
	var offered, inDeadline uint64
	for name, s := range r.services {
		if serviceOf(p.deployment, name).Rule.Class == top {
			offered += s.offered
			inDeadline += s.inDeadline
		}
	}
	return fraction(inDeadline, offered)
}

func fraction(part, whole uint64) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

func quantileMS(h *hdrhistogram.Histogram, percent float64) float64 {
	return float64(h.ValueAtQuantile(percent)) / 1000
}

// figures computes the results of one side.
func (r *sideRecord) figures() figures {
	r.mu.Lock()
	defer r.mu.Unlock()
	f := figures{
		"p50_ms": quantileMS(r.all, 50), "p99_ms": quantileMS(r.all, 99), "p999_ms": quantileMS(r.all, 99.9),
		"p99_settled_ms": quantileMS(r.settled, 99), "p99_reachable_ms": quantileMS(r.reached, 99), "p99_fan_out_ms": quantileMS(r.fanOut, 99), "p99_look_up_ms": quantileMS(r.lookUp, 99),
		"complete_fraction": fraction(r.complete, r.queries), "in_deadline_fraction": fraction(r.inDeadline, r.queries),
		"coverage": fraction(r.covered, r.requested), "coverage_reachable": fraction(r.reachableCovered, r.reachable),
		"unnamed":       float64(r.requested - r.covered - r.named - r.unserved),
		"extra_load":    extraLoad(r.received, r.sentShards),
		"wrong_answers": float64(r.wrong), "mixed_snapshots": float64(r.mixed), "doubled": float64(r.doubled),
		"cut_off": float64(r.connectionLost), "false_not_run": float64(r.falseNotRun),
		"over_limit": float64(r.overConnections + r.overSlots), "over_connections": float64(r.overConnections), "over_slots": float64(r.overSlots),
		"queries": float64(r.queries), "answered": float64(r.answered), "refused": float64(r.refused), "no_answer": float64(r.noAnswer),
		"not_sent": float64(r.notSent), "resent": float64(r.resent), "misrouted": float64(r.misrouted), "upstream_shed": float64(r.shed),
		"late_new_work": float64(r.receivedAfterDrainGrace), "sub_requests": float64(r.received),
		"writes_sent": float64(r.writesSent), "writes_ran": float64(r.writesRan), "writes_not_run": float64(r.writesNotRun),
		"writes_unknown": float64(r.writesUnknown), "daemon_cpu_s": r.daemonCPU.Seconds(),
	}
	if r.received > 0 {
		f["daemon_cpu_us_per_sub_request"] = float64(r.daemonCPU.Microseconds()) / float64(r.received)
	}
	return f
}

// extraLoad returns the sub-requests beyond one for each requested shard, as a fraction of the requested shards.
func extraLoad(received, requested uint64) float64 {
	if requested == 0 {
		return 0
	}
	return float64(received)/float64(requested) - 1
}

func (r *report) writeJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

func (r *report) writeTable(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(w, "%s %s, seed %d, %g queries/s, %v a side, %d VMs, commit %s\n", r.Deployment, r.Scenario, r.Seed, r.Rate,
		time.Duration(r.DurationMS)*time.Millisecond, r.VMs, r.Commit)
	for _, s := range r.Sides {
		fmt.Fprintf(w, "%s: %v\n", s.Name, s.Plugins)
	}
	fmt.Fprintln(table, "field\tbaseline\tcurrent\tratio\t")
	for _, name := range r.fields() {
		ratio := "-"
		if value := r.Ratio[name]; value != nil {
			ratio = fmt.Sprintf("%.3f", *value)
		}
		fmt.Fprintf(table, "%s\t%.6g\t%.6g\t%s\t\n", name, r.Baseline[name], r.Current[name], ratio)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	for _, s := range r.Sides {
		fmt.Fprintf(w, "%s: reasons %v, examples of wrong answers %v\n", s.Name, r.Reasons[s.Name], r.Faults[s.Name])
	}
	return nil
}

// fields returns the names of all fields, the main ones first.
func (r *report) fields() []string {
	seen := make(map[string]bool, len(mainFields))
	for _, name := range mainFields {
		seen[name] = true
	}
	var rest []string
	for name := range r.Current {
		if !seen[name] {
			rest = append(rest, name)
		}
	}
	sort.Strings(rest)
	return append(append([]string(nil), mainFields...), rest...)
}

// print writes the report in the chosen format.
func (r *report) print(_ context.Context, w io.Writer, format string) error {
	if format == "table" {
		return r.writeTable(w)
	}
	return r.writeJSON(w)
}
