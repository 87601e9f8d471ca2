// Package relay implements the state machine that manages the connections and
// slots of the replicas assigned to this host. It accepts attempts from the
// coordinators of all hosts, queues them, and sends them to the endpoints.
//
// The caller passes events with the monotonic time since process start and
// carries out the returned [Actions] in the order of their fields. It must call
// Tick no later than the time that NextTick returns, even if nothing happens,
// since a longer gap between events is taken for a pause of the process. A Machine
// is not safe for concurrent use.
//
// Invariants of [Machine]:
//   - Every attempt passed to Dispatch gets exactly one reply, unless its origin
//     was lost. An attempt that the relay itself refused was never in Send, so
//     the refusal proves that it did not run.
//   - A key is accepted once. A repeated key is ignored while the attempt runs and
//     until maxRecentKeys further attempts have ended.
//   - At most min(limit, connections) attempts are in flight at an endpoint.
//   - While a suspect is in flight at an endpoint, no other attempt is.
//   - No attempt is sent after its budget has run out or to an endpoint known to be
//     leaving. After a pause none is sent until a view published since arrives or
//     RefreshWindow ends.
//   - No slot within the limit is idle while an attempt waits that may use it. The
//     exceptions are a suspect that waits for the endpoint to become idle, the
//     backoff after repeated refusals, and the wait for a new view after a pause;
//     each is bounded in time.
//
// These guarantees do not depend on which host is the relay of an endpoint: a host
// also serves attempts at endpoints that its own view assigns to other hosts.
package relay

import (
	"time"

	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/view"
)

// Config holds the settings of a Machine. Zero values are replaced by the defaults.
type Config struct {
	// Fingerprint returns the fingerprint by which quarantine identifies a request.
	// It is required.
	Fingerprint func(service, body string) view.Fingerprint
	// QueueLimit is the largest number of attempts that wait for one endpoint. It
	// applies to each urgency class and to suspects separately.
	QueueLimit int
	// PauseLimit is the longest gap between two events that is not taken for a pause
	// of the process.
	PauseLimit time.Duration
	// RefreshWindow is the longest wait for a new view after a pause.
	RefreshWindow time.Duration
	// SuspectWait is the longest time that a suspect waits for an idle endpoint.
	SuspectWait time.Duration
}

// Defaults of Config.
const (
	DefaultQueueLimit    = 200
	DefaultPauseLimit    = time.Second
	DefaultRefreshWindow = 500 * time.Millisecond
	DefaultSuspectWait   = 2 * time.Second
)

func (c Config) withDefaults() Config {
	if c.QueueLimit == 0 {
		c.QueueLimit = DefaultQueueLimit
	}
	if c.PauseLimit == 0 {
		c.PauseLimit = DefaultPauseLimit
	}
	if c.RefreshWindow == 0 {
		c.RefreshWindow = DefaultRefreshWindow
	}
	if c.SuspectWait == 0 {
		c.SuspectWait = DefaultSuspectWait
	}
	return c
}

// Actions are the outputs that the caller carries out after an event.
type Actions struct {
	// Connections are the changed targets for connections to endpoints.
	Connections []ConnectionTarget
	// Send are the attempts to write to their endpoints now, with the remaining
	// Budget. Complete must be called once for each.
	Send []dispatch.Request
	// Abort are the cancellations of attempts that were sent.
	Abort []dispatch.Cancel
	// Replies are returned to the coordinators.
	Replies []RoutedReply
	// Observations are passed to the control state machine.
	Observations []view.Observation
}

// Append appends the actions of other to those of a.
func (a *Actions) Append(other Actions) {
	a.Connections = append(a.Connections, other.Connections...)
	a.Send = append(a.Send, other.Send...)
	a.Abort = append(a.Abort, other.Abort...)
	a.Replies = append(a.Replies, other.Replies...)
	a.Observations = append(a.Observations, other.Observations...)
}

func (a *Actions) addReply(origin string, r dispatch.Reply) {
	a.Replies = append(a.Replies, RoutedReply{Origin: origin, Reply: r})
}

// RoutedReply is a reply with the host to which it is returned.
type RoutedReply struct {
	// Origin is the peer address of the host, or empty for this host.
	Origin string
	Reply  dispatch.Reply
}

// ConnectionTarget is the number of connections to keep to an endpoint.
type ConnectionTarget struct {
	Endpoint string
	// Address is the IP address and port of the endpoint.
	Address string
	// Warm is the number of connections to keep open, including idle ones.
	Warm int
	// Max is the largest number of open connections. When Max is lowered, excess
	// connections in use are closed when their attempts end.
	Max int
}

// Counters count events that are not visible in replies.
type Counters struct {
	// LateReplies counts completions of attempts that are not in flight.
	LateReplies uint64
	// DuplicateAttempts counts dispatched attempts whose key was accepted before.
	DuplicateAttempts uint64
	// OrphanedAttempts counts attempts whose origin was lost before their reply.
	OrphanedAttempts uint64
	// Pauses counts gaps between events that exceeded PauseLimit.
	Pauses uint64
}

// Status describes the state of one endpoint at this relay.
type Status struct {
	Queued   int
	InFlight int
	// Limit is the largest number of attempts that may be in flight.
	Limit int
	// SuspectsWaiting is the number of queued attempts that must run alone.
	SuspectsWaiting int
	// SuspectRunning means that a suspect is in flight.
	SuspectRunning bool
	Leaving        bool
	// BackingOff means that nothing is sent for a short time after repeated refusals.
	BackingOff bool
}
