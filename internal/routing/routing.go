// Package routing maps callers' HTTP requests to routes, and routes to the
// replicas that serve them.
//
// A [Config] is one version of the routes, as published by the operator. A
// [View] combines it with the live replicas and holds a query plan for each
// route. Both are immutable once shared.
package routing

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Config is one version of the routes and services. Hosts exchange it as msgpack,
// with the Go field names of Config and the types in it as keys.
type Config struct {
	// Version increases with each published configuration.
	Version  uint64
	Routes   []Route
	Services map[string]Service
	Limits   Limits

	byHost map[string][]*Route
}

// Route says which services answer the requests for an HTTP host and a path
// prefix. Exactly one of Parts and Shards is set.
type Route struct {
	Name string
	Host string
	// Prefix starts and ends with a slash.
	Prefix string
	// Repeatable means that requests may run more than once.
	Repeatable bool
	// Timeout is the longest time that a caller waits for an answer.
	Timeout time.Duration
	// Target is the time within which an answer is on time.
	Target time.Duration
	// Priority is the priority of the route. 0 is the highest.
	Priority int
	// MaxReplicas bounds the number of replicas that a request is sent to, per
	// shard.
	MaxReplicas int
	// Parts are the services among which the route's requests are divided by
	// weight.
	Parts []WeightedService
	// Shards are the services that each hold one shard of the route's index.
	Shards []string
	// TopRecords is the number of records in the merged answer of an index.
	TopRecords int
	// LeastShards is the minimum number of shards in a successful answer.
	LeastShards int
}

// WeightedService is a service and its weight among the Parts of a route.
type WeightedService struct {
	Service string
	Weight  float64
}

// Service holds the settings that the replicas of a service share.
type Service struct {
	Name string
	// MaxConnections bounds the open connections from all hosts to one replica.
	MaxConnections int
	// ColdStart is how long a replica is cold after its start.
	ColdStart time.Duration
	// ColdPerSecond is the number of requests a second that a cold replica takes from all
	// hosts together; zero if no bound is stated.
	ColdPerSecond float64
}

// Limits bounds the HTTP requests of callers.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// IndexRoutes builds the lookup table for Match. It must be called once, before
// the configuration is shared.
func (c *Config) IndexRoutes() {
	c.byHost = make(map[string][]*Route)
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		c.byHost[host] = append(c.byHost[host], r)
	}
	for _, routes := range c.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
}

// Match returns the route with the longest matching prefix for an HTTP host and
// a path, or nil. A port in host is ignored.
func (c *Config) Match(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	for _, r := range c.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// RouteByName returns the route with the given name, or nil.
func (c *Config) RouteByName(name string) *Route {
	for i := range c.Routes {
		if c.Routes[i].Name == name {
			return &c.Routes[i]
		}
	}
	return nil
}

// ChooseService chooses one of the route's Parts in proportion to the weights.
// point is in [0, 1). It returns the empty string if no part has a positive
// weight.
func (r *Route) ChooseService(point float64) string {
	total := 0.0
	for _, p := range r.Parts {
		total += p.Weight
	}
	remaining := point * total
	chosen := ""
	for _, p := range r.Parts {
		if p.Weight <= 0 {
			continue
		}
		chosen = p.Service
		if remaining < p.Weight {
			break
		}
		remaining -= p.Weight
	}
	return chosen
}
