package deployment

import (
	"gooseberrylane.example/coord/config"
	"gooseberrylane.example/core"
)

// Plugin is the selection of one plug-in with its settings.
type Plugin struct {
	Name     string `json:"name"`
	Settings any    `json:"settings,omitempty"`
}

// Settings is the content of the settings file of one daemon.
type Settings struct {
	VM       map[string]string   `json:"vm"`
	LogLevel string              `json:"log_level,omitempty"`
	MemoryMB int                 `json:"memory_mb,omitempty"`
	Plugins  map[string][]Plugin `json:"plugins"`
}

// Set selects a single plug-in for a kind.
func (s *Settings) Set(kind, name string, settings any) {
	s.Plugins[kind] = []Plugin{{Name: name, Settings: settings}}
}

// VM describes the VM of one daemon.
type VM struct {
	Name   string
	Domain core.FailureDomain
	// Peer, Caller and Operator are the addresses that the daemon listens on.
	Peer, Caller, Operator string
}

// Member is an entry of a static member list.
type Member struct {
	Name          string             `json:"name"`
	FailureDomain core.FailureDomain `json:"failure_domain"`
	PeerAddress   string             `json:"peer_address"`
}

// Members returns the VMs as a static member list.
func Members(vms []VM) []Member {
	members := make([]Member, len(vms))
	for i, vm := range vms {
		members[i] = Member{Name: vm.Name, FailureDomain: vm.Domain, PeerAddress: vm.Peer}
	}
	return members
}

// NewSettings returns the settings of a daemon with the simplest policies, static members and services, and the platform
// at the given address. Set replaces plug-ins.
func (d *Deployment) NewSettings(vm VM, all []VM, platform string) *Settings {
	s := &Settings{
		VM:      map[string]string{"name": vm.Name, "failure_domain": string(vm.Domain)},
		Plugins: make(map[string][]Plugin),
	}
	s.Set("front_end", "http", map[string]any{"listen": vm.Caller})
	s.Set("engine", "standard", nil)
	s.Set("dispatch", "owner", nil)
	s.Set("executor", "slots", nil)
	s.Set("transport", "http", nil)
	s.Set("platform", "http", map[string]any{"address": platform})
	s.Set("peer", "websocket", map[string]any{"listen": vm.Peer})
	s.Set("membership", "static", map[string]any{"members": Members(all)})
	s.Set("configuration", "static", map[string]any{"services": d.Services})
	s.Set("selection", "random", nil)
	s.Set("hedging", "none", nil)
	s.Set("retry", "none", nil)
	s.Set("admission", "open", nil)
	s.Set("records", "platform", nil)
	return s
}

// Intent returns the intent that creates all services of the deployment.
func (d *Deployment) Intent(operator string) config.Intent {
	intent := config.Intent{Operator: operator, Reason: "first services"}
	for _, service := range d.Services {
		intent.Operations = append(intent.Operations, config.Operation{PutService: service})
	}
	return intent
}
