package main

import (
	"context"
	"maps"

	"gooseberrylane.example/standins/deployment"
)

// stopTimeoutMS bounds the graceful stop of a daemon, in milliseconds. It is shorter than killGrace.
const stopTimeoutMS = 8000

// choosePlugins resolves the policy of the side and the kinds that all policies share.
func (f *fleet) choosePlugins() error {
	chosen, err := f.policy.choices(f.binaries.plugins)
	if err != nil {
		return err
	}
	maps.Copy(chosen, supportKinds(f.binaries.plugins))
	f.plugins = chosen
	return nil
}

// settings returns the settings file of a VM.
func (f *fleet) settings(v *vm) ([]byte, error) {
	s := daemonSettings{
		VM:       map[string]string{"name": v.name, "failure_domain": domainName(v.domain)},
		LogLevel: "warn", Seed: f.seed + uint64(v.domain)*1000 + uint64(v.ip[len(v.ip)-1]), StopTimeoutMS: stopTimeoutMS,
		Plugins: map[string][]choice{
			"front_end": {{"http", map[string]any{"listen": v.address(callerPort), "balancer_lag_ms": balancerLag.Milliseconds()}}},
			"engine":    {{"standard", nil}},
			"dispatch":  {{"owner", nil}},
			"executor":  {{"slots", nil}},
			"transport": {{"http", nil}},
			"peer": {{"websocket", map[string]any{
				"listen": v.address(peerPort), "advertise": v.proxy.Address(), "source_address": v.ip,
			}}},
			"platform": {{"http", map[string]any{"address": f.platformProxies[v.domain].Address()}}},
			"metrics":  {{"expvar", map[string]any{"listen": v.address(metricsPort)}}},
		},
	}
	for kind, name := range f.plugins {
		s.Plugins[kind] = []choice{{name, f.pluginSettings(kind, name)}}
	}
	return s.encode()
}

// member is one entry of a static member list.
type member struct {
	Name          string `json:"name"`
	FailureDomain string `json:"failure_domain"`
	PeerAddress   string `json:"peer_address"`
}

// pluginSettings returns the settings of the plug-ins that need some.
func (f *fleet) pluginSettings(kind, name string) any {
	switch kind + "/" + name {
	case "membership/static":
		members := make([]member, len(f.vms))
		for i, v := range f.vms {
			members[i] = member{Name: v.name, FailureDomain: domainName(v.domain), PeerAddress: v.proxy.Address()}
		}
		return map[string]any{"members": members}
	case "configuration/static":
		return map[string]any{"services": f.deployment.Services}
	default:
		return nil
	}
}

// publishConfiguration writes the services of the deployment to the platform when the daemons read them from there.
func (f *fleet) publishConfiguration(context.Context) error { return nil }

// deploymentCopy returns the deployment with the layouts of a repartition, if one is planned.
func newDeployment(o *options) (*deployment.Deployment, error) {
	return deployment.New(o.deployment, o.seed)
}
