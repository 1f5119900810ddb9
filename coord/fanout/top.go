package fanout

import (
	"bytes"
	"slices"
)

// RecordBytes is the size of one record in the result of a shard. A shorter remainder at the end is ignored.
const RecordBytes = 16

// Top merges the results of shards into the greatest records, compared byte by byte. Duplicates are kept.
type Top struct {
	limit   int
	records [][]byte
}

// NewTop returns a Top of at most limit records.
func NewTop(limit int) *Top { return &Top{limit: limit} }

// Add adds the records of the result of one shard. The result must not be modified afterwards.
func (t *Top) Add(result []byte) {
	for len(result) >= RecordBytes {
		t.records = append(t.records, result[:RecordBytes])
		result = result[RecordBytes:]
	}
	// Shrinking at 8 times the limit bounds the memory and avoids a sort per result.
	if len(t.records) > 8*t.limit {
		t.shrink()
	}
}

func (t *Top) shrink() {
	slices.SortFunc(t.records, func(a, b []byte) int { return bytes.Compare(b, a) })
	t.records = t.records[:min(len(t.records), t.limit)]
}

// Bytes returns the greatest records in descending order.
func (t *Top) Bytes() []byte {
	t.shrink()
	return bytes.Join(t.records, nil)
}
