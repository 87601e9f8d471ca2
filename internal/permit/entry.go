package permit

import (
	"container/heap"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/view"
)

// State is the state of a permit.
type State uint8

// The states of a permit. In the states Issued, Submitted and Dispatched a
// permit is open, in all others it has ended. Of the ended states only Unknown
// can still change, when the reply to the permit's last attempt arrives late.
const (
	// Issued permits have not been submitted.
	Issued State = iota
	// Submitted permits have a request in progress with no attempt running.
	Submitted
	// Dispatched permits have one attempt running. Some of its bytes may have been
	// written to a connection.
	Dispatched
	// Done permits ran successfully.
	Done
	// Failed permits ran and failed.
	Failed
	// NotRun permits are burnt: they never ran and never will.
	NotRun
	// Unknown permits may or may not have run.
	Unknown
	// StateCount is the number of states. It is not a state.
	StateCount
)

// ended reports whether a permit in the state has ended.
func (s State) ended() bool { return s >= Done }

// stateForCode returns the state of a permit that has ended with code.
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

// record identifies a permit and its request, and holds how the permit ended.
type record struct {
	nonce   uint64
	service string
	// submitted reports that bodyHash was set by a submit.
	submitted bool
	bodyHash  uint64

	code           result.Code
	outcome        string
	outcomeDropped bool
}

// matches reports whether a submit has the same request as the first submit of
// the permit, or is itself the first.
func (r *record) matches(bodyHash uint64) bool {
	return !r.submitted || r.bodyHash == bodyHash
}

// entry is one permit in a ledger or archive.
type entry struct {
	record
	issuer   view.Incarnation
	sequence uint64
	state    State
	// lastAttempt is the number of the last attempt, or zero if none has begun.
	lastAttempt uint32
	expiresAt   time.Duration
	retention   time.Duration
	// dueAt is when the entry next changes without an event: the permit expires,
	// its running attempt times out, or the ended permit is removed.
	dueAt     time.Duration
	heapIndex int
}

// timerHeap is a min-heap of entries by dueAt.
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

// schedule changes the time at which an entry of the heap is due.
func (h *timerHeap) schedule(e *entry, due time.Duration) {
	e.dueAt = due
	heap.Fix(h, e.heapIndex)
}
