//go:build review

// Command 7 is the script of case 7: a query that crashes the replicas that run it comes three
// times; afterwards the other queries of its route are refused.
package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gypsumlug/gypsumlug/review/lab"
	"github.com/gypsumlug/gypsumlug/review/poison"
)

const (
	hostCount = 5
	// An index of shardCount shards, with the replicas of the site file.
	shardCount       = 20
	replicasPerShard = 2
	maxConnections   = 58
	queriesPerS      = 22.5 // on each route
	timeLimit        = 2 * time.Second

	callers       = 40
	httpHost      = "sala.example"
	deadlyQuery   = "q=testigo-1931"
	deadlyCaller  = "127.0.0.9"
	callerAddress = "127.0.1.%d"

	// The second route is added after routeAdded, and its deadly query comes three times, the
	// first time after deadlyAt. The steady state begins after steadyAt: by then all
	// replicas have been back for long.
	routeAdded = 4 * time.Second
	deadlyAt   = 14 * time.Second
	comesAgain = 2 * time.Second
	deadlySent = 3
	steadyAt   = 35 * time.Second
	runTime    = 65 * time.Second
	// The rule asks for leastRequests, served leastShare as often as those on the first routes.
	leastRequests = 20
	leastShare    = 0.25
)

func main() { lab.Main(run) }

func run(dir string, record *lab.Record) (int, error) {
	platform, err := lab.StartPlatform()
	if err != nil {
		return 0, err
	}
	s := &poison.Servers{Platform: platform, Record: record, DeadlyQuery: deadlyQuery, BackAfter: 2 * time.Second}
	var shards []string
	for i := range shardCount {
		shards = append(shards, fmt.Sprintf("sala-%d", i))
		for range replicasPerShard {
			if err := s.Start(poison.Service{Name: shards[i], Slots: 2, Work: 9 * time.Millisecond}); err != nil {
				return 0, err
			}
		}
	}
	configure(platform, 1, shards, "/audiencias/")
	hosts, err := poison.StartHosts(dir, platform, hostCount)
	if err != nil {
		return 0, err
	}
	r := &requesters{hosts: hosts, record: record, started: time.Now(), counts: map[string]map[int]int{"/audiencias/": {}, "/citas/": {}}}
	time.AfterFunc(routeAdded, func() {
		configure(platform, 3, shards, "/audiencias/", "/citas/")
		record.Line("version 3 adds the route of /citas/")
	})
	for i := range callers {
		r.running.Go(func() { r.sendOrdinary(i) })
	}
	r.running.Go(r.sendDeadly)
	r.running.Wait()
	return check(record, s, r), nil
}

// configure writes a version with a route over all shards for each prefix.
func configure(platform *lab.Platform, version int, shards []string, prefixes ...string) {
	var routes, services []map[string]any
	for i, prefix := range prefixes {
		routes = append(routes, map[string]any{
			"name": fmt.Sprintf("r-%d", i), "host": httpHost, "prefix": prefix, "type": "safe", "timeout_ms": 2000, "target_latency_ms": 200, "priority": i,
			"gather": shards, lab.Names.MaxAttempts: 2, lab.Names.TopK: 5, lab.Names.MinShardRatio: 0.75,
		})
	}
	for _, name := range shards {
		services = append(services, map[string]any{"name": name, lab.Names.HealthCheckPath: "/health", "max_connections": maxConnections, "protocol": "h1", "tls": false})
	}
	platform.Put(lab.Names.ConfigKey, map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
}

// requesters send the requests.
type requesters struct {
	hosts   []*lab.Host
	record  *lab.Record
	started time.Time
	running sync.WaitGroup
	sent    atomic.Int64
	mu      sync.Mutex
	// counts are the answers in steady state, by route and status.
	counts map[string]map[int]int
}

// sendOrdinary sends the queries of one caller, half of them on each route, at random hosts.
func (r *requesters) sendOrdinary(caller int) {
	client := poison.NewClient(fmt.Sprintf(callerAddress, caller+1))
	mean := callers / (2 * queriesPerS) * float64(time.Second)
	for {
		time.Sleep(time.Duration(mean * (0.5 + rand.Float64())))
		sentAfter := time.Since(r.started)
		if sentAfter > runTime {
			return
		}
		prefix := "/audiencias/"
		if sentAfter > routeAdded+4*time.Second && rand.IntN(2) == 0 {
			prefix = "/citas/"
		}
		target := fmt.Sprintf("%sbuscar?q=testigo-%d-%d", prefix, caller, rand.IntN(10000))
		id := fmt.Sprintf("ordinary-%d", r.sent.Add(1))
		status := poison.Send(r.record, client, r.hosts[rand.IntN(len(r.hosts))], poison.Request{Method: http.MethodGet, HTTPHost: httpHost, Target: target, ID: id, Limit: timeLimit})
		if sentAfter > steadyAt {
			r.mu.Lock()
			r.counts[prefix][status]++
			r.mu.Unlock()
		}
	}
}

// sendDeadly sends the deadly query: the same caller, path, query and body each time.
func (r *requesters) sendDeadly() {
	client := poison.NewClient(deadlyCaller)
	time.Sleep(deadlyAt)
	for n := range deadlySent {
		id := fmt.Sprintf("deadly-%03d", n)
		poison.Send(r.record, client, r.hosts[n%len(r.hosts)], poison.Request{Method: http.MethodGet, HTTPHost: httpHost, Target: "/citas/buscar?" + deadlyQuery, ID: id, Limit: timeLimit})
		time.Sleep(comesAgain)
	}
}

// check compares how often requests on the two routes were served in steady state.
func check(record *lab.Record, s *poison.Servers, r *requesters) int {
	crashed := 0
	for _, e := range s.Executions() {
		if e.Deadly {
			crashed++
		}
	}
	served := func(prefix string) (share float64, sent int) {
		for _, n := range r.counts[prefix] {
			sent += n
		}
		return float64(r.counts[prefix][200]) / float64(max(sent, 1)), sent
	}
	first, firstSent := served("/audiencias/")
	later, laterSent := served("/citas/")
	record.Say("the deadly query ran %d times, the last time before %v", crashed, deadlyAt+deadlySent*comesAgain)
	record.Say("CONFIG: in steady state %d requests on the first route, served %.3f %v; %d on the later one, served %.3f %v",
		firstSent, first, r.counts["/audiencias/"], laterSent, later, r.counts["/citas/"])
	if laterSent >= leastRequests && later < leastShare*first {
		return lab.Broken
	}
	return lab.Held
}
