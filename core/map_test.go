package core_test

import (
	"fmt"
	"maps"
	"testing"

	"pgregory.net/rapid"

	"gooseberrylane.example/core"
	_ "gooseberrylane.example/test/seed"
)

// TestMapMatchesGoMap guards against lost or duplicate keys, and against an edit that changes a published map.
func TestMapMatchesGoMap(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		want := make(map[string]int)
		var m core.Map[string, int]
		for range rapid.IntRange(1, 40).Draw(rt, "edits") {
			before, published := maps.Clone(want), m
			edit := m.Edit()
			for range rapid.IntRange(1, 60).Draw(rt, "steps") {
				key := fmt.Sprint(rapid.IntRange(0, 300).Draw(rt, "key"))
				if rapid.Bool().Draw(rt, "delete") {
					edit.Delete(key)
					delete(want, key)
				} else {
					want[key] = rapid.Int().Draw(rt, "value")
					edit.Set(key, want[key])
				}
			}
			m = edit.Done()
			if got := maps.Collect(published.All()); !maps.Equal(got, before) {
				rt.Fatalf("a published map changed from %v to %v", before, got)
			}
			if got := maps.Collect(m.All()); !maps.Equal(got, want) || m.Len() != len(want) {
				rt.Fatalf("got %d keys %v, want %v", m.Len(), got, want)
			}
			for key, value := range want {
				if got, ok := m.Get(key); !ok || got != value {
					rt.Fatalf("key %s: got %d, %t, want %d", key, got, ok, value)
				}
			}
		}
	})
}
