package limit_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gooseberrylane.example/coord/limit"
)

// simulation sends queries to a number of upstreams in virtual time. Each query has one sub-request for every upstream and
// is complete if all of them finish before its deadline.
type simulation struct {
	order     limit.Order
	upstreams int
	slots     int
	mean      time.Duration
	overload  float64
	deadline  func(*rand.Rand) time.Duration
	queries   int
	seed      uint64
}

type arrival struct {
	at, deadline time.Time
	end          time.Time
	unfinished   int
}

func (s *simulation) run() (complete, subRequests float64, median time.Duration) {
	random := rand.New(rand.NewPCG(s.seed, 1))
	gap := float64(s.mean) / float64(s.slots) / s.overload
	at := epoch
	queries := make([]*arrival, s.queries)
	for i := range queries {
		at = at.Add(time.Duration(random.ExpFloat64() * gap))
		queries[i] = &arrival{at: at, deadline: at.Add(s.deadline(random)), unfinished: s.upstreams}
	}
	good := 0
	for range s.upstreams {
		good += s.serve(random, queries)
	}
	var latencies []time.Duration
	for _, q := range queries {
		if q.unfinished == 0 {
			latencies = append(latencies, q.end.Sub(q.at))
		}
	}
	slices.Sort(latencies)
	capacity := float64(s.queries) / s.overload
	if len(latencies) > 0 {
		median = latencies[len(latencies)/2]
	}
	return float64(len(latencies)) / capacity, float64(good) / capacity / float64(s.upstreams), median
}

// serve runs all queries at one upstream and returns the number of sub-requests that finished in time.
func (s *simulation) serve(random *rand.Rand, queries []*arrival) int {
	queue := limit.NewQueue[*arrival](16*s.slots, s.order)
	var estimate limit.Estimate
	busy := make([]time.Time, s.slots)
	good := 0
	advance := func(until time.Time) {
		for queue.Len() > 0 {
			slot := earliest(busy)
			if busy[slot].After(until) {
				return
			}
			now := busy[slot]
			q := queue.Pop().Value
			if now.Add(estimate.Mean()).After(q.deadline) {
				continue
			}
			took := time.Duration(float64(s.mean) * (0.75 + 0.25*random.ExpFloat64()))
			estimate.Observe(took)
			busy[slot] = now.Add(took)
			if !busy[slot].After(q.deadline) {
				good++
				q.unfinished--
				q.end = later(q.end, busy[slot])
			}
		}
	}
	for _, q := range queries {
		advance(q.at)
		for i := range busy {
			busy[i] = later(busy[i], q.at)
		}
		free := busy[earliest(busy)].Equal(q.at)
		if free || estimate.CanFinish(q.at, q.deadline, queue.Len(), s.slots) || s.order == limit.NewestFirst {
			queue.Push(&limit.Item[*arrival]{Flow: "f", Deadline: q.deadline, Value: q})
		}
	}
	advance(epoch.Add(time.Hour))
	return good
}

func earliest(busy []time.Time) int {
	best := 0
	for i := range busy {
		if busy[i].Before(busy[best]) {
			best = i
		}
	}
	return best
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// BenchmarkOrder compares the orders of the queue under overload in virtual time. Shares are relative to the capacity of the
// upstreams; the seed is fixed.
func BenchmarkOrder(b *testing.B) {
	fixed := func(*rand.Rand) time.Duration { return 200 * time.Millisecond }
	mixed := func(r *rand.Rand) time.Duration { return time.Duration(50+r.IntN(450)) * time.Millisecond }
	for name, deadline := range map[string]func(*rand.Rand) time.Duration{"fixed": fixed, "mixed": mixed} {
		for order, label := range []string{"earliest", "last_in"} {
			b.Run(fmt.Sprint(name, "/", label), func(b *testing.B) {
				for range b.N {
					s := simulation{
						order: limit.Order(order), upstreams: 30, slots: 2, mean: 4 * time.Millisecond, overload: 2,
						deadline: deadline, queries: 20_000, seed: 7,
					}
					complete, subRequests, median := s.run()
					b.ReportMetric(complete, "complete_share")
					b.ReportMetric(subRequests, "leg_share")
					b.ReportMetric(float64(median.Microseconds())/1000, "median_ms")
				}
			})
		}
	}
}
