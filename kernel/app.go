package kernel

import (
	"context"
	"io"
	"log/slog"
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
	reloaders   []Reloader
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
	app := &App{
		Log:         newLogger(opts.Log, settings.LogLevel, identity),
		stopTimeout: time.Duration(settings.StopTimeoutMS) * time.Millisecond,
		State:       NewState(),
		Identity:    identity,
	}
	options := []fx.Option{
		fx.Supply(identity, app.State, app.Log, NewRandom(settings.Seed)),
		fx.Provide(func() Clock { return clock }),
		fx.StartTimeout(startTimeout),
		fx.StopTimeout(app.stopTimeout),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
	}
	for _, selected := range loaded.Selected {
		options = append(options, selected.Plugin.Options(selected.Settings))
	}
	options = append(options, fx.Invoke(func(in reloaderParams) { app.reloaders = in.Reloaders }))
	options = append(options, opts.Extra...)
	app.fx = fx.New(options...)
	if err := app.fx.Err(); err != nil {
		return nil, wiringError(err)
	}
	return app, nil
}

// Reloader is implemented by plug-ins that apply changed settings at run time; others apply them at the next start.
type Reloader interface {
	// Reload applies checked settings, which have the plug-in's own settings type. It must not block.
	Reload(settings any)
	// Plugin returns the kind and the name of the plug-in.
	Plugin() (Kind, string)
}

// ReloaderGroup is the result tag with which plug-ins add a Reloader to the fx group.
const ReloaderGroup = `group:"reloaders"`

type reloaderParams struct {
	fx.In
	Reloaders []Reloader `group:"reloaders"`
}

// Reload passes changed settings to the plug-ins that implement Reloader.
func (a *App) Reload(loaded *Loaded) {
	for _, selected := range loaded.Selected {
		for _, r := range a.reloaders {
			if kind, name := r.Plugin(); kind == selected.Plugin.Kind && name == selected.Plugin.Name {
				r.Reload(selected.Settings)
			}
		}
	}
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

func newLogger(w io.Writer, level string, identity Identity) *slog.Logger {
	if w == nil {
		w = io.Discard
	}
	var l slog.Level
	if err := l.UnmarshalText([]byte(level)); err != nil {
		l = slog.LevelInfo
	}
	handler := slog.NewJSONHandler(w, &slog.HandlerOptions{Level: l})
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
