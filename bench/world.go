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

// world is what both sides of a run share: programs, network, upstreams and the load.
type world struct {
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

// newWorld starts the upstreams of a deployment.
func newWorld(ctx context.Context, o *options, s *starter, b *binaries, folder string, d *deployment.Deployment) (*world, error) {
	n, err := newNetwork(deploymentDelays[o.deployment])
	if err != nil {
		return nil, err
	}
	w := &world{
		options: o, folder: folder, starter: s, binaries: b, network: n, deployment: d, faults: make(map[string]upstream.Faults), version: 1,
		probes: &http.Client{Transport: &http.Transport{MaxConnsPerHost: probeConnections, MaxIdleConnsPerHost: 1}, Timeout: time.Second},
	}
	return w, w.startUpstreams(ctx)
}

func (w *world) startUpstreams(ctx context.Context) error {
	raw, err := json.Marshal(w.deployment.Upstreams)
	if err != nil {
		return err
	}
	path := filepath.Join(w.folder, "upstreams.json")
	if err := os.WriteFile(path, raw, 0o644); err != nil {
		return err
	}
	w.upstreams, err = w.starter.start("upstreams", w.folder, standInEnv, w.binaries.upstream, "-config", path)
	if err != nil {
		return err
	}
	var greeting struct {
		Control   string
		Upstreams map[string]string
	}
	if err := w.upstreams.greeting(ctx, &greeting); err != nil {
		return err
	}
	w.control = control.Client{Address: greeting.Control}
	w.deployment.Locate(greeting.Upstreams)
	return nil
}

// upstreamIDs returns the upstreams in the order of the deployment.
func (w *world) upstreamIDs() []string {
	ids := make([]string, len(w.deployment.Upstreams))
	for i := range w.deployment.Upstreams {
		ids[i] = w.deployment.Upstreams[i].ID
	}
	return ids
}

// changeFaults changes the faults of upstreams and leaves the other faults as they are, so that scenarios combine.
func (w *world) changeFaults(ctx context.Context, ids []string, change func(*upstream.Faults)) error {
	groups := make(map[upstream.Faults][]string)
	for _, id := range ids {
		f := w.faults[id]
		change(&f)
		w.faults[id] = f
		groups[f] = append(groups[f], id)
	}
	for f, group := range groups {
		call := upstream.FaultsCall{Target: upstream.Target{IDs: group}, Faults: f}
		if err := w.control.Call(ctx, "/v1/faults", call, nil); err != nil {
			return err
		}
	}
	return nil
}

// heal ends all faults of upstreams and restarts those that are down.
func (w *world) heal(ctx context.Context) error {
	clear(w.faults)
	err := w.control.Call(ctx, "/v1/faults", upstream.FaultsCall{}, nil)
	return errors.Join(err, w.control.Call(ctx, "/v1/restart", upstream.Target{}, nil))
}

func (w *world) counts(ctx context.Context) (map[string]upstream.Counts, error) {
	counts := make(map[string]upstream.Counts)
	return counts, w.control.Call(ctx, "/v1/counts", nil, &counts)
}

func (w *world) writes(ctx context.Context) (map[string]int, error) {
	writes := make(map[string]int)
	return writes, w.control.Call(ctx, "/v1/writes", nil, &writes)
}

const (
	quietTimeout = 5 * time.Second
	quietPoll    = 50 * time.Millisecond
)

// awaitQuiet waits until no upstream runs a request, so that counts belong to one side only.
func (w *world) awaitQuiet(ctx context.Context) (map[string]upstream.Counts, error) {
	ctx, cancel := context.WithTimeout(ctx, quietTimeout)
	defer cancel()
	ticker := time.NewTicker(quietPoll)
	defer ticker.Stop()
	for {
		counts, err := w.counts(ctx)
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
