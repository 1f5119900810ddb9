package kernel

import (
	"context"
	"io"
	"log/slog"
	"reflect"
	"time"

	"github.com/zeebo/errs"
	"go.uber.org/dig"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"gooseberrylane.example/core"
)

// Identity identifies this process.
type Identity struct {
	VM          core.VMName
	Domain      core.FailureDomain
	Incarnation core.Incarnation
}

// Options configure how an application is built. The zero value is suitable for a daemon.
type Options struct {
	// Log receives JSON lines; nil discards them.
	Log io.Writer
	// Clock replaces the system clock.
	Clock Clock
	// Extra holds additional fx options, for tests and for programs that embed the kernel.
	Extra []fx.Option
}

// App is one running set of plug-ins.
type App struct {
	fx          *fx.App
	settings    Settings
	logLevel    *slog.LevelVar
	stopTimeout time.Duration
	// Log is the log of the application.
	Log *slog.Logger
	// State is the published state of the application.
	State *State
	// Identity is the identity of the process.
	Identity Identity
}

// Lifecycle is the error class of a failed start or stop.
var Lifecycle = errs.Class("lifecycle")

// startTimeout bounds the start of all plug-ins.
const startTimeout = 30 * time.Second

// New builds an application from checked settings. Plug-ins start in the order of their dependencies and stop in the
// reverse order. The stop timeout of the settings bounds the stop of all plug-ins together.
func New(loaded *Loaded, opts Options) (*App, error) {
	clock := opts.Clock
	if clock == nil {
		clock = SystemClock{}
	}
	settings := loaded.Settings
	identity := Identity{
		VM:          core.VMName(settings.VM.Name),
		Domain:      core.FailureDomain(settings.VM.FailureDomain),
		Incarnation: core.Incarnation(clock.Now().UnixNano()),
	}
	level := new(slog.LevelVar)
	level.Set(parseLevel(settings.LogLevel))
	app := &App{
		settings: settings, logLevel: level,
		Log:         newLogger(opts.Log, level, identity),
		stopTimeout: time.Duration(settings.StopTimeoutMS) * time.Millisecond,
		State:       NewState(),
		Identity:    identity,
	}
	options := []fx.Option{
		fx.Supply(identity, settings.Resources(), app.State, app.Log, NewRandom(settings.Seed)),
		fx.Provide(func() Clock { return clock }),
		fx.StartTimeout(startTimeout),
		fx.StopTimeout(app.stopTimeout),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
	}
	for _, selected := range loaded.Selected {
		options = append(options, selected.Plugin.Options(selected.Settings))
	}
	options = append(options, opts.Extra...)
	app.fx = fx.New(options...)
	if err := app.fx.Err(); err != nil {
		return nil, wiringError(err)
	}
	return app, nil
}

// Reload applies those of the changed settings that need no restart, which is the log level. It reports whether others changed;
// they apply from the next start.
func (a *App) Reload(loaded *Loaded) (pending bool) {
	a.logLevel.Set(parseLevel(loaded.Settings.LogLevel))
	old, changed := a.settings, loaded.Settings
	old.LogLevel = changed.LogLevel
	a.settings.LogLevel = changed.LogLevel
	return !reflect.DeepEqual(old, changed)
}

// wiringError describes why the selected plug-ins cannot be combined, for example because one depends on a kind that no
// plug-in provides. It reports only the root cause: the full message of fx also names Go functions, which helps only plug-in
// authors.
func wiringError(err error) error {
	return &core.Error{
		Code: core.CodeBadSettings, Detail: "the selected plug-ins cannot be combined",
		Problems: []Problem{{Path: "plugins", Detail: dig.RootCause(err).Error()}},
	}
}

// parseLevel returns a log level. Checked settings have no invalid one.
func parseLevel(text string) slog.Level {
	var level slog.Level
	if err := level.UnmarshalText([]byte(text)); err != nil {
		return slog.LevelInfo
	}
	return level
}

func newLogger(w io.Writer, level slog.Leveler, identity Identity) *slog.Logger {
	if w == nil {
		w = io.Discard
	}
	handler := slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level})
	return slog.New(handler).With("vm", string(identity.VM), "incarnation", uint64(identity.Incarnation))
}

// Start starts all plug-ins.
func (a *App) Start(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := a.fx.Start(ctx); err != nil {
		a.Log.Error("start_failed", "error", err.Error())
		return Lifecycle.Wrap(err)
	}
	a.Log.Info("started", "failure_domain", string(a.Identity.Domain))
	return nil
}

// Stop stops all plug-ins gracefully in the reverse order of their start, within the stop timeout.
func (a *App) Stop(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, a.stopTimeout)
	defer cancel()
	a.Log.Info("stopping")
	err := a.fx.Stop(ctx)
	if err != nil {
		a.Log.Error("stop_incomplete", "error", err.Error())
		return Lifecycle.Wrap(err)
	}
	a.Log.Info("stopped")
	return nil
}

// Run starts the application, waits until ctx ends, and stops it.
func (a *App) Run(ctx context.Context) error {
	if err := a.Start(context.WithoutCancel(ctx)); err != nil {
		return err
	}
	<-ctx.Done()
	return a.Stop(context.WithoutCancel(ctx))
}
