package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
)

// bound limits one figure of the reports. The values come from the targets of the design page.
type bound struct {
	// Scenario is the name of a scenario, or "*" for all.
	Scenario string `json:"scenario"`
	// Side is "current" or "ratio".
	Side  string `json:"side"`
	Field string `json:"field"`
	// Max and Min limit the figure.
	Max *float64 `json:"max,omitempty"`
	Min *float64 `json:"min,omitempty"`
	// MaxOfSteady limits the figure to a multiple of the same side's SteadyField in the steady scenario of the same run.
	MaxOfSteady *float64 `json:"max_of_steady,omitempty"`
	SteadyField string   `json:"steady_field,omitempty"`
	// Target is the sentence of the design page.
	Target string `json:"target"`
}

// boundChecker compares reports with bounds.
type boundChecker struct {
	bounds  []bound
	reports []*report
}

// newBoundChecker reads the bounds from a file. An empty path gives no bounds.
func newBoundChecker(path string) (*boundChecker, error) {
	c := &boundChecker{}
	if path == "" {
		return c, nil
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	if err := json.Unmarshal(raw, &c.bounds); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

func (c *boundChecker) add(r *report) { c.reports = append(c.reports, r) }

// printBroken prints each broken bound and returns errBound if there is one.
func (c *boundChecker) printBroken(w io.Writer) error {
	broken := 0
	for _, r := range c.reports {
		for i := range c.bounds {
			if problem := c.check(&c.bounds[i], r); problem != "" {
				broken++
				fmt.Fprintf(w, "bound broken: %s %s: %s (%s)\n", r.Deployment, r.Scenario, problem, c.bounds[i].Target)
			}
		}
	}
	if broken > 0 {
		return fmt.Errorf("%w: %d bounds are broken", errBound, broken)
	}
	return nil
}

// check returns a description of the broken bound, or "".
func (c *boundChecker) check(b *bound, r *report) string {
	if b.Scenario != "*" && b.Scenario != r.Scenario {
		return ""
	}
	value, ok := r.value(b.Side, b.Field)
	switch {
	case !ok:
		return fmt.Sprintf("%s.%s was not measured", b.Side, b.Field)
	case b.Max != nil && value > *b.Max:
		return fmt.Sprintf("%s.%s is %.6g, above %g", b.Side, b.Field, value, *b.Max)
	case b.Min != nil && value < *b.Min:
		return fmt.Sprintf("%s.%s is %.6g, below %g", b.Side, b.Field, value, *b.Min)
	case b.MaxOfSteady != nil:
		return c.checkSteady(b, r, value)
	default:
		return ""
	}
}

func (c *boundChecker) checkSteady(b *bound, r *report, value float64) string {
	for _, steady := range c.reports {
		if steady.Scenario != "steady" || steady.Deployment != r.Deployment {
			continue
		}
		base, ok := steady.value(b.Side, b.SteadyField)
		if ok && value <= *b.MaxOfSteady*base {
			return ""
		}
		return fmt.Sprintf("%s.%s is %.6g, above %g times %.6g of steady", b.Side, b.Field, value, *b.MaxOfSteady, base)
	}
	return "the steady scenario is not part of the run"
}

// value returns a figure of a side, or of the ratio of the sides.
func (r *report) value(side, field string) (float64, bool) {
	if side == "ratio" {
		ratio := r.Ratio[field]
		if ratio == nil {
			return 0, false
		}
		return *ratio, true
	}
	value, ok := r.Current[field]
	return value, ok
}
