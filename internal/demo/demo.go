// Package demo shows the main job in one process: a platform, the endpoints of
// two services and three entry hosts on loopback, queried as a caller would.
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

// The services of the demonstration.
const (
	searchService = "dispatch-desk"
	orderService  = "pharmacy-orders"

	searchShards   = 12
	searchReplicas = 2
	orderShards    = 4
	hostCount      = 3
	shownHits      = 3
	// lostShard is the shard whose replicas all go away.
	lostShard = 5
	// stragglerOneIn delays one sub-request in so many.
	stragglerOneIn = 20
	// stragglerFactor multiplies the service time of a delayed sub-request.
	stragglerFactor = 20
	serviceTime     = 4 * time.Millisecond
	recoveryTime    = 15 * time.Second
	recoveryPause   = 50 * time.Millisecond
)

// Step is the outcome of one step.
type Step struct {
	Title string `json:"title"`
	// Expected and Code are result codes.
	Expected result.Code   `json:"expected"`
	Code     result.Code   `json:"code"`
	Name     string        `json:"name"`
	Host     string        `json:"host"`
	Elapsed  time.Duration `json:"elapsed_ns"`
	// Passed tells that the outcome is what it should be; Reason says why not.
	Passed bool   `json:"passed"`
	Reason string `json:"reason,omitempty"`
	// Facts are lines for a person.
	Facts []string `json:"facts"`
	// Query or Submit is the answer of the step.
	Query  *api.QueryAnswer  `json:"query,omitempty"`
	Submit *api.SubmitAnswer `json:"submit,omitempty"`
}

// scene holds what is running.
type scene struct {
	deployment *standin.Deployment
	fleet      *load.Fleet
	clients    []*client.Client
	report     func(Step)
	failed     int
}

// Run starts everything, carries out the steps and reports each. It returns the
// number of steps whose outcome was not what it should be.
func Run(ctx context.Context, report func(Step)) (int, error) {
	s := &scene{report: report}
	defer s.close()
	if err := s.start(ctx); err != nil {
		return 0, err
	}
	s.wholeAnswer(ctx)
	s.reservation(ctx)
	s.lostShard(ctx)
	s.straggler(ctx)
	return s.failed, nil
}

func (s *scene) start(ctx context.Context) error {
	dataCentres := []string{"ruwi", "seeb", "qurum"}
	d, err := standin.NewDeployment(standin.DeploymentOptions{
		DataCentres: dataCentres,
		Services: []standin.ServiceShape{
			{
				Name: searchService, Shards: searchShards, Replicas: searchReplicas, ServiceTime: serviceTime,
				Preference: config.PreferCoverage, Adjust: allowHedges,
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

// allowHedges gives a small index a budget for the many stragglers of the demo.
func allowHedges(s *config.Service) {
	s.Hedge.PercentilePerMille = 900
	s.Hedge.BudgetPerMille = 200
}

func (s *scene) close() {
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

func (s *scene) query(ctx context.Context, host int) (api.QueryAnswer, time.Duration) {
	began := time.Now()
	a, _ := s.clients[host].Query(ctx, api.QueryRequest{
		Service: searchService, Caller: standin.DefaultCaller, Query: "iron powder refill", Limit: shownHits,
	})
	return a, time.Since(began)
}

// finish completes a step and reports it.
func (s *scene) finish(step Step, check error) {
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

func (s *scene) queryStep(title string, host int, expected result.Code, a api.QueryAnswer, elapsed time.Duration) Step {
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
