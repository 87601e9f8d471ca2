// Package gateway serves callers' HTTP requests by the routes in force.
//
// Each request is driven by the goroutine that took it: it steps a query machine
// with the replies to its attempts and the passing of time. The beliefs about
// replicas and the budgets of extra attempts are shared by all requests under
// one mutex that is never held over I/O. A request keeps the view that it began
// with, so that the parts of its answer come from one version of the
// configuration.
package gateway

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/balance"
	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/query"
	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/routing"
	"github.com/gypsumlug/gypsumlug/internal/split"
	"github.com/gypsumlug/gypsumlug/internal/view"
)

// Sender carries attempts to replicas.
type Sender interface {
	// Send calls done exactly once, from another goroutine.
	Send(req dispatch.Request, done func(dispatch.Reply))
	// Cancel withdraws an attempt; it still gets its reply.
	Cancel(key dispatch.Key)
}

// Recorder is told of the ends of requests and of attempts.
type Recorder interface {
	RequestEnded(e RequestSummary)
	AttemptEnded(code result.Code)
	QueryEvent(e query.Event)
	SuspectChanged(s SuspectChange)
}

// SuspectChange is a change of what is believed of a request that may crash replicas.
type SuspectChange struct {
	Fingerprint view.Fingerprint
	Degree      view.Suspicion
	// RequestID and Replica are empty if another host told of it.
	RequestID string
	Replica   string
}

// RequestSummary describes an answered request.
type RequestSummary struct {
	RequestID string
	Route     string
	Code      result.Code
	Took      time.Duration
	TimeLimit time.Duration
	Shards    int
	Covered   int
	Attempts  int
	Version   uint64
	// ViewAge is the age of the replicas that the request was served with.
	ViewAge time.Duration
	Missing []query.Missing
	// Hosts is the number of hosts that share the budget of extra attempts.
	Hosts int
	// Target is the time in which an answer was on time.
	Target time.Duration
	// Steps are what explains the end of the request.
	Steps []Step
	// Stages are when the request got on.
	Stages Stages
	// Part tells that the request is a part of a query of another host, or of this
	// one, and not a caller's.
	Part bool
}

// Stages are the times since the beginning of a request at which it got on. Zero
// means that it did not get there.
type Stages struct {
	// Sent is when the first attempt was sent.
	Sent time.Duration
	// FirstReply and LastShard are when the first and the last good reply came.
	FirstReply, LastShard time.Duration
	// Merge is how long the merge of the replies took.
	Merge time.Duration
}

// shardReplied notes a good reply.
func (s *Stages) shardReplied(at time.Duration) {
	if s.FirstReply == 0 {
		s.FirstReply = at
	}
	s.LastShard = at
}

// Request is a caller's request.
type Request struct {
	Message dispatch.Message
	// Path selects the route; it has no query part.
	Path string
	// NewConnection tells that the request is the first on its connection, which the
	// caller has just opened.
	NewConnection bool
	// CallerTimeout is how long the caller waits; zero if the caller does not say.
	CallerTimeout time.Duration
}

// Answer is what the caller is told. Exactly one of Response and Parts is set
// when the request succeeded.
type Answer struct {
	Code result.Code
	// Response is the replica's response, which may be a failure.
	Response *dispatch.Response
	// ShardResponses are the responses of the shards, Missing the number of shards
	// without one, and Records the merged records.
	ShardResponses []*dispatch.Response
	MissingShards  int
	Records        []byte
	// RetryAfter is when a request that did not run is worth sending again.
	RetryAfter time.Duration
}

// Config are the fixed inputs of a gateway.
type Config struct {
	DataCentre string
	// Incarnation tells this process's requests from those of others.
	Incarnation uint64
	// Tuning is in force until SetTuning.
	Tuning Tuning
	// Now is the monotonic time since the start of the process.
	Now      func() time.Duration
	Sender   Sender
	Recorder Recorder
	// Self is this host among Peers; Peers may be nil.
	Self  split.Peer
	Peers PeerClient
}

// Tuning are the inputs of a gateway that may change while it runs.
type Tuning struct {
	// Allowance is the bound of extra attempts of all hosts.
	Allowance balance.Allowance
	// CPUs is the share of a processor that the host has. Zero means a whole
	// one.
	CPUs float64
	// CallerLatency is the one-way time between callers and the host.
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
	// stopping is closed when the requests in progress are to be answered now.
	stopping chan struct{}
}

// New returns a gateway that refuses every request until SetView.
func New(cfg Config, rng *rand.Rand) *Gateway {
	g := &Gateway{cfg: cfg, stopping: make(chan struct{}), shared: newSharedState(cfg.DataCentre, cfg.Self, rng)}
	g.SetTuning(cfg.Tuning)
	return g
}

// SetTuning replaces the tuning. Requests in progress may keep the former one.
func (g *Gateway) SetTuning(t Tuning) {
	if t.CPUs <= 0 {
		t.CPUs = 1
	}
	g.tuning.Store(&t)
	g.shared.setAllowance(t.Allowance)
}

// SetHosts replaces the number of hosts that share limits.
func (g *Gateway) SetHosts(n int) { g.shared.setHosts(n) }

// SetView replaces the view. Requests in progress keep the one that they began
// with.
func (g *Gateway) SetView(v *routing.View) {
	g.shared.setView(v)
	g.view.Store(v)
}

// SetPeers replaces the other hosts.
func (g *Gateway) SetPeers(peers []split.Peer) { g.shared.setPeers(peers) }

// View returns the view in force, or nil.
func (g *Gateway) View() *routing.View { return g.view.Load() }

// Running returns the number of requests in progress.
func (g *Gateway) Running() int { return int(g.running.Load()) }

// Stop answers the requests in progress, and those that still come, with what has
// arrived. It is called once, before the process ends.
func (g *Gateway) Stop() { close(g.stopping) }

// Serve answers a request. It returns early if ctx ends because the caller left.
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
	r.Message.Once = !route.Repeatable
	suspicion := g.shared.suspicion(g.cfg.Now(), &r.Message)
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
	patient := true
	if len(route.Shards) > 0 {
		admitted, overloaded := g.shared.admit(g.cfg.Now(), route)
		if !admitted {
			return g.refuse(r, route, result.DeadlineTooShort)
		}
		patient = !overloaded
		// A suspect is not divided, so that it runs on one replica at a time.
		if groups := g.groupCount(route); groups > 1 && suspicion == view.NotSuspected {
			return g.serveDivided(ctx, r, v, route, plan, groups)
		}
		if g.shared.tooFewReachable(g.cfg.Now(), route, plan) {
			return g.refuse(r, route, result.NoReplica)
		}
	}
	run := g.newExecution(r, v, route, plan, patient)
	return run.serve(ctx)
}

// Refuse answers a request that is not served because of what its caller sent.
func (g *Gateway) Refuse(id string, code result.Code) Answer {
	return g.refuse(&Request{Message: dispatch.Message{ID: id}}, nil, code)
}

func (g *Gateway) refuse(r *Request, route *routing.Route, code result.Code) Answer {
	g.cfg.Recorder.RequestEnded(g.summarize(r, g.view.Load(), route, code, g.cfg.Now()))
	return Answer{Code: code, RetryAfter: g.retryAfter(r.CallerTimeout)}
}

// summarize describes the end of a request that began at a time. The view and the
// route are nil if the request was refused before it had them.
func (g *Gateway) summarize(r *Request, v *routing.View, route *routing.Route, code result.Code, started time.Duration) RequestSummary {
	now := g.cfg.Now()
	e := RequestSummary{RequestID: r.Message.ID, Code: code, Took: now - started, Hosts: g.shared.hostCount()}
	if v != nil && v.Config != nil {
		e.Version = v.Config.Version
		e.ViewAge = now - v.ReadAt
	}
	if route != nil {
		e.Route = route.Name
	}
	return e
}

// Bounds of the time after which a caller is told to come back.
const (
	minRetryAfter     = 50 * time.Millisecond
	maxRetryAfter     = time.Second
	retryAfterDivisor = 8
)

// retryAfter returns when a request that did not run is worth sending again: a
// part of the time that its caller has, spread so that callers do not return
// together.
func (g *Gateway) retryAfter(patience time.Duration) time.Duration {
	base := min(max(patience/retryAfterDivisor, minRetryAfter), maxRetryAfter)
	return base + time.Duration(g.shared.randFloat()*float64(base))
}
