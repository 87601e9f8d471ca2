package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/result"
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
	// RequestPart sends a part to the host at the address. An error means that
	// no reply came; it is ErrNotAccepted if the request certainly did not
	// reach the host, as when r.Departed reports true before it is sent.
	RequestPart(ctx context.Context, address string, r *split.Request) (*split.Reply, error)
}

const (
	// peerRoundTrip is the time reserved for sending a part to another host and
	// receiving its reply.
	peerRoundTrip = 11 * time.Millisecond
	// localMergeReserve is the time reserved for merging the parts that this
	// host serves itself.
	localMergeReserve = 3 * time.Millisecond
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
	results   chan groupResult
	pending   int
	trace     trace
	stages    Stages
}

// groupState is the progress of one group of shards.
type groupState struct {
	shards []int
	reply  *split.Reply
	// outstanding means that the host at address has the request and has not
	// replied yet; lost means that it will never reply.
	outstanding bool
	lost        bool
	address     string
}

// mayHaveRun reports whether an endpoint may have run the group's part.
func (s *groupState) mayHaveRun() bool {
	return s.outstanding || s.lost || s.reply != nil && (s.reply.MayHaveRun || len(s.reply.Stamps) > 0)
}

type groupResult struct {
	group int
	// address is the host that the request was sent to.
	address string
	took    time.Duration
	reply   *split.Reply
	// refused means that the host did not accept the request.
	refused bool
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
func (g *Gateway) serveDivided(ctx context.Context, r *Request, v *routing.View, route *routing.Route, plan *routing.Plan, groups int) Answer {
	shardsByGroup := split.GroupShards(plan.Services, groups)
	d := &dividedQuery{
		g: g, request: r, view: v, route: route, plan: plan,
		started:   g.cfg.Now(),
		target:    g.answerTarget(r, route),
		timeLimit: answerTimeLimit(r.CallerTimeout, route.Timeout),
		groups:    make([]groupState, groups),
		results:   make(chan groupResult, 2*groups),
	}
	ctx, cancel := context.WithTimeout(ctx, d.timeLimit)
	defer cancel()
	servedHere := g.shared.locallyServedGroups(groups, plan.DataCentres)
	for i, shards := range shardsByGroup {
		d.groups[i].shards = shards
		if len(shards) == 0 {
			continue
		}
		d.pending++
		if servedHere[i] || !d.sendToPeer(ctx, i) {
			d.serveLocally(ctx, i)
		}
	}
	return d.finish(d.awaitGroups(ctx))
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
		Index:   d.plan.Digest,
		Route:   d.route.Name,
		Shards:  d.groups[group].shards,
		Message: d.request.Message,
	}
	sentAt := d.g.cfg.Now()
	go func() {
		reply, err := d.requestPart(ctx, address, request)
		ok := err == nil && reply != nil && reply.Code == 0
		cancelled := errors.Is(err, errCallerLeft) || err != nil && ctx.Err() != nil && !deadlineExceeded(ctx)
		d.g.shared.peerRequestEnded(d.g.cfg.Now(), address, ok, cancelled)
		refused := reply != nil && reply.Code != 0 || errors.Is(err, ErrNotAccepted)
		if !ok {
			reply = nil
		}
		d.results <- groupResult{group: group, address: address, took: d.g.cfg.Now() - sentAt, reply: reply, refused: refused}
	}()
	return true
}

// requestPart sends a part to the host at the address, unless the caller has
// disconnected meanwhile. If it has, the error says nothing about the host.
func (d *dividedQuery) requestPart(ctx context.Context, address string, request *split.Request) (*split.Reply, error) {
	if d.request.callerLeft(ctx) {
		return nil, errCallerLeft
	}
	request.Target = d.partTimeLimit(peerRoundTrip)
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

// partTimeLimit returns the time that a part has from now on. It ends early enough,
// by the reserve, for its reply to be merged by the target or, if it is too late for
// that, by the time limit.
func (d *dividedQuery) partTimeLimit(reserve time.Duration) time.Duration {
	timeLimit := d.target - reserve - (d.g.cfg.Now() - d.started)
	if timeLimit <= 0 {
		timeLimit += d.timeLimit - d.target
	}
	return timeLimit
}

// serveLocally serves a group's shards from this host.
func (d *dividedQuery) serveLocally(ctx context.Context, group int) {
	s := &d.groups[group]
	s.outstanding, s.address = true, d.g.cfg.Self.Address
	shards := s.shards
	sentAt := d.g.cfg.Now()
	go func() {
		reply := d.g.serveShards(ctx, d.request, d.view, d.route, d.plan, shards, d.partTimeLimit(localMergeReserve))
		d.results <- groupResult{group: group, address: d.g.cfg.Self.Address, took: d.g.cfg.Now() - sentAt, reply: reply}
	}()
}

// awaitGroups waits for the groups until the target. If fewer shards than the
// route's LeastShards are covered then, it keeps waiting until they are or can no
// longer be. It returns false if the caller disconnected.
func (d *dividedQuery) awaitGroups(ctx context.Context) bool {
	target := time.NewTimer(d.target)
	defer target.Stop()
	leastShards := max(d.route.LeastShards, 1)
	pastTarget := false
	for d.pending > 0 && !d.cannotReachLeastShards(leastShards) && !(pastTarget && d.covered() >= leastShards) {
		select {
		case r := <-d.results:
			d.handleResult(ctx, r)
		case <-target.C:
			pastTarget = true
			d.backOffLatePeers()
		case <-d.g.stopping:
			return true
		case <-ctx.Done():
			return deadlineExceeded(ctx)
		}
	}
	return true
}

// covered returns the number of shards that have replied.
func (d *dividedQuery) covered() int {
	n := 0
	for i := range d.groups {
		if reply := d.groups[i].reply; reply != nil {
			n += len(reply.Stamps)
		}
	}
	return n
}

// cannotReachLeastShards reports whether the query can stop early: the
// outstanding groups cannot bring the covered shards up to leastShards. While no
// ended group may have run, it returns false, because the outstanding groups
// may still show that nothing ran, and the answer can then say so.
func (d *dividedQuery) cannotReachLeastShards(leastShards int) bool {
	reachable, someRan := d.covered(), false
	for i := range d.groups {
		s := &d.groups[i]
		if s.outstanding {
			reachable += len(s.shards)
		} else {
			someRan = someRan || s.mayHaveRun()
		}
	}
	return someRan && reachable < leastShards
}

// backOffLatePeers makes the peer table avoid, for a while, the hosts whose
// parts are late.
func (d *dividedQuery) backOffLatePeers() {
	for i := range d.groups {
		if s := &d.groups[i]; s.outstanding && s.address != d.g.cfg.Self.Address {
			d.g.shared.peerReplyLate(d.g.cfg.Now(), s.address)
		}
	}
}

// tracePart adds the time of a part's reply to the stages, and adds a step to
// the trace if shards are missing from the part.
func (d *dividedQuery) tracePart(r groupResult) {
	at := d.g.cfg.Now() - d.started
	missing, code := len(d.groups[r.group].shards), result.PeerUnreachable
	if r.reply != nil {
		missing, code = len(r.reply.Missing), result.Partial
		d.stages.shardReplied(at)
	}
	if missing > 0 {
		d.trace.addStep(Step{Kind: StepPart, At: at, Shard: missing, Replica: r.address, Code: code, Took: r.took})
	}
}

// handleResult processes the result of a group. If the host did not accept the
// request, this host serves the group instead. If the host was lost, the
// group's shards count as missing: that host may already have sent the request
// to as many replicas as the route allows.
func (d *dividedQuery) handleResult(ctx context.Context, r groupResult) {
	s := &d.groups[r.group]
	s.outstanding = false
	s.lost = r.reply == nil && !r.refused
	s.reply = r.reply
	d.tracePart(r)
	switch {
	case r.refused:
		d.serveLocally(ctx, r.group)
	default:
		d.pending--
	}
}
