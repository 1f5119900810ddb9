// Command write writes the generated pages of the documentation. go generate runs it in internal/docgen.
package main

import (
	"fmt"
	"os"
	"path/filepath"

	"gooseberrylane.example/internal/docgen"
	"gooseberrylane.example/kernel"
	_ "gooseberrylane.example/plugins/standard"
)

// root is the directory of the module, relative to internal/docgen.
const root = "../.."

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "docgen:", err)
		os.Exit(1)
	}
}

func run() error {
	pages, err := docgen.Pages(root, kernel.DefaultRegistry())
	if err != nil {
		return err
	}
	for _, page := range pages {
		if err := os.WriteFile(filepath.Join(root, page.Path), []byte(page.Text), 0o644); err != nil {
			return err
		}
	}
	return nil
}
