// Package relay is the machine that owns the connections and slots of the
// replicas assigned to this host. It takes attempts from the coordinators of
// all hosts, orders them, and sends them to the endpoints.
//
// The caller feeds it events with the monotonic time since process start and
// carries out the returned [Actions] in the order of the fields. It calls Tick
// no later than Next says, also when nothing happens, since a longer gap is
// taken for a pause of the process. The machine is not safe for concurrent use.
//
// Invariants of [Machine]:
//   - Every attempt that Dispatch took gets exactly one reply, unless its origin
//     was lost. An attempt that the relay itself refused was never in Send, so
//     that a refusal is a proof that it did not run.
//   - A key is taken once. A repeated key is ignored while the attempt runs and
//     for the recentKeys attempts that follow it.
//   - At most min(limit, connections) attempts are in flight at an endpoint.
//   - While a suspect is in flight at an endpoint, nothing else is.
//   - Nothing is sent after its budget, to an endpoint known to be leaving, or
//     on beliefs from before a pause.
//   - No place within the limit is idle while an attempt waits that may use it;
//     a suspect that waits for the endpoint to become idle, a short hold after
//     repeated refusals, and a pause are the exceptions, each bounded in time.
//
// No promise depends on which host relays for an endpoint: a host also serves
// attempts at endpoints that its own view assigns to others.
package relay

import (
	"time"

	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/view"
)

// Config holds the settings of a machine. Zero fields take the defaults.
type Config struct {
	// Fingerprint identifies a request for quarantine. It is required.
	Fingerprint func(service, body string) view.Fingerprint
	// QueueLimit bounds the attempts that wait for one endpoint, for each
	// urgency class and for suspects.
	QueueLimit int
	// PauseLimit is the gap between two events from which the process is taken
	// to have paused.
	PauseLimit time.Duration
	// RefreshWindow bounds the wait for a new view after a pause.
	RefreshWindow time.Duration
	// SuspectWait bounds how long a suspect waits for an idle endpoint.
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

// Actions is what the caller carries out after an event.
type Actions struct {
	// Connections are changed targets for the connections to endpoints.
	Connections []ConnectionTarget
	// Send are attempts to write to their endpoint now. Budget is what is left.
	// Each is to be followed by one call of Complete.
	Send []dispatch.Request
	// Abort are cancellations of attempts that were sent.
	Abort []dispatch.Cancel
	// Replies go back to the coordinators.
	Replies []RoutedReply
	// Observations go to the control machine.
	Observations []view.Observation
}

// Append adds the actions of other after those of a.
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

// RoutedReply is a reply and the host that waits for it.
type RoutedReply struct {
	// Origin is a peer address, or empty for this host.
	Origin string
	Reply  dispatch.Reply
}

// ConnectionTarget says how many connections to keep to an endpoint.
type ConnectionTarget struct {
	Endpoint string
	// Address is the endpoint's address, IP and port.
	Address string
	// Warm is the number of connections to hold open, idle ones included.
	Warm int
	// Max is the largest number of open connections. Connections in use above a
	// lowered Max end with their attempts.
	Max int
}

// Counters count what no reply tells.
type Counters struct {
	// LateReplies are completions of attempts that are not in flight.
	LateReplies uint64
	// DuplicateAttempts are dispatches of a key that was taken before.
	DuplicateAttempts uint64
	// OrphanedAttempts are attempts whose origin was lost before their reply.
	OrphanedAttempts uint64
	// Pauses are gaps between events above the limit.
	Pauses uint64
}

// Status describes the state of one endpoint at this relay.
type Status struct {
	Queued   int
	InFlight int
	// Limit is the number of attempts that may be in flight.
	Limit int
	// SuspectsWaiting are queued attempts that have to run alone.
	SuspectsWaiting int
	// SuspectRunning tells that a suspect is in flight.
	SuspectRunning bool
	Leaving        bool
	// BackingOff tells that nothing is sent for a moment after repeated refusals.
	BackingOff bool
}
