package cli

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"gooseberrylane.example/core"
	"gooseberrylane.example/plugins/frontend/api"
)

// print writes a value as JSON, or the table that fill writes.
func (a *app) print(value any, fill func(*table)) error {
	if a.output == outputJSON {
		encoder := json.NewEncoder(a.Out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	t := &table{w: tabwriter.NewWriter(a.Out, 0, 0, 2, ' ', 0)}
	fill(t)
	return t.w.Flush()
}

// table writes aligned columns.
type table struct{ w *tabwriter.Writer }

// row writes one line of cells. An empty cell is shown as a dash, so that the columns remain distinguishable.
func (t *table) row(cells ...any) {
	texts := make([]string, len(cells))
	for i, cell := range cells {
		texts[i] = fmt.Sprint(cell)
		if texts[i] == "" {
			texts[i] = "-"
		}
	}
	fmt.Fprintln(t.w, strings.Join(texts, "\t"))
}

// line writes text that is not aligned, after the rows written so far.
func (t *table) line(format string, args ...any) {
	t.w.Flush()
	fmt.Fprintf(t.w, format+"\n", args...)
	t.w.Flush()
}

// printError writes an error to the error stream in the chosen format.
func (a *app) printError(err *core.Error) {
	if a.output == outputJSON {
		// A failure to write to the error stream cannot be reported anywhere else.
		_ = json.NewEncoder(a.Err).Encode(api.ErrorBody{
			Code: err.Code, Name: err.Code.String(), Meaning: err.Code.Meaning(), Detail: err.Detail, Problems: err.Problems,
		})
		return
	}
	a.note("gooseberrylane: %s (%d): %s", err.Code, int(err.Code), err.Code.Meaning())
	if err.Detail != "" {
		a.note("  %s", err.Detail)
	}
	for _, problem := range err.Problems {
		a.note("  %s: %s", problem.Path, problem.Detail)
	}
}

// formatTime formats a time for tables.
func formatTime(t time.Time) string {
	if t.IsZero() {
		return ""
	}
	return t.UTC().Format("2006-01-02 15:04:05")
}

// join joins names with spaces.
func join[T ~string](names []T) string {
	texts := make([]string, len(names))
	for i, name := range names {
		texts[i] = string(name)
	}
	return strings.Join(texts, " ")
}
