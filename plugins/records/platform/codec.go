package platform

import (
	"encoding/json"
	"time"

	"github.com/fxamacker/cbor/v2"

	"gooseberrylane.example/coord/idempotency"
	"gooseberrylane.example/core"
)

// wireRecord is the value of a record object.
type wireRecord struct {
	State       idempotency.State `json:"state"`
	Holder      core.VMName       `json:"holder"`
	Incarnation core.Incarnation  `json:"incarnation"`
	Nonce       uint64            `json:"nonce"`
	Claims      int               `json:"claims"`
	Fingerprint uint64            `json:"fingerprint"`
	DeadlineUS  int64             `json:"deadline_us"`
	Outcome     core.Outcome      `json:"outcome"`
	Answer      []byte            `json:"answer,omitempty"`
}

func encodeRecord(r *idempotency.Record) ([]byte, error) {
	return json.Marshal(wireRecord{
		State: r.State, Holder: r.Holder, Incarnation: r.Incarnation, Nonce: r.Nonce, Claims: r.Claims,
		Fingerprint: r.Fingerprint, DeadlineUS: r.Deadline.UnixMicro(), Outcome: r.Outcome, Answer: r.Answer,
	})
}

func decodeRecord(value []byte) (*idempotency.Record, error) {
	var w wireRecord
	if err := json.Unmarshal(value, &w); err != nil {
		return nil, core.Errorf(core.CodeInternal, "the record could not be read: %v", err)
	}
	return &idempotency.Record{
		State: w.State, Holder: w.Holder, Incarnation: w.Incarnation, Nonce: w.Nonce, Claims: w.Claims,
		Fingerprint: w.Fingerprint, Deadline: time.UnixMicro(w.DeadlineUS), Outcome: w.Outcome, Answer: w.Answer,
	}, nil
}

// encodeAnswer returns nil if the answer is larger than limit or cannot be encoded.
func encodeAnswer(answer core.Answer, limit int) []byte {
	answer.Attempts = nil
	value, err := cbor.Marshal(answer)
	if err != nil || len(value) > limit {
		return nil
	}
	return value
}

// decodeAnswer returns nil if no answer was stored or it cannot be decoded.
func decodeAnswer(value []byte) *core.Answer {
	if len(value) == 0 {
		return nil
	}
	var answer core.Answer
	if err := cbor.Unmarshal(value, &answer); err != nil {
		return nil
	}
	return &answer
}
