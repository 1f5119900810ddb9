package fanout

import (
	"bytes"
	"slices"
)

// RecordBytes is the size of one record of a part. A remainder at the end of a part is not a record.
const RecordBytes = 16

// Top collects the greatest records of the parts of a gathered answer, compared byte by byte. Equal records all count.
type Top struct {
	limit   int
	records [][]byte
}

// NewTop returns a collector of at most limit records.
func NewTop(limit int) *Top { return &Top{limit: limit} }

// Add adds the records of one part. The part must not be changed afterwards.
func (t *Top) Add(part []byte) {
	for len(part) >= RecordBytes {
		t.records = append(t.records, part[:RecordBytes])
		part = part[RecordBytes:]
	}
	// Sorting once per a few parts keeps the memory bounded by a multiple of the limit.
	if len(t.records) > 8*t.limit {
		t.shrink()
	}
}

func (t *Top) shrink() {
	slices.SortFunc(t.records, func(a, b []byte) int { return bytes.Compare(b, a) })
	t.records = t.records[:min(len(t.records), t.limit)]
}

// Bytes returns the greatest records, the greatest first.
func (t *Top) Bytes() []byte {
	t.shrink()
	return bytes.Join(t.records, nil)
}
