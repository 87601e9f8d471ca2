package permit

import (
	"container/heap"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/view"
)

// State is the state of a permit.
type State uint8

// The states of a permit. Issued, Submitted and Dispatched are open; the others
// are ended, and only Unknown can still change, when its one outcome is learnt.
const (
	// Issued permits have not been submitted.
	Issued State = iota
	// Submitted permits are owned by a request of which no attempt is running.
	Submitted
	// Dispatched permits have one attempt of which bytes may have been written.
	Dispatched
	// Done permits ran and succeeded.
	Done
	// Failed permits ran and failed.
	Failed
	// NotRun permits are burnt: they never ran and never will.
	NotRun
	// Unknown permits may have run.
	Unknown
	// StateCount is the number of states.
	StateCount
)

func (s State) ended() bool { return s >= Done }

// stateForCode returns the state of a permit that ended with code.
func stateForCode(code result.Code) State {
	switch code.Class() {
	case result.ClassComplete:
		return Done
	case result.ClassFailed:
		return Failed
	case result.ClassNotRun:
		return NotRun
	default:
		return Unknown
	}
}

// record is how a permit ended and for what request.
type record struct {
	nonce     uint64
	service   string
	submitted bool
	bodyHash  uint64

	code           result.Code
	outcome        string
	outcomeDropped bool
}

// matches reports whether a submit is for the request of the record.
func (r *record) matches(bodyHash uint64) bool {
	return !r.submitted || r.bodyHash == bodyHash
}

// entry is one permit in a ledger or archive.
type entry struct {
	record
	issuer    view.Incarnation
	sequence  uint64
	state     State
	attempt   uint32
	expiresAt time.Duration
	retention time.Duration
	// dueAt is when the entry changes by time alone.
	dueAt     time.Duration
	heapIndex int
}

// timerHeap orders entries by when they change by time alone.
type timerHeap []*entry

func (h timerHeap) Len() int { return len(h) }

func (h timerHeap) Less(i, j int) bool {
	if h[i].dueAt != h[j].dueAt {
		return h[i].dueAt < h[j].dueAt
	}
	return h[i].sequence < h[j].sequence
}

func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex = i
	h[j].heapIndex = j
}

// Push implements heap.Interface.
func (h *timerHeap) Push(x any) {
	e := x.(*entry)
	e.heapIndex = len(*h)
	*h = append(*h, e)
}

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return e
}

func (h *timerHeap) schedule(e *entry, due time.Duration) {
	e.dueAt = due
	heap.Fix(h, e.heapIndex)
}
