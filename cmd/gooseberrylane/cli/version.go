package cli

import (
	"context"
	"runtime/debug"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// buildVersion is the JSON output of the command version. Fields that the build did not record are empty.
type buildVersion struct {
	Module string `json:"module"`
	Go     string `json:"go"`
	// Revision is the commit that was built. Modified reports whether the working tree differed from it.
	Revision string `json:"revision"`
	Time     string `json:"time"`
	Modified bool   `json:"modified"`
}

func (a *app) versionCommand() *ffcli.Command {
	return a.command("version", "gooseberrylane version [flags]", "print the commit and the Go version of this build", 0, a.flagSet("version"),
		func(_ context.Context, args []string) error {
			if err := checkArguments(args); err != nil {
				return err
			}
			v := versionOf(debug.ReadBuildInfo())
			return a.print(v, func(t *table) {
				t.row("MODULE", "GO", "REVISION", "TIME", "MODIFIED")
				t.row(v.Module, v.Go, v.Revision, v.Time, v.Modified)
			})
		})
}

func versionOf(info *debug.BuildInfo, ok bool) buildVersion {
	if !ok {
		return buildVersion{}
	}
	v := buildVersion{Module: info.Main.Path, Go: info.GoVersion}
	for _, setting := range info.Settings {
		switch setting.Key {
		case "vcs.revision":
			v.Revision = setting.Value
		case "vcs.time":
			v.Time = setting.Value
		case "vcs.modified":
			v.Modified = setting.Value == "true"
		}
	}
	return v
}
