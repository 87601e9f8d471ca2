package query

import (
	"bytes"
	"slices"

	"github.com/gypsumlug/gypsumlug/internal/dispatch"
)

// RecordSize is the size in bytes of one record in the response to a forwarded
// message. A shorter remainder at the end of a response is ignored.
const RecordSize = 16

// TopRecords returns the greatest records of a response body, falling, at most limit. It
// holds no reference to the body.
func TopRecords(body []byte, limit int) []byte {
	var top [][]byte
	for ; len(body) >= RecordSize; body = body[RecordSize:] {
		record := body[:RecordSize]
		at, _ := slices.BinarySearchFunc(top, record, func(a, b []byte) int { return bytes.Compare(b, a) })
		if at >= limit {
			continue
		}
		top = slices.Insert(top, at, record)
		top = top[:min(len(top), limit)]
	}
	return slices.Concat(top...)
}

// MergeRecords returns the limit greatest records of the responses in descending
// order. Equal records are not merged.
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
