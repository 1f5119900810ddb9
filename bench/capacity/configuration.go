package capacity

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"runtime"

	"gooseberrylane.example/coord/config"
	"gooseberrylane.example/core"
	"gooseberrylane.example/kernel"
)

// changeAt returns a change of one group: the slots of its first upstream alternate between 2 and 3.
func changeAt(revision core.Revision) config.Change {
	group := newGroup(0, int(revision)%groupsPerService)
	group.Upstreams[0].Slots = 2 + int(revision%2)
	return config.Change{
		Revision: revision, Plan: config.PlanID("plan-0123456789abcdef"),
		Intent: config.Intent{Operator: "operator", Reason: "capacity", Operations: []config.Operation{
			{PutGroup: &config.PutGroup{Service: "service-000", Group: group}},
		}},
	}
}

// configurationAt measures changes, checkpoints and their sizes.
func configurationAt(upstreams int, _ uint64) (map[string]float64, error) {
	figures := make(map[string]float64)
	log := config.NewLog(config.ChangesPerCheckpoint)
	log.Restore(services(upstreams))
	state := kernel.NewState()
	state.SetConfig(log.Set())
	var failed error
	apply := func() {
		if _, err := log.Add(changeAt(log.Revision() + 1)); err != nil {
			failed = err
		}
	}
	costOf(apply).put(figures, "apply")
	costOf(func() { apply(); state.SetConfig(log.Set()) }).put(figures, "apply_and_publish")
	if failed != nil {
		return nil, failed
	}
	raw, err := json.Marshal(changeAt(1))
	if err != nil {
		return nil, err
	}
	figures["change_encoded_bytes"] = float64(len(raw))
	size := 0
	costOf(func() { size, err = checkpointSize(log.Set()) }).put(figures, "checkpoint")
	figures["checkpoint_encoded_bytes"] = float64(size)
	return figures, err
}

// checkpointSize returns the encoded size of a set in a checkpoint.
func checkpointSize(set *core.ConfigSet) (int, error) {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	if err := json.NewEncoder(w).Encode(set); err != nil {
		return 0, err
	}
	err := w.Close()
	return b.Len(), err
}

// viewAt measures the memory of the parts of a published view.
func viewAt(upstreams int, seed uint64) (map[string]float64, error) {
	figures := make(map[string]float64)
	var set *core.ConfigSet
	figures["configuration_bytes"] = heapOf(func() any { set = services(upstreams); return set })
	figures["index_bytes"] = heapOf(func() any { return set.Index() })
	state := kernel.NewState()
	figures["states_bytes"] = heapOf(func() any { state.SetConfig(set); return state })
	f := newFleet(largeDomain, largeMembers-largeDomain, seed)
	var owned *core.Ownership
	figures["machine_bytes"] = heapOf(func() any { f.agent.Configure(f.now, set); return f })
	figures["ownership_bytes"] = heapOf(func() any { owned = f.agent.Machine().Ownership(f.now); return owned })
	runtime.KeepAlive(f)
	runtime.KeepAlive(state)
	runtime.KeepAlive(owned)
	total := 0.0
	for _, value := range figures {
		total += value
	}
	figures["view_bytes"] = total
	figures["view_bytes_per_upstream"] = total / float64(upstreams)
	return figures, nil
}
