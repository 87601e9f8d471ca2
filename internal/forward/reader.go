package forward

import (
	"errors"
	"io"

	"github.com/gypsumlug/gypsumlug/internal/bodymemory"
)

var (
	// errResponseTooLarge is returned for a response that exceeds one of the bounds.
	errResponseTooLarge = errors.New("response over the size limit")
	// errMemorySpent is returned for a response that needs memory when the responses of
	// all connections have taken what they may.
	errMemorySpent = errors.New("memory for responses is spent")
)

// boundedReader reads responses from a connection, each up to an allowance, and charges
// them for their memory.
type boundedReader struct {
	source io.Reader
	memory *bodymemory.Budget
	// allowance is the number of bytes that may still be read.
	allowance int
	// size is the memory that the current response takes, and charge what it is charged.
	size   int64
	charge *bodymemory.Charge
	// inHead is set while a head arrives, whose lines are counted.
	inHead bool
	// memorySpent is set once there was no memory for the current response. The parser of heads
	// may report another error.
	memorySpent bool
	lines       bodymemory.Lines
	// total is the number of bytes that were read in all.
	total int64
}

// beginResponse begins a response, whose head has the given allowance.
func (r *boundedReader) beginResponse(allowance int) {
	r.endResponse()
	r.allowance, r.size = allowance, 0
	r.inHead, r.lines = true, bodymemory.Lines{}
	r.memorySpent = false
	r.charge = r.memory.NewCharge()
}

// beginBody is called when the head of a response has been read, whose body has the given
// allowance.
func (r *boundedReader) beginBody(allowance int) { r.allowance, r.inHead = allowance, false }

// takeCharge returns the charge of the current response, which the caller takes over.
func (r *boundedReader) takeCharge() *bodymemory.Charge {
	charge := r.charge
	r.charge = nil
	return charge
}

// endResponse releases the charge of the current response, unless it was taken over.
func (r *boundedReader) endResponse() {
	r.charge.Release()
	r.charge = nil
}

// Read implements io.Reader.
func (r *boundedReader) Read(p []byte) (int, error) {
	if r.allowance <= 0 {
		return 0, errResponseTooLarge
	}
	n, err := r.source.Read(p[:min(len(p), r.allowance)])
	r.allowance -= n
	r.size += int64(n)
	r.total += int64(n)
	if r.inHead {
		r.size += r.lines.Arrived(p[:n])
	}
	if !r.charge.Grow(r.size) {
		r.memorySpent = true
		return 0, errMemorySpent
	}
	return n, err
}
