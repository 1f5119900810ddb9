package query

import (
	"time"

	"gooseberrylane.example/core"
)

// Resolve validates a query against the current configuration and returns its service and its shards at an index
// version. The error is a *core.Error.
func Resolve(view *core.View, q *core.Query, version core.IndexVersion) (*core.Service, []core.Shard, error) {
	service := view.Config.Services[q.Service]
	if service == nil {
		return nil, nil, core.Errorf(core.CodeUnknownService, "service %q", q.Service)
	}
	layout := service.LayoutAt(version)
	if layout == nil {
		return nil, nil, core.Errorf(core.CodeVersionMissing, "service %q has no layout at index version %d", q.Service, version)
	}
	shards, err := selectShards(layout, q.Shards)
	if err != nil {
		return nil, nil, err
	}
	if !q.Idempotent && len(shards) != 1 {
		return nil, nil, core.Errorf(core.CodeBadWriteTarget, "a non-idempotent request needs one shard, got %d", len(shards))
	}
	if limit := service.Rule.MaxShards; limit > 0 && len(shards) > limit {
		return nil, nil, core.Errorf(core.CodeBadRequest, "%d shards, the rule allows %d", len(shards), limit)
	}
	return service, shards, nil
}

func selectShards(layout *core.Layout, names []core.ShardName) ([]core.Shard, error) {
	if len(names) == 0 {
		return layout.Shards, nil
	}
	byName := make(map[core.ShardName]core.Shard, len(layout.Shards))
	for _, shard := range layout.Shards {
		byName[shard.Name] = shard
	}
	shards := make([]core.Shard, 0, len(names))
	for _, name := range names {
		shard, ok := byName[name]
		if !ok {
			return nil, core.Errorf(core.CodeUnknownShard, "shard %q", name)
		}
		delete(byName, name)
		shards = append(shards, shard)
	}
	return shards, nil
}

// Deadline returns the deadline of a query with the given timeout; 0 means the default. The error is a *core.Error.
func Deadline(now time.Time, rule core.Rule, timeout time.Duration) (time.Time, error) {
	if timeout < 0 {
		return time.Time{}, core.Errorf(core.CodeBadDeadline, "negative timeout %v", timeout)
	}
	if timeout == 0 {
		timeout = rule.DefaultDeadlineMS.Duration()
	}
	if limit := rule.MaxDeadlineMS.Duration(); limit > 0 && timeout > limit {
		return time.Time{}, core.Errorf(core.CodeBadDeadline, "timeout %v, the limit is %v", timeout, limit)
	}
	return now.Add(timeout), nil
}
