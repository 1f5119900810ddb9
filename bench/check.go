package main

import (
	"encoding/json"
	"fmt"

	"gooseberrylane.example/core"
	"gooseberrylane.example/standins/upstream"
)

// answer is the body of an answer or of a refusal, as callers see it.
type answer struct {
	Code      core.Code         `json:"code"`
	Name      string            `json:"name"`
	RequestID string            `json:"request_id"`
	Snapshot  core.IndexVersion `json:"snapshot"`
	Covered   []coveredShard    `json:"covered"`
	Missing   []missingShard    `json:"missing"`
}

type coveredShard struct {
	Shard core.ShardName `json:"shard"`
	Data  upstream.Data  `json:"data"`
}

type missingShard struct {
	Shard  core.ShardName `json:"shard"`
	Code   core.Code      `json:"code"`
	Reason string         `json:"reason"`
}

// refused reports whether the answer is a refusal of the whole query; it then lists no shard.
func (a *answer) refused() bool { return len(a.Covered) == 0 && len(a.Missing) == 0 }

// claimsNotRun reports whether the answer to a non-idempotent request claims that it did not run.
func (a *answer) claimsNotRun() bool {
	if a.refused() {
		return a.Code.IsNotRun()
	}
	for _, m := range a.Missing {
		if !m.Code.IsNotRun() && !refusalCodes[m.Code] {
			return false
		}
	}
	return len(a.Covered) == 0
}

// refusalCodes are the codes outside the not-run family that mean that no upstream ran the sub-request.
var refusalCodes = map[core.Code]bool{
	core.CodeShed: true, core.CodeVersionMissing: true, core.CodeNoReplica: true, core.CodeOutOfReach: true,
}

// verdict is the result of the check of one answer.
type verdict struct {
	// wrong describes a fault of the answer; it is empty if there is none.
	wrong string
	// mixed is set when shards of the answer are of different index versions.
	mixed     bool
	requested int
	// covered counts covered shards, named counts missing shards that are listed with a reason.
	covered, named int
}

// decodeAnswer decodes a body and checks that the code and its name agree.
func decodeAnswer(raw []byte) (*answer, error) {
	var a answer
	if err := json.Unmarshal(raw, &a); err != nil {
		return nil, err
	}
	if _, ok := core.CodeByName(a.Name); !ok || a.Code.String() != a.Name {
		return nil, fmt.Errorf("code %d has the name %q", a.Code, a.Name)
	}
	return &a, nil
}

// checkAnswer compares an answer with the query and with the data of the upstreams.
func checkAnswer(q *arrival, service *core.Service, a *answer) verdict {
	if a.refused() {
		v := verdict{requested: len(expectedShards(q, service, 0))}
		if a.Code == core.CodeOK || a.Code == core.CodePartial {
			v.wrong = "success code without any shard"
		}
		return v
	}
	expected := expectedShards(q, service, a.Snapshot)
	v := verdict{requested: len(expected), covered: len(a.Covered), named: len(a.Missing)}
	v.wrong = firstFault(
		func() string { return checkIdentity(q, a) },
		func() string { return checkCoverage(expected, a) },
		func() string { return checkCode(a) },
	)
	for i := range a.Covered {
		data := &a.Covered[i].Data
		if data.Version != uint64(a.Snapshot) {
			v.mixed = true
		}
		if data.Shard != string(a.Covered[i].Shard) || data.Count != upstream.CountOf(data.Shard, data.Version) {
			v.wrong = fmt.Sprintf("shard %s holds data of shard %s with count %d", a.Covered[i].Shard, data.Shard, data.Count)
		}
	}
	return v
}

func firstFault(checks ...func() string) string {
	for _, check := range checks {
		if fault := check(); fault != "" {
			return fault
		}
	}
	return ""
}

// expectedShards returns the shards of a query at an index version; version 0 selects the first layout.
func expectedShards(q *arrival, service *core.Service, version core.IndexVersion) map[core.ShardName]bool {
	if q.kind != fanOut {
		expected := make(map[core.ShardName]bool, len(q.shards))
		for _, name := range q.shards {
			expected[name] = true
		}
		return expected
	}
	layout := service.LayoutAt(version)
	if layout == nil {
		layout = &service.Layouts[0]
	}
	expected := make(map[core.ShardName]bool, len(layout.Shards))
	for _, shard := range layout.Shards {
		expected[shard.Name] = true
	}
	return expected
}

func checkIdentity(q *arrival, a *answer) string {
	if a.RequestID != q.id {
		return fmt.Sprintf("request %s received the answer to %s", q.id, a.RequestID)
	}
	return ""
}

// checkCoverage checks that covered and missing shards together are exactly the requested shards.
func checkCoverage(expected map[core.ShardName]bool, a *answer) string {
	seen := make(map[core.ShardName]bool, len(expected))
	for i := range a.Covered {
		if name := a.Covered[i].Shard; seen[name] || !expected[name] {
			return fmt.Sprintf("shard %s is covered twice or was not requested", name)
		}
		seen[a.Covered[i].Shard] = true
	}
	for _, m := range a.Missing {
		if seen[m.Shard] || !expected[m.Shard] {
			return fmt.Sprintf("missing shard %s is listed twice or was not requested", m.Shard)
		}
		if code, ok := core.CodeByName(m.Reason); !ok || code != m.Code || code == core.CodeOK {
			return fmt.Sprintf("missing shard %s has no reason", m.Shard)
		}
		seen[m.Shard] = true
	}
	if len(seen) != len(expected) {
		return fmt.Sprintf("%d of %d shards are neither covered nor missing", len(expected)-len(seen), len(expected))
	}
	return ""
}

// checkCode checks that the code of an answer agrees with its coverage.
func checkCode(a *answer) string {
	complete := len(a.Missing) == 0
	if complete != (a.Code == core.CodeOK) {
		return fmt.Sprintf("code %s with %d missing shards", a.Name, len(a.Missing))
	}
	return ""
}

// checkWrites compares the answers to non-idempotent requests with the number of times that the upstreams ran them. Only
// the last answer to a request counts; a request without an answer may have run once. falseNotRun counts requests that ran
// although the answer claims the opposite, wrong those that did not run although it reports success, and doubled those
// that ran more than once.
func checkWrites(answers map[string][]*answer, runs map[string]int) (falseNotRun, wrong, doubled int) {
	for id, received := range answers {
		ran := runs[id]
		if ran > 1 {
			doubled++
		}
		if len(received) == 0 {
			continue
		}
		// The last answer is the one that the caller acts on.
		last := received[len(received)-1]
		switch {
		case ran > 0 && last.claimsNotRun():
			falseNotRun++
		case ran == 0 && last.Code == core.CodeOK:
			wrong++
		}
	}
	return falseNotRun, wrong, doubled
}
