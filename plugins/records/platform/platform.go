// Package platform is the plug-in that stores the records of non-idempotent requests as objects on the platform.
package platform

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/fx"

	"gooseberrylane.example/coord/idempotency"
	"gooseberrylane.example/core"
	"gooseberrylane.example/kernel"
	"gooseberrylane.example/kernel/kinds"
)

func init() {
	kernel.Register(kernel.Plugin{
		Kind: kinds.RecordsKind, Name: "platform",
		Settings: func() any {
			return &Settings{
				MaxAnswerBytes: defaultMaxAnswerBytes, ClockGraceMS: defaultClockGraceMS,
				RetentionMS: defaultRetentionMS, SweepIntervalMS: defaultSweepIntervalMS,
			}
		},
		Options: func(s any) fx.Option {
			return fx.Provide(func(lc fx.Lifecycle, p params) kinds.Records { return newRecords(lc, p, s.(*Settings)) })
		},
	})
}

const (
	defaultMaxAnswerBytes  = 64 << 10
	defaultClockGraceMS    = 2000
	defaultRetentionMS     = 24 * 60 * 60 * 1000
	defaultSweepIntervalMS = 10 * 60 * 1000
	// retryDelay is the mean time between retries of a claim while the effect of the last write is uncertain.
	retryDelay = 20 * time.Millisecond
	// abandonTimeout bounds the write that marks the record of an abandoned claim as not run.
	abandonTimeout = 2 * time.Second
)

// Settings of the plug-in.
type Settings struct {
	// MaxAnswerBytes bounds the answer that is stored for resends, in bytes. Default 65536.
	MaxAnswerBytes int `json:"max_answer_bytes" validate:"gte=0,lte=524288"`
	// ClockGraceMS is the allowance for clock skew between VMs, in milliseconds. Default 2000.
	ClockGraceMS int64 `json:"clock_grace_ms" validate:"gte=0,lte=600000"`
	// RetentionMS is how long a record is kept after the deadline of its request, in milliseconds. A later resend runs
	// again. Default 86400000.
	RetentionMS int64 `json:"retention_ms" validate:"gte=60000"`
	// SweepIntervalMS is the time between sweeps that remove expired records, in milliseconds. Default 600000.
	SweepIntervalMS int64 `json:"sweep_interval_ms" validate:"gte=100"`
}

type params struct {
	fx.In
	Platform kinds.Platform
	State    *kernel.State
	Log      *slog.Logger
	Identity kernel.Identity
	Clock    kernel.Clock
	Random   *kernel.Random
}

type records struct {
	params
	settings *Settings
	nonce    atomic.Uint64
}

func newRecords(lc fx.Lifecycle, p params, settings *Settings) *records {
	r := &records{params: p, settings: settings}
	s := &sweeper{records: r}
	lc.Append(fx.Hook{OnStart: s.start, OnStop: s.shutdown})
	return r
}

// Begin implements kinds.Records.
func (r *records) Begin(ctx context.Context, q *core.Query) (kinds.Claim, kinds.Record, error) {
	key := recordPrefix + string(q.Service) + "/" + string(q.RequestID)
	id := idempotency.Claim{
		VM: r.Identity.VM, Incarnation: r.Identity.Incarnation, Nonce: r.nonce.Add(1), Fingerprint: fingerprint(q),
	}
	claim := &claim{records: r, key: key, record: idempotency.Begin(nil, id, q.Deadline)}
	random := r.Random.Generator()
	err := claim.create(ctx)
	for {
		if err == nil {
			return claim, kinds.Record{}, nil
		}
		if !retryable(err) {
			return nil, kinds.Record{}, err
		}
		existing, decided, resolveErr := claim.resolve(ctx, id, q.Deadline)
		if decided {
			return nil, existing, resolveErr
		}
		if err = resolveErr; err == nil {
			return claim, kinds.Record{}, nil
		}
		if !pause(ctx, random) {
			go claim.abandon(id)
			return nil, kinds.Record{}, core.Errorf(core.CodePlatformUnavailable, "the record could not be written: %v", err)
		}
	}
}

func (r *records) grace() time.Duration {
	return time.Duration(r.settings.ClockGraceMS) * time.Millisecond
}

// retryable reports whether a claim whose write failed may have taken effect or may still succeed.
func retryable(err error) bool {
	code := core.CodeOf(err)
	return code == core.CodeConflict || code == core.CodeNotKnownYet
}

func pause(ctx context.Context, random *rand.Rand) bool {
	timer := time.NewTimer(time.Duration((0.5 + random.Float64()) * float64(retryDelay)))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func fingerprint(q *core.Query) uint64 {
	var d xxhash.Digest
	d.Reset()
	// Writes to a digest never fail.
	for _, shard := range q.Shards {
		_, _ = d.WriteString(string(shard))
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(q.Payload)
	return d.Sum64()
}
