package config

import (
	"encoding/json"
	"fmt"

	"pgregory.net/rapid"

	"gooseberrylane.example/core"
	_ "gooseberrylane.example/test/seed"
)

// validRule returns a rule that passes every check.
func validRule() core.Rule {
	return core.Rule{DefaultDeadlineMS: 100, MaxDeadlineMS: 1000, VersionRule: core.VersionNewest}
}

// upstreamN returns the definition of upstream n, in failure domain n mod 3.
func upstreamN(n int) core.Upstream {
	return core.Upstream{
		ID: core.UpstreamID(fmt.Sprintf("u%d", n)), Address: fmt.Sprintf("127.0.0.1:%d", 1000+n),
		Domain: core.FailureDomain(fmt.Sprintf("fd-%d", n%3)), Slots: 2, Connections: 60,
	}
}

// serviceOf returns a service with one group and one shard per list of upstreams.
func serviceOf(name core.ServiceName, groups ...[]int) *core.Service {
	s := &core.Service{Name: name, Rule: validRule()}
	layout := core.Layout{FirstVersion: 1}
	for g, upstreams := range groups {
		group := core.Group{Name: core.GroupName(fmt.Sprintf("g%d", g))}
		for _, u := range upstreams {
			group.Upstreams = append(group.Upstreams, upstreamN(u))
		}
		s.Groups = append(s.Groups, group)
		layout.Shards = append(layout.Shards, core.Shard{Name: core.ShardName(fmt.Sprintf("shard-%d", g)), Group: group.Name})
	}
	s.Layouts = []core.Layout{layout}
	return s
}

func drawService(t *rapid.T) *core.Service {
	var groups [][]int
	for range rapid.IntRange(1, 3).Draw(t, "groups") {
		groups = append(groups, rapid.SliceOfNDistinct(rapid.IntRange(0, 5), 0, 3, rapid.ID[int]).Draw(t, "upstreams"))
	}
	s := serviceOf(drawServiceName(t), groups...)
	for g := range s.Groups {
		for u := range s.Groups[g].Upstreams {
			// Occasionally conflicts with the definition of the upstream in other groups.
			s.Groups[g].Upstreams[u].Slots += rapid.SampledFrom([]int{0, 0, 0, 0, 1}).Draw(t, "slots")
		}
	}
	return s
}

func drawServiceName(t *rapid.T) core.ServiceName {
	return rapid.SampledFrom([]core.ServiceName{"s0", "s1", "s2"}).Draw(t, "service")
}

func drawGroupName(t *rapid.T) core.GroupName {
	return rapid.SampledFrom([]core.GroupName{"g0", "g1", "g2"}).Draw(t, "group")
}

func drawOperation(t *rapid.T) Operation {
	switch rapid.IntRange(0, 6).Draw(t, "step") {
	case 0:
		return Operation{DeleteService: drawServiceName(t)}
	case 1:
		group := drawService(t).Groups[0]
		group.Name = drawGroupName(t)
		return Operation{PutGroup: &PutGroup{Service: drawServiceName(t), Group: group}}
	case 2:
		return Operation{DeleteGroup: &DeleteGroup{Service: drawServiceName(t), Group: drawGroupName(t)}}
	case 3:
		rule := validRule()
		rule.Class = core.Class(rapid.IntRange(0, 4).Draw(t, "class"))
		return Operation{PutRule: &PutRule{Service: drawServiceName(t), Rule: rule}}
	case 4:
		layout := core.Layout{
			FirstVersion: core.IndexVersion(rapid.IntRange(1, 9).Draw(t, "version")),
			Shards:       []core.Shard{{Name: "shard-0", Group: drawGroupName(t)}},
		}
		return Operation{AddLayout: &AddLayout{Service: drawServiceName(t), Layout: layout}}
	case 5:
		upstream := upstreamN(rapid.IntRange(0, 5).Draw(t, "upstream")).ID
		return Operation{SetDraining: &SetDraining{Upstream: upstream, Draining: rapid.Bool().Draw(t, "draining")}}
	default:
		return Operation{PutService: drawService(t)}
	}
}

func drawIntent(t *rapid.T) Intent {
	return Intent{Operator: "op", Operations: rapid.SliceOfN(rapid.Custom(drawOperation), 1, 4).Draw(t, "operations")}
}

// drawHistory returns accepted changes and the set after each of them; sets[0] is empty.
func drawHistory(t *rapid.T, length int) (changes []Change, sets []*core.ConfigSet) {
	sets = []*core.ConfigSet{(&core.ConfigSet{}).Index()}
	for len(changes) < length {
		base := sets[len(sets)-1]
		intent := drawIntent(t)
		if len(Check(base, intent)) > 0 {
			intent = Intent{Operator: "op", Operations: []Operation{{PutService: serviceOf("s3", []int{6})}}}
		}
		revision := base.Revision + 1
		change := Change{Revision: revision, Plan: PlanID(fmt.Sprintf("p%d", revision)), Intent: intent}
		next, err := Apply(base, change)
		if err != nil {
			t.Fatal(err)
		}
		changes, sets = append(changes, change), append(sets, next)
	}
	return changes, sets
}

func encode(t interface{ Fatal(...any) }, value any) string {
	raw, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	return string(raw)
}

// violation returns a violated invariant of a set, or "". It is independent of the checker so that both must agree.
func violation(set *core.ConfigSet) string {
	defined := make(map[core.UpstreamID]core.Upstream)
	for name, service := range set.Services {
		if service.Name != name || len(service.Layouts) == 0 || service.Rule.Class > core.MaxClass {
			return fmt.Sprintf("service %s", name)
		}
		for _, group := range service.Groups {
			for _, upstream := range group.Upstreams {
				if other, ok := defined[upstream.ID]; ok && other != upstream {
					return fmt.Sprintf("upstream %s", upstream.ID)
				}
				defined[upstream.ID] = upstream
			}
		}
		for l, layout := range service.Layouts {
			if l > 0 && layout.FirstVersion <= service.Layouts[l-1].FirstVersion {
				return fmt.Sprintf("layouts of %s", name)
			}
			for _, shard := range layout.Shards {
				if service.Group(shard.Group) == nil {
					return fmt.Sprintf("shard %s of %s", shard.Name, name)
				}
			}
		}
	}
	return ""
}

func paths(problems []core.Problem) (text string) {
	for _, p := range problems {
		text += p.Path + "\n"
	}
	return text
}
