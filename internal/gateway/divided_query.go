package gateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/bodymemory"
	"github.com/gypsumlug/gypsumlug/internal/query"
	"github.com/gypsumlug/gypsumlug/internal/routing"
	"github.com/gypsumlug/gypsumlug/internal/split"
)

// ErrNotAccepted means that the host certainly did not accept the request, so
// nothing ran there.
var ErrNotAccepted = errors.New("peer did not accept the request")

// errCallerLeft means that a part was not sent because the caller has disconnected.
var errCallerLeft = errors.New("caller has disconnected")

// PeerClient sends parts of divided queries to other hosts. A part is the work
// for one group of shards.
type PeerClient interface {
	// RequestPart sends a part to the host at the address and returns the last
	// reply. Those before it are passed to r.OnPartial. An error means that the
	// last reply did not come; it is ErrNotAccepted if the request certainly did
	// not reach the host, as when r.Departed reports true before it is sent.
	RequestPart(ctx context.Context, address string, r *split.Request) (*split.Reply, error)
}

const (
	// peerRoundTrip is the time reserved for sending a part to another host and
	// receiving its reply.
	peerRoundTrip = 11 * time.Millisecond
	// localMergeReserve is the time reserved for merging the parts that this
	// host serves itself.
	localMergeReserve = 3 * time.Millisecond
	// settleTime is how long a late answer with enough shards waits for others: hosts
	// report shards that reply after the target at intervals.
	settleTime = 2 * partialReplyInterval
	// minPartTime is the least time limit of a part.
	minPartTime = 5 * time.Millisecond
)

// dividedQuery is the state of a query that is divided among hosts. Only the
// goroutine that serves the query changes it.
type dividedQuery struct {
	g       *Gateway
	request *Request
	view    *routing.View
	route   *routing.Route
	plan    *routing.Plan
	started time.Duration
	// target is the time from the start within which the answer is on time;
	// timeLimit is the time after which it is useless to the caller.
	target    time.Duration
	timeLimit time.Duration
	groups    []groupState
	// covered is the number of covered shards, and enoughAt when it reached the route's
	// LeastShards.
	covered  int
	enoughAt time.Duration
	results  chan groupResult
	// done is closed when no more results are read.
	done   chan struct{}
	trace  trace
	stages Stages
	// held is the size of the replies of groups, and charge what they are charged until the
	// answer has been written.
	held   int64
	charge *bodymemory.Charge
	memory *bodymemory.Holder
}

// groupCount returns the number of groups into which a route's shards are
// divided.
func (g *Gateway) groupCount(route *routing.Route) int {
	if g.cfg.Peers == nil {
		return 1
	}
	g.shared.mu.Lock()
	defer g.shared.mu.Unlock()
	return g.shared.peers.Groups(len(route.Shards))
}

// serveDivided answers a query whose shards are divided among hosts.
func (g *Gateway) serveDivided(ctx context.Context, r *Request, v *routing.View, route *routing.Route, plan *routing.Plan, groups int, allowLate bool) Answer {
	shardsByGroup := split.GroupShards(plan.Services, groups)
	target := g.answerTarget(r, route)
	d := &dividedQuery{
		g: g, request: r, view: v, route: route, plan: plan,
		started:   g.cfg.Now(),
		target:    target,
		timeLimit: usefulUntil(r, route, target, allowLate),
		groups:    make([]groupState, groups),
		results:   make(chan groupResult, 2*groups),
		done:      make(chan struct{}),
		charge:    g.cfg.Memory.NewCharge(),
		memory:    new(bodymemory.Holder),
	}
	d.memory.Hold(d.charge)
	defer close(d.done)
	ctx, cancel := context.WithTimeout(ctx, d.timeLimit)
	defer cancel()
	servedHere := g.shared.locallyServedGroups(groups, plan.DataCentres)
	for i, shards := range shardsByGroup {
		d.groups[i].shards = shards
		if len(shards) == 0 {
			continue
		}
		if servedHere[i] || !d.sendToPeer(ctx, i) {
			d.serveLocally(ctx, i)
		}
	}
	answered := d.awaitGroups(ctx)
	if p := d.progress(); answered && p.Open > 0 && p.Now < p.AnswerAt() {
		d.g.cfg.Recorder.QueryEvent(query.Event{Kind: query.EventEarlyAnswer})
	}
	answer := d.finish(answered)
	answer.memory = d.memory
	return answer
}

// sendToPeer sends a group's shards to another host. It returns false if no
// host is available.
func (d *dividedQuery) sendToPeer(ctx context.Context, group int) bool {
	address, ok := d.g.shared.pickPeer(d.g.cfg.Now(), group, len(d.groups), d.plan.DataCentres)
	if !ok {
		return false
	}
	d.groups[group].outstanding, d.groups[group].address = true, address
	request := &split.Request{
		Index:      d.plan.Digest,
		Route:      d.route.Name,
		Shards:     d.groups[group].shards,
		TopRecords: d.route.TopRecords,
		Message:    d.request.Message,
		Failures:   d.g.partFailures(d.plan, d.groups[group].shards),
		Overload:   d.g.shared.overloadHints(d.g.cfg.Now(), d.plan),
	}
	sentAt := d.g.cfg.Now()
	request.OnPartial = d.partialReplyTo(group, address, sentAt)
	go func() {
		reply, err := d.requestPart(ctx, address, request)
		ok := err == nil && reply != nil && reply.Code == 0
		cancelled := errors.Is(err, errCallerLeft) || err != nil && ctx.Err() != nil && !deadlineExceeded(ctx)
		d.g.shared.peerRequestEnded(d.g.cfg.Now(), address, ok, cancelled)
		refused := reply != nil && reply.Code != 0 || errors.Is(err, ErrNotAccepted)
		if !ok {
			reply = nil
		}
		d.deliver(groupResult{group: group, address: address, took: d.g.cfg.Now() - sentAt, reply: reply, refused: refused})
	}()
	return true
}

// deliver passes a result to the goroutine that serves the query, unless the query has
// ended.
func (d *dividedQuery) deliver(r groupResult) {
	select {
	case d.results <- r:
	case <-d.done:
	}
}

// partialReplyTo returns a function that delivers the replies before the last one to a
// part that was sent to a host.
func (d *dividedQuery) partialReplyTo(group int, address string, sentAt time.Duration) func(*split.Reply) {
	return func(reply *split.Reply) {
		d.deliver(groupResult{group: group, address: address, took: d.g.cfg.Now() - sentAt, reply: reply})
	}
}

// requestPart sends a part to the host at the address, unless the caller has
// disconnected meanwhile. If it has, the error says nothing about the host.
func (d *dividedQuery) requestPart(ctx context.Context, address string, request *split.Request) (*split.Reply, error) {
	if d.request.callerLeft(ctx) {
		return nil, errCallerLeft
	}
	times := d.partTimes(peerRoundTrip)
	request.Target, request.TimeLimit = times.target, times.limit
	request.Departed = func() bool { return d.request.callerLeft(ctx) }
	reply, err := d.g.cfg.Peers.RequestPart(ctx, address, request)
	if err != nil && request.Departed() {
		return nil, errCallerLeft
	}
	return reply, err
}

// deadlineExceeded reports whether ctx ended because its deadline passed.
func deadlineExceeded(ctx context.Context) bool {
	return context.Cause(ctx) == context.DeadlineExceeded
}

// partTimes returns the times that a part has from now on. They are early enough, by the
// reserve, for a reply to be merged by the query's target or time limit.
func (d *dividedQuery) partTimes(reserve time.Duration) partTimes {
	spent := reserve + d.g.cfg.Now() - d.started
	return partTimes{target: max(d.target-spent, 0), limit: max(d.timeLimit-spent, minPartTime)}
}

// serveLocally serves a group's shards from this host.
func (d *dividedQuery) serveLocally(ctx context.Context, group int) {
	s := &d.groups[group]
	s.outstanding, s.address = true, d.g.cfg.Self.Address
	shards := s.shards
	sentAt := d.g.cfg.Now()
	onPartial := d.partialReplyTo(group, s.address, sentAt)
	go func() {
		reply := d.g.serveShards(ctx, d.request, d.view, d.route, d.plan, shards, d.partTimes(localMergeReserve), onPartial)
		d.deliver(groupResult{group: group, address: d.g.cfg.Self.Address, took: d.g.cfg.Now() - sentAt, reply: reply})
	}()
}

// awaitGroups waits for the groups until the query is to be answered or given up. It
// returns false if the caller disconnected.
func (d *dividedQuery) awaitGroups(ctx context.Context) bool {
	timer := time.NewTimer(d.target)
	defer timer.Stop()
	noteLatePeers := sync.OnceFunc(d.backOffLatePeers)
	for d.verdict() == query.GoOn {
		select {
		case r := <-d.results:
			d.handleResult(ctx, r)
			if p := d.progress(); p.Covered >= p.Least {
				timer.Reset(p.AnswerAt() - p.Now)
			}
		case <-timer.C:
			noteLatePeers()
		case <-d.g.stopping:
			return true
		case <-ctx.Done():
			return deadlineExceeded(ctx)
		}
	}
	return true
}

// backOffLatePeers makes the peer table avoid, for a while, the hosts that have not
// replied at all.
func (d *dividedQuery) backOffLatePeers() {
	for i := range d.groups {
		if s := &d.groups[i]; s.outstanding && len(s.replies) == 0 && s.address != d.g.cfg.Self.Address {
			d.g.shared.peerReplyLate(d.g.cfg.Now(), s.address)
		}
	}
}
