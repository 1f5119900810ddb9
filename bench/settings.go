package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"time"

	"gooseberrylane.example/coord/config"
)

// stopTimeoutMS bounds the graceful stop of a daemon, in milliseconds. It is shorter than killGrace.
const stopTimeoutMS = 8000

// leaveTimeoutMS bounds the hand-over of a planned stop, in milliseconds. It leaves time for the rest of the stop.
const leaveTimeoutMS = 5000

// choosePlugins resolves the policy of the side and the kinds that all policies share.
func (f *fleet) choosePlugins() error {
	chosen, err := f.policy.choices(f.binaries.plugins)
	if err != nil {
		return err
	}
	maps.Copy(chosen, sharedPlugins(f.binaries.plugins))
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
			"peer":      {{"websocket", f.peerSettings(v)}},
			"platform":  {{"http", map[string]any{"address": f.platformProxies[v.domain].Address()}}},
			"metrics":   {{"expvar", map[string]any{"listen": v.address(metricsPort)}}},
		},
	}
	if f.binaries.plugins["frontend/operator"] {
		s.Plugins["front_end"] = append(s.Plugins["front_end"], choice{"operator", map[string]any{"listen": v.address(operatorPort)}})
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

// pluginSettings returns the settings of a plug-in, or nil if it needs none.
func (f *fleet) pluginSettings(kind, name string) any {
	switch kind + "/" + name {
	case "membership/static":
		members := make([]member, len(f.vms))
		for i, v := range f.vms {
			members[i] = member{Name: v.name, FailureDomain: domainName(v.domain), PeerAddress: v.proxy.Address()}
		}
		return map[string]any{"members": members}
	case "membership/heartbeat":
		return map[string]any{"leave_timeout_ms": leaveTimeoutMS}
	case "configuration/static":
		return map[string]any{"services": f.deployment.Services}
	default:
		return nil
	}
}

func (f *fleet) peerSettings(v *vm) map[string]any {
	settings := map[string]any{"listen": v.address(peerPort), "advertise": v.proxy.Address()}
	if f.binaries.sourceAddress {
		settings["source_address"] = v.ip
	}
	return settings
}

// publishConfiguration submits and confirms the services of the deployment, as an operator does, if the daemons read
// them from the platform.
func (f *fleet) publishConfiguration(ctx context.Context) error {
	if f.plugins["configuration"] != "log" {
		return nil
	}
	intent := config.Intent{Operator: "bench", Reason: "services of the deployment"}
	for _, service := range f.deployment.Services {
		intent.Operations = append(intent.Operations, config.Operation{PutService: service})
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	ticker := time.NewTicker(readyPoll)
	defer ticker.Stop()
	for {
		err := f.submit(ctx, f.vms[0], intent)
		if err == nil {
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return fmt.Errorf("the configuration was not accepted: %w", err)
		}
	}
}

// submit plans and confirms an intent at a VM.
func (f *fleet) submit(ctx context.Context, v *vm, intent config.Intent) error {
	var plan config.Plan
	if err := f.callOperator(ctx, v, "/v1/plans", intent, &plan); err != nil {
		return err
	}
	return f.callOperator(ctx, v, "/v1/plans/"+string(plan.ID)+"/confirm", map[string]string{"operator": intent.Operator}, nil)
}

// callOperator sends one request to the operator interface of a VM.
func (f *fleet) callOperator(ctx context.Context, v *vm, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+v.address(operatorPort)+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := f.testbed.probes.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return err
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("%s: status %d: %s", path, response.StatusCode, raw)
	}
	if out == nil {
		return nil
	}
	return json.Unmarshal(raw, out)
}
