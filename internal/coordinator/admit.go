package coordinator

import (
	"time"

	"github.com/gypsumlug/gypsumlug/internal/admission"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

// offer asks for admission of a request that is in waiting or admitted.
func (m *Machine) offer(now time.Duration, r admission.Request) {
	switch d := m.admission.Offer(now, r); d.Verdict {
	case admission.Admit:
		m.start(now, r.ID)
	case admission.Refuse:
		m.refuse(now, r.ID, d.Code)
	}
}

// admit carries out what became of waiting requests.
func (m *Machine) admit(now time.Duration, c admission.Changes) {
	for _, r := range c.Refused {
		m.refuse(now, r.ID, r.Code)
	}
	for _, id := range c.Admitted {
		m.start(now, id)
	}
}

// start runs an admitted request.
func (m *Machine) start(now time.Duration, id string) {
	if w, ok := m.waiting[id]; ok {
		delete(m.waiting, id)
		m.startQuery(now, id, w)
		return
	}
	if s := m.admitted[id]; s != nil {
		m.attemptSubmit(now, s)
	}
}

// refuse ends a request that was not admitted.
func (m *Machine) refuse(now time.Duration, id string, code result.Code) {
	if w, ok := m.waiting[id]; ok {
		delete(m.waiting, id)
		m.refuseQuery(w.ticket, &w.request, code)
		return
	}
	if s := m.admitted[id]; s != nil {
		s.admission = ""
		delete(m.admitted, id)
		m.burn(now, s, code)
	}
}

// release ends an admitted request at the end of the step. What it admits may
// end at once and release more: a queue, and not a recursion, bounds the stack.
func (m *Machine) release(id string) { m.released = append(m.released, id) }

// drainReleased ends the released requests and starts what waited for them.
func (m *Machine) drainReleased(now time.Duration) {
	for i := 0; i < len(m.released); i++ {
		m.admit(now, m.admission.Release(now, m.released[i]))
	}
	clear(m.released)
	m.released = m.released[:0]
}
