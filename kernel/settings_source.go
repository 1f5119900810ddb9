package kernel

import (
	"fmt"
	"slices"
	"strings"
	"sync"

	"gooseberrylane.example/core"
)

// SettingsSource produces the JSON settings of a daemon from a file of another format.
type SettingsSource struct {
	// Name selects the source on the command line.
	Name string
	// Path returns the path of the file.
	Path func() string
	// Translate turns the content of the file into JSON settings.
	Translate func(raw []byte) ([]byte, error)
}

var sources struct {
	mu   sync.Mutex
	list []SettingsSource
}

// RegisterSource adds a source of settings. It panics on an incomplete or doubled registration, which is a fault of the
// program.
func RegisterSource(s SettingsSource) {
	sources.mu.Lock()
	defer sources.mu.Unlock()
	if s.Name == "" || s.Path == nil || s.Translate == nil || slices.ContainsFunc(sources.list, func(o SettingsSource) bool { return o.Name == s.Name }) {
		panic(fmt.Sprintf("kernel: incomplete or doubled source of settings %q", s.Name))
	}
	sources.list = append(sources.list, s)
}

// FindSource returns the source with a name. The error is a *core.Error with CodeBadSettings that lists the known names.
func FindSource(name string) (SettingsSource, error) {
	sources.mu.Lock()
	defer sources.mu.Unlock()
	var names []string
	for _, s := range sources.list {
		if s.Name == name {
			return s, nil
		}
		names = append(names, s.Name)
	}
	return SettingsSource{}, core.Errorf(core.CodeBadSettings, "unknown source of settings %q; linked are: %s", name, strings.Join(names, ", "))
}
