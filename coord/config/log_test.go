package config

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"gooseberrylane.example/core"
)

// TestLogAppliesWithoutGapsAndNeverReverts guards against torn sets and reverts when changes arrive out of order, twice,
// late or with gaps, and when checkpoints are old.
func TestLogAppliesWithoutGapsAndNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const length = 8
		changes, sets := drawHistory(t, length)
		log := NewLog(rapid.IntRange(1, 4).Draw(t, "keep"))
		held := make(map[core.Revision]bool)
		for range rapid.IntRange(1, 30).Draw(t, "deliveries") {
			before := log.Revision()
			if rapid.IntRange(0, 9).Draw(t, "checkpoint") == 0 {
				copied := *sets[rapid.IntRange(0, length).Draw(t, "at")]
				log.Restore(&copied)
				held[copied.Revision] = true
			} else {
				change := rapid.SampledFrom(changes).Draw(t, "change")
				if _, err := log.Add(change); err != nil {
					t.Fatal(err)
				}
				held[change.Revision] = true
			}
			if log.Revision() < before {
				t.Fatalf("revision went from %d to %d", before, log.Revision())
			}
			checkLog(t, log, sets)
		}
		if _, err := log.Add(changes...); err != nil {
			t.Fatal(err)
		}
		if log.Revision() != length || len(log.Missing(10)) > 0 {
			t.Fatalf("revision %d, missing %v after all changes", log.Revision(), log.Missing(10))
		}
		checkLog(t, log, sets)
	})
}

// checkLog compares a log with the sets that result from the changes in order.
func checkLog(t *rapid.T, log *Log, sets []*core.ConfigSet) {
	want := sets[log.Revision()]
	if got := encode(t, log.Set()); got != encode(t, want) {
		t.Fatalf("set at revision %d is torn: %s", log.Revision(), got)
	}
	if !reflect.DeepEqual(maps.Collect(log.Set().Upstreams()), maps.Collect(want.Upstreams())) {
		t.Fatalf("the index at revision %d does not match the set", log.Revision())
	}
	var d digester
	if log.Digest() != d.digest(want) {
		t.Fatal("the digest depends on the order in which changes arrived")
	}
	for _, r := range log.Missing(len(sets)) {
		if _, ok := log.pending[r]; ok || r <= log.Revision() {
			t.Fatalf("revision %d is reported missing", r)
		}
	}
	if len(log.pending) > 0 && (len(log.Missing(1)) == 0 || log.Missing(1)[0] != log.Revision()+1) {
		t.Fatalf("missing %v at revision %d", log.Missing(1), log.Revision())
	}
	since, _ := log.Since(0, len(sets))
	for i := range since {
		if since[i].Revision != core.Revision(i+1) {
			t.Fatalf("change %d since 0 is %d", i, since[i].Revision)
		}
	}
}

// TestLogRejectsAnotherPlanForARevision guards against a rewritten history.
func TestLogRejectsAnotherPlanForARevision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		changes, sets := drawHistory(t, 4)
		log := NewLog(100)
		missing := rapid.IntRange(0, 3).Draw(t, "gap")
		kept := slices.Delete(slices.Clone(changes), missing, missing+1)
		if _, err := log.Add(kept...); err != nil {
			t.Fatal(err)
		}
		for _, change := range kept {
			change.Plan = "forged"
			change.Intent = drawIntent(t)
			_, err := log.Add(change)
			var coded *core.Error
			if !errors.As(err, &coded) || coded.Code != core.CodeConflict {
				t.Fatalf("revision %d: error %v", change.Revision, err)
			}
		}
		if _, err := log.Add(changes[missing]); err != nil {
			t.Fatal(err)
		}
		checkLog(t, log, sets)
	})
}

// TestSharedUpstreamStaysIndexed guards against an upstream that is missing from the index because one of the services
// that list it was removed.
func TestSharedUpstreamStaysIndexed(t *testing.T) {
	log := NewLog(10)
	for i, op := range []Operation{{PutService: serviceOf("a", []int{0})}, {PutService: serviceOf("b", []int{0, 1})}, {DeleteService: "b"}} {
		change := Change{Revision: core.Revision(i + 1), Plan: "p", Intent: Intent{Operations: []Operation{op}}}
		if _, err := log.Add(change); err != nil {
			t.Fatal(err)
		}
	}
	if log.Set().Upstream("u0") == nil || log.Set().Upstream("u1") != nil {
		t.Fatalf("upstreams %v", maps.Collect(log.Set().Upstreams()))
	}
}

func drawMembers(t *rapid.T) []core.VM {
	all := make([]core.VM, rapid.IntRange(1, 30).Draw(t, "vms"))
	for i := range all {
		all[i] = core.VM{
			Name:   core.VMName(fmt.Sprintf("vm-%d", i)),
			Domain: core.FailureDomain(fmt.Sprintf("fd-%d", rapid.IntRange(0, 3).Draw(t, "domain"))),
			State:  core.VMState(rapid.IntRange(0, 3).Draw(t, "state")),
		}
	}
	return all
}

// TestEveryDomainHasItsWatchers guards against a failure domain without watchers, and against one watch per VM.
func TestEveryDomainHasItsWatchers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := drawMembers(t)
		live, watchers := make(map[core.FailureDomain]int), make(map[core.FailureDomain]int)
		for _, vm := range all {
			if vm.State == core.VMLive {
				live[vm.Domain]++
			}
			if IsWatcher(&core.Members{Self: vm, All: all}) {
				watchers[vm.Domain]++
			}
		}
		for domain, n := range live {
			if watchers[domain] != min(n, WatchersPerDomain) {
				t.Fatalf("%s has %d watchers for %d live VMs", domain, watchers[domain], n)
			}
		}
	})
}

// TestPushReachesAnotherDomain guards against a change that stays in one failure domain, and against unbounded fan-out.
func TestPushReachesAnotherDomain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := drawMembers(t)
		self := all[0]
		partners := NewPartners(&core.Members{Self: self, All: all})
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		seen := make(map[core.VMName]bool)
		remote := 0
		for _, vm := range partners.PushTargets(random) {
			if vm.Name == self.Name || vm.State != core.VMLive || seen[vm.Name] {
				t.Fatalf("pushes to %+v", vm)
			}
			seen[vm.Name] = true
			if vm.Domain != self.Domain {
				remote++
			}
		}
		if len(seen) > FanOut || len(seen) < min(FanOut, len(partners.All())) || (len(partners.Remote) > 0 && remote == 0) {
			t.Fatalf("%d pushes, %d of them remote, of partners %+v", len(seen), remote, partners)
		}
	})
}
