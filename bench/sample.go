package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// reading is the resource use of the daemons of a side since their start, summed over the VMs.
type reading struct {
	at       time.Time
	cpu      time.Duration
	resident int64
	vars     map[string]float64
	platform uint64
	received uint64
	// open is the number of connections that the upstreams hold.
	open int64
}

// read reads the processes, their metrics and the stand-ins.
func (f *fleet) read(ctx context.Context) (*reading, error) {
	r := &reading{at: time.Now(), vars: make(map[string]float64)}
	for _, v := range f.vms {
		u, err := v.proc.usage()
		if err != nil {
			return nil, err
		}
		r.cpu += u.CPU
		r.resident += u.Resident
		vars, err := f.vars(ctx, v)
		if err != nil {
			return nil, err
		}
		for name, value := range vars {
			r.vars[name] += value
		}
	}
	var calls map[string]int64
	if err := f.platformControl.Call(ctx, "/v1/counts", nil, &calls); err != nil {
		return nil, err
	}
	for name, n := range calls {
		if name != "waiting" {
			r.platform += uint64(n)
		}
	}
	counts, err := f.testbed.counts(ctx)
	if err != nil {
		return nil, err
	}
	for _, c := range counts {
		r.received += c.Received
		r.open += c.Connections
	}
	return r, nil
}

// vars returns the numeric metrics of a VM.
func (f *fleet) vars(ctx context.Context, v *vm) (map[string]float64, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+v.address(metricsPort)+"/debug/vars", nil)
	if err != nil {
		return nil, err
	}
	response, err := f.testbed.probes.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	var all map[string]any
	if err := json.NewDecoder(response.Body).Decode(&all); err != nil {
		return nil, fmt.Errorf("metrics of %s: %w", v.name, err)
	}
	numbers := make(map[string]float64)
	for name, value := range all {
		if n, ok := value.(float64); ok {
			numbers[name] = n
		}
	}
	return numbers, nil
}

// idleFigures are rates per VM between two readings without load.
func idleFigures(before, after *reading, vms int) figures {
	perVM := func(amount float64) float64 { return amount / after.at.Sub(before.at).Seconds() / float64(vms) }
	counter := func(name string) float64 { return perVM(after.vars[name] - before.vars[name]) }
	return figures{
		"cpu_us_per_vm_s":        perVM(float64((after.cpu - before.cpu).Microseconds())),
		"peer_messages_per_vm_s": counter("peer_messages_sent"), "peer_bytes_per_vm_s": counter("peer_bytes_sent"),
		"peer_frames_per_vm_s": counter("peer_frames_sent"), "platform_calls_per_vm_s": perVM(float64(after.platform - before.platform)),
		"platform_calls_per_s":      float64(after.platform-before.platform) / after.at.Sub(before.at).Seconds(),
		"allocations_per_vm_s":      counter("go_allocations"),
		"resident_bytes_per_vm":     float64(after.resident) / float64(vms),
		"heap_live_bytes_per_vm":    after.vars["go_heap_live_bytes"] / float64(vms),
		"goroutines_per_vm":         after.vars["go_goroutines"] / float64(vms),
		"upstream_connections_open": float64(after.open),
	}
}

// loadFigures are amounts per query and per sub-request between two readings under load. The idle use of the daemons is
// subtracted, except from cpu_us_with_idle and allocated_bytes.
func loadFigures(before, after *reading, idle figures, vms int, queries uint64) figures {
	seconds := after.at.Sub(before.at).Seconds() * float64(vms)
	subRequests := float64(after.received - before.received)
	counter := func(name, rate string) float64 { return after.vars[name] - before.vars[name] - idle[rate]*seconds }
	cpu := float64((after.cpu - before.cpu).Microseconds())
	totals := figures{
		"cpu_us": cpu - idle["cpu_us_per_vm_s"]*seconds, "cpu_us_with_idle": cpu,
		"allocations":     counter("go_allocations", "allocations_per_vm_s"),
		"allocated_bytes": after.vars["go_allocated_bytes"] - before.vars["go_allocated_bytes"],
		"peer_messages":   counter("peer_messages_sent", "peer_messages_per_vm_s"),
		"peer_frames":     counter("peer_frames_sent", "peer_frames_per_vm_s"),
		"peer_bytes":      counter("peer_bytes_sent", "peer_bytes_per_vm_s"),
		"sub_requests":    subRequests,
	}
	result := figures{"queries": float64(queries), "resident_bytes_per_vm": float64(after.resident) / float64(vms)}
	for name, total := range totals {
		if queries > 0 {
			result[name+"_per_query"] = total / float64(queries)
		}
		if subRequests > 0 && name != "sub_requests" {
			result[name+"_per_sub_request"] = total / subRequests
		}
	}
	return result
}
