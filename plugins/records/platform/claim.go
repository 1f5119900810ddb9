package platform

import (
	"context"
	"time"

	"gooseberrylane.example/coord/idempotency"
	"gooseberrylane.example/core"
	"gooseberrylane.example/kernel/kinds"
)

// claim is the right to send one request once. It holds the record that this VM wrote and its version.
type claim struct {
	records *records
	key     string
	record  idempotency.Record
	version uint64
}

func (c *claim) create(ctx context.Context) error {
	value, err := encodeRecord(&c.record)
	if err != nil {
		return err
	}
	c.version, err = c.records.Platform.Create(ctx, c.key, value)
	return err
}

// resolve reads the record after a create or update whose effect is uncertain, and acts on its state. decided means that
// existing or err is the result of the request. Otherwise the claim succeeded if err is nil; if not, resolve must be
// called again.
func (c *claim) resolve(ctx context.Context, id idempotency.Claim, deadline time.Time) (existing kinds.Record, decided bool, err error) {
	object, stored, err := c.read(ctx)
	if err != nil {
		// This claim may have written the record, which only a read can show.
		return kinds.Record{}, false, core.Errorf(core.CodeNotKnownYet, "the record could not be read: %v", err)
	}
	r := c.records
	switch idempotency.Decide(stored, id, r.Clock.Now(), r.grace()) {
	case idempotency.Create:
		return kinds.Record{}, false, c.create(ctx)
	case idempotency.Reclaim:
		c.record = idempotency.Begin(stored, id, deadline)
		return kinds.Record{}, false, c.update(ctx, object.Version)
	case idempotency.Send:
		c.version = object.Version
		return kinds.Record{}, false, nil
	case idempotency.Replay:
		return kinds.Record{Finished: true, Outcome: core.OutcomeRan, Answer: decodeAnswer(stored.Answer)}, true, nil
	case idempotency.Running:
		return kinds.Record{}, true, nil
	case idempotency.Mismatch:
		return kinds.Record{}, true, core.Errorf(core.CodeRequestIDReused, "request %s", c.key)
	default:
		return kinds.Record{Finished: true, Outcome: core.OutcomeUnknown}, true, nil
	}
}

func (c *claim) read(ctx context.Context) (kinds.Object, *idempotency.Record, error) {
	object, err := c.records.Platform.Get(ctx, c.key)
	if core.CodeOf(err) == core.CodeNotFound {
		return kinds.Object{}, nil, nil
	}
	if err != nil {
		return kinds.Object{}, nil, err
	}
	record, err := decodeRecord(object.Value)
	return object, record, err
}

func (c *claim) update(ctx context.Context, ifVersion uint64) error {
	value, err := encodeRecord(&c.record)
	if err != nil {
		return err
	}
	version, err := c.records.Platform.Update(ctx, c.key, value, ifVersion)
	if err == nil {
		c.version = version
	}
	return err
}

// Finish implements kinds.Claim.
func (c *claim) Finish(ctx context.Context, outcome core.Outcome, answer core.Answer) error {
	var stored []byte
	if outcome == core.OutcomeRan {
		stored = encodeAnswer(answer, c.records.settings.MaxAnswerBytes)
	}
	c.record = idempotency.Finish(c.record, outcome, stored)
	return c.update(ctx, c.version)
}

// abandon marks a record that this claim may have written as not run, so that a resend does not get an unknown outcome.
// The request was not sent.
func (c *claim) abandon(id idempotency.Claim) {
	ctx, cancel := context.WithTimeout(context.Background(), abandonTimeout)
	defer cancel()
	object, stored, err := c.read(ctx)
	if err != nil || stored == nil || idempotency.Decide(stored, id, c.records.Clock.Now(), c.records.grace()) != idempotency.Send {
		return
	}
	c.record = idempotency.Finish(*stored, core.OutcomeNotRun, nil)
	// Without this write a resend is answered with outcome_unknown, which is safe.
	_ = c.update(ctx, object.Version)
}
