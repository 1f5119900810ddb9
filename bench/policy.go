package main

import (
	"encoding/json"
	"fmt"
	"sort"
)

// choice names one plug-in and its settings.
type choice struct {
	Name     string `json:"name"`
	Settings any    `json:"settings,omitempty"`
}

// policy chooses the plug-ins of the kinds in which policies differ. For each kind it lists names by preference; the
// first one that is linked is used.
type policy map[string][]string

// policies are the named sets of plug-ins.
var policies = map[string]policy{
	"baseline": {
		"selection": {"random"}, "hedging": {"none"}, "retry": {"none"}, "admission": {"open"},
	},
	"current": {
		"selection": {"adaptive", "random"}, "hedging": {"learned", "none"}, "retry": {"budget", "none"}, "admission": {"classes", "open"},
	},
	"no-hedge": {
		"selection": {"adaptive", "random"}, "hedging": {"none"}, "retry": {"budget", "none"}, "admission": {"classes", "open"},
	},
	"no-retry": {
		"selection": {"adaptive", "random"}, "hedging": {"learned", "none"}, "retry": {"none"}, "admission": {"classes", "open"},
	},
	"plain-selection": {
		"selection": {"random"}, "hedging": {"learned", "none"}, "retry": {"budget", "none"}, "admission": {"classes", "open"},
	},
}

func policyNames() []string {
	names := make([]string, 0, len(policies))
	for name := range policies {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// pick returns the first linked plug-in of a kind.
func (set pluginSet) pick(kind string, names ...string) (string, error) {
	for _, name := range names {
		if set[kind+"/"+name] {
			return name, nil
		}
	}
	return "", fmt.Errorf("none of the plug-ins %v of kind %s is linked", names, kind)
}

// choices returns the plug-ins of a policy by kind.
func (p policy) choices(set pluginSet) (map[string]string, error) {
	chosen := make(map[string]string, len(p))
	for kind, names := range p {
		name, err := set.pick(kind, names...)
		if err != nil {
			return nil, err
		}
		chosen[kind] = name
	}
	return chosen, nil
}

// daemonSettings is the settings file of one daemon.
type daemonSettings struct {
	VM            map[string]string   `json:"vm"`
	LogLevel      string              `json:"log_level"`
	Seed          uint64              `json:"seed"`
	StopTimeoutMS int64               `json:"stop_timeout_ms"`
	Plugins       map[string][]choice `json:"plugins"`
}

// sharedPlugins returns the plug-ins that are the same for every policy, so that the sides differ only in the policy.
func sharedPlugins(set pluginSet) map[string]string {
	preferences := map[string][]string{
		"membership":    {"heartbeat", "static"},
		"configuration": {"log", "static"},
		"records":       {"platform", "none"},
	}
	chosen := make(map[string]string, len(preferences))
	for kind, names := range preferences {
		if name, err := set.pick(kind, names...); err == nil {
			chosen[kind] = name
		}
	}
	return chosen
}

func (s *daemonSettings) encode() ([]byte, error) { return json.MarshalIndent(s, "", "  ") }
