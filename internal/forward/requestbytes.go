package forward

import (
	"slices"
	"sync"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/result"
)

// freeRequestBytes is the size up to which a body does not count: connections bound the number
// of such requests.
const freeRequestBytes = 4 << 10

// requestBytes bounds the bodies of the requests that a replica holds at a time. Requests that
// exceed the bound wait in the order of their arrival. The zero value has no bound.
type requestBytes struct {
	mu          sync.Mutex
	limit       int64
	outstanding int64
	waiters     []bytesWaiter
}

type bytesWaiter struct {
	size int64
	// ready is closed when the request may be sent.
	ready chan struct{}
}

func (b *requestBytes) setLimit(limit int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = limit
	b.admitLocked()
}

// fitsLocked reports whether a request may be sent now.
func (b *requestBytes) fitsLocked(size int64) bool {
	return b.limit <= 0 || b.outstanding == 0 || b.outstanding+size <= b.limit
}

func (b *requestBytes) admitLocked() {
	for len(b.waiters) > 0 && b.fitsLocked(b.waiters[0].size) {
		b.outstanding += b.waiters[0].size
		close(b.waiters[0].ready)
		b.waiters = b.waiters[1:]
	}
}

// acquire waits until the body of an attempt may be sent, and returns its size for release. A
// code other than 0 is the reason to refuse the attempt.
func (b *requestBytes) acquire(a *attempt) (size int64, code result.Code) {
	size = int64(len(a.req.Message.Body))
	if size <= freeRequestBytes {
		return 0, 0
	}
	b.mu.Lock()
	if len(b.waiters) == 0 && b.fitsLocked(size) {
		b.outstanding += size
		b.mu.Unlock()
		return size, 0
	}
	w := bytesWaiter{size: size, ready: make(chan struct{})}
	b.waiters = append(b.waiters, w)
	b.mu.Unlock()
	return b.wait(a, w)
}

func (b *requestBytes) wait(a *attempt, w bytesWaiter) (size int64, code result.Code) {
	timer := time.NewTimer(time.Until(a.writeBy))
	defer timer.Stop()
	select {
	case <-w.ready:
		return w.size, 0
	case <-timer.C:
		code = result.ExpiredBeforeSend
	case <-a.cancelSignal:
		code = result.CancelledBeforeSend
	}
	b.cancel(w)
	return 0, code
}

// cancel removes a waiter, or returns what it was granted in the meantime.
func (b *requestBytes) cancel(w bytesWaiter) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if i := slices.Index(b.waiters, w); i >= 0 {
		b.waiters = slices.Delete(b.waiters, i, i+1)
	} else {
		b.outstanding -= w.size
	}
	b.admitLocked()
}

// release returns the bytes of an attempt that has ended.
func (b *requestBytes) release(size int64) {
	if size == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.outstanding -= size
	b.admitLocked()
}
