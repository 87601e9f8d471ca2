package standin

import (
	"context"
	"sync"
	"time"
)

// acquireSlot waits for a free slot for at most SlotWait. It returns false if none
// became free.
func (e *Endpoint) acquireSlot(ctx context.Context) bool {
	if e.slots == nil {
		e.inFlight.Add(1)
		return true
	}
	select {
	case e.slots <- struct{}{}:
		e.inFlight.Add(1)
		return true
	default:
	}
	if e.options.SlotWait <= 0 {
		return false
	}
	timer := time.NewTimer(e.options.SlotWait)
	defer timer.Stop()
	select {
	case e.slots <- struct{}{}:
		e.inFlight.Add(1)
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// releaseSlot frees a slot and adds the time since acquiredAt to the busy time.
func (e *Endpoint) releaseSlot(acquiredAt time.Time) {
	e.busyNanos.Add(int64(time.Since(acquiredAt)))
	e.inFlight.Add(-1)
	if e.slots != nil {
		<-e.slots
	}
}

// runningRequests holds the functions that cancel running requests, by request ID.
type runningRequests struct {
	mu      sync.Mutex
	cancels map[string]context.CancelFunc
}

func (r *runningRequests) add(id string, cancel context.CancelFunc) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cancels == nil {
		r.cancels = make(map[string]context.CancelFunc)
	}
	r.cancels[id] = cancel
}

func (r *runningRequests) remove(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.cancels, id)
}

func (r *runningRequests) cancel(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if cancel := r.cancels[id]; cancel != nil {
		cancel()
	}
}
