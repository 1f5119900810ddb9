package http

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gooseberrylane.example/core"
	"gooseberrylane.example/standins/upstream"
)

// BenchmarkIdleConnectionsOfALeavingUpstream reports the shares of the outcomes of requests that are sent while an
// upstream stops, with and without closing the idle connections first. Each iteration stops one upstream.
func BenchmarkIdleConnectionsOfALeavingUpstream(b *testing.B) {
	for name, closeFirst := range map[string]bool{"kept": false, "closed_first": true} {
		b.Run(name, func(b *testing.B) {
			var unknown, notRun, ran int64
			for round := range b.N {
				u, n, r := leavingRound(b, uint64(round), closeFirst)
				unknown, notRun, ran = unknown+u, notRun+n, ran+r
			}
			total := float64(unknown + notRun + ran)
			b.ReportMetric(float64(unknown)/total, "unknown_share")
			b.ReportMetric(float64(notRun)/total, "not_run_share")
			b.ReportMetric(float64(ran)/total, "ran_share")
		})
	}
}

const requestsPerRound = 8

func leavingRound(b *testing.B, round uint64, closeFirst bool) (unknown, notRun, ran int64) {
	server := upstream.New(upstream.Config{ID: "u", Listen: "127.0.0.1:0", Slots: 64, ServiceUS: 100, Seed: round + 1})
	if err := server.Start(); err != nil {
		b.Fatal(err)
	}
	settings := &Settings{DialTimeoutMS: 250, MaxAnswerBytes: 1 << 20, CancelGraceMS: 50, KeepaliveMS: 1000, ProbeTimeoutMS: 250}
	p := newPool(core.Upstream{ID: "u", Address: server.Address()}, 2*requestsPerRound, settings, nil)
	p.Warm(context.Background(), requestsPerRound)
	if closeFirst {
		p.CloseIdle()
	}
	counts := make([]atomic.Int64, core.OutcomeNotRun+1)
	var work sync.WaitGroup
	work.Go(func() { _ = server.Kill() })
	for i := range requestsPerRound {
		work.Go(func() {
			result := p.Execute(context.Background(), testAttempt(round*requestsPerRound+uint64(i)+1, time.Second))
			counts[result.Outcome].Add(1)
		})
	}
	work.Wait()
	p.Close()
	return counts[core.OutcomeUnknown].Load(), counts[core.OutcomeNotRun].Load(), counts[core.OutcomeRan].Load()
}
