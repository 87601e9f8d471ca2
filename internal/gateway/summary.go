package gateway

import (
	"time"

	"github.com/gypsumlug/gypsumlug/internal/query"
	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/routing"
)

// RequestSummary describes a request that has been answered.
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
	// ViewAge is how long ago the view that served the request was read from
	// the store.
	ViewAge time.Duration
	Missing []query.Missing
	// Hosts is the number of hosts that share the budget of extra attempts.
	Hosts int
	// Target is the time within which the answer counted as on time.
	Target time.Duration
	// Steps explain how the request ended.
	Steps []Step
	// Stages are the times at which the request reached each stage.
	Stages Stages
	// Part means that the request is a part of a divided query, from another
	// host or from this one, and not a caller's request.
	Part bool
}

// Stages holds the times, since the start of a request, at which it reached
// each stage. Zero means that it did not reach the stage.
type Stages struct {
	// Sent is when the first attempt was sent.
	Sent time.Duration
	// FirstReply and LastShard are when the first and the last successful reply
	// arrived.
	FirstReply, LastShard time.Duration
	// Merge is how long it took to merge the replies.
	Merge time.Duration
}

// shardReplied records the time of a successful reply.
func (s *Stages) shardReplied(at time.Duration) {
	if s.FirstReply == 0 {
		s.FirstReply = at
	}
	s.LastShard = at
}

// summarize describes a request that started at the given time and has ended. v
// and route are nil if the request was refused before they were known.
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
