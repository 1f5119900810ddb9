package config

import (
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"

	"gooseberrylane.example/core"
)

// digester computes digests of sets, which can be compared between VMs of one release only. It caches the digest of each
// service, so that a change costs only the services that it touches.
type digester struct {
	cache map[*core.Service]uint64
}

func (d *digester) digest(set *core.ConfigSet) uint64 {
	next := make(map[*core.Service]uint64, len(set.Services))
	var sum uint64
	for _, service := range set.Services {
		value, ok := d.cache[service]
		if !ok {
			value = serviceDigest(service)
		}
		next[service] = value
		// Addition is commutative, so the iteration order of the map has no effect.
		sum += value
	}
	d.cache = next
	return sum
}

func serviceDigest(service *core.Service) uint64 {
	var w digestWriter
	w.Reset()
	w.text(string(service.Name))
	w.rule(&service.Rule)
	w.number(len(service.Groups))
	for g := range service.Groups {
		group := &service.Groups[g]
		w.text(string(group.Name))
		w.number(len(group.Upstreams))
		for u := range group.Upstreams {
			w.upstream(&group.Upstreams[u])
		}
	}
	w.number(len(service.Layouts))
	for l := range service.Layouts {
		layout := &service.Layouts[l]
		w.number(int(layout.FirstVersion))
		w.number(len(layout.Shards))
		for s := range layout.Shards {
			w.text(string(layout.Shards[s].Name))
			w.text(string(layout.Shards[s].Group))
		}
	}
	return w.Sum64()
}

// digestWriter encodes values unambiguously: different values never give the same bytes. Nil and empty lists are equal.
type digestWriter struct{ xxhash.Digest }

func (w *digestWriter) number(n int) {
	var raw [8]byte
	binary.LittleEndian.PutUint64(raw[:], uint64(n))
	// Writes to a digest cannot fail.
	_, _ = w.Write(raw[:])
}

func (w *digestWriter) fraction(f float64) { w.number(int(math.Float64bits(f))) }

func (w *digestWriter) text(s string) {
	w.number(len(s))
	_, _ = w.WriteString(s)
}

func (w *digestWriter) rule(r *core.Rule) {
	for _, n := range []int{int(r.Class), int(r.DefaultDeadlineMS), int(r.MaxDeadlineMS), r.MaxShards, max(r.PlacementBlock, 1), len(r.Domains)} {
		w.number(n)
	}
	for _, f := range []float64{r.HedgePercent, r.RetryPercent, r.RatePerCaller} {
		w.fraction(f)
	}
	w.text(string(r.VersionRule))
	for _, domain := range r.Domains {
		w.text(string(domain))
	}
}

func (w *digestWriter) upstream(u *core.Upstream) {
	w.text(string(u.ID))
	w.text(u.Address)
	w.text(string(u.Domain))
	draining := 0
	if u.Draining {
		draining = 1
	}
	for _, n := range []int{u.Slots, u.Connections, int(u.OpenCostMS), draining} {
		w.number(n)
	}
}
