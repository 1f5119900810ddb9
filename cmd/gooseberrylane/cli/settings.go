package cli

import (
	"context"
	"fmt"

	"github.com/peterbourgon/ff/v3/ffcli"

	"gooseberrylane.example/core"
	"gooseberrylane.example/kernel"
)

func (a *app) settingsCommand() *ffcli.Command {
	flags := a.flagSet("check")
	source := flags.String("source", "", "`name` of the source that translates a file of another format")
	check := a.command("check", "gooseberrylane settings check [flags] FILE", "check the settings of a daemon and list all problems", 0, flags,
		func(_ context.Context, args []string) error {
			if err := checkArguments(args, "FILE"); err != nil {
				return err
			}
			return a.checkSettings(args[0], *source)
		})
	return a.group("settings", "gooseberrylane settings check [flags] FILE", "work with the settings of daemons", []*ffcli.Command{check})
}

// checkedSettings is the JSON output of the command settings check.
type checkedSettings struct {
	VM      string   `json:"vm"`
	Plugins []string `json:"plugins"`
}

func (a *app) checkSettings(path, source string) error {
	raw, err := a.readFile(path)
	if err != nil {
		return err
	}
	if source != "" {
		found, err := kernel.FindSettingsSource(source)
		if err != nil {
			return err
		}
		if raw, err = found.Translate(raw); err != nil {
			return err
		}
	}
	loaded, err := kernel.Load(kernel.DefaultRegistry(), raw)
	if err != nil {
		return err
	}
	// Building the application detects missing and duplicate plug-ins. It opens no listener until it is started.
	if _, err := kernel.New(loaded, kernel.Options{}); err != nil {
		return err
	}
	checked := checkedSettings{VM: loaded.Settings.VM.Name}
	for _, selected := range loaded.Selected {
		checked.Plugins = append(checked.Plugins, fmt.Sprintf("%s/%s", selected.Plugin.Kind, selected.Plugin.Name))
	}
	return a.print(checked, func(t *table) {
		t.line("the settings of %s have no problems", checked.VM)
		for _, name := range checked.Plugins {
			t.row(name)
		}
	})
}

// codeRow is one line of the JSON output of the command codes.
type codeRow struct {
	Code    core.Code `json:"code"`
	Name    string    `json:"name"`
	Exit    int       `json:"exit_status"`
	Meaning string    `json:"meaning"`
}

func (a *app) codesCommand() *ffcli.Command {
	return a.command("codes", "gooseberrylane codes [flags]", "list the result codes with their exit statuses", 0, a.flagSet("codes"),
		func(_ context.Context, args []string) error {
			if err := checkArguments(args); err != nil {
				return err
			}
			var rows []codeRow
			for _, info := range core.Codes() {
				rows = append(rows, codeRow{Code: info.Code, Name: info.Name, Exit: exitStatus(info.Code), Meaning: info.Meaning})
			}
			return a.print(rows, func(t *table) {
				t.row("CODE", "NAME", "EXIT", "MEANING")
				for _, row := range rows {
					t.row(int(row.Code), row.Name, row.Exit, row.Meaning)
				}
			})
		})
}
