package kernel

import (
	"fmt"
	"slices"
	"strings"
	"sync"

	"gooseberrylane.example/core"
)

// SettingsSource converts a settings file of another format into the JSON settings of a daemon.
type SettingsSource struct {
	// Name selects the source on the command line.
	Name string
	// Path returns the path of the file.
	Path func() string
	// Translate converts the content of the file into JSON settings.
	Translate func(raw []byte) ([]byte, error)
}

var settingsSources struct {
	mu   sync.Mutex
	list []SettingsSource
}

// RegisterSettingsSource adds a settings source. It panics on an incomplete or duplicate registration, which is a programming
// error.
func RegisterSettingsSource(s SettingsSource) {
	settingsSources.mu.Lock()
	defer settingsSources.mu.Unlock()
	if s.Name == "" || s.Path == nil || s.Translate == nil || slices.ContainsFunc(settingsSources.list, func(o SettingsSource) bool { return o.Name == s.Name }) {
		panic(fmt.Sprintf("kernel: incomplete or duplicate settings source %q", s.Name))
	}
	s.Translate = refusePanics(s.Translate)
	settingsSources.list = append(settingsSources.list, s)
}

// refusePanics returns a translation that refuses a file with which a parser panics.
func refusePanics(translate func([]byte) ([]byte, error)) func([]byte) ([]byte, error) {
	return func(raw []byte) (translated []byte, err error) {
		defer func() {
			if cause := recover(); cause != nil {
				translated, err = nil, core.Errorf(core.CodeBadSettings, "settings file: the parser failed: %v", cause)
			}
		}()
		return translate(raw)
	}
}

// FindSettingsSource returns the source with the given name. The error is a *core.Error with CodeBadSettings that lists the known
// names.
func FindSettingsSource(name string) (SettingsSource, error) {
	settingsSources.mu.Lock()
	defer settingsSources.mu.Unlock()
	var names []string
	for _, s := range settingsSources.list {
		if s.Name == name {
			return s, nil
		}
		names = append(names, s.Name)
	}
	return SettingsSource{}, core.Errorf(core.CodeBadSettings, "unknown settings source %q; linked are: %s", name, strings.Join(names, ", "))
}
