package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"gooseberrylane.example/standins/control"
	"gooseberrylane.example/standins/deployment"
	"gooseberrylane.example/standins/upstream"
)

// testbed is shared by both sides of a run: programs, network and upstreams.
type testbed struct {
	options    *options
	folder     string
	starter    *starter
	binaries   *binaries
	network    *network
	deployment *deployment.Deployment
	probes     *http.Client

	upstreams *process
	control   control.Client
	faults    map[string]upstream.Faults
	// version is the newest index version that all upstreams hold.
	version uint64
}

const probeConnections = 2

// newTestbed starts the upstreams of a deployment.
func newTestbed(ctx context.Context, o *options, s *starter, b *binaries, folder string, d *deployment.Deployment) (*testbed, error) {
	n, err := newNetwork(deploymentDelays[o.deployment])
	if err != nil {
		return nil, err
	}
	t := &testbed{
		options: o, folder: folder, starter: s, binaries: b, network: n, deployment: d, faults: make(map[string]upstream.Faults), version: 1,
		probes: &http.Client{Transport: &http.Transport{MaxConnsPerHost: probeConnections, MaxIdleConnsPerHost: 1}, Timeout: time.Second},
	}
	return t, t.startUpstreams(ctx)
}

func (t *testbed) startUpstreams(ctx context.Context) error {
	raw, err := json.Marshal(t.deployment.Upstreams)
	if err != nil {
		return err
	}
	path := filepath.Join(t.folder, "upstreams.json")
	if err := os.WriteFile(path, raw, 0o644); err != nil {
		return err
	}
	t.upstreams, err = t.starter.start("upstreams", t.folder, standInEnv, t.binaries.upstream, "-config", path)
	if err != nil {
		return err
	}
	var addresses struct {
		Control   string
		Upstreams map[string]string
	}
	if err := t.upstreams.decodeFirstLine(ctx, &addresses); err != nil {
		return err
	}
	t.control = control.Client{Address: addresses.Control}
	t.deployment.SetAddresses(addresses.Upstreams)
	return nil
}

// upstreamIDs returns the upstreams in the order of the deployment.
func (t *testbed) upstreamIDs() []string {
	ids := make([]string, len(t.deployment.Upstreams))
	for i := range t.deployment.Upstreams {
		ids[i] = t.deployment.Upstreams[i].ID
	}
	return ids
}

// changeFaults changes the faults of upstreams and leaves the other faults as they are, so that scenarios combine.
func (t *testbed) changeFaults(ctx context.Context, ids []string, change func(*upstream.Faults)) error {
	groups := make(map[upstream.Faults][]string)
	for _, id := range ids {
		f := t.faults[id]
		change(&f)
		t.faults[id] = f
		groups[f] = append(groups[f], id)
	}
	for f, group := range groups {
		call := upstream.FaultsCall{Target: upstream.Target{IDs: group}, Faults: f}
		if err := t.control.Call(ctx, "/v1/faults", call, nil); err != nil {
			return err
		}
	}
	return nil
}

// heal removes all faults of upstreams and restarts those that are down.
func (t *testbed) heal(ctx context.Context) error {
	clear(t.faults)
	err := t.control.Call(ctx, "/v1/faults", upstream.FaultsCall{}, nil)
	return errors.Join(err, t.control.Call(ctx, "/v1/restart", upstream.Target{}, nil))
}

func (t *testbed) counts(ctx context.Context) (map[string]upstream.Counts, error) {
	counts := make(map[string]upstream.Counts)
	return counts, t.control.Call(ctx, "/v1/counts", nil, &counts)
}

func (t *testbed) writes(ctx context.Context) (map[string]int, error) {
	writes := make(map[string]int)
	return writes, t.control.Call(ctx, "/v1/writes", nil, &writes)
}

const (
	idleTimeout = 5 * time.Second
	idlePoll    = 50 * time.Millisecond
)

// awaitIdle waits until no upstream runs a request, so that counts belong to one side only.
func (t *testbed) awaitIdle(ctx context.Context) (map[string]upstream.Counts, error) {
	ctx, cancel := context.WithTimeout(ctx, idleTimeout)
	defer cancel()
	ticker := time.NewTicker(idlePoll)
	defer ticker.Stop()
	for {
		counts, err := t.counts(ctx)
		if err != nil {
			return nil, err
		}
		running := int64(0)
		for _, c := range counts {
			running += c.Running
		}
		if running == 0 {
			return counts, nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil, fmt.Errorf("upstreams still run %d requests: %w", running, ctx.Err())
		}
	}
}
