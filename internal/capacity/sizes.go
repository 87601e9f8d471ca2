// Package capacity estimates the resources that each role of a host needs for a
// fleet of a given size.
//
// An estimate multiplies a size, such as the number of sub-requests, by a slope:
// the cost of one unit as measured by a benchmark. The package only calculates;
// docs/CAPACITY.md contains its table.
package capacity

import "github.com/gypsumlug/gypsumlug/internal/roster"

// Sizes describes the size, traffic and rate of changes of a fleet.
type Sizes struct {
	Hosts       int `json:"hosts"`
	Endpoints   int `json:"endpoints"`
	Regions     int `json:"regions"`
	DataCentres int `json:"data_centres"`
	// QueriesPerSecond is the rate over all hosts. Each query is sent to FanOut
	// shards.
	QueriesPerSecond float64 `json:"queries_per_second"`
	FanOut           int     `json:"fan_out"`
	// AnswerSeconds is the 99th percentile of the duration of a query.
	AnswerSeconds float64 `json:"answer_seconds"`
	// Slots and MaxConnections are the limits of one endpoint.
	Slots          int `json:"slots"`
	MaxConnections int `json:"max_connections"`
	// RelaysPerEndpoint is the number of hosts that hold connections to one
	// endpoint. ConcurrentRelaySets is the number of relay sets that share the
	// connection cap of the endpoint.
	RelaysPerEndpoint   int `json:"relays_per_endpoint"`
	ConcurrentRelaySets int `json:"generations"`
	// WatchersPerDataCentre is the number of hosts in a data centre that watch the
	// platform for changes.
	WatchersPerDataCentre int `json:"watchers_per_data_centre"`
	// PlatformCallsPerSecond is the rate of calls that the platform can serve, from
	// all of its readers together.
	PlatformCallsPerSecond float64 `json:"platform_calls_per_second"`
	// ChangesPerDay is the rate of configuration changes. FailuresPerDay and
	// RestartsPerDay are the rates over all hosts.
	ChangesPerDay  float64 `json:"changes_per_day"`
	FailuresPerDay float64 `json:"failures_per_day"`
	RestartsPerDay float64 `json:"restarts_per_day"`
	// SubmitShare is the fraction of requests that need a permit. PermitSeconds is
	// how long a permit and its outcome are kept.
	SubmitShare   float64 `json:"submit_share"`
	PermitSeconds float64 `json:"permit_seconds"`
	// Suspects is the maximum number of quarantined requests that a host records.
	Suspects int `json:"suspects"`
	// HostsPerRack is the number of hosts that fail together with a rack or switch.
	HostsPerRack int `json:"hosts_per_rack"`
	// ConnectMS is the time that a new connection to an endpoint takes.
	ConnectMS float64 `json:"connect_ms"`
}

// DesignSizes returns the sizes that the system is designed for. Sizes that users
// did not specify are assumptions: slots and connection caps are those of the
// larger existing services, one request in twenty needs a permit, and a rack has
// 16 hosts.
func DesignSizes() Sizes {
	return Sizes{
		Hosts: 570, Endpoints: 3500, Regions: 2, DataCentres: 6,
		QueriesPerSecond: 110_000, FanOut: 120, AnswerSeconds: 0.21,
		Slots: 6, MaxConnections: 100, RelaysPerEndpoint: roster.MinRelays, ConcurrentRelaySets: roster.ConcurrentRelaySets,
		WatchersPerDataCentre: roster.WatchersPerDataCentre, PlatformCallsPerSecond: 2000,
		ChangesPerDay: 2000, FailuresPerDay: 14, RestartsPerDay: 1000,
		SubmitShare: 0.05, PermitSeconds: 90, Suspects: 4096, HostsPerRack: 16, ConnectMS: 6,
	}
}

const secondsPerDay = 86_400

// queriesPerHost returns the rate of queries that one host coordinates.
func (s Sizes) queriesPerHost() float64 { return s.QueriesPerSecond / float64(s.Hosts) }

// subRequestsPerHost returns the rate of sub-requests that one host coordinates.
// On average it relays as many for other hosts.
func (s Sizes) subRequestsPerHost() float64 { return s.queriesPerHost() * float64(s.FanOut) }

// subRequestsPerEndpoint returns the rate of sub-requests to one endpoint.
func (s Sizes) subRequestsPerEndpoint() float64 {
	return s.QueriesPerSecond * float64(s.FanOut) / float64(s.Endpoints)
}

// endpointsPerHost returns the number of endpoints that one host is a relay of.
func (s Sizes) endpointsPerHost() float64 {
	return float64(s.Endpoints*s.RelaysPerEndpoint) / float64(s.Hosts)
}

// connectionsPerRelay returns the number of connections that one relay may hold
// to an endpoint.
func (s Sizes) connectionsPerRelay() int {
	return s.MaxConnections / s.RelaysPerEndpoint / s.ConcurrentRelaySets
}

// hostsPerDataCentre returns the number of hosts in one data centre.
func (s Sizes) hostsPerDataCentre() float64 { return float64(s.Hosts) / float64(s.DataCentres) }

// relaysPerQuery returns the expected number of distinct relays of a query,
// provided that all of its shards are in one data centre.
func (s Sizes) relaysPerQuery() float64 {
	hosts := s.hostsPerDataCentre()
	missProbability := 1.0
	for range s.FanOut {
		missProbability *= 1 - 1/hosts
	}
	return hosts * (1 - missProbability)
}
