// Package routing holds the routes of callers' HTTP requests and the replicas
// that serve them.
//
// A [Config] is one version of the routes, as the operator publishes it. A
// [View] joins it with the live replicas into a query plan for each route. Both
// are immutable.
package routing

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Config is one version of the routes and services.
type Config struct {
	// Version only grows.
	Version  uint64
	Routes   []Route
	Services map[string]Service
	Limits   Limits

	byHost map[string][]*Route
}

// Route says which service answers the requests of a host and path prefix.
// Exactly one of Parts and Shards is set.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Repeatable requests may run more than once.
	Repeatable bool
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// Target is the time within which an answer has its full use.
	Target time.Duration
	// Priority is the rank of the route, 0 the highest.
	Priority int
	// MaxReplicas bounds the replicas that a request is sent to, for each shard.
	MaxReplicas int
	// Parts are the services that share the route's requests by weight.
	Parts []WeightedService
	// Shards are the services that each hold a part of the route's index.
	Shards []string
	// TopRecords is the number of records in an answer from shards.
	TopRecords int
	// LeastShards is the fewest shards of a successful answer.
	LeastShards int
}

// WeightedService is a service and its weight among the parts of a route.
type WeightedService struct {
	Service string
	Weight  float64
}

// Service holds what the replicas of a service have in common.
type Service struct {
	Name string
	// MaxConnections is the cap of open connections to a replica over all hosts.
	MaxConnections int
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// IndexRoutes prepares the configuration for Match. It is called once, before the
// configuration is shared.
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

// Match returns the route of a host with the longest prefix of the path, or nil.
// A port in host is ignored.
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

// RouteByName returns the route with a name, or nil.
func (c *Config) RouteByName(name string) *Route {
	for i := range c.Routes {
		if c.Routes[i].Name == name {
			return &c.Routes[i]
		}
	}
	return nil
}

// ChooseService returns the part whose share of the weights holds point, which lies in
// [0, 1). It returns the empty string if the route has no part with a weight.
func (r *Route) ChooseService(point float64) string {
	total := 0.0
	for _, p := range r.Parts {
		total += p.Weight
	}
	left := point * total
	chosen := ""
	for _, p := range r.Parts {
		if p.Weight <= 0 {
			continue
		}
		chosen = p.Service
		if left < p.Weight {
			break
		}
		left -= p.Weight
	}
	return chosen
}
