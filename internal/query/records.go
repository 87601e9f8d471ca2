package query

import (
	"bytes"
	"slices"

	"github.com/gypsumlug/gypsumlug/internal/dispatch"
)

// RecordSize is the size of one record of a forwarded message's response, in
// bytes. A shorter remainder of a response is not a record.
const RecordSize = 16

// MergeRecords returns the limit greatest records of the responses, greatest
// first. Equal records all count.
func MergeRecords(responses []*dispatch.Response, limit int) []byte {
	var records [][]byte
	for _, r := range responses {
		for body := r.Body; len(body) >= RecordSize; body = body[RecordSize:] {
			records = append(records, body[:RecordSize])
		}
	}
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	records = records[:min(limit, len(records))]
	return slices.Concat(records...)
}
