// Package static is the plug-in that reads the configuration set from the settings.
package static

import (
	"fmt"

	"go.uber.org/fx"

	"gooseberrylane.example/core"
	"gooseberrylane.example/kernel"
	"gooseberrylane.example/kernel/kinds"
)

func init() {
	kernel.Register(kernel.Plugin{
		Kind: kinds.ConfigurationKind, Name: "static",
		Settings: func() any { return &Settings{} },
		Options: func(s any) fx.Option {
			return fx.Provide(func(state *kernel.State) kinds.Configuration { return newConfiguration(state, s.(*Settings)) })
		},
	})
}

// Settings of the plug-in.
type Settings struct {
	// Services are the services in force. Required.
	Services []*core.Service `json:"services" validate:"required"`
}

// Check implements kernel.Checker.
func (s *Settings) Check() []kernel.Problem {
	var problems []kernel.Problem
	for i, service := range s.Services {
		if service == nil {
			problems = append(problems, kernel.Problem{Path: fmt.Sprintf("services[%d]", i), Detail: "must be a service, got null"})
		}
	}
	return problems
}

type configuration struct{ state *kernel.State }

func newConfiguration(state *kernel.State, settings *Settings) kinds.Configuration {
	set := &core.ConfigSet{Revision: 1, Services: make(map[core.ServiceName]*core.Service, len(settings.Services))}
	for _, service := range settings.Services {
		set.Services[service.Name] = service
	}
	state.SetConfig(set.Index())
	return &configuration{state: state}
}

// Revision implements kinds.Configuration.
func (c *configuration) Revision() core.Revision { return c.state.Load().Config.Revision }
