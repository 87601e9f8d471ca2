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
	// hopTime is the time that a part takes between two hosts, both ways.
	hopTime = 11 * time.Millisecond
	// mergeTime is the time in which this host's own parts reach the merge.
	mergeTime = 3 * time.Millisecond
)

// division is a query that is divided among hosts. It belongs to the goroutine
// that serves it.
type division struct {
	g       *Gateway
	request *Request
	view    *routing.View
	route   *routing.Route
	plan    *routing.Plan
	started time.Duration
	// target is when the answer is on time, and left when it is of no use any more.
	target  time.Duration
	left    time.Duration
	groups  []groupState
	results chan groupResult
	pending int
	trace   trace
	stages  Stages
}

// groupState is the progress of one group of shards.
type groupState struct {
	shards []int
	best   *split.Reply
	// open tells that a host has the request and did not reply yet, lost that it never
	// will; address is the host.
	open    bool
	lost    bool
	address string
}

// mayHaveRun reports whether an endpoint may have run the group's part.
func (s *groupState) mayHaveRun() bool {
	return s.open || s.lost || s.best != nil && (s.best.MayHaveRun || len(s.best.Stamps) > 0)
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

// groups returns into how many groups a route's shards are divided.
func (g *Gateway) groups(route *routing.Route) int {
	if g.cfg.Peers == nil {
		return 1
	}
	g.beliefs.mu.Lock()
	defer g.beliefs.mu.Unlock()
	return g.beliefs.peers.Groups(len(route.Shards))
}

// serveDivided answers a query whose shards are divided among hosts.
func (g *Gateway) serveDivided(ctx context.Context, r *Request, v *routing.View, route *routing.Route, plan *routing.Plan, groups int) Answer {
	dealt := split.Deal(plan.Services, groups)
	d := &division{
		g: g, request: r, view: v, route: route, plan: plan,
		started: g.cfg.Now(),
		target:  g.target(r, route),
		left:    patience(r.CallerTimeout, route.Timeout),
		groups:  make([]groupState, groups),
		results: make(chan groupResult, 2*groups),
	}
	ctx, cancel := context.WithTimeout(ctx, d.left)
	defer cancel()
	own := g.beliefs.ownGroups(groups, plan.DataCentres)
	for i, shards := range dealt {
		d.groups[i].shards = shards
		if len(shards) == 0 {
			continue
		}
		d.pending++
		if own[i] || !d.ask(ctx, i) {
			d.serveHere(ctx, i)
		}
	}
	return d.finish(d.collect(ctx))
}

// ask sends a group's shards to another host.
func (d *division) ask(ctx context.Context, group int) bool {
	address, ok := d.g.beliefs.pickPeer(d.g.cfg.Now(), group, len(d.groups), d.plan.DataCentres)
	if !ok {
		return false
	}
	d.groups[group].open, d.groups[group].address = true, address
	request := &split.Request{
		Index:   d.plan.Digest,
		Route:   d.route.Name,
		Shards:  d.groups[group].shards,
		Message: d.request.Message,
		Target:  d.target - hopTime,
	}
	asked := d.g.cfg.Now()
	go func() {
		reply, err := d.g.cfg.Peers.RequestPart(ctx, address, request)
		ok := err == nil && reply != nil && reply.Code == 0
		d.g.beliefs.peerEnded(d.g.cfg.Now(), address, ok, err != nil && ctx.Err() != nil && !expired(ctx))
		refused := reply != nil && reply.Code != 0 || errors.Is(err, ErrNotAccepted)
		if !ok {
			reply = nil
		}
		d.results <- groupResult{group: group, address: address, took: d.g.cfg.Now() - asked, reply: reply, refused: refused}
	}()
	return true
}

// expired reports whether a context ended by its deadline.
func expired(ctx context.Context) bool { return context.Cause(ctx) == context.DeadlineExceeded }

// serveHere serves a group's shards from this host, to end just before the merge, or
// if that has passed, before the answer is of no use any more.
func (d *division) serveHere(ctx context.Context, group int) {
	s := &d.groups[group]
	s.open, s.address = true, d.g.cfg.Self.Address
	shards := s.shards
	asked := d.g.cfg.Now()
	left := d.target - mergeTime - (asked - d.started)
	if left <= 0 {
		left += d.left - d.target
	}
	go func() {
		reply := d.g.serveShards(ctx, d.request, d.view, d.route, d.plan, shards, left)
		d.results <- groupResult{group: group, address: d.g.cfg.Self.Address, took: d.g.cfg.Now() - asked, reply: reply}
	}()
}

// collect waits for the groups: until the target, or if the least share is not in
// then, until it is or cannot be any more. It returns false if the caller left.
func (d *division) collect(ctx context.Context) bool {
	target := time.NewTimer(d.target)
	defer target.Stop()
	least := max(d.route.LeastShards, 1)
	late := false
	for d.pending > 0 && !d.hopeless(least) && !(late && d.covered() >= least) {
		select {
		case r := <-d.results:
			d.take(ctx, r)
		case <-target.C:
			late = true
			d.holdLate()
		case <-d.g.ending:
			return true
		case <-ctx.Done():
			return expired(ctx)
		}
	}
	return true
}

// covered returns the number of shards that are in.
func (d *division) covered() int {
	n := 0
	for i := range d.groups {
		if best := d.groups[i].best; best != nil {
			n += len(best.Stamps)
		}
	}
	return n
}

// hopeless reports whether the least share cannot be in any more. While nothing is
// known to have run, what is under way may still prove that nothing did.
func (d *division) hopeless(least int) bool {
	reach, ran := d.covered(), false
	for i := range d.groups {
		s := &d.groups[i]
		if s.open {
			reach += len(s.shards)
		} else {
			ran = ran || s.mayHaveRun()
		}
	}
	return ran && reach < least
}

// holdLate keeps further queries for a while from the hosts whose parts are late.
func (d *division) holdLate() {
	for i := range d.groups {
		if s := &d.groups[i]; s.open && s.address != d.g.cfg.Self.Address {
			d.g.beliefs.peerLate(d.g.cfg.Now(), s.address)
		}
	}
}

// note keeps what the time of a part tells, and a part that lacks shards.
func (d *division) note(r groupResult) {
	at := d.g.cfg.Now() - d.started
	lacking, code := len(d.groups[r.group].shards), result.PeerUnreachable
	if r.reply != nil {
		lacking, code = len(r.reply.Missing), result.Partial
		d.stages.replied(at)
	}
	if lacking > 0 {
		d.trace.add(Step{Kind: StepPart, At: at, Shard: lacking, Replica: r.address, Code: code, Took: r.took})
	}
}

// take notes a group's result. This host takes the place of one that provably did
// not take the request; the shards of one that was lost are missing, since its
// replicas count towards those that the request may be sent to.
func (d *division) take(ctx context.Context, r groupResult) {
	s := &d.groups[r.group]
	s.open = false
	s.lost = r.reply == nil && !r.refused
	s.best = r.reply
	d.note(r)
	switch {
	case r.refused:
		d.serveHere(ctx, r.group)
	default:
		d.pending--
	}
}
