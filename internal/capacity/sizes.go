// Package capacity works out what each role of a host needs at a given size of
// the fleet, from sizes and from slopes that benchmarks measured. It is pure
// arithmetic; docs/CAPACITY.md holds the tables that it makes.
package capacity

import "github.com/gypsumlug/gypsumlug/internal/roster"

// Sizes describe a fleet, its traffic and what goes on in it.
type Sizes struct {
	Hosts       int `json:"hosts"`
	Endpoints   int `json:"endpoints"`
	Regions     int `json:"regions"`
	DataCentres int `json:"data_centres"`
	// QueriesPerSecond is over all hosts; each query asks FanOut shards.
	QueriesPerSecond float64 `json:"queries_per_second"`
	FanOut           int     `json:"fan_out"`
	// AnswerSeconds is how long a query is in progress at most, in 99 of 100.
	AnswerSeconds float64 `json:"answer_seconds"`
	// Slots and MaxConnections are those of one endpoint.
	Slots          int `json:"slots"`
	MaxConnections int `json:"max_connections"`
	// RelaysPerEndpoint is the number of hosts that hold connections to one
	// endpoint; Generations is how many sets of relays its cap is shared by.
	RelaysPerEndpoint int `json:"relays_per_endpoint"`
	Generations       int `json:"generations"`
	// WatchersPerDataCentre is the number of hosts that watch the platform.
	WatchersPerDataCentre int `json:"watchers_per_data_centre"`
	// PlatformCallsPerSecond is what the platform serves all readers.
	PlatformCallsPerSecond float64 `json:"platform_calls_per_second"`
	ChangesPerDay          float64 `json:"changes_per_day"`
	FailuresPerDay         float64 `json:"failures_per_day"`
	RestartsPerDay         float64 `json:"restarts_per_day"`
	// SubmitShare is the share of requests that need a permit, and PermitSeconds
	// how long a permit and its outcome are kept.
	SubmitShare   float64 `json:"submit_share"`
	PermitSeconds float64 `json:"permit_seconds"`
	// Suspects is the number of quarantined requests that a host may know.
	Suspects int `json:"suspects"`
	// HostsPerRack is the number of hosts that a rack or switch takes along.
	HostsPerRack int `json:"hosts_per_rack"`
	// ConnectMS is the time that a new connection to an endpoint takes.
	ConnectMS float64 `json:"connect_ms"`
}

// DesignSizes returns the sizes that the system is designed for. What the users
// did not give is assumed: slots and caps as in today's larger services, one
// request in twenty with a permit, and racks of 16 hosts.
func DesignSizes() Sizes {
	return Sizes{
		Hosts: 570, Endpoints: 3500, Regions: 2, DataCentres: 6,
		QueriesPerSecond: 110_000, FanOut: 120, AnswerSeconds: 0.21,
		Slots: 6, MaxConnections: 100, RelaysPerEndpoint: roster.MinRelays, Generations: roster.ConcurrentRelaySets,
		WatchersPerDataCentre: roster.WatchersPerDataCentre, PlatformCallsPerSecond: 2000,
		ChangesPerDay: 2000, FailuresPerDay: 14, RestartsPerDay: 1000,
		SubmitShare: 0.05, PermitSeconds: 90, Suspects: 4096, HostsPerRack: 16, ConnectMS: 6,
	}
}

const secondsPerDay = 86_400

// queriesPerHost is the queries a second that one host coordinates.
func (s Sizes) queriesPerHost() float64 { return s.QueriesPerSecond / float64(s.Hosts) }

// subRequestsPerHost is the sub-requests a second that one host coordinates. It
// relays as many for others.
func (s Sizes) subRequestsPerHost() float64 { return s.queriesPerHost() * float64(s.FanOut) }

// subRequestsPerEndpoint is the sub-requests a second of one endpoint.
func (s Sizes) subRequestsPerEndpoint() float64 {
	return s.QueriesPerSecond * float64(s.FanOut) / float64(s.Endpoints)
}

// endpointsPerHost is the number of endpoints that one host relays to.
func (s Sizes) endpointsPerHost() float64 {
	return float64(s.Endpoints*s.RelaysPerEndpoint) / float64(s.Hosts)
}

// share is the number of connections that one relay may hold to an endpoint.
func (s Sizes) share() int { return s.MaxConnections / s.RelaysPerEndpoint / s.Generations }

// hostsPerDataCentre is the number of hosts of one data centre.
func (s Sizes) hostsPerDataCentre() float64 { return float64(s.Hosts) / float64(s.DataCentres) }

// relaysPerQuery is the expected number of different hosts among the relays of a
// query's shards, if the shards lie in one data centre.
func (s Sizes) relaysPerQuery() float64 {
	hosts := s.hostsPerDataCentre()
	missed := 1.0
	for range s.FanOut {
		missed *= 1 - 1/hosts
	}
	return hosts * (1 - missed)
}
