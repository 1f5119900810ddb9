package owner

import (
	"testing"

	"github.com/fxamacker/cbor/v2"

	"gooseberrylane.example/core"
)

// FuzzMessages guards against messages of a peer that crash the process when they are decoded to attempts or results,
// or that report a negative duration.
func FuzzMessages(f *testing.F) {
	for _, m := range []any{
		attemptsMessage{Service: "s", Request: "r", NotAfterUS: 1, Attempts: []wireAttempt{{Sequence: 1, Shard: "a", Upstream: "u"}}},
		resultsMessage{Incarnation: 1, Results: []wireResult{{Sequence: 1, TookUS: -1 << 63}}},
		cancelMessage{Sequences: []uint64{1}},
	} {
		raw, err := cbor.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		var message attemptsMessage
		if cbor.Unmarshal(raw, &message) == nil {
			for i := range message.Attempts {
				_ = message.attempt(i)
			}
		}
		var results resultsMessage
		if cbor.Unmarshal(raw, &results) == nil {
			for i := range results.Results {
				if got := results.Results[i].result(core.AttemptID{}); got.Took < 0 {
					t.Fatalf("took %v", got.Took)
				}
			}
		}
		_ = cbor.Unmarshal(raw, new(cancelMessage))
	})
}
