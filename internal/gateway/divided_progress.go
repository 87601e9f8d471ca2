package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/query"
	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/split"
)

// groupState is the progress of one group of shards.
type groupState struct {
	shards []int
	// replies are the replies so far, of which covered shards are the sum.
	replies []*split.Reply
	covered int
	// outstanding means that the host at address has the request and has not sent
	// its last reply yet; lost means that it never will.
	outstanding bool
	lost        bool
	address     string
	// unlikely means that the open shards are unlikely to be covered by the target.
	unlikely bool
}

// mayHaveRun reports whether an endpoint may have run the group's part.
func (s *groupState) mayHaveRun() bool {
	return s.outstanding || s.lost || slices.ContainsFunc(s.replies, func(r *split.Reply) bool {
		return r.MayHaveRun || len(r.Stamps) > 0
	})
}

// open returns the number of shards that the group's host may still cover.
func (s *groupState) open() int {
	if !s.outstanding {
		return 0
	}
	return len(s.shards) - s.covered
}

// addReply adds a reply to the group.
func (s *groupState) addReply(r *split.Reply) {
	s.replies = append(s.replies, r)
	s.covered += len(r.Stamps)
	s.unlikely = s.unlikely || r.Unlikely
}

type groupResult struct {
	group int
	// address is the host that the request was sent to.
	address string
	took    time.Duration
	// reply is nil if the host did not reply, or not with a last reply.
	reply *split.Reply
	// refused means that the host did not accept the request.
	refused bool
}

// isLast reports whether no other result of the group follows.
func (r *groupResult) isLast() bool { return r.reply == nil || !r.reply.More }

// verdict decides about the query now.
func (d *dividedQuery) verdict() query.Verdict { return query.Decide(d.progress()) }

// progress describes the query now.
func (d *dividedQuery) progress() query.Progress {
	p := query.Progress{
		Covered: d.covered, Least: d.leastShards(), EnoughAt: d.enoughAt,
		Now: d.g.cfg.Now(), Target: d.started + d.target, Deadline: d.started + d.timeLimit,
		Settle: settleTime, NotRun: true, Forecast: true,
	}
	for i := range d.groups {
		s := &d.groups[i]
		p.Open += s.open()
		if !s.unlikely {
			p.Expected += float64(s.open())
		}
		if s.covered > 0 || !s.outstanding && s.mayHaveRun() {
			p.NotRun = false
		}
	}
	return p
}

// leastShards returns the least number of covered shards of a useful answer.
func (d *dividedQuery) leastShards() int { return max(d.route.LeastShards, 1) }

// tracePart adds the time of a part's reply to the stages. At the last one, it adds a
// step to the trace if shards are missing from the part.
func (d *dividedQuery) tracePart(r groupResult) {
	at := d.g.cfg.Now() - d.started
	if r.reply != nil && len(r.reply.Stamps) > 0 {
		d.stages.shardReplied(at)
	}
	if !r.isLast() {
		return
	}
	s := &d.groups[r.group]
	code := result.Partial
	if r.reply == nil {
		code = result.PeerUnreachable
	}
	if missing := len(s.shards) - s.covered; missing > 0 {
		d.trace.addStep(Step{Kind: StepPart, At: at, Shard: missing, Replica: r.address, Code: code, Took: r.took})
	}
}

// handleResult processes a result of a group. If the host did not accept the
// request, this host serves the group instead. If the host was lost, the
// group's open shards count as missing: that host may already have sent the request
// to as many replicas as the route allows.
func (d *dividedQuery) handleResult(ctx context.Context, r groupResult) {
	s := &d.groups[r.group]
	if r.reply != nil && !d.hold(r.reply) {
		r.reply = nil
	}
	if r.reply != nil {
		d.g.shared.learnOutOfReach(d.g.cfg.Now(), r.address, r.reply.OutOfReach)
		d.g.MergeFailureHints(r.reply.Failures)
		s.addReply(r.reply)
		d.g.shared.reportScarce(d.g.cfg.Now(), d.plan, s.shards, r.reply)
		d.countCovered(len(r.reply.Stamps))
	}
	s.outstanding = !r.isLast()
	s.lost = r.reply == nil && !r.refused
	d.tracePart(r)
	if r.refused {
		d.serveLocally(ctx, r.group)
	}
}

// hold charges a reply for what is kept of it until the answer has been written. It reports false
// if the memory for responses is spent; the reply then counts as lost.
func (d *dividedQuery) hold(r *split.Reply) bool {
	size := len(r.Records)
	for _, stamp := range r.Stamps {
		size += len(stamp)
	}
	d.held += int64(size)
	return d.charge.Grow(d.held)
}

// countCovered adds newly covered shards.
func (d *dividedQuery) countCovered(n int) {
	before := d.covered
	d.covered += n
	if before < d.leastShards() && d.covered >= d.leastShards() {
		d.enoughAt = d.g.cfg.Now()
	}
}
