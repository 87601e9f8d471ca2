package bodymemory

import "sync"

// Releaser is memory that is released.
type Releaser interface{ Release() }

// Holder collects the charges of the responses to one request, until the request has been
// answered. It is safe for concurrent use. The zero value is empty.
type Holder struct {
	mu       sync.Mutex
	charges  []Releaser
	released bool
}

// Hold takes over a charge. After Release, the charge is released at once.
func (h *Holder) Hold(c Releaser) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.released {
		c.Release()
		return
	}
	h.charges = append(h.charges, c)
}

// Release releases the charges that were and will be taken over.
func (h *Holder) Release() {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.released = true
	for _, c := range h.charges {
		c.Release()
	}
	h.charges = nil
}
