package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"gooseberrylane.example/coord/config"
	"gooseberrylane.example/core"
	"gooseberrylane.example/plugins/frontend/api"
	"gooseberrylane.example/standins/platform"
)

const (
	startTimeout   = 60 * time.Second
	inForceTimeout = 60 * time.Second
	retryPause     = 20 * time.Millisecond
	services       = 10
)

// report is the result of one run.
type report struct {
	Seed    uint64 `json:"seed"`
	VMs     int    `json:"vms"`
	CutOff  int    `json:"cut_off_from_platform"`
	Changes int    `json:"changes"`
	// Calls to the platform while idle, in total and per VM and second. Waiting counts open watches.
	IdleSeconds     float64         `json:"idle_seconds"`
	IdleCalls       platform.Counts `json:"idle_calls"`
	IdleCallsPerVMS float64         `json:"idle_calls_per_vm_per_s"`
	// Resource use of the daemons while idle: means per daemon, and the largest resident memory.
	IdleCPUPercent float64 `json:"idle_cpu_percent_of_core_mean"`
	IdleBytesPerS  float64 `json:"idle_written_bytes_per_s_mean"`
	RSSMaxMB       float64 `json:"rss_max_mb"`
	// Times from the first confirm until the change is in force on the last VM, and on the last VM that is cut off from
	// the platform.
	InForceP50MS    float64 `json:"in_force_p50_ms"`
	InForceP99MS    float64 `json:"in_force_p99_ms"`
	InForceMaxMS    float64 `json:"in_force_max_ms"`
	CutInForceP99MS float64 `json:"cut_off_in_force_p99_ms"`
	// Repeated counts confirm requests that were sent again because the outcome was not known yet.
	Repeated int `json:"repeated_confirms"`
	// Reverts counts revisions applied after the same or a later one, Torn those whose content differs from that on
	// another daemon. Both come from the logs of the daemons.
	Reverts int `json:"reverts"`
	Torn    int `json:"torn_sets"`
}

func (f *fleet) measure(ctx context.Context) (*report, error) {
	r := &report{Seed: f.options.seed, VMs: f.options.vms, CutOff: f.options.cut, Changes: f.options.changes}
	random := rand.New(rand.NewPCG(f.options.seed, 1))
	first, err := f.change(ctx, random, 0, startTimeout)
	if err != nil {
		return nil, fmt.Errorf("first change: %w", err)
	}
	if err := f.awaitAll(ctx, uint64(first.Revision)); err != nil {
		return nil, err
	}
	if err := f.idle(ctx, r); err != nil {
		return nil, err
	}
	f.platform.SetFaults(platform.Faults{LostAnswerShare: f.options.lost, ErrorShare: f.options.errors, StaleShare: f.options.stale})
	started := make(map[uint64]time.Time)
	for i := range f.options.changes {
		begin := time.Now()
		accepted, err := f.change(ctx, random, i+1, inForceTimeout)
		if err != nil {
			return nil, fmt.Errorf("change %d: %w", i+1, err)
		}
		r.Repeated += accepted.repeated
		started[uint64(accepted.Revision)] = begin.Add(accepted.planning)
		if err := f.awaitAll(ctx, uint64(accepted.Revision)); err != nil {
			return nil, err
		}
	}
	f.evaluate(r, started)
	return r, nil
}

// idle measures a period without changes.
func (f *fleet) idle(ctx context.Context, r *report) error {
	before, calls, start := f.usages(), f.platform.Counts(), time.Now()
	select {
	case <-time.After(f.options.idle):
	case <-ctx.Done():
		return ctx.Err()
	}
	after, now := f.usages(), f.platform.Counts()
	seconds := time.Since(start).Seconds()
	r.IdleSeconds = seconds
	r.IdleCalls = platform.Counts{
		Reads: now.Reads - calls.Reads, Writes: now.Writes - calls.Writes, Lists: now.Lists - calls.Lists,
		Watches: now.Watches - calls.Watches, VMLists: now.VMLists - calls.VMLists, Refused: now.Refused - calls.Refused,
		Waiting: now.Waiting,
	}
	vms := float64(f.options.vms)
	r.IdleCallsPerVMS = float64(r.IdleCalls.Total()) / vms / seconds
	for i := range after {
		r.IdleCPUPercent += 100 * (after[i].cpu - before[i].cpu).Seconds() / seconds / vms
		r.IdleBytesPerS += float64(after[i].bytes-before[i].bytes) / seconds / vms
		r.RSSMaxMB = max(r.RSSMaxMB, float64(after[i].rss)/(1<<20))
	}
	return nil
}

func (f *fleet) usages() []usage {
	all := make([]usage, len(f.daemons))
	for i, d := range f.daemons {
		all[i] = d.usage()
	}
	return all
}

// acceptedChange is an accepted change, the time that its plan took and the number of repeated confirms.
type acceptedChange struct {
	config.Change
	// planning is the time until the first confirm was sent.
	planning time.Duration
	repeated int
}

// change plans and confirms one change at random VMs that reach the platform, and retries until it is accepted.
func (f *fleet) change(ctx context.Context, random *rand.Rand, n int, limit time.Duration) (acceptedChange, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	begin := time.Now()
	var plan config.Plan
	var accepted acceptedChange
	for ; ; pause(ctx) {
		err := f.call(ctx, random, "/v1/plans", intent(n), &plan)
		if err == nil {
			break
		}
		if ctx.Err() != nil {
			return acceptedChange{}, err
		}
	}
	accepted.planning = time.Since(begin)
	for ; ; pause(ctx) {
		err := f.call(ctx, random, "/v1/plans/"+string(plan.ID)+"/confirm", api.ConfirmRequest{Operator: "bench"}, &accepted.Change)
		if err == nil {
			return accepted, nil
		}
		accepted.repeated++
		if ctx.Err() != nil {
			return acceptedChange{}, err
		}
	}
}

func pause(ctx context.Context) {
	select {
	case <-time.After(retryPause):
	case <-ctx.Done():
	}
}

// call posts to the operator interface of a random VM that reaches the platform.
func (f *fleet) call(ctx context.Context, random *rand.Rand, path string, body, answer any) error {
	d := f.daemons[random.IntN(f.options.vms-f.options.cut)]
	raw, err := json.Marshal(body)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address(d, operatorPort)+path, bytes.NewReader(raw))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusBadRequest {
		var refused api.ErrorBody
		_ = json.NewDecoder(response.Body).Decode(&refused)
		return &core.Error{Code: refused.Code, Detail: refused.Detail, Problems: refused.Problems}
	}
	return json.NewDecoder(response.Body).Decode(answer)
}

// intent returns an intent that puts one of the services, with content that differs between changes.
func intent(n int) config.Intent {
	name := fmt.Sprintf("service-%d", n%services)
	upstream := core.Upstream{
		ID: core.UpstreamID(name + "-0"), Address: "127.0.0.1:9", Domain: "fd-1", Slots: 2, Connections: 60 + n,
	}
	return config.Intent{Operator: "bench", Operations: []config.Operation{{PutService: &core.Service{
		Name:    core.ServiceName(name),
		Rule:    core.Rule{DefaultDeadlineMS: 100, MaxDeadlineMS: 1000, VersionRule: core.VersionNewest},
		Groups:  []core.Group{{Name: "g", Upstreams: []core.Upstream{upstream}}},
		Layouts: []core.Layout{{FirstVersion: 1, Shards: []core.Shard{{Name: "s", Group: "g"}}}},
	}}}}
}

func (f *fleet) awaitAll(ctx context.Context, revision uint64) error {
	ctx, cancel := context.WithTimeout(ctx, inForceTimeout)
	defer cancel()
	for _, d := range f.daemons {
		for d.revision() < revision {
			select {
			case <-f.revisionApplied:
			case <-ctx.Done():
				return fmt.Errorf("revision %d is not in force on %s, which has %d", revision, d.name, d.revision())
			}
		}
	}
	return nil
}

// evaluate derives from the logs of the daemons the times until revisions were in force, the reverts to earlier revisions
// and the revisions with differing content.
func (f *fleet) evaluate(r *report, started map[uint64]time.Time) {
	digests := make(map[uint64]string)
	all, cut := make(map[uint64]time.Duration), make(map[uint64]time.Duration)
	for i, d := range f.daemons {
		d.mu.Lock()
		var last uint64
		for _, line := range d.applied {
			if line.Revision <= last {
				r.Reverts++
			}
			last = line.Revision
			if expected, ok := digests[line.Revision]; ok && expected != line.Digest {
				r.Torn++
			}
			digests[line.Revision] = line.Digest
			if begin, ok := started[line.Revision]; ok {
				all[line.Revision] = max(all[line.Revision], line.Time.Sub(begin))
				if i >= f.options.vms-f.options.cut {
					cut[line.Revision] = max(cut[line.Revision], line.Time.Sub(begin))
				}
			}
		}
		d.mu.Unlock()
	}
	r.InForceP50MS, r.InForceP99MS, r.InForceMaxMS = quantile(all, 0.5), quantile(all, 0.99), quantile(all, 1)
	r.CutInForceP99MS = quantile(cut, 0.99)
}

// quantile returns a quantile of durations in milliseconds, 0 when there are none.
func quantile(durations map[uint64]time.Duration, q float64) float64 {
	var sorted []time.Duration
	for _, d := range durations {
		sorted = append(sorted, d)
	}
	if len(sorted) == 0 {
		return 0
	}
	slices.Sort(sorted)
	at := min(int(q*float64(len(sorted))), len(sorted)-1)
	return float64(sorted[at].Microseconds()) / 1000
}
