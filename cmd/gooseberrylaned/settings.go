package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"time"

	"gooseberrylane.example/kernel"
)

// pollPeriod is the interval at which the settings file is checked for changes, because it may change without a signal.
const pollPeriod = 5 * time.Second

// settingsFile is the settings file of the daemon.
type settingsFile struct {
	path      string
	translate func([]byte) ([]byte, error)
	// raw is the content that was read last.
	raw []byte
}

func openSettings(path, source string) (*settingsFile, error) {
	f := &settingsFile{path: path, translate: func(raw []byte) ([]byte, error) { return raw, nil }}
	if source == "" {
		return f, nil
	}
	found, err := kernel.FindSettingsSource(source)
	if err != nil {
		return nil, err
	}
	f.translate = found.Translate
	if f.path == "" {
		f.path = found.Path()
	}
	return f, nil
}

// load reads and validates the file.
func (f *settingsFile) load() (*kernel.Loaded, error) {
	raw, err := os.ReadFile(f.path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	f.raw = raw
	return f.validate(raw)
}

func (f *settingsFile) validate(raw []byte) (*kernel.Loaded, error) {
	translated, err := f.translate(raw)
	if err != nil {
		return nil, err
	}
	return kernel.Load(kernel.DefaultRegistry(), translated)
}

// watch reloads the file when it has changed, on a signal or at the next poll, until ctx ends.
func (f *settingsFile) watch(ctx context.Context, app *kernel.App, hangup <-chan os.Signal) {
	ticker := time.NewTicker(pollPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-hangup:
			f.reload(app, "signal")
		case <-ticker.C:
			f.reload(app, "poll")
		case <-ctx.Done():
			return
		}
	}
}

// reload applies the file if it has changed. Invalid settings are logged and not applied.
func (f *settingsFile) reload(app *kernel.App, cause string) {
	raw, err := os.ReadFile(f.path)
	if err != nil {
		app.Log.Error("settings_unreadable", "cause", cause, "error", err.Error())
		return
	}
	if bytes.Equal(raw, f.raw) {
		if cause == "signal" {
			app.Log.Info("settings_unchanged", "cause", cause)
		}
		return
	}
	f.raw = raw
	loaded, err := f.validate(raw)
	if err != nil {
		app.Log.Error("settings_refused", "cause", cause, "error", err.Error())
		return
	}
	pending := app.Reload(loaded)
	app.Log.Info("settings_reloaded", "cause", cause, "log_level", loaded.Settings.LogLevel, "pending_restart", pending)
}
