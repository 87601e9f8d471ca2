package relay_test

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/gypsumlug/gypsumlug/internal/config"
	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/relay"
	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/testsuite"
	"github.com/gypsumlug/gypsumlug/internal/view"
)

const (
	slots         = 2
	queueLimit    = 4
	suspectWait   = 300 * time.Millisecond
	refreshWindow = 200 * time.Millisecond
	pauseLimit    = time.Second
)

func fingerprint(_, body string) view.Fingerprint { return view.Fingerprint(body[0]) }

func newMachine() *relay.Machine {
	return relay.New(relay.Config{
		Fingerprint: fingerprint, QueueLimit: queueLimit, SuspectWait: suspectWait,
		RefreshWindow: refreshWindow, PauseLimit: pauseLimit,
	}, rand.New(rand.NewPCG(1, 1)))
}

// newBundle returns a service "desk" with n endpoints "e0"...
func newBundle(t testing.TB, n int) *config.Bundle {
	var endpoints []config.Endpoint
	for i := range n {
		endpoints = append(endpoints, config.Endpoint{ID: fmt.Sprint("e", i), Address: fmt.Sprintf("10.0.0.%d:80", i), Slots: slots, MaxConnections: 50})
	}
	return testsuite.NewBundle(t, []config.Service{testsuite.NewService("desk")}, map[string][]config.Endpoint{"desk": endpoints})
}

// attemptRecord is what the oracle knows of an attempt.
type attemptRecord struct {
	request    dispatch.Request
	origin     string
	deadline   time.Duration
	suspect    bool // by the request, a view, or a crash
	sent       bool
	isolated   bool // sent alone
	ended      bool
	originLost bool
	canceled   bool
}

// oracle is one relay under test and the oracle's record of it.
type oracle struct {
	machine      *relay.Machine
	view         *view.View
	attempts     []*attemptRecord
	leavingUntil map[string]time.Duration // leaving, by a reply, until
	staleUntil   time.Duration            // no sends before, unless a view is set
	draining     bool
}

func (h *oracle) leaving(now time.Duration, id string) bool {
	return h.view.Leaving[id] || now < h.leavingUntil[id]
}

func (h *oracle) openAttempts(match func(*attemptRecord) bool) []*attemptRecord {
	var out []*attemptRecord
	for _, a := range h.attempts {
		if !a.ended && match(a) {
			out = append(out, a)
		}
	}
	return out
}

func (h *oracle) inFlight(id string) []*attemptRecord {
	return h.openAttempts(func(a *attemptRecord) bool { return a.sent && a.request.Endpoint == id })
}

func (h *oracle) find(key dispatch.Key) *attemptRecord {
	i := slices.IndexFunc(h.attempts, func(a *attemptRecord) bool { return a.request.Key == key && !a.ended })
	if i < 0 {
		return nil
	}
	return h.attempts[i]
}

// checkSend checks one attempt that the relay sends.
func (h *oracle) checkSend(t *rapid.T, now time.Duration, r dispatch.Request) {
	a := h.find(r.Key)
	if a == nil || a.sent || a.canceled || a.originLost {
		t.Fatalf("%v was sent twice, or after its end", r.Key)
	}
	running := h.inFlight(r.Endpoint)
	share := max(h.view.Share[r.Endpoint], 1)
	switch {
	case now >= a.deadline || r.Budget != a.deadline-now:
		t.Fatalf("%v was sent with budget %v, %v is left", r.Key, r.Budget, a.deadline-now)
	case h.leaving(now, r.Endpoint):
		t.Fatalf("%v was sent to the leaving %s", r.Key, r.Endpoint)
	case h.view.Bundle.Endpoint(r.Endpoint) == nil:
		t.Fatalf("%v was sent to the unknown %s", r.Key, r.Endpoint)
	case now < h.staleUntil:
		t.Fatalf("%v was sent on stale beliefs", r.Key)
	case h.view.Suspects[fingerprint("", r.Body)] == view.Quarantined:
		t.Fatalf("%v was sent in quarantine", r.Key)
	case h.view.Suspects[fingerprint("", r.Body)] == view.Suspected && !r.Suspect:
		t.Fatalf("%v was sent unmarked", r.Key)
	case len(running) >= min(share, slots*3/2):
		t.Fatalf("%v was sent above the limit", r.Key)
	case r.Suspect && len(running) > 0, len(running) > 0 && running[0].isolated:
		t.Fatalf("%v runs beside others: not alone", r.Key)
	case r.Suspect && len(h.openAttempts(func(b *attemptRecord) bool { return b.isolated && b.request.Body == r.Body })) > 0:
		t.Fatalf("%v runs beside the same suspect", r.Key)
	}
	a.sent = true
	a.isolated = r.Suspect
}

// refusalAllowed tells whether the state allows a refusal by the relay.
func (h *oracle) refusalAllowed(now time.Duration, a *attemptRecord, code result.Code) bool {
	id := a.request.Endpoint
	waiting := h.openAttempts(func(b *attemptRecord) bool { return !b.sent && b.request.Endpoint == id && b != a })
	switch code {
	case result.RelayQueueFull:
		return len(waiting) >= queueLimit
	case result.RelayDeadline:
		return len(waiting)+len(h.inFlight(id)) > 0
	case result.EndpointLeaving:
		return h.leaving(now, id)
	case result.ExpiredBeforeSend:
		return a.deadline <= now
	case result.UnknownEndpoint:
		return h.view.Bundle.Endpoint(id) == nil
	case result.StaleBelief:
		return now < h.staleUntil && a.deadline <= h.staleUntil
	case result.CancelledBeforeSend:
		return a.canceled
	case result.SuspectBusy:
		return a.suspect
	case result.Quarantined:
		return h.view.Suspects[fingerprint("", a.request.Body)] == view.Quarantined
	case result.Stopping:
		return h.draining && a.origin != ""
	default:
		return false
	}
}

// apply checks the actions that follow an event. completed is the reply that was
// passed in, if any.
func (h *oracle) apply(t *rapid.T, now time.Duration, actions relay.Actions, completed *dispatch.Reply) {
	for _, routed := range actions.Replies {
		a := h.find(routed.Reply.Key)
		if a == nil || a.originLost || a.origin != routed.Origin {
			t.Fatalf("%v got a second or misrouted reply", routed.Reply.Key)
		}
		own := completed != nil && completed.Key == routed.Reply.Key
		if own && !reflect.DeepEqual(*completed, routed.Reply) {
			t.Fatalf("the reply was changed to %+v", routed.Reply)
		}
		if !own && (a.sent || routed.Reply.Outcome != dispatch.Refused || !h.refusalAllowed(now, a, routed.Reply.Code)) {
			t.Fatalf("%+v was refused with %d at %v", a, routed.Reply.Code, now)
		}
		a.ended = true
	}
	for _, r := range actions.Send {
		h.checkSend(t, now, r)
	}
	for _, c := range actions.Abort {
		if a := h.find(c.Key); a == nil || !a.sent || !(a.canceled || a.originLost) {
			t.Fatalf("%v was aborted", c.Key)
		}
	}
}

// checkState compares the state with the records.
func (h *oracle) checkState(t *rapid.T, now time.Duration) {
	for i := range 4 {
		id := fmt.Sprint("e", i)
		s, ok := h.machine.Status(now, id)
		waiting := h.openAttempts(func(a *attemptRecord) bool { return !a.sent && a.request.Endpoint == id })
		running := h.inFlight(id)
		if s.Queued > 0 && (h.leaving(now, id) || h.view.Bundle.Endpoint(id) == nil) {
			t.Fatalf("%d attempts wait for %s, which is leaving or gone", s.Queued, id)
		}
		if s.Queued != len(waiting) || s.InFlight != len(running) {
			t.Fatalf("%s: %+v, want %d waiting and %d running", id, s, len(waiting), len(running))
		}
		if ok && s.Queued > 0 && s.InFlight < s.Limit && now >= h.staleUntil && !s.BackingOff && s.SuspectsWaiting == 0 && !s.SuspectRunning {
			t.Fatalf("%s has idle slots while attempts wait: %+v", id, s)
		}
	}
	if h.machine.Idle() != (len(h.openAttempts(func(*attemptRecord) bool { return true })) == 0) {
		t.Fatal("idle does not fit the attempts")
	}
}

// markSuspects marks what waits with a body that was in a crash.
func (h *oracle) markSuspects(body string) {
	for _, a := range h.openAttempts(func(a *attemptRecord) bool { return !a.sent && a.request.Body == body }) {
		a.suspect = true
	}
}

func (h *oracle) drawAttempt(t *rapid.T, sent bool) *attemptRecord {
	open := h.openAttempts(func(a *attemptRecord) bool { return a.sent == sent })
	if len(open) == 0 {
		t.Skip("no such attempt")
	}
	return rapid.SampledFrom(open).Draw(t, "attempt")
}

var completions = []dispatch.Reply{
	{Outcome: dispatch.OK},
	{Outcome: dispatch.OK},
	{Outcome: dispatch.OK, Load: &dispatch.Load{Leaving: true}},
	{Outcome: dispatch.Failed, Code: result.EndpointFailed},
	{Outcome: dispatch.Refused, Code: result.EndpointShed},
	{Outcome: dispatch.Refused, Code: result.EndpointCold},
	{Outcome: dispatch.Refused, Code: result.EndpointLeaving},
	{Outcome: dispatch.Refused, Code: result.ConnectFailed},
	{Outcome: dispatch.Unknown, Code: result.EndpointCrashed},
	{Outcome: dispatch.Unknown, Code: result.ConnectionSilent},
}

// complete ends an attempt at its endpoint and returns whether it ran.
func (h *oracle) complete(t *rapid.T, now time.Duration, a *attemptRecord, ending dispatch.Reply) {
	ending.Key, ending.Endpoint = a.request.Key, a.request.Endpoint
	ending.ServiceTime = 5 * time.Millisecond
	if ending.Code == result.EndpointLeaving || ending.Load != nil {
		h.leavingUntil[ending.Endpoint] = now + 30*time.Second
	}
	if ending.Code == result.EndpointCrashed {
		for _, running := range h.inFlight(ending.Endpoint) {
			h.markSuspects(running.request.Body)
		}
	}
	if a.originLost {
		a.ended = true
	}
	h.apply(t, now, h.machine.Complete(now, ending), &ending)
	if !a.ended {
		t.Fatalf("%v got no reply", ending.Key)
	}
}
