package demo

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/gypsumlug/gypsumlug/api"
	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/standin"
)

// queryAllShards sends a query that all shards can answer.
func (s *demonstration) queryAllShards(ctx context.Context) {
	a, elapsed := s.query(ctx, 0)
	step := s.queryStep("A query over every shard", 0, result.Complete, a, elapsed)
	var check error
	if a.Coverage.Covered != searchShards {
		check = errors.New("not every shard is covered")
	}
	s.completeStep(step, check)
}

// submitOrder requests a permit, submits an order under it, and repeats the submit
// through the other hosts.
func (s *demonstration) submitOrder(ctx context.Context) {
	permits, err := s.clients[0].RequestPermit(ctx, api.PermitRequest{Service: orderService, Caller: standin.DefaultCaller})
	step := Step{Title: "A permit for a reservation", Host: s.clients[0].Addresses()[0], Expected: result.PermitIssued, Code: permits.Code}
	if err == nil {
		step.Facts = []string{"permit " + permits.Permits[0]}
	}
	s.completeStep(step, err)
	if err != nil {
		return
	}
	order := api.SubmitRequest{
		Service: orderService, Caller: standin.DefaultCaller, Permit: permits.Permits[0], Body: "reserve 12 gel packs",
	}
	s.submit(ctx, "The reservation", 0, order, result.Done)
	for host := 1; host < len(s.clients); host++ {
		s.submit(ctx, "The same reservation again, through another host", host, order, result.Replayed)
	}
}

// submit sends the order through a host. The step fails if the endpoints have not
// run the order exactly once.
func (s *demonstration) submit(ctx context.Context, title string, host int, order api.SubmitRequest, expected result.Code) {
	start := time.Now()
	a, err := s.clients[host].Submit(ctx, order)
	runs := s.deployment.Recorder.SubmitRuns(order.Permit)
	step := Step{
		Title: title, Host: s.clients[host].Addresses()[0], Expected: expected, Code: a.Code, Elapsed: time.Since(start), Submit: &a,
		Facts: []string{fmt.Sprintf("outcome %q, run %d time(s) by the endpoints", a.Outcome, runs)},
	}
	if err == nil && runs != 1 {
		err = fmt.Errorf("the endpoints ran the reservation %d times", runs)
	}
	s.completeStep(step, err)
}

// queryWithLostShard sends queries while all replicas of a shard are down, and after
// they are up again.
func (s *demonstration) queryWithLostShard(ctx context.Context) {
	s.setLost(true)
	a, elapsed := s.query(ctx, 1)
	step := s.queryStep("A query while all replicas of one shard are lost", 1, result.Partial, a, elapsed)
	var check error
	if len(a.Coverage.Missing) != 1 {
		check = fmt.Errorf("%d ranges are missing, want 1", len(a.Coverage.Missing))
	}
	s.completeStep(step, check)
	s.setLost(false)
	s.queryUntilComplete(ctx)
}

// setLost sets or clears the fault Lost of all replicas of the shard at
// lostShardIndex.
func (s *demonstration) setLost(lost bool) {
	for _, e := range s.deployment.Replicas(searchService, lostShardIndex) {
		f := e.Faults()
		f.Lost = lost
		e.SetFaults(f)
	}
}

// queryUntilComplete repeats the query until the answer covers all shards again, for
// at most recoveryTimeout.
func (s *demonstration) queryUntilComplete(ctx context.Context) {
	start := time.Now()
	a, _ := s.query(ctx, 1)
	for a.Code != result.Complete && time.Since(start) < recoveryTimeout && ctx.Err() == nil {
		time.Sleep(recoveryInterval)
		a, _ = s.query(ctx, 1)
	}
	s.completeStep(s.queryStep("The same query after the shard came back", 1, result.Complete, a, time.Since(start)), nil)
}

// queryWithStragglers sends a query while one sub-request in stragglerOneIn is delayed.
func (s *demonstration) queryWithStragglers(ctx context.Context) {
	for _, e := range s.deployment.Endpoints() {
		f := e.Faults()
		f.DelayOneIn, f.DelayFactor = stragglerOneIn, stragglerFactor
		e.SetFaults(f)
	}
	a, elapsed := s.query(ctx, 2)
	step := s.queryStep("A query while one sub-request in twenty is delayed twentyfold", 2, result.Complete, a, elapsed)
	s.completeStep(step, nil)
}
