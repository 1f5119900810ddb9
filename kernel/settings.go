package kernel

import (
	"encoding/json"
	"fmt"
	"sort"
	"strings"

	"gooseberrylane.example/core"
)

// Problem is one error in the settings, with the path of the field.
type Problem = core.Problem

// Settings are the settings of one daemon.
type Settings struct {
	VM VMSettings `json:"vm"`
	// LogLevel is debug, info, warn or error. Default info.
	LogLevel string `json:"log_level" validate:"oneof=debug info warn error"`
	// Seed seeds the random source; 0 takes a seed from the operating system. Default 0.
	Seed uint64 `json:"seed"`
	// MemoryMB is the memory that the process may use, in MB; 0 for no limit. The garbage collector keeps the process below
	// 0.75 of it, and at least 24 MB below it, as long as it can. Plug-ins share it less 16 MB for the program. Default 0.
	MemoryMB int64 `json:"memory_mb" validate:"gte=0,lte=1048576"`
	// MaxSockets is the number of sockets that the process may have open; 0 for no limit. Default 0.
	MaxSockets int64 `json:"max_sockets" validate:"gte=0,lte=16777216"`
	// StopTimeoutMS bounds a graceful stop, in milliseconds. Default 30000.
	StopTimeoutMS int64 `json:"stop_timeout_ms" validate:"gte=1,lte=600000"`
	// Plugins names the plug-ins of each kind with their settings.
	Plugins map[Kind][]PluginChoice `json:"plugins" validate:"required"`
}

// VMSettings identify the VM on which the process runs.
type VMSettings struct {
	// Name is the unique name of the VM. Required.
	Name string `json:"name" validate:"required,max=64,hostname_rfc1123"`
	// FailureDomain is the failure domain of the VM. Required.
	FailureDomain string `json:"failure_domain" validate:"required,max=64,hostname_rfc1123"`
}

// PluginChoice names one plug-in and its settings.
type PluginChoice struct {
	Name     string          `json:"name"`
	Settings json.RawMessage `json:"settings,omitempty"`
}

const defaultStopTimeoutMS = 30_000

// SelectedPlugin is a selected plug-in with its decoded settings.
type SelectedPlugin struct {
	Plugin   Plugin
	Settings any
}

// Loaded holds checked settings with the plug-ins that they select.
type Loaded struct {
	Settings Settings
	Selected []SelectedPlugin
}

// Defaults returns the settings with their defaults.
func Defaults() Settings { return Settings{LogLevel: "info", StopTimeoutMS: defaultStopTimeoutMS} }

// Load decodes and checks settings against a registry. The error is a *core.Error with CodeBadSettings that lists all
// problems at once.
func Load(registry *Registry, raw []byte) (*Loaded, error) {
	loaded := &Loaded{Settings: Defaults()}
	problems := decodeChecked(raw, &loaded.Settings, "")
	for _, kind := range sortedKinds(loaded.Settings.Plugins) {
		for i, choice := range loaded.Settings.Plugins[kind] {
			path := fmt.Sprintf("plugins.%s[%d]", kind, i)
			selected, pluginProblems := selectPlugin(registry, kind, choice, path)
			problems = append(problems, pluginProblems...)
			if len(pluginProblems) == 0 {
				loaded.Selected = append(loaded.Selected, selected)
			}
		}
	}
	for _, plugin := range registry.defaults() {
		if len(loaded.Settings.Plugins[plugin.Kind]) > 0 {
			continue
		}
		selected, pluginProblems := selectPlugin(registry, plugin.Kind, PluginChoice{Name: plugin.Name}, string("plugins."+plugin.Kind))
		problems = append(problems, pluginProblems...)
		loaded.Selected = append(loaded.Selected, selected)
	}
	if len(problems) == 0 {
		problems = checkMemory(loaded)
	}
	if len(problems) > 0 {
		return nil, &core.Error{Code: core.CodeBadSettings, Detail: "the settings were refused", Problems: problems}
	}
	return loaded, nil
}

func sortedKinds(plugins map[Kind][]PluginChoice) []Kind {
	kinds := make([]Kind, 0, len(plugins))
	for kind := range plugins {
		kinds = append(kinds, kind)
	}
	sort.Slice(kinds, func(i, j int) bool { return kinds[i] < kinds[j] })
	return kinds
}

func selectPlugin(registry *Registry, kind Kind, choice PluginChoice, path string) (SelectedPlugin, []Problem) {
	plugin, ok := registry.Find(kind, choice.Name)
	if !ok {
		known := strings.Join(registry.Names(kind), ", ")
		if known == "" {
			return SelectedPlugin{}, []Problem{{Path: path, Detail: fmt.Sprintf("unknown kind of plug-in %q", kind)}}
		}
		return SelectedPlugin{}, []Problem{{Path: path + ".name", Detail: fmt.Sprintf("unknown plug-in %q; linked are: %s", choice.Name, known)}}
	}
	settingsPath := path + ".settings"
	if plugin.Settings == nil {
		if len(choice.Settings) > 0 {
			return SelectedPlugin{}, []Problem{{Path: settingsPath, Detail: "the plug-in has no settings"}}
		}
		return SelectedPlugin{Plugin: plugin}, nil
	}
	settings := plugin.Settings()
	raw := choice.Settings
	if len(raw) == 0 {
		raw = json.RawMessage("{}")
	}
	problems := decodeChecked(raw, settings, settingsPath)
	// Check runs only on settings that satisfy the validate tags, so that it may rely on them.
	if checker, ok := settings.(Checker); ok && len(problems) == 0 {
		for _, p := range checker.Check() {
			problems = append(problems, Problem{Path: joinPath(settingsPath, p.Path), Detail: p.Detail})
		}
	}
	return SelectedPlugin{Plugin: plugin, Settings: settings}, problems
}
