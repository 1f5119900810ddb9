package log

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"math"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"gooseberrylane.example/coord/config"
	"gooseberrylane.example/core"
)

func zipped(text string) []byte {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	_, _ = w.Write([]byte(text))
	_ = w.Close()
	return b.Bytes()
}

// FuzzChange guards against a change or a plan that crashes the process when it is read and applied.
func FuzzChange(f *testing.F) {
	for _, seed := range []string{
		`{"revision":1,"plan":"p","intent":{"operations":[{"put_service":{"name":"s","groups":[{"name":"g","upstreams":[{"id":"u"}]}]}},{"set_draining":{"upstream":"u","draining":true}}]}}`,
		`{"revision":1,"intent":{"operations":[null,{},{"put_group":{}},{"add_layout":{"service":"s"}},{"delete_service":"s"}]}}`,
		`{"revision":18446744073709551615}`, `{"id":"p","base":1,"created":"2026-01-01T00:00:00Z"}`, `null`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		var plan config.Plan
		_ = json.Unmarshal(raw, &plan)
		_ = config.Check(&core.ConfigSet{}, plan.Intent)
		change, err := decodeChange(raw)
		if err != nil {
			return
		}
		set, err := config.Apply(&core.ConfigSet{}, change)
		if err == nil && set.Revision != 1 {
			t.Fatalf("revision %d", set.Revision)
		}
	})
}

// FuzzSet guards against a checkpoint from the platform or a peer that crashes the process when it is put in force.
func FuzzSet(f *testing.F) {
	for _, seed := range []string{
		`{"revision":3,"services":{"s":{"name":"s","groups":[{"name":"g","upstreams":[{"id":"u"}]}]}}}`, `{"services":{"s":null}}`, `null`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		_, _ = decodeSet(raw)
		var c checkpoint
		_ = json.Unmarshal(raw, &c)
		if set, err := decodeSet(zipped(string(raw))); err == nil {
			set.Index()
		}
	})
}

// FuzzMessages guards against a peer message that crashes the process or reports a platform contact in the future.
func FuzzMessages(f *testing.F) {
	for _, m := range []any{
		revisionMessage{ContactAgeMS: 1}, revisionMessage{ContactAgeMS: math.MaxInt64 / 3}, changesMessage{Changes: [][]byte{{'{'}}}, setMessage{Data: zipped("{}")},
	} {
		raw, err := cbor.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
	}
	now := time.Unix(1_000_000_000, 0)
	f.Fuzz(func(t *testing.T, raw []byte) {
		var revision revisionMessage
		if cbor.Unmarshal(raw, &revision) == nil {
			if at, ok := revision.contact(now); ok && at.After(now) {
				t.Fatalf("contact at %v, now is %v", at, now)
			}
		}
		var changes changesMessage
		if cbor.Unmarshal(raw, &changes) == nil {
			for _, change := range changes.Changes {
				_, _ = decodeChange(change)
			}
		}
		var set setMessage
		if cbor.Unmarshal(raw, &set) == nil {
			_, _ = decodeSet(set.Data)
		}
	})
}
