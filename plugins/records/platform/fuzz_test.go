package platform

import (
	"testing"

	"gooseberrylane.example/core"
)

// FuzzRecord guards against a stored record that crashes the process, or that changes when it is written again.
func FuzzRecord(f *testing.F) {
	for _, seed := range []string{
		`{"state":1,"holder":"a","incarnation":2,"nonce":3,"deadline_us":4,"outcome":1,"answer":"oA=="}`, `null`,
		`{"deadline_us":9223372036854775807}`, `{"deadline_us":-9223372036854775808}`, `{"answer":"////"}`,
	} {
		f.Add([]byte(seed))
	}
	f.Add(encodeAnswer(core.Answer{RequestID: "r", Covered: []core.ShardResult{{Shard: "a", Data: []byte("1")}}}, 1<<16))
	f.Fuzz(func(t *testing.T, value []byte) {
		_ = decodeAnswer(value)
		record, err := decodeRecord(value)
		if err != nil {
			return
		}
		_ = decodeAnswer(record.Answer)
		again, err := encodeRecord(record)
		if err != nil {
			t.Fatal(err)
		}
		second, err := decodeRecord(again)
		if err != nil || second.Nonce != record.Nonce || !second.Deadline.Equal(record.Deadline) || second.Outcome != record.Outcome {
			t.Fatalf("%+v became %+v, error %v", record, second, err)
		}
	})
}
