package idempotency

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"gooseberrylane.example/core"
	_ "gooseberrylane.example/test/seed"
)

// store simulates a versioned record in the store.
type store struct {
	record   *Record
	version  int
	previous *Record
}

func (s *store) write(r Record, ifVersion int) bool {
	if s.version != ifVersion {
		return false
	}
	s.previous, s.record = s.record, &r
	s.version++
	return true
}

// claimant simulates one VM that tries to run the request, one step at a time.
type claimant struct {
	claim   Claim
	version int
	// sent is set from the permission to send the request.
	sent bool
	done bool
}

// step reads the record and carries out the decision. stale makes it read the previous record; lost drops the response
// to a write.
func (cl *claimant) step(s *store, now time.Time, stale, lost bool) {
	record, version := s.record, s.version
	if stale && s.previous != nil {
		record, version = s.previous, s.version-1
	}
	deadline := now.Add(time.Second)
	switch Decide(record, cl.claim, now, 0) {
	case Create:
		if s.write(Begin(nil, cl.claim, deadline), version) && !lost {
			cl.sent, cl.version = true, s.version
		}
	case Reclaim:
		if s.write(Begin(record, cl.claim, deadline), version) && !lost {
			cl.sent, cl.version = true, s.version
		}
	case Send:
		cl.sent, cl.version = true, version
	case Replay, Lost, Mismatch:
		cl.done = true
	}
}

// TestOneSenderAtATime guards against two VMs that may both send the same request, under lost responses of the store,
// stale reads, expired deadlines and requests that did not run.
func TestOneSenderAtATime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &store{}
		now := time.Unix(1_000_000, 0)
		claimants := make([]*claimant, rapid.IntRange(2, 4).Draw(t, "claimants"))
		for i := range claimants {
			claimants[i] = &claimant{claim: Claim{VM: "vm", Incarnation: core.Incarnation(i + 1), Nonce: 1}}
		}
		mayHaveRun := 0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			cl := claimants[rapid.IntRange(0, len(claimants)-1).Draw(t, "claimant")]
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			switch {
			case cl.done:
			case !cl.sent:
				cl.step(s, now, rapid.Bool().Draw(t, "stale"), rapid.Bool().Draw(t, "lost"))
				if cl.sent {
					mayHaveRun++
				}
			default:
				outcome := rapid.SampledFrom([]core.Outcome{core.OutcomeRan, core.OutcomeNotRun, core.OutcomeUnknown}).Draw(t, "outcome")
				if outcome == core.OutcomeNotRun {
					mayHaveRun--
				}
				s.write(Finish(*s.record, outcome, nil), cl.version)
				cl.done = true
			}
			if mayHaveRun > 1 {
				t.Fatalf("%d senders may have run the request", mayHaveRun)
			}
		}
	})
}

// TestReusedIDIsNotReplayed guards against returning the answer to one request for another request with the same ID.
func TestReusedIDIsNotReplayed(t *testing.T) {
	record := Finish(Begin(nil, Claim{VM: "a", Fingerprint: 1}, time.Unix(0, 0)), core.OutcomeRan, []byte("x"))
	if got := Decide(&record, Claim{VM: "b", Fingerprint: 2}, time.Unix(1, 0), 0); got != Mismatch {
		t.Fatalf("decision %d", got)
	}
}
