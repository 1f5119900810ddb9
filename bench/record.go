package main

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"gooseberrylane.example/core"
	"gooseberrylane.example/standins/upstream"
)

// Range and precision of the latency histograms, in microseconds.
const (
	minLatencyUS    = 1
	maxLatencyUS    = int64(60 * time.Second / time.Microsecond)
	latencyDigits   = 3
	maxWrongSamples = 5
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minLatencyUS, maxLatencyUS, latencyDigits)
}

func record(h *hdrhistogram.Histogram, took time.Duration) {
	// The value is clamped to the range, so the call cannot fail.
	_ = h.RecordValue(min(max(took.Microseconds(), minLatencyUS), maxLatencyUS))
}

// serviceRecord holds the counts of one service on one side.
type serviceRecord struct {
	offered, inDeadline uint64
	// inSlice counts those of inDeadline that also ended within the measured time. Later answers, from the remaining
	// queues, would raise the goodput above the capacity.
	inSlice uint64
}

// observeComplete counts a complete answer within the deadline.
func (s *serviceRecord) observeComplete(o *outcome, slice time.Duration) {
	s.inDeadline++
	if o.query.at+o.took <= slice {
		s.inSlice++
	}
}

// sideRecord collects the results of one side over all its slices.
type sideRecord struct {
	mu       sync.Mutex
	services map[core.ServiceName]*serviceRecord

	all, fanOut, lookUp, settled, reached *hdrhistogram.Histogram
	measured                              time.Duration

	queries, answered, refused, noAnswer, notSent, connectionLost, resent uint64
	complete, inDeadline                                                  uint64
	wrong, mixed                                                          uint64
	// These count shards: requested those of all idempotent queries, unserved those of refused or unanswered ones, named
	// those listed as missing, and sentShards those of all queries and non-idempotent requests with an answer that
	// is not a refusal.
	requested, sentShards, covered, named, unserved uint64
	reachable, reachableCovered                     uint64
	// wrongSamples describes the first wrong answers.
	wrongSamples []string
	// reasons counts the codes of missing shards and of refusals.
	reasons map[string]uint64

	writes                                                   map[string][]*answer
	writesSent                                               uint64
	writesRan, writesNotRun, writesUnknown                   uint64
	doubled, falseNotRun                                     int
	received, overConnections, overSlots                     uint64
	receivedAfterDrainGrace, misrouted, shed, versionMissing uint64
	daemonCPU                                                time.Duration
}

func newSideRecord() *sideRecord {
	return &sideRecord{
		services: make(map[core.ServiceName]*serviceRecord), reasons: make(map[string]uint64), writes: make(map[string][]*answer),
		all: newHistogram(), fanOut: newHistogram(), lookUp: newHistogram(), settled: newHistogram(), reached: newHistogram(),
	}
}

// observe adds the outcome of one query of a slice. settled is false for queries that a fault may still affect.
func (r *sideRecord) observe(o *outcome, service *core.Service, settled bool, slice time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.services[service.Name]
	if s == nil {
		s = &serviceRecord{}
		r.services[service.Name] = s
	}
	s.offered++
	r.resent += uint64(o.sends - 1)
	if o.connectionLost {
		r.connectionLost++
	}
	if o.decodeError != "" {
		r.wrong++
		r.addWrongSample(o.query.id + ": " + o.decodeError)
	}
	if o.query.kind == write {
		r.observeWrite(o, service)
		if o.answer != nil && o.answer.Code == core.CodeOK && o.took <= queryDeadline {
			s.observeComplete(o, slice)
		}
		return
	}
	r.queries++
	if r.observeAnswer(o, service) {
		r.inDeadline++
		s.observeComplete(o, slice)
	}
	reached := o.answer != nil && r.observeReach(o, service)
	if o.answer != nil && o.answer.refused() {
		return
	}
	record(r.all, o.took)
	if o.query.kind == fanOut {
		record(r.fanOut, o.took)
	} else {
		record(r.lookUp, o.took)
	}
	if settled {
		record(r.settled, o.took)
	}
	if settled && reached {
		record(r.reached, o.took)
	}
}

// observeAnswer checks the answer to an idempotent query and reports whether it was complete within its deadline.
func (r *sideRecord) observeAnswer(o *outcome, service *core.Service) bool {
	if o.answer == nil {
		r.noAnswer++
		r.requested += uint64(len(expectedShards(o.query, service, 0)))
		r.unserved += uint64(len(expectedShards(o.query, service, 0)))
		return false
	}
	r.answered++
	v := checkAnswer(o.query, service, o.answer)
	r.observeVerdict(o, &v)
	r.requested += uint64(v.requested)
	r.covered += uint64(v.covered)
	r.named += uint64(v.named)
	if o.answer.refused() {
		r.refused++
		r.unserved += uint64(v.requested)
		return false
	}
	r.sentShards += uint64(v.requested)
	if v.covered < v.requested {
		return false
	}
	r.complete++
	return o.took <= queryDeadline
}

func (r *sideRecord) observeVerdict(o *outcome, v *verdict) {
	if o.answer.refused() {
		r.reasons["refused:"+o.answer.Name]++
	}
	for _, m := range o.answer.Missing {
		r.reasons["missing:"+m.Reason]++
	}
	if v.mixed {
		r.mixed++
	}
	if v.wrong != "" {
		r.wrong++
		r.addWrongSample(o.query.id + ": " + v.wrong)
	}
}

func (r *sideRecord) addWrongSample(text string) {
	if len(r.wrongSamples) < maxWrongSamples {
		r.wrongSamples = append(r.wrongSamples, text)
	}
}

// observeReach counts the shards that the entry VM could reach at the start and the end of the query, and reports whether
// these were all shards.
func (r *sideRecord) observeReach(o *outcome, service *core.Service) (all bool) {
	all = true
	covered := make(map[core.ShardName]bool, len(o.answer.Covered))
	for i := range o.answer.Covered {
		covered[o.answer.Covered[i].Shard] = true
	}
	layout := service.LayoutAt(o.answer.Snapshot)
	if layout == nil {
		layout = &service.Layouts[0]
	}
	expected := expectedShards(o.query, service, o.answer.Snapshot)
	for _, shard := range layout.Shards {
		if !expected[shard.Name] {
			continue
		}
		if !reachable(o, service.Group(shard.Group)) {
			all = false
			continue
		}
		r.reachable++
		if covered[shard.Name] {
			r.reachableCovered++
		}
	}
	return all
}

func reachable(o *outcome, group *core.Group) bool {
	for u := range group.Upstreams {
		domain := domainIndex(string(group.Upstreams[u].Domain))
		if o.reach[0][domain] && o.reach[1][domain] {
			return true
		}
	}
	return false
}

// observeWrite keeps the answer to a non-idempotent request for the comparison with what the upstreams ran.
func (r *sideRecord) observeWrite(o *outcome, service *core.Service) {
	r.writesSent++
	r.writes[o.query.id] = nil
	if o.answer == nil {
		r.writesUnknown++
		return
	}
	v := checkAnswer(o.query, service, o.answer)
	r.observeVerdict(o, &v)
	if !o.answer.refused() {
		r.sentShards += uint64(v.requested)
	}
	switch {
	case o.answer.Code == core.CodeOK:
		r.writesRan++
	case o.answer.claimsNotRun():
		r.writesNotRun++
	default:
		r.writesUnknown++
	}
	r.writes[o.query.id] = append(r.writes[o.query.id], o.answer)
}

// addCounts adds the difference between two readings of the upstreams' counters.
func (r *sideRecord) addCounts(before, after map[string]upstream.Counts) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, now := range after {
		old := before[id]
		r.received += now.Received - old.Received
		r.overConnections += now.OverConnections - old.OverConnections
		r.overSlots += now.OverSlots - old.OverSlots
		r.receivedAfterDrainGrace += now.ReceivedAfterDrainGrace - old.ReceivedAfterDrainGrace
		r.misrouted += now.Misrouted - old.Misrouted
		r.shed += now.Shed - old.Shed
		r.versionMissing += now.VersionMissing - old.VersionMissing
	}
}

// addWrites checks the non-idempotent requests of a slice.
func (r *sideRecord) addWrites(runs map[string]int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	falseNotRun, wrong, doubled := checkWrites(r.writes, runs)
	r.falseNotRun += falseNotRun
	r.wrong += uint64(wrong)
	r.doubled += doubled
	clear(r.writes)
}
