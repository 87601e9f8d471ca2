package bodymemory

import "bytes"

// A head is charged lineBytes for each line beyond freeLines, in addition to its bytes: parsed, a
// field of few bytes takes 117 bytes in a map (go1.26). Ordinary heads have fewer lines.
const (
	lineBytes = 128
	freeLines = 128
)

// Lines counts the lines of a head that arrives.
type Lines struct{ n int }

// Arrived counts the lines that end in p, and returns the memory that they take beyond their
// bytes.
func (l *Lines) Arrived(p []byte) int64 {
	before := max(l.n, freeLines)
	l.n += bytes.Count(p, []byte{'\n'})
	return lineBytes * int64(max(l.n-before, 0))
}
