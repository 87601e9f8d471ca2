package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/routing"
	"github.com/gypsumlug/gypsumlug/internal/split"
)

// ErrNotAccepted tells that a host provably did not take a request.
var ErrNotAccepted = errors.New("request not taken")

// PeerClient asks other hosts for parts of queries.
type PeerClient interface {
	// RequestPart asks a host; an error tells that no reply came. It is ErrNotTaken if the
	// request did not reach the host.
	RequestPart(ctx context.Context, address string, r *split.Request) (*split.Reply, error)
}

const (
	// peerRoundTrip is the time that a part takes between two hosts, both ways.
	peerRoundTrip = 11 * time.Millisecond
	// localMergeReserve is the time in which this host's own parts reach the merge.
	localMergeReserve = 3 * time.Millisecond
)

// dividedQuery is a query that is divided among hosts. It belongs to the goroutine
// that serves it.
type dividedQuery struct {
	g       *Gateway
	request *Request
	view    *routing.View
	route   *routing.Route
	plan    *routing.Plan
	started time.Duration
	// target is when the answer is on time, and left when it is of no use any more.
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
	// outstanding tells that a host has the request and did not reply yet, lost that it never
	// will; address is the host.
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
	// address is the host that was asked.
	address string
	took    time.Duration
	reply   *split.Reply
	// refused tells that the host did not take the request.
	refused bool
}

// groupCount returns into how many groupCount a route's shards are divided.
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
	dealt := split.GroupShards(plan.Services, groups)
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
	own := g.shared.locallyServedGroups(groups, plan.DataCentres)
	for i, shards := range dealt {
		d.groups[i].shards = shards
		if len(shards) == 0 {
			continue
		}
		d.pending++
		if own[i] || !d.sendToPeer(ctx, i) {
			d.serveLocally(ctx, i)
		}
	}
	return d.finish(d.awaitGroups(ctx))
}

// sendToPeer sends a group's shards to another host.
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
		Target:  d.target - peerRoundTrip,
	}
	asked := d.g.cfg.Now()
	go func() {
		reply, err := d.g.cfg.Peers.RequestPart(ctx, address, request)
		ok := err == nil && reply != nil && reply.Code == 0
		d.g.shared.peerRequestEnded(d.g.cfg.Now(), address, ok, err != nil && ctx.Err() != nil && !deadlineExceeded(ctx))
		refused := reply != nil && reply.Code != 0 || errors.Is(err, ErrNotAccepted)
		if !ok {
			reply = nil
		}
		d.results <- groupResult{group: group, address: address, took: d.g.cfg.Now() - asked, reply: reply, refused: refused}
	}()
	return true
}

// deadlineExceeded reports whether a context ended by its deadline.
func deadlineExceeded(ctx context.Context) bool {
	return context.Cause(ctx) == context.DeadlineExceeded
}

// serveLocally serves a group's shards from this host, to end just before the merge, or
// if that has passed, before the answer is of no use any more.
func (d *dividedQuery) serveLocally(ctx context.Context, group int) {
	s := &d.groups[group]
	s.outstanding, s.address = true, d.g.cfg.Self.Address
	shards := s.shards
	asked := d.g.cfg.Now()
	left := d.target - localMergeReserve - (asked - d.started)
	if left <= 0 {
		left += d.timeLimit - d.target
	}
	go func() {
		reply := d.g.serveShards(ctx, d.request, d.view, d.route, d.plan, shards, left)
		d.results <- groupResult{group: group, address: d.g.cfg.Self.Address, took: d.g.cfg.Now() - asked, reply: reply}
	}()
}

// awaitGroups waits for the groups: until the target, or if the least share is not in
// then, until it is or cannot be any more. It returns false if the caller left.
func (d *dividedQuery) awaitGroups(ctx context.Context) bool {
	target := time.NewTimer(d.target)
	defer target.Stop()
	least := max(d.route.LeastShards, 1)
	late := false
	for d.pending > 0 && !d.cannotReachMinShards(least) && !(late && d.covered() >= least) {
		select {
		case r := <-d.results:
			d.handleResult(ctx, r)
		case <-target.C:
			late = true
			d.backOffLatePeers()
		case <-d.g.stopping:
			return true
		case <-ctx.Done():
			return deadlineExceeded(ctx)
		}
	}
	return true
}

// covered returns the number of shards that are in.
func (d *dividedQuery) covered() int {
	n := 0
	for i := range d.groups {
		if best := d.groups[i].reply; best != nil {
			n += len(best.Stamps)
		}
	}
	return n
}

// cannotReachMinShards reports whether the least share cannot be in any more. While nothing is
// known to have run, what is under way may still prove that nothing did.
func (d *dividedQuery) cannotReachMinShards(least int) bool {
	reach, ran := d.covered(), false
	for i := range d.groups {
		s := &d.groups[i]
		if s.outstanding {
			reach += len(s.shards)
		} else {
			ran = ran || s.mayHaveRun()
		}
	}
	return ran && reach < least
}

// backOffLatePeers keeps further queries for a while from the hosts whose parts are late.
func (d *dividedQuery) backOffLatePeers() {
	for i := range d.groups {
		if s := &d.groups[i]; s.outstanding && s.address != d.g.cfg.Self.Address {
			d.g.shared.peerReplyLate(d.g.cfg.Now(), s.address)
		}
	}
}

// tracePart keeps what the time of a part tells, and a part that lacks shards.
func (d *dividedQuery) tracePart(r groupResult) {
	at := d.g.cfg.Now() - d.started
	lacking, code := len(d.groups[r.group].shards), result.PeerUnreachable
	if r.reply != nil {
		lacking, code = len(r.reply.Missing), result.Partial
		d.stages.shardReplied(at)
	}
	if lacking > 0 {
		d.trace.add(Step{Kind: StepPart, At: at, Shard: lacking, Replica: r.address, Code: code, Took: r.took})
	}
}

// handleResult notes a group's result. This host takes the place of one that provably did
// not handleResult the request; the shards of one that was lost are missing, since its
// replicas count towards those that the request may be sent to.
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
