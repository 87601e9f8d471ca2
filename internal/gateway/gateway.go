// Package gateway serves callers' HTTP requests according to the current
// routes.
//
// The goroutine that accepts a request also serves it: it feeds the replies to
// the request's attempts, and timer events, to a query state machine. What is
// known about replicas, and the budgets of extra attempts, are shared by all
// requests under one mutex that is never held during I/O. A request uses the
// view that was current when it started, so that all parts of its answer come
// from one version of the configuration.
package gateway

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/balance"
	"github.com/gypsumlug/gypsumlug/internal/bodymemory"
	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/quarantine"
	"github.com/gypsumlug/gypsumlug/internal/query"
	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/routing"
	"github.com/gypsumlug/gypsumlug/internal/split"
	"github.com/gypsumlug/gypsumlug/internal/view"
)

// Sender sends attempts to replicas.
type Sender interface {
	// Send starts an attempt and calls done exactly once, from another
	// goroutine.
	Send(req dispatch.Request, done func(dispatch.Reply))
	// Cancel cancels an attempt. Its done function is still called.
	Cancel(key dispatch.Key)
}

// Recorder receives the events that are logged and counted.
type Recorder interface {
	RequestEnded(e RequestSummary)
	AttemptEnded(code result.Code)
	QueryEvent(e query.Event)
	SuspectChanged(s SuspectChange)
	LimitChanged(l LimitChange)
	EndpointAnnounced(a Announcement)
	AdmissionChanged(c AdmissionChange)
}

// SuspectChange reports a change in the suspicion that a request crashes
// replicas.
type SuspectChange struct {
	Fingerprint view.Fingerprint
	Degree      view.Suspicion
	// Request and Replica are empty if the change was learned from another host.
	Request *quarantine.Request
	Replica string
}

// Request is a caller's request.
type Request struct {
	Message dispatch.Message
	// Path selects the route. It has no query string.
	Path string
	// NewConnection means that the request is the first one on a connection
	// that the caller has just opened.
	NewConnection bool
	// CallerTimeout is how long the caller waits for an answer, or zero if the
	// caller did not say.
	CallerTimeout time.Duration
	// Departed reports whether the caller has disconnected. It is asked before attempts
	// are sent, since the request's context ends only some time after the caller has
	// disconnected if the host is short of CPU time. If it is nil, the context alone
	// tells.
	Departed func() bool

	// description is set before the request is served.
	description *quarantine.Request
	// waited is how long the request waited for admission.
	waited time.Duration
	// topRecords is the number of records that the host which sent a part needs; zero
	// means that of the route.
	topRecords int
}

// callerLeft reports whether the caller of a request with the context has disconnected.
func (r *Request) callerLeft(ctx context.Context) bool {
	return context.Cause(ctx) == context.Canceled || r.Departed != nil && r.Departed()
}

// Answer is the answer to a caller. On success, exactly one of Response and
// ShardResponses is set.
type Answer struct {
	Code result.Code
	// Response is the replica's response, which may report a failure.
	Response *dispatch.Response
	// ShardResponses are the responses of the shards, MissingShards is the
	// number of shards without a response, and Records are the merged records.
	ShardResponses []*dispatch.Response
	MissingShards  int
	Records        []byte
	// RetryAfter is the delay after which the caller should retry a request
	// that did not run.
	RetryAfter time.Duration
	// CloseConnection means that the caller should use another connection, and so another
	// host, for its next request.
	CloseConnection bool
	// memory holds the charges of the responses to the request.
	memory *bodymemory.Holder
}

// Release releases the memory of the answer, once it was written or dropped.
func (a *Answer) Release() { a.memory.Release() }

// Config holds the settings and dependencies of a gateway that do not change.
type Config struct {
	DataCentre string
	// Incarnation distinguishes the request IDs of this process from those of
	// other processes.
	Incarnation uint64
	// Tuning is the tuning to use until the first call of SetTuning.
	Tuning Tuning
	// Now returns the monotonic time since the start of the process.
	Now      func() time.Duration
	Sender   Sender
	Recorder Recorder
	// Self is this host's entry in the list of peers. If Peers is nil, queries
	// are not divided.
	Self  split.Peer
	Peers PeerClient
	// Memory bounds what the host holds of replicas' responses and of other hosts' replies to
	// parts; nil means no bound.
	Memory *bodymemory.Budget
}

// Tuning holds the settings of a gateway that may change while it runs.
type Tuning struct {
	// Allowance bounds the extra attempts of all hosts together.
	Allowance balance.Allowance
	// Cold bounds the requests of all hosts together to a replica that is cold.
	Cold ColdBound
	// CPUs is the number of CPUs available to the host, usually a fraction.
	// Zero means one.
	CPUs float64
	// CallerLatency is the one-way network latency between callers and the
	// host.
	CallerLatency time.Duration
}

// Gateway serves requests. It is safe for concurrent use.
type Gateway struct {
	cfg      Config
	tuning   atomic.Pointer[Tuning]
	view     atomic.Pointer[routing.View]
	shared   *sharedState
	sequence atomic.Uint64
	running  atomic.Int64
	// stopping is closed to make the requests in progress answer immediately.
	stopping chan struct{}
	// stopAt is when Stop will be called, as a duration; zero if that is not known.
	stopAt atomic.Int64
}

// New returns a gateway. It refuses every request until SetView is called.
func New(cfg Config, rng *rand.Rand) *Gateway {
	g := &Gateway{cfg: cfg, stopping: make(chan struct{}), shared: newSharedState(cfg.DataCentre, cfg.Self, rng)}
	g.SetTuning(cfg.Tuning)
	return g
}

// SetTuning replaces the tuning. Requests in progress may keep using the
// previous one.
func (g *Gateway) SetTuning(t Tuning) {
	if t.CPUs <= 0 {
		t.CPUs = 1
	}
	g.tuning.Store(&t)
	g.shared.setAllowance(g.cfg.Now(), t.Allowance, t.Cold)
}

// SetHosts sets the number of hosts that share the budgets and connection
// limits.
func (g *Gateway) SetHosts(n int) { g.shared.setHosts(n) }

// SetView replaces the view. Requests in progress keep the view that they
// started with.
func (g *Gateway) SetView(v *routing.View) {
	now := g.cfg.Now()
	g.recordCrashes(now, g.shared.setView(now, v))
	g.view.Store(v)
}

// SetPeers replaces the list of other hosts.
func (g *Gateway) SetPeers(peers []split.Peer) { g.shared.setPeers(g.cfg.Now(), peers) }

// View returns the current view, or nil if there is none yet.
func (g *Gateway) View() *routing.View { return g.view.Load() }

// Running returns the number of requests in progress, parts of other hosts' queries
// included.
func (g *Gateway) Running() int { return int(g.running.Load()) }

// Serve answers a request. It returns early if ctx is cancelled because the
// caller disconnected.
func (g *Gateway) Serve(ctx context.Context, r *Request) Answer {
	g.running.Add(1)
	defer g.running.Add(-1)
	v := g.view.Load()
	if v == nil || v.Config == nil {
		return g.refuse(r, nil, result.NotReady)
	}
	route := v.Config.Match(r.Message.Host, r.Path)
	if route == nil {
		return g.refuse(r, nil, result.NotFound)
	}
	if r.callerLeft(ctx) {
		return g.refuse(r, route, result.CallerGone)
	}
	if g.endsTooLate(route) {
		return g.refuseStopping(r, route)
	}
	r.Message.Once = !route.Repeatable
	r.description = describe(&r.Message)
	suspicion := g.shared.suspicion(g.cfg.Now(), r.description)
	if suspicion == view.Quarantined {
		return g.refuse(r, route, result.Quarantined)
	}
	service := ""
	if len(route.Shards) == 0 {
		service = route.ChooseService(g.shared.randFloat())
	}
	plan := v.Plan(route, service)
	if plan == nil {
		return g.refuse(r, route, result.NoReplica)
	}
	// A suspect request is not divided, so that it runs on one replica at a time.
	groups := 1
	if suspicion == view.NotSuspected {
		groups = g.groupCount(route)
	}
	if code := refusalForEvacuation(route, plan); code != 0 {
		return g.refuse(r, route, code)
	}
	if until := g.shared.pausedUntil(g.cfg.Now(), route, plan); until > 0 {
		return g.refuseUntil(r, route, result.EndpointPaused, until)
	}
	if g.shared.tooFewInReach(g.cfg.Now(), route, plan) {
		return g.refuseElsewhere(r, route)
	}
	if code := g.refusalForCapacity(route, plan, groups > 1); code != 0 {
		return g.refuse(r, route, code)
	}
	answer := g.serveAdmitted(ctx, r, v, route, plan, groups)
	if len(answer.ShardResponses) == 0 && g.shared.tooFewInReach(g.cfg.Now(), route, plan) {
		answer.CloseConnection = true
	}
	return answer
}

// serveAdmitted answers a request that was not refused because of its route or replicas.
func (g *Gateway) serveAdmitted(ctx context.Context, r *Request, v *routing.View, route *routing.Route, plan *routing.Plan, groups int) Answer {
	if len(route.Shards) > 0 {
		return g.serveIndex(ctx, r, v, route, plan, groups)
	}
	return g.serveWhole(ctx, r, v, route, plan, true)
}

// serveWhole answers a request from this host alone.
func (g *Gateway) serveWhole(ctx context.Context, r *Request, v *routing.View, route *routing.Route, plan *routing.Plan, allowLate bool) Answer {
	x := g.newExecution(r, v, route, plan, allowLate)
	answer := x.serve(ctx)
	answer.memory = &x.memory
	return answer
}

// refusalForCapacity returns the code to refuse a request with because too few shards
// can be reached or may be sent to, or zero. The hosts that serve the parts of a divided
// query decide for themselves.
func (g *Gateway) refusalForCapacity(route *routing.Route, plan *routing.Plan, divided bool) result.Code {
	if divided {
		return 0
	}
	now := g.cfg.Now()
	if code := g.shared.tooFewAllowed(now, route, plan); code != 0 {
		return code
	}
	switch {
	case len(route.Shards) > 0 && g.shared.tooFewReachable(now, route, plan):
		return result.NoReplica
	default:
		return 0
	}
}

// Refuse records and returns the refusal of a request that could not be read.
func (g *Gateway) Refuse(id string, code result.Code) Answer {
	return g.refuse(&Request{Message: dispatch.Message{ID: id}}, nil, code)
}

func (g *Gateway) refuse(r *Request, route *routing.Route, code result.Code) Answer {
	g.cfg.Recorder.RequestEnded(g.summarize(r, g.view.Load(), route, code, g.cfg.Now()))
	return Answer{Code: code, RetryAfter: g.retryAfter(r.CallerTimeout)}
}

// refuseUntil refuses a request that can be served from a time on. The caller is told to
// retry a little later than that, by a random delay.
func (g *Gateway) refuseUntil(r *Request, route *routing.Route, code result.Code, until time.Duration) Answer {
	a := g.refuse(r, route, code)
	a.RetryAfter += max(until-g.cfg.Now(), 0)
	return a
}

// Bounds of the delay after which a caller is told to retry.
const (
	minRetryAfter     = 50 * time.Millisecond
	maxRetryAfter     = time.Second
	retryAfterDivisor = 8
)

// retryAfter returns the delay after which a caller should retry a request that
// did not run: a fraction of the caller's timeout, with random jitter so that
// callers do not all retry at once.
func (g *Gateway) retryAfter(callerTimeout time.Duration) time.Duration {
	base := min(max(callerTimeout/retryAfterDivisor, minRetryAfter), maxRetryAfter)
	return base + time.Duration(g.shared.randFloat()*float64(base))
}
