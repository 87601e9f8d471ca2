// Package demo demonstrates queries, submits and their behaviour under faults in
// one process. It starts a stand-in platform, the stand-in endpoints of two services
// and three hosts on loopback, and sends requests to them with the public client.
package demo

import (
	"context"
	"fmt"
	"time"

	"github.com/gypsumlug/gypsumlug/api"
	"github.com/gypsumlug/gypsumlug/client"
	"github.com/gypsumlug/gypsumlug/internal/config"
	"github.com/gypsumlug/gypsumlug/internal/load"
	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/standin"
)

// The services of the demonstration, their size and their faults.
const (
	searchService = "dispatch-desk"
	orderService  = "pharmacy-orders"

	searchShards   = 12
	searchReplicas = 2
	orderShards    = 4
	hostCount      = 3
	hitLimit       = 3
	// lostShardIndex is the index of the shard that loses all its replicas.
	lostShardIndex = 5
	// stragglerOneIn is such that one in stragglerOneIn sub-requests is delayed, on
	// average.
	stragglerOneIn = 20
	// stragglerFactor multiplies the service time of a delayed sub-request.
	stragglerFactor  = 20
	serviceTime      = 4 * time.Millisecond
	recoveryTimeout  = 15 * time.Second
	recoveryInterval = 50 * time.Millisecond
)

// Step is the result of one step of the demonstration.
type Step struct {
	Title string `json:"title"`
	// Expected and Code are result codes.
	Expected result.Code   `json:"expected"`
	Code     result.Code   `json:"code"`
	Name     string        `json:"name"`
	Host     string        `json:"host"`
	Elapsed  time.Duration `json:"elapsed_ns"`
	// Passed is set if the result is as expected; otherwise Reason says why not.
	Passed bool   `json:"passed"`
	Reason string `json:"reason,omitempty"`
	// Facts are human-readable lines about the result.
	Facts []string `json:"facts"`
	// Query or Submit is the answer to the step's request.
	Query  *api.QueryAnswer  `json:"query,omitempty"`
	Submit *api.SubmitAnswer `json:"submit,omitempty"`
}

// demonstration holds the servers and clients of a run.
type demonstration struct {
	deployment *standin.Deployment
	fleet      *load.Fleet
	clients    []*client.Client
	report     func(Step)
	failed     int
}

// Run starts the servers, runs the steps and reports each of them. It returns the
// number of steps that did not pass.
func Run(ctx context.Context, report func(Step)) (int, error) {
	s := &demonstration{report: report}
	defer s.close()
	if err := s.start(ctx); err != nil {
		return 0, err
	}
	s.queryAllShards(ctx)
	s.submitOrder(ctx)
	s.queryWithLostShard(ctx)
	s.queryWithStragglers(ctx)
	return s.failed, nil
}

func (s *demonstration) start(ctx context.Context) error {
	dataCentres := []string{"ruwi", "seeb", "qurum"}
	d, err := standin.NewDeployment(standin.DeploymentOptions{
		DataCentres: dataCentres,
		Services: []standin.ServiceShape{
			{
				Name: searchService, Shards: searchShards, Replicas: searchReplicas, ServiceTime: serviceTime,
				Preference: config.PreferCoverage, Adjust: raiseHedgeBudget,
			},
			{Name: orderService, Shards: orderShards, Replicas: searchReplicas, ServiceTime: serviceTime, NotRepeatable: true},
		},
	})
	if err != nil {
		return err
	}
	s.deployment = d
	fleet, err := load.StartHostsOnPlatform(ctx, load.HostOptions{
		Platform: d.Platform.Address(), DataCentres: dataCentres, Hosts: hostCount,
	})
	if err != nil {
		return err
	}
	s.fleet = fleet
	for _, a := range fleet.Addresses {
		c, err := client.New([]string{a}, client.Options{})
		if err != nil {
			return err
		}
		s.clients = append(s.clients, c)
	}
	return nil
}

// raiseHedgeBudget lets a service hedge earlier and more often. The demonstration's
// index has few shards but many stragglers for its size, so that the default budget
// would be too small.
func raiseHedgeBudget(s *config.Service) {
	s.Hedge.PercentilePerMille = 900
	s.Hedge.BudgetPerMille = 200
}

func (s *demonstration) close() {
	for _, c := range s.clients {
		c.Close()
	}
	if s.fleet != nil {
		s.fleet.Close()
	}
	if s.deployment != nil {
		s.deployment.Close()
	}
}

// query sends the demonstration's query through a host and returns the answer and
// the elapsed time.
func (s *demonstration) query(ctx context.Context, host int) (api.QueryAnswer, time.Duration) {
	start := time.Now()
	a, _ := s.clients[host].Query(ctx, api.QueryRequest{
		Service: searchService, Caller: standin.DefaultCaller, Query: "iron powder refill", Limit: hitLimit,
	})
	return a, time.Since(start)
}

// completeStep decides whether a step has passed and reports it. check is an error
// of the step beyond its result code, or nil.
func (s *demonstration) completeStep(step Step, check error) {
	step.Name = step.Code.String()
	switch {
	case step.Code != step.Expected:
		step.Reason = fmt.Sprintf("got %d %s, want %d %s", step.Code, step.Code, step.Expected, step.Expected)
	case check != nil:
		step.Reason = check.Error()
	}
	step.Passed = step.Reason == ""
	if !step.Passed {
		s.failed++
	}
	s.report(step)
}

// queryStep returns the step for an answer to the query.
func (s *demonstration) queryStep(title string, host int, expected result.Code, a api.QueryAnswer, elapsed time.Duration) Step {
	step := Step{
		Title: title, Host: s.clients[host].Addresses()[0], Expected: expected, Code: a.Code, Elapsed: elapsed, Query: &a,
	}
	step.Facts = append(step.Facts, fmt.Sprintf("snapshot %d, %d of %d shards, %.1f%% of the keys",
		a.Snapshot, a.Coverage.Covered, a.Coverage.Shards, 100*a.Coverage.Fraction))
	for _, m := range a.Coverage.Missing {
		step.Facts = append(step.Facts, fmt.Sprintf("missing %s: %d %s", m.Range, m.Code, m.Name))
	}
	for _, h := range a.Hits {
		step.Facts = append(step.Facts, fmt.Sprintf("hit %s, score %.3f: %s", h.Document, h.Score, h.Body))
	}
	return step
}
