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

func (s *scene) wholeAnswer(ctx context.Context) {
	a, elapsed := s.query(ctx, 0)
	step := s.queryStep("A query over every shard", 0, result.Complete, a, elapsed)
	var check error
	if a.Coverage.Covered != searchShards {
		check = errors.New("not every shard is covered")
	}
	s.finish(step, check)
}

// reservation submits under a permit, and repeats the submit through the other
// hosts.
func (s *scene) reservation(ctx context.Context) {
	permits, err := s.clients[0].RequestPermit(ctx, api.PermitRequest{Service: orderService, Caller: standin.DefaultCaller})
	step := Step{Title: "A permit for a reservation", Host: s.clients[0].Addresses()[0], Expected: result.PermitIssued, Code: permits.Code}
	if err == nil {
		step.Facts = []string{"permit " + permits.Permits[0]}
	}
	s.finish(step, err)
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

func (s *scene) submit(ctx context.Context, title string, host int, order api.SubmitRequest, expected result.Code) {
	began := time.Now()
	a, err := s.clients[host].Submit(ctx, order)
	runs := s.deployment.Recorder.SubmitRuns(order.Permit)
	step := Step{
		Title: title, Host: s.clients[host].Addresses()[0], Expected: expected, Code: a.Code, Elapsed: time.Since(began), Submit: &a,
		Facts: []string{fmt.Sprintf("outcome %q, run %d time(s) by the endpoints", a.Outcome, runs)},
	}
	if err == nil && runs != 1 {
		err = fmt.Errorf("the endpoints ran the reservation %d times", runs)
	}
	s.finish(step, err)
}

// lostShard takes every replica of one shard away, and back.
func (s *scene) lostShard(ctx context.Context) {
	s.setLost(true)
	a, elapsed := s.query(ctx, 1)
	step := s.queryStep("A query while all replicas of one shard are lost", 1, result.Partial, a, elapsed)
	var check error
	if len(a.Coverage.Missing) != 1 {
		check = fmt.Errorf("%d ranges are missing, want 1", len(a.Coverage.Missing))
	}
	s.finish(step, check)
	s.setLost(false)
	s.recovered(ctx)
}

func (s *scene) setLost(lost bool) {
	for _, e := range s.deployment.Replicas(searchService, lostShard) {
		f := e.Faults()
		f.Lost = lost
		e.SetFaults(f)
	}
}

// recovered queries until the returned shard is covered again.
func (s *scene) recovered(ctx context.Context) {
	began := time.Now()
	a, _ := s.query(ctx, 1)
	for a.Code != result.Complete && time.Since(began) < recoveryTime && ctx.Err() == nil {
		time.Sleep(recoveryPause)
		a, _ = s.query(ctx, 1)
	}
	s.finish(s.queryStep("The same query after the shard came back", 1, result.Complete, a, time.Since(began)), nil)
}

// straggler delays one sub-request in twenty.
func (s *scene) straggler(ctx context.Context) {
	for _, e := range s.deployment.Endpoints() {
		f := e.Faults()
		f.DelayOneIn, f.DelayFactor = stragglerOneIn, stragglerFactor
		e.SetFaults(f)
	}
	a, elapsed := s.query(ctx, 2)
	step := s.queryStep("A query while one sub-request in twenty is delayed twentyfold", 2, result.Complete, a, elapsed)
	s.finish(step, nil)
}
