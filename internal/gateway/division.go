package gateway

import (
	"context"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/routing"
	"github.com/gypsumlug/gypsumlug/internal/split"
)

// Peers asks other hosts for parts of queries.
type Peers interface {
	// Part asks a host; an error tells that no reply came.
	Part(ctx context.Context, address string, r *split.Request) (*split.Reply, error)
}

const (
	// hopTime is the time that a part takes between two hosts, both ways.
	hopTime = 11 * time.Millisecond
	// mergeTime is the time in which this host's own parts reach the merge.
	mergeTime = 3 * time.Millisecond
	// failoverDivisor gives the time without a reply after which a host serves
	// another one's shards itself, as a part of the target.
	failoverDivisor = 2
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
	target  time.Duration
	groups  []groupState
	results chan groupResult
	pending int
}

// groupState is the progress of one group of shards.
type groupState struct {
	shards []int
	best   *split.Reply
	// open counts the tries without a result, of this host and others.
	open int
	// own tells that this host tries.
	own bool
}

type groupResult struct {
	group int
	reply *split.Reply
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
		groups:  make([]groupState, groups),
		results: make(chan groupResult, 2*groups),
	}
	ctx, cancel := context.WithTimeout(ctx, d.target)
	defer cancel()
	own := g.beliefs.ownGroup(groups)
	for i, shards := range dealt {
		d.groups[i].shards = shards
		if len(shards) == 0 {
			continue
		}
		d.pending++
		if i == own || !d.ask(ctx, i) {
			d.serveHere(ctx, i)
		}
	}
	return d.finish(d.collect(ctx))
}

// ask sends a group's shards to another host.
func (d *division) ask(ctx context.Context, group int) bool {
	address, ok := d.g.beliefs.pickPeer(d.g.cfg.Now(), group, len(d.groups))
	if !ok {
		return false
	}
	d.groups[group].open++
	request := &split.Request{
		Index:   d.plan.Digest,
		Route:   d.route.Name,
		Shards:  d.groups[group].shards,
		Message: d.request.Message,
		Target:  d.target - hopTime,
	}
	go func() {
		reply, err := d.g.cfg.Peers.Part(ctx, address, request)
		ok := err == nil && reply != nil && reply.Code == 0
		d.g.beliefs.peerEnded(d.g.cfg.Now(), address, ok || ctx.Err() != nil && err != nil && !late(ctx))
		refused := reply != nil && reply.Code != 0
		if !ok {
			reply = nil
		}
		d.results <- groupResult{group: group, reply: reply, refused: refused}
	}()
	return true
}

// late reports whether a context ended by its deadline.
func late(ctx context.Context) bool { return context.Cause(ctx) == context.DeadlineExceeded }

// serveHere serves a group's shards from this host.
func (d *division) serveHere(ctx context.Context, group int) {
	s := &d.groups[group]
	s.open++
	s.own = true
	d.serveShards(ctx, group, s.shards)
}

// serveShards serves some shards of a group from this host, to end just before
// the merge.
func (d *division) serveShards(ctx context.Context, group int, shards []int) {
	left := d.target - mergeTime - (d.g.cfg.Now() - d.started)
	go func() {
		d.results <- groupResult{group: group, reply: d.g.serveShards(ctx, d.request, d.view, d.route, d.plan, shards, left)}
	}()
}

// collect waits for the groups until the target. It returns false if the caller
// left.
func (d *division) collect(ctx context.Context) bool {
	failover := time.NewTimer(d.target / failoverDivisor)
	defer failover.Stop()
	end := time.NewTimer(d.target)
	defer end.Stop()
	for d.pending > 0 {
		select {
		case r := <-d.results:
			d.take(ctx, r)
		case <-failover.C:
			d.failOver(ctx)
		case <-end.C:
			return true
		case <-d.g.ending:
			return true
		case <-ctx.Done():
			return late(ctx)
		}
	}
	return true
}

// take notes a group's result. A host that failed is replaced by this one.
func (d *division) take(ctx context.Context, r groupResult) {
	s := &d.groups[r.group]
	s.open--
	if r.reply != nil && (s.best == nil || len(r.reply.Stamps) > len(s.best.Stamps)) {
		s.best = r.reply
	}
	switch {
	case s.best != nil && len(s.best.Missing) == 0, s.open == 0 && s.own:
		d.pending--
		s.own = true
	case s.open == 0 && r.refused:
		d.serveHere(ctx, r.group)
	case s.open == 0:
		d.replace(ctx, r.group)
	}
}

// failOver serves the groups that have no reply by now.
func (d *division) failOver(ctx context.Context) {
	for i := range d.groups {
		if s := &d.groups[i]; s.open > 0 && s.best == nil && !s.own {
			d.replace(ctx, i)
		}
	}
}

// replace serves a group here in place of another host, within the budget, since
// the replicas may have had the request from there.
func (d *division) replace(ctx context.Context, group int) {
	s := &d.groups[group]
	allowed := s.shards[:0:0]
	for _, i := range s.shards {
		if d.g.beliefs.takeExtra(d.g.cfg.Now(), d.plan.Services[i]) {
			allowed = append(allowed, i)
		}
	}
	s.own = true
	if len(allowed) == 0 {
		if s.open == 0 {
			d.pending--
		}
		return
	}
	s.open++
	d.serveShards(ctx, group, allowed)
}
