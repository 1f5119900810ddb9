// Package docgen generates the reference pages for the result codes and for the settings of all linked plug-ins. Run
// go generate ./internal/docgen after a change of either.
package docgen

//go:generate go run ./write

import (
	"fmt"
	"strings"

	"gooseberrylane.example/core"
	"gooseberrylane.example/kernel"
)

// Page is one generated file.
type Page struct {
	// Path is relative to the root of the module.
	Path string
	Text string
}

const generatedNote = "This page is generated from the code; change the code and run `go generate ./internal/docgen`.\n"

// Pages returns all generated pages. root is the directory of the module, whose source holds the doc comments.
func Pages(root string, registry *kernel.Registry) ([]Page, error) {
	settings, err := settingsPage(root, registry)
	if err != nil {
		return nil, err
	}
	return []Page{{Path: "docs/result-codes.md", Text: codesPage()}, {Path: "docs/settings.md", Text: settings}}, nil
}

const codesPerFamily = 1000

// families describes the families of codes by their thousands digit.
var families = map[int]string{
	0: "success",
	1: "partial answers, reasons for single shards, and notes; for the command-line tool: some VMs did not answer",
	2: "bad input: nothing ran, and the same request is refused again",
	3: "not run: nothing ran and nothing changed, so the request may be sent again",
	4: "outcome unknown or in progress: the request may have run",
	5: "configuration: a plan or a confirmation was refused, or its outcome is not known yet",
	6: "settings of a daemon",
	9: "internal error",
}

// codesPage returns the table of the result codes.
func codesPage() string {
	var b strings.Builder
	b.WriteString("# Result codes\n\n" + generatedNote + `
Every answer and every error carries a numbered result code with a stable name. A number is never reused for another meaning.
The thousands digit is the family. It is also the exit status of ` + "`gooseberrylane`" + `, so a script can tell a request that
did not run (3) from one that may have run (4).

| family and exit status | meaning |
|---|---|
`)
	for family := range 10 {
		if meaning, ok := families[family]; ok {
			fmt.Fprintf(&b, "| %d | %s |\n", family, meaning)
		}
	}
	b.WriteString("\n| code | name | meaning |\n|---|---|---|\n")
	for _, info := range core.Codes() {
		fmt.Fprintf(&b, "| %d | `%s` | %s |\n", int(info.Code), info.Name, info.Meaning)
	}
	return b.String()
}
