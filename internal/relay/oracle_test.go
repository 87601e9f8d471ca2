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

// newBundle returns a configuration with the service "desk" and n endpoints, named
// "e0", "e1" and so on.
func newBundle(t testing.TB, n int) *config.Bundle {
	var endpoints []config.Endpoint
	for i := range n {
		endpoints = append(endpoints, config.Endpoint{ID: fmt.Sprint("e", i), Address: fmt.Sprintf("10.0.0.%d:80", i), Slots: slots, MaxConnections: 50})
	}
	return testsuite.NewBundle(t, []config.Service{testsuite.NewService("desk")}, map[string][]config.Endpoint{"desk": endpoints})
}

// attemptRecord is the oracle's record of an attempt.
type attemptRecord struct {
	request    dispatch.Request
	origin     string
	deadline   time.Duration
	suspect    bool // marked by the request, a view, or a crash
	sent       bool
	isolated   bool // sent alone
	ended      bool
	originLost bool
	canceled   bool
}

// oracle drives one relay under test and checks its actions against its records.
type oracle struct {
	machine  *relay.Machine
	view     *view.View
	attempts []*attemptRecord
	// leavingUntil holds for an endpoint the time until which it counts as leaving
	// because of a reply.
	leavingUntil map[string]time.Duration
	// staleUntil is the time before which no attempt is sent, unless a view arrives.
	staleUntil time.Duration
	draining   bool
}

// leaving reports whether the relay has to treat an endpoint as leaving.
func (o *oracle) leaving(now time.Duration, id string) bool {
	return o.view.LeavingEndpoints[id] || now < o.leavingUntil[id]
}

// openAttempts returns the attempts without a reply for which match is true.
func (o *oracle) openAttempts(match func(*attemptRecord) bool) []*attemptRecord {
	var out []*attemptRecord
	for _, a := range o.attempts {
		if !a.ended && match(a) {
			out = append(out, a)
		}
	}
	return out
}

// inFlight returns the attempts in flight at an endpoint.
func (o *oracle) inFlight(id string) []*attemptRecord {
	return o.openAttempts(func(a *attemptRecord) bool { return a.sent && a.request.Endpoint == id })
}

// find returns the attempt with the given key, or nil if it has ended or is unknown.
func (o *oracle) find(key dispatch.Key) *attemptRecord {
	i := slices.IndexFunc(o.attempts, func(a *attemptRecord) bool { return a.request.Key == key && !a.ended })
	if i < 0 {
		return nil
	}
	return o.attempts[i]
}

// checkSend checks and records one attempt that the relay sends.
func (o *oracle) checkSend(t *rapid.T, now time.Duration, r dispatch.Request) {
	a := o.find(r.Key)
	if a == nil || a.sent || a.canceled || a.originLost {
		t.Fatalf("%v was sent twice, or after its end", r.Key)
	}
	running := o.inFlight(r.Endpoint)
	share := max(o.view.ConnectionShares[r.Endpoint], 1)
	switch {
	case now >= a.deadline || r.Budget != a.deadline-now:
		t.Fatalf("%v was sent with budget %v, but %v remains", r.Key, r.Budget, a.deadline-now)
	case o.leaving(now, r.Endpoint):
		t.Fatalf("%v was sent to the leaving %s", r.Key, r.Endpoint)
	case o.view.Bundle.Endpoint(r.Endpoint) == nil:
		t.Fatalf("%v was sent to the unknown %s", r.Key, r.Endpoint)
	case now < o.staleUntil:
		t.Fatalf("%v was sent on a stale view", r.Key)
	case o.view.Suspects[fingerprint("", r.Body)] == view.Quarantined:
		t.Fatalf("%v was sent although it is quarantined", r.Key)
	case o.view.Suspects[fingerprint("", r.Body)] == view.Suspected && !r.Suspect:
		t.Fatalf("%v was sent without the suspect mark", r.Key)
	case len(running) >= min(share, slots*3/2): // a limit grows to at most 1.5 times the slots
		t.Fatalf("%v was sent above the limit", r.Key)
	case r.Suspect && len(running) > 0, len(running) > 0 && running[0].isolated:
		t.Fatalf("%v does not run alone", r.Key)
	case r.Suspect && len(o.openAttempts(func(b *attemptRecord) bool { return b.isolated && b.request.Body == r.Body })) > 0:
		t.Fatalf("%v runs beside another attempt of the same suspect", r.Key)
	}
	a.sent = true
	a.isolated = r.Suspect
}

// refusalAllowed reports whether the state allows the relay to refuse an attempt.
func (o *oracle) refusalAllowed(now time.Duration, a *attemptRecord, code result.Code) bool {
	id := a.request.Endpoint
	waiting := o.openAttempts(func(b *attemptRecord) bool { return !b.sent && b.request.Endpoint == id && b != a })
	switch code {
	case result.RelayQueueFull:
		return len(waiting) >= queueLimit
	case result.RelayDeadline:
		return len(waiting)+len(o.inFlight(id)) > 0
	case result.EndpointLeaving:
		return o.leaving(now, id)
	case result.ExpiredBeforeSend:
		return a.deadline <= now
	case result.UnknownEndpoint:
		return o.view.Bundle.Endpoint(id) == nil
	case result.StaleBelief:
		return now < o.staleUntil && a.deadline <= o.staleUntil
	case result.CancelledBeforeSend:
		return a.canceled
	case result.SuspectBusy:
		return a.suspect
	case result.Quarantined:
		return o.view.Suspects[fingerprint("", a.request.Body)] == view.Quarantined
	case result.Stopping:
		return o.draining && a.origin != ""
	default:
		return false
	}
}

// apply checks and records the actions that follow an event. completed is the reply
// that was passed to Complete, if any.
func (o *oracle) apply(t *rapid.T, now time.Duration, actions relay.Actions, completed *dispatch.Reply) {
	for _, routed := range actions.Replies {
		a := o.find(routed.Reply.Key)
		if a == nil || a.originLost || a.origin != routed.Origin {
			t.Fatalf("%v got a second or misrouted reply", routed.Reply.Key)
		}
		fromEndpoint := completed != nil && completed.Key == routed.Reply.Key
		if fromEndpoint && !reflect.DeepEqual(*completed, routed.Reply) {
			t.Fatalf("the reply was changed to %+v", routed.Reply)
		}
		if !fromEndpoint && (a.sent || routed.Reply.Outcome != dispatch.Refused || !o.refusalAllowed(now, a, routed.Reply.Code)) {
			t.Fatalf("%+v was refused with %d at %v", a, routed.Reply.Code, now)
		}
		a.ended = true
	}
	for _, r := range actions.Send {
		o.checkSend(t, now, r)
	}
	for _, c := range actions.Abort {
		if a := o.find(c.Key); a == nil || !a.sent || !(a.canceled || a.originLost) {
			t.Fatalf("%v was aborted without reason", c.Key)
		}
	}
}

// checkState compares the status of the machine with the records.
func (o *oracle) checkState(t *rapid.T, now time.Duration) {
	for i := range 4 {
		id := fmt.Sprint("e", i)
		s, ok := o.machine.Status(now, id)
		waiting := o.openAttempts(func(a *attemptRecord) bool { return !a.sent && a.request.Endpoint == id })
		running := o.inFlight(id)
		if s.Queued > 0 && (o.leaving(now, id) || o.view.Bundle.Endpoint(id) == nil) {
			t.Fatalf("%d attempts wait for %s, which is leaving or gone", s.Queued, id)
		}
		if s.Queued != len(waiting) || s.InFlight != len(running) {
			t.Fatalf("%s: %+v, want %d waiting and %d running", id, s, len(waiting), len(running))
		}
		if ok && s.Queued > 0 && s.InFlight < s.Limit && now >= o.staleUntil && !s.BackingOff && s.SuspectsWaiting == 0 && !s.SuspectRunning {
			t.Fatalf("%s has idle slots while attempts wait: %+v", id, s)
		}
	}
	if o.machine.Idle() != (len(o.openAttempts(func(*attemptRecord) bool { return true })) == 0) {
		t.Fatal("Idle does not match the recorded attempts")
	}
}

// markSuspects marks the waiting attempts with the given body as suspects, which the
// relay may refuse as busy.
func (o *oracle) markSuspects(body string) {
	for _, a := range o.openAttempts(func(a *attemptRecord) bool { return !a.sent && a.request.Body == body }) {
		a.suspect = true
	}
}

// drawAttempt draws an attempt that waits or, if sent is true, is in flight. It skips
// the action if there is none.
func (o *oracle) drawAttempt(t *rapid.T, sent bool) *attemptRecord {
	open := o.openAttempts(func(a *attemptRecord) bool { return a.sent == sent })
	if len(open) == 0 {
		t.Skip("no such attempt")
	}
	return rapid.SampledFrom(open).Draw(t, "attempt")
}

// completions are the possible replies of endpoints.
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

// complete passes the reply of the endpoint to an attempt in flight.
func (o *oracle) complete(t *rapid.T, now time.Duration, a *attemptRecord, completion dispatch.Reply) {
	completion.Key, completion.Endpoint = a.request.Key, a.request.Endpoint
	completion.ServiceTime = 5 * time.Millisecond
	if completion.Code == result.EndpointLeaving || completion.Load != nil {
		o.leavingUntil[completion.Endpoint] = now + 30*time.Second
	}
	if completion.Code == result.EndpointCrashed {
		for _, running := range o.inFlight(completion.Endpoint) {
			o.markSuspects(running.request.Body)
		}
	}
	if a.originLost {
		a.ended = true
	}
	o.apply(t, now, o.machine.Complete(now, completion), &completion)
	if !a.ended {
		t.Fatalf("%v got no reply", completion.Key)
	}
}
